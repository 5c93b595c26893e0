package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/cli/internal/bench"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "measure wheelcleat on a small fleet in this process",
		Commands: []*cli.Command{benchDistributeCommand(), benchControlCommand(), benchRouteCommand(), benchLoadCommand(), benchLimitCommand(), benchFleetCommand()},
	}
}

func benchDistributeCommand() *cli.Command {
	return &cli.Command{
		Name: "distribute", Usage: "time from a declaration to N hosts that serve it, and what the origin sends",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 64, Usage: "engine hosts over all data halls, `N`"},
			&cli.IntFlag{Name: "data-halls", Value: 3, Usage: "data halls, `N`"},
			&cli.StringFlag{Name: "model-bytes", Value: "64MiB", Usage: "`SIZE` of the weights"},
			&cli.StringFlag{Name: "chunk-bytes", Usage: "`SIZE` of a chunk; the default is planned"},
			&cli.DurationFlag{Name: "unit", Value: 20 * time.Second, Usage: "`TIME` in which the origin's link carries 4 copies and a host's 2 up and 2 down"},
			&cli.StringFlag{Name: "duplex", Value: "full", Usage: "`WAY` that a host's link carries both directions: full or half"},
			&cli.StringFlag{Name: "policy", Value: "swarm", Usage: "`POLICIES`, by comma, run one after the other: swarm, naive-swarm, tree, origin-only"},
			&cli.IntFlag{Name: "uploads", Usage: "uploads at a time of a host, `N`"},
			&cli.IntFlag{Name: "downloads", Usage: "downloads from peers at a time of a host, `N`"},
			&cli.IntFlag{Name: "neighbours", Usage: "peers whose chunks a host follows, `N`"},
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "`FAULTS`, by comma, or all: " + strings.Join(bench.Faults(), ", ")},
			&cli.Uint64Flag{Name: "seed", Aliases: []string{"seeds"}, Value: 1, Usage: "`SEED` of the weights and of the fault's victims"},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Minute, Usage: "`TIME` after which a run is given up"},
			&cli.BoolFlag{Name: "json", Usage: "only the JSON lines, one a run"},
			&cli.StringFlag{Name: "plot", Usage: "draw the hosts that serve over time into `FILE.png`"},
			&cli.StringFlag{Name: "log", Usage: "write the log lines of all processes to `FILE`"},
		},
		Action: benchDistribute,
	}
}

// distributeConfig reads the flags that all runs share.
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
		return config, fmt.Errorf("%w: every hall needs a host, and --unit is above 0", errUsage)
	}
	return config, nil
}

func benchDistribute(ctx context.Context, command *cli.Command) error {
	config, err := distributeConfig(command)
	if err != nil {
		return err
	}
	output, closeLog, err := openLog(command.String("log"))
	if err != nil {
		return err
	}
	defer closeLog()
	if output != io.Discard {
		config.LogOutput = output
	}
	faults := strings.Split(command.String("fault"), ",")
	if command.String("fault") == "all" {
		faults = bench.Faults()
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
		return bench.PlotReplicas(path, results)
	}
	return nil
}

func showDistribution(command *cli.Command, r *bench.DistributeResult) {
	out := command.Root().Writer
	if !command.Bool("json") {
		_, _ = fmt.Fprintf(out, "%s, %s: all %d hosts after %.2f s, %.2f of the bound; %.2f origin copies, %.2f across halls, %.2f twice; CPU %.0f %%\n",
			r.Policy, r.Fault, r.HostsCompleted, r.TimeTo100, r.RatioToBound, r.OriginCopies, r.CrossHallCopies, r.DuplicateCopies, 100*r.CPUShare)
	}
	_ = json.NewEncoder(out).Encode(r)
}

func benchControlCommand() *cli.Command {
	return &cli.Command{
		Name: "control", Usage: "time from an accepted declaration to in force everywhere, and what control costs at rest",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "data-halls", Value: 2, Usage: "data halls, `N`"},
			&cli.IntFlag{Name: "entries", Value: 4, Usage: "entries in each data hall, `N`"},
			&cli.IntFlag{Name: "hosts", Value: 16, Usage: "engine hosts over all data halls, `N`"},
			&cli.DurationFlag{Name: "rest", Value: 10 * time.Second, Usage: "`TIME` at rest that is measured"},
			&cli.IntFlag{Name: "changes", Value: 60, Usage: "declarations, `N`"},
			&cli.DurationFlag{Name: "every", Value: 100 * time.Millisecond, Usage: "`TIME` between two declarations"},
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "`FAULT` of the key-value service: none, slow, down (half of the calls), lost-answers"},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Minute, Usage: "`TIME` after which the run is given up"},
			&cli.BoolFlag{Name: "json", Usage: "only the JSON line"},
		},
		Action: benchControl,
	}
}

