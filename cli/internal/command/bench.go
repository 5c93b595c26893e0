package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/cli/internal/bench"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "measure wheelcleat on a small fleet in this process",
		Commands: []*cli.Command{benchDistributeCommand()},
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
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the weights and of the fault's victims"},
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
