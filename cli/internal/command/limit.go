package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/cli/internal/bench"
	"github.com/wheelcleat/wheelcleat/daemon/lab"
)

func benchLimitCommand() *cli.Command {
	setup := lab.DefaultLimit()
	return &cli.Command{
		Name: "limit", Usage: "what comes to upstreams that name limits, while parts of the fleet are gone; in simulated time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "routers", Value: "7", Usage: "routers, `NUMBERS` by comma, such as 6,40,400"},
			&cli.IntFlag{Name: "data-halls", Value: setup.Halls, Usage: "data halls, `N`"},
			&cli.IntFlag{Name: "upstreams", Value: setup.Upstreams, Usage: "upstreams, `N`; one of three names a limit"},
			&cli.FloatFlag{Name: "rate", Value: setup.Rate, Usage: "requests a second of all callers, `N`"},
			&cli.StringFlag{Name: "limit", Value: "2", Usage: "requests a second that are named, `NUMBERS` by comma, such as 0.2,1,5,50"},
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "`FAULTS`, by comma, or all: " + strings.Join(lab.LimitFaultNames(), ", ")},
			&cli.StringFlag{Name: "seed", Aliases: []string{"seeds"}, Value: "1", Usage: "`SEEDS`, by comma, a play each"},
			&cli.BoolFlag{Name: "json", Usage: "only the JSON lines, one a play"},
			&cli.StringFlag{Name: "plot", Usage: "draw what comes to the limited upstreams over time into `FILE.png`"},
		},
		Action: benchLimit,
	}
}

func benchLimit(ctx context.Context, command *cli.Command) error {
	setups, err := limitSetups(command)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	results, err := bench.RunLimits(ctx, setups)
	if err != nil {
		return err
	}
	return writeResults(command, results, bench.WriteLimitTable, bench.PlotLimits)
}

// limitSetups reads the flags: a play for each of their values with each.
func limitSetups(command *cli.Command) ([]lab.LimitSetup, error) {
	routers, err := parseList(command.String("routers"), nil, strconv.Atoi)
	if err != nil {
		return nil, fmt.Errorf("--routers: %w", err)
	}
	limits, err := parseList(command.String("limit"), nil, parseNumber)
	if err != nil {
		return nil, fmt.Errorf("--limit: %w", err)
	}
	faults, err := parseList(command.String("fault"), lab.LimitFaultNames(), lab.FindLimitFault)
	if err != nil {
		return nil, fmt.Errorf("--fault: %w", err)
	}
	seeds, err := parseList(command.String("seed"), nil, parseSeed)
	if err != nil {
		return nil, fmt.Errorf("--seed: %w", err)
	}
	var setups []lab.LimitSetup
	for _, count := range routers {
		for _, perSecond := range limits {
			for _, fault := range faults {
				for _, seed := range seeds {
					setups = append(setups, lab.LimitSetup{
						Routers: count, Halls: command.Int("data-halls"), Upstreams: command.Int("upstreams"),
						PerSecond: perSecond, Rate: command.Float("rate"), Fault: fault, Seed: seed,
					})
				}
			}
		}
	}
	return setups, nil
}

func parseNumber(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= 0 && number <= mostNumber) {
		return 0, fmt.Errorf("%q is not a number from 0 to %g", text, mostNumber)
	}
	return number, nil
}

// mostNumber bounds numbers that are read from flags.
const mostNumber = 1e6