func benchControl(ctx context.Context, command *cli.Command) error {
	run := bench.Control{
		Halls: command.Int("data-halls"), EntriesPerHall: command.Int("entries"), Agents: command.Int("hosts"),
		IdleDuration: command.Duration("rest"), Changes: command.Int("changes"), Interval: command.Duration("every"),
		Fault: command.String("fault"), Timeout: command.Duration("timeout"),
	}
	if run.Halls < 1 || run.EntriesPerHall < 1 || run.Agents < run.Halls {
		return fmt.Errorf("%w: every hall needs an entry and a host", errUsage)
	}
	r, err := run.Run(ctx)
	if err != nil {
		return err
	}
	out := command.Root().Writer
	if !command.Bool("json") {
		_, _ = fmt.Fprintf(out, "%d daemons, fault %s: in force after %.0f ms (p50), %.0f ms (p99); %d reverts, %d accepted and lost, %d false failures\n",
			r.Daemons, r.Fault, r.InForceP50MS, r.InForceP99MS, r.Reverts, r.LostAccepted, r.FalseFailures)
	}
	return json.NewEncoder(out).Encode(r)
}

func benchRouteCommand() *cli.Command {
	return &cli.Command{
		Name: "route", Usage: "what the way through entry and agent adds to the same load sent straight to the engines",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "data-halls", Value: 2, Usage: "data halls, `N`"},
			&cli.IntFlag{Name: "entries", Value: 2, Usage: "entries in each data hall, `N`"},
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "engine hosts over all data halls, `N`"},
			&cli.FloatFlag{Name: "rate", Value: 500, Usage: "requests a second, `N`"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "`TIME` of each of the two parts"},
			&cli.IntFlag{Name: "tokens", Value: 16, Usage: "tokens of an answer, `N`"},
			&cli.DurationFlag{Name: "prefill", Value: 20 * time.Millisecond, Usage: "`TIME` of an engine to the first token"},
			&cli.DurationFlag{Name: "per-token", Value: 10 * time.Millisecond, Usage: "`TIME` of an engine between tokens"},
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "`FAULT` a third into the routed part: " + strings.Join(bench.RouteFaults(), ", ")},
			&cli.Uint64Flag{Name: "seed", Aliases: []string{"seeds"}, Value: 1, Usage: "`SEED` of the arrivals"},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Minute, Usage: "`TIME` after which the run is given up"},
			&cli.BoolFlag{Name: "json", Usage: "only the JSON line"},
			&cli.StringFlag{Name: "log", Usage: "write the log lines of all processes to `FILE`; costs CPU that counts"},
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
		return fmt.Errorf("%w: every hall needs an entry and a host, and rate and tokens are above 0", errUsage)
	}
	if !slices.Contains(bench.RouteFaults(), run.Fault) {
		return fmt.Errorf("%w: unknown --fault %q; use one of %s", errUsage, run.Fault, strings.Join(bench.RouteFaults(), ", "))
	}
	output, closeLog, err := openLog(command.String("log"))
	if err != nil {
		return err
	}
	defer closeLog()
	if output != io.Discard {
		run.LogOutput = output
	}
	r, err := run.Run(ctx)
	if err != nil {
		return err
	}
	out := command.Root().Writer
	if !command.Bool("json") {
		_, _ = fmt.Fprintf(out, "%d requests at %.0f/s, fault %s: relay adds %d us (p50), %d us (p99) to the first token, %.0f us CPU a request; doubled %d, false not-run %d, mixed %d, cut in drain %d\n",
			r.Requests, r.Rate, r.Fault, r.AddedP50US, r.AddedP99US, r.CPUPerRequestUS, r.RepeatedExecutions, r.FalseNotRun, r.MixedAnswers, r.TruncatedInDrain)
	}
	return json.NewEncoder(out).Encode(r)
}
