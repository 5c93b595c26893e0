package command

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/cli/internal/bench"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "run benchmarks on a small in-process fleet or in simulated time",
		Commands: []*cli.Command{benchDistributeCommand(), benchControlCommand(), benchRouteCommand(), benchLoadCommand(), benchLimitCommand(), benchFleetCommand()},
	}
}

func benchDistributeCommand() *cli.Command {
	return &cli.Command{
		Name: "distribute", Usage: "measure the time until N hosts serve a declared version, and the bytes that the origin sends",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 64, Usage: "number `N` of engine hosts in all data halls together"},
			&cli.IntFlag{Name: "data-halls", Value: 3, Usage: "number `N` of data halls"},
			&cli.StringFlag{Name: "model-bytes", Value: "64MiB", Usage: "`SIZE` of the weights"},
			&cli.StringFlag{Name: "chunk-bytes", Usage: "`SIZE` of a chunk; derived from the model by default"},
			&cli.DurationFlag{Name: "unit", Value: 20 * time.Second, Usage: "`DURATION` in which the link of the origin carries 4 copies of the model, and that of a host 2 up and 2 down"},
			&cli.StringFlag{Name: "duplex", Value: "full", Usage: "duplex `MODE` of the links of hosts: full or half"},
			&cli.StringFlag{Name: "policy", Value: "swarm", Usage: "comma-separated `POLICIES`, run one after the other: swarm, naive-swarm, tree, origin-only"},
			&cli.IntFlag{Name: "uploads", Usage: "maximum number `N` of concurrent uploads of a host"},
			&cli.IntFlag{Name: "downloads", Usage: "maximum number `N` of concurrent downloads of a host from peers"},
			&cli.IntFlag{Name: "neighbours", Usage: "number `N` of peers whose chunk lists a host follows"},
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "comma-separated `FAULTS`, or all: " + strings.Join(bench.DistributeFaults(), ", ")},
			&cli.Uint64Flag{Name: "seed", Aliases: []string{"seeds"}, Value: 1, Usage: "`SEED` of the weights and of the choice of faulty hosts"},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Minute, Usage: "`DURATION` after which a run is aborted"},
			&cli.BoolFlag{Name: "json", Usage: "print only JSON, one line per run"},
			&cli.StringFlag{Name: "plot", Usage: "plot the number of serving hosts over time to `FILE.png`"},
			&cli.StringFlag{Name: "log", Usage: "write the logs of all processes to `FILE`"},
		},
		Action: benchDistribute,
	}
}

// distributeConfig returns the configuration that is common to all runs.
func distributeConfig(command *cli.Command) (bench.Distribute, error) {
	config := bench.Distribute{
		Hosts: command.Int("hosts"), Halls: command.Int("data-halls"), Unit: command.Duration("unit"),
		Uploads: command.Int("uploads"), Downloads: command.Int("downloads"), Neighbours: command.Int("neighbours"),
		HalfDuplex: command.String("duplex") == "half", Seed: command.Uint64("seed"), Timeout: command.Duration("timeout"),
	}
	var err error
	if config.ModelBytes, err = ParseSize(command.String("model-bytes")); err != nil {
		return config, fmt.Errorf("%w: --model-bytes: %w", errUsage, err)
	}
	if text := command.String("chunk-bytes"); text != "" {
		if config.ChunkBytes, err = ParseSize(text); err != nil {
			return config, fmt.Errorf("%w: --chunk-bytes: %w", errUsage, err)
		}
	}
	if duplex := command.String("duplex"); duplex != "full" && duplex != "half" {
		return config, fmt.Errorf("%w: --duplex %q: use full or half", errUsage, duplex)
	}
	if config.Hosts < config.Halls || config.Halls < 1 || config.Unit <= 0 {
		return config, fmt.Errorf("%w: --hosts must be at least --data-halls, and --unit positive", errUsage)
	}
	return config, nil
}

func benchDistribute(ctx context.Context, command *cli.Command) error {
	config, err := distributeConfig(command)
	if err != nil {
		return err
	}
	output, closeLog, err := createLog(command.String("log"))
	if err != nil {
		return err
	}
	defer closeLog()
	config.LogOutput = output
	faults := strings.Split(command.String("fault"), ",")
	if command.String("fault") == "all" {
		faults = bench.DistributeFaults()
	}
	var results []*bench.DistributeResult
	for _, fault := range faults {
		for _, policy := range strings.Split(command.String("policy"), ",") {
			run := config
			run.Policy, run.Fault = policy, fault
			result, err := run.Run(ctx)
			if err != nil {
				return fmt.Errorf("policy %s, fault %s: %w", policy, fault, err)
			}
			results = append(results, result)
			showDistribution(command, result)
		}
	}
	if path := command.String("plot"); path != "" {
		return bench.PlotReadyHosts(path, results)
	}
	return nil
}

func showDistribution(command *cli.Command, r *bench.DistributeResult) {
	summary := fmt.Sprintf("%s, %s: all %d hosts after %.2f s, %.2f times the bound; %.2f origin copies, %.2f cross-hall copies, %.2f duplicate copies; CPU %.0f %%",
		r.Policy, r.Fault, r.HostsCompleted, r.TimeTo100, r.RatioToBound, r.OriginCopies, r.CrossHallCopies, r.DuplicateCopies, 100*r.CPUShare)
	_ = writeResult(command, summary, r)
}

