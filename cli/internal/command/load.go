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
	"github.com/wheelcleat/wheelcleat/daemon/lab"
)

// progressAfter is the time after which a long run tells how far it is.
const progressAfter = 2 * time.Second

func benchLoadCommand() *cli.Command {
	setup := lab.Default()
	return &cli.Command{
		Name: "load", Usage: "what callers get under load, by way to decide, beside the best possible; in simulated time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "engines", Value: setup.Engines, Usage: "engines, `N`"},
			&cli.IntFlag{Name: "routers", Value: setup.Routers, Usage: "routers, `N`"},
			&cli.IntFlag{Name: "data-halls", Value: setup.Halls, Usage: "data halls, `N`"},
			&cli.FloatFlag{Name: "rate", Value: setup.Rate, Usage: "callers a second at a pattern's level 1, `N`"},
			&cli.DurationFlag{Name: "length", Value: setup.Duration, Usage: "`TIME` for which callers come"},
			&cli.FloatFlag{Name: "patience", Value: setup.DeadlineSpread, Usage: "`PART` by which the times of callers differ"},
			&cli.StringFlag{Name: "pattern", Value: "steady:1,steady:1.25,burst", Usage: "`PATTERNS`, by comma, each with a level as in steady:1.25, or all: " + strings.Join(lab.PatternNames(), ", ")},
			&cli.StringFlag{Name: "policy", Value: "now", Usage: "`POLICIES`, by comma, or all: " + strings.Join(lab.PolicyNames(), ", ")},
			&cli.StringFlag{Name: "seed", Aliases: []string{"seeds"}, Value: "1", Usage: "`SEEDS`, by comma; figures are their means"},
			&cli.BoolFlag{Name: "json", Usage: "only the JSON lines, one a pattern and policy"},
			&cli.StringFlag{Name: "plot", Usage: "draw the worth over time into `FILE.png`"},
		},
		Action: benchLoad,
	}
}

func benchLoad(ctx context.Context, command *cli.Command) error {
	load, err := loadOf(command)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	load.Progress = tellProgress(command)
	results, err := load.Run(ctx)
	if err != nil {
		return err
	}
	return writeResults(command, results, bench.WriteLoadTable, bench.PlotLoad)
}

// tellProgress returns what a long run calls after each of its plays; it tells how far the run
// is now and then.
func tellProgress(command *cli.Command) func(done, all int) {
	began, told := time.Now(), time.Now()
	return func(done, all int) {
		if time.Since(told) > progressAfter {
			told = time.Now()
			_, _ = fmt.Fprintf(command.Root().ErrWriter, "%d of %d plays after %s\n", done, all, time.Since(began).Round(time.Second))
		}
	}
}

// writeResults writes results as JSON lines or as a table, and draws them where that is asked
// for.
func writeResults[R any](command *cli.Command, results []R, table func(io.Writer, []R) error, plot func(string, []R) error) error {
	out := command.Root().Writer
	if command.Bool("json") {
		encoder := json.NewEncoder(out)
		for _, r := range results {
			if err := encoder.Encode(r); err != nil {
				return fmt.Errorf("write a result: %w", err)
			}
		}
	} else if err := table(out, results); err != nil {
		return err
	}
	if path := command.String("plot"); path != "" {
		return plot(path, results)
	}
	return nil
}

// loadOf reads the flags.
func loadOf(command *cli.Command) (*bench.Load, error) {
	load := &bench.Load{Setup: lab.Default()}
	load.Setup.Engines, load.Setup.Routers, load.Setup.Halls = command.Int("engines"), command.Int("routers"), command.Int("data-halls")
	load.Setup.Rate, load.Setup.Duration, load.Setup.DeadlineSpread = command.Float("rate"), command.Duration("length"), command.Float("patience")
	var err error
	if load.Patterns, err = parseList(command.String("pattern"), lab.PatternNames(), lab.ParsePattern); err != nil {
		return nil, fmt.Errorf("--pattern: %w", err)
	}
	if load.Policies, err = parseList(command.String("policy"), lab.PolicyNames(), lab.FindPolicy); err != nil {
		return nil, fmt.Errorf("--policy: %w", err)
	}
	if load.Seeds, err = parseList(command.String("seed"), nil, parseSeed); err != nil {
		return nil, fmt.Errorf("--seed: %w", err)
	}
	return load, nil
}

// parseList parses each of a list of names by comma; "all" stands for all there are.
func parseList[T any](text string, all []string, parse func(string) (T, error)) ([]T, error) {
	names := strings.Split(text, ",")
	if text == "all" && len(all) > 0 {
		names = all
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
		return 0, fmt.Errorf("%q is not a whole number from 0 on", text)
	}
	return seed, nil
}
