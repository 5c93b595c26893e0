package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/cli/internal/bench"
	"github.com/wheelcleat/wheelcleat/daemon/simulation"
)

// progressInterval is the minimum interval between progress messages.
const progressInterval = 2 * time.Second

func benchLoadCommand() *cli.Command {
	setup := simulation.Default()
	return &cli.Command{
		Name: "load", Usage: "compare routing policies under load with the theoretical optimum, in simulated time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "engines", Value: setup.Engines, Usage: "number `N` of engines"},
			&cli.IntFlag{Name: "routers", Value: setup.Routers, Usage: "number `N` of routers"},
			&cli.IntFlag{Name: "data-halls", Value: setup.Halls, Usage: "number `N` of data halls"},
			&cli.FloatFlag{Name: "rate", Value: setup.Rate, Usage: "`N` callers per second at level 1 of a pattern"},
			&cli.DurationFlag{Name: "length", Value: setup.Duration, Usage: "`DURATION` of the arrivals"},
			&cli.FloatFlag{Name: "patience", Value: setup.DeadlineSpread, Usage: "`FRACTION` by which the deadlines of callers vary"},
			&cli.StringFlag{Name: "pattern", Value: "steady:1,steady:1.25,burst", Usage: "comma-separated `PATTERNS`, with a level as in steady:1.25, or all: " + strings.Join(simulation.PatternNames(), ", ")},
			&cli.StringFlag{Name: "policy", Value: "now", Usage: "comma-separated `POLICIES`, or all: " + strings.Join(simulation.PolicyNames(), ", ")},
			&cli.StringFlag{Name: "seed", Aliases: []string{"seeds"}, Value: "1", Usage: "comma-separated `SEEDS`; results are averaged over them"},
			&cli.BoolFlag{Name: "json", Usage: "print only JSON, one line per pattern and policy"},
			&cli.StringFlag{Name: "plot", Usage: "plot the worth of served requests by time of arrival to `FILE.png`"},
		},
		Action: benchLoad,
	}
}

func benchLoad(ctx context.Context, command *cli.Command) error {
	load, err := loadConfig(command)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	load.Progress = reportProgress(command)
	results, err := load.Run(ctx)
	if err != nil {
		return err
	}
	return writeResults(command, results, bench.WriteLoadTable, bench.PlotLoad)
}

// reportProgress returns a callback for the end of each simulation run. It prints the progress at
// most once per progressInterval.
func reportProgress(command *cli.Command) func(done, total int) {
	started, reported := time.Now(), time.Now()
	return func(done, total int) {
		if time.Since(reported) > progressInterval {
			reported = time.Now()
			_, _ = fmt.Fprintf(command.Root().ErrWriter, "%d of %d runs done after %s\n", done, total, time.Since(started).Round(time.Second))
		}
	}
}

// writeResults writes results as JSON lines or as a table, and plots them if --plot is given.
func writeResults[R any](command *cli.Command, results []R, writeTable func(io.Writer, []R) error, plot func(string, []R) error) error {
	out := command.Root().Writer
	if command.Bool("json") {
		encoder := json.NewEncoder(out)
		for _, r := range results {
			if err := encoder.Encode(r); err != nil {
				return fmt.Errorf("write result: %w", err)
			}
		}
	} else if err := writeTable(out, results); err != nil {
		return err
	}
	if path := command.String("plot"); path != "" {
		return plot(path, results)
	}
	return nil
}

// loadConfig returns the benchmark that the flags configure.
func loadConfig(command *cli.Command) (*bench.Load, error) {
	load := &bench.Load{Setup: simulation.Default()}
	load.Setup.Engines, load.Setup.Routers, load.Setup.Halls = command.Int("engines"), command.Int("routers"), command.Int("data-halls")
	load.Setup.Rate, load.Setup.Duration, load.Setup.DeadlineSpread = command.Float("rate"), command.Duration("length"), command.Float("patience")
	var err error
	if load.Patterns, err = parseList(command.String("pattern"), simulation.PatternNames(), simulation.ParsePattern); err != nil {
		return nil, fmt.Errorf("--pattern: %w", err)
	}
	if load.Policies, err = parseList(command.String("policy"), simulation.PolicyNames(), simulation.FindPolicy); err != nil {
		return nil, fmt.Errorf("--policy: %w", err)
	}
	if load.Seeds, err = parseList(command.String("seed"), nil, parseSeed); err != nil {
		return nil, fmt.Errorf("--seed: %w", err)
	}
	return load, nil
}

// parseList parses each item of a comma-separated list. "all" selects the known names, if any.
func parseList[T any](text string, known []string, parse func(string) (T, error)) ([]T, error) {
	names := strings.Split(text, ",")
	if text == "all" && len(known) > 0 {
		names = known
	}
	values := make([]T, 0, len(names))
	for _, name := range names {
		value, err := parse(name)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

func parseSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a non-negative integer", text)
	}
	return seed, nil
}