func benchControlCommand() *cli.Command {
	return &cli.Command{
		Name: "control", Usage: "measure the time until a declaration is in force everywhere, and the cost of the control plane when idle",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "data-halls", Value: 2, Usage: "number `N` of data halls"},
			&cli.IntFlag{Name: "entries", Value: 4, Usage: "number `N` of entries per data hall"},
			&cli.IntFlag{Name: "hosts", Value: 16, Usage: "number `N` of engine hosts in all data halls together"},
			&cli.DurationFlag{Name: "rest", Value: 10 * time.Second, Usage: "`DURATION` of the idle measurement"},
			&cli.IntFlag{Name: "changes", Value: 60, Usage: "number `N` of declarations"},
			&cli.DurationFlag{Name: "every", Value: 100 * time.Millisecond, Usage: "`INTERVAL` between declarations"},
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "`FAULT` of the key-value service: none, slow, down (half of the calls), lost-answers"},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Minute, Usage: "`DURATION` after which the run is aborted"},
			&cli.BoolFlag{Name: "json", Usage: "print only JSON"},
		},
		Action: benchControl,
	}
}

func benchControl(ctx context.Context, command *cli.Command) error {
	run := bench.Control{
		Halls: command.Int("data-halls"), EntriesPerHall: command.Int("entries"), Hosts: command.Int("hosts"),
		IdleDuration: command.Duration("rest"), Changes: command.Int("changes"), Interval: command.Duration("every"),
		Fault: command.String("fault"), Timeout: command.Duration("timeout"),
	}
	if run.Halls < 1 || run.EntriesPerHall < 1 || run.Hosts < run.Halls {
		return fmt.Errorf("%w: --entries must be at least 1, and --hosts at least --data-halls", errUsage)
	}
	r, err := run.Run(ctx)
	if err != nil {
		return err
	}
	summary := fmt.Sprintf("%d daemons, fault %s: in force after %.0f ms (p50), %.0f ms (p99); %d reverts, %d accepted but lost, %d false failures",
		r.Daemons, r.Fault, r.InForceP50MS, r.InForceP99MS, r.Reverts, r.LostAccepted, r.FalseFailures)
	return writeResult(command, summary, r)
}

func benchRouteCommand() *cli.Command {
	return &cli.Command{
		Name: "route", Usage: "measure the latency that entry and agent add, compared with the same load sent directly to the engines",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "data-halls", Value: 2, Usage: "number `N` of data halls"},
			&cli.IntFlag{Name: "entries", Value: 2, Usage: "number `N` of entries per data hall"},
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "number `N` of engine hosts in all data halls together"},
			&cli.FloatFlag{Name: "rate", Value: 500, Usage: "`N` requests per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "`DURATION` of each of the two phases"},
			&cli.IntFlag{Name: "tokens", Value: 16, Usage: "number `N` of tokens per answer"},
			&cli.DurationFlag{Name: "prefill", Value: 20 * time.Millisecond, Usage: "`TIME` to the first token at an engine"},
			&cli.DurationFlag{Name: "per-token", Value: 10 * time.Millisecond, Usage: "`TIME` between tokens at an engine"},
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "`FAULT` injected after a third of the routed phase: " + strings.Join(bench.RouteFaults(), ", ")},
			&cli.Uint64Flag{Name: "seed", Aliases: []string{"seeds"}, Value: 1, Usage: "`SEED` of the arrival process"},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Minute, Usage: "`DURATION` after which the run is aborted"},
			&cli.BoolFlag{Name: "json", Usage: "print only JSON"},
			&cli.StringFlag{Name: "log", Usage: "write the log lines of all processes to `FILE`; adds to the measured CPU time"},
		},
		Action: benchRoute,
	}
}

func benchRoute(ctx context.Context, command *cli.Command) error {
	run := bench.Route{
		Halls: command.Int("data-halls"), EntriesPerHall: command.Int("entries"), Hosts: command.Int("hosts"),
		Rate: command.Float("rate"), Duration: command.Duration("duration"), Tokens: command.Int("tokens"),
		Prefill: command.Duration("prefill"), PerToken: command.Duration("per-token"),
		Fault: command.String("fault"), Seed: command.Uint64("seed"), Timeout: command.Duration("timeout"),
	}
	if run.Halls < 1 || run.EntriesPerHall < 1 || run.Hosts < run.Halls || run.Rate <= 0 || run.Tokens < 1 {
		return fmt.Errorf("%w: --entries must be at least 1, --hosts at least --data-halls, and --rate and --tokens positive", errUsage)
	}
	if !slices.Contains(bench.RouteFaults(), run.Fault) {
		return fmt.Errorf("%w: unknown --fault %q; use one of %s", errUsage, run.Fault, strings.Join(bench.RouteFaults(), ", "))
	}
	output, closeLog, err := createLog(command.String("log"))
	if err != nil {
		return err
	}
	defer closeLog()
	run.LogOutput = output
	r, err := run.Run(ctx)
	if err != nil {
		return err
	}
	summary := fmt.Sprintf("%d requests at %.0f/s, fault %s: relay adds %d us (p50), %d us (p99) to the first token, %.0f us CPU per request; doubled %d, false not-run %d, mixed %d, cut in drain %d",
		r.Requests, r.Rate, r.Fault, r.AddedP50US, r.AddedP99US, r.CPUPerRequestUS, r.RepeatedExecutions, r.FalseNotRun, r.MixedAnswers, r.TruncatedInDrain)
	return writeResult(command, summary, r)
}

// writeResult writes a result as a line of JSON, after its summary unless --json is given.
func writeResult(command *cli.Command, summary string, result any) error {
	out := command.Root().Writer
	if !command.Bool("json") {
		_, _ = fmt.Fprintln(out, summary)
	}
	return json.NewEncoder(out).Encode(result)
}
