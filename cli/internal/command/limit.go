package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/cli/internal/bench"
	"github.com/wheelcleat/wheelcleat/daemon/simulation"
)

func benchLimitCommand() *cli.Command {
	setup := simulation.DefaultLimit()
	return &cli.Command{
		Name: "limit", Usage: "measure the request rate at upstreams with rate limits while parts of the fleet fail, in simulated time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "routers", Value: "7", Usage: "comma-separated `NUMBERS` of routers, such as 6,40,400"},
			&cli.IntFlag{Name: "data-halls", Value: setup.Halls, Usage: "number `N` of data halls"},
			&cli.IntFlag{Name: "upstreams", Value: setup.Upstreams, Usage: "number `N` of upstreams, one in three of them with a rate limit"},
			&cli.FloatFlag{Name: "rate", Value: setup.Rate, Usage: "`N` requests per second of all callers together"},
			&cli.StringFlag{Name: "limit", Value: "2", Usage: "comma-separated `LIMITS` in requests per second, such as 0.2,1,5,50"},
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "comma-separated `FAULTS`, or all: " + strings.Join(simulation.LimitFaultNames(), ", ")},
			&cli.StringFlag{Name: "seed", Aliases: []string{"seeds"}, Value: "1", Usage: "comma-separated `SEEDS`, one run each"},
			&cli.BoolFlag{Name: "json", Usage: "print only JSON, one line per run"},
			&cli.StringFlag{Name: "plot", Usage: "plot the request rate at the limited upstreams over time to `FILE.png`"},
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

// limitSetups returns a setup for each combination of the values of the flags.
func limitSetups(command *cli.Command) ([]simulation.LimitSetup, error) {
	routers, err := parseList(command.String("routers"), nil, strconv.Atoi)
	if err != nil {
		return nil, fmt.Errorf("--routers: %w", err)
	}
	limits, err := parseList(command.String("limit"), nil, parseNumber)
	if err != nil {
		return nil, fmt.Errorf("--limit: %w", err)
	}
	faults, err := parseList(command.String("fault"), simulation.LimitFaultNames(), simulation.FindLimitFault)
	if err != nil {
		return nil, fmt.Errorf("--fault: %w", err)
	}
	seeds, err := parseList(command.String("seed"), nil, parseSeed)
	if err != nil {
		return nil, fmt.Errorf("--seed: %w", err)
	}
	var setups []simulation.LimitSetup
	for _, count := range routers {
		for _, perSecond := range limits {
			for _, fault := range faults {
				for _, seed := range seeds {
					setups = append(setups, simulation.LimitSetup{
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
	if err != nil || !(number >= 0 && number <= maxNumber) {
		return 0, fmt.Errorf("%q is not a number from 0 to %g", text, maxNumber)
	}
	return number, nil
}

// maxNumber bounds floating-point values of list flags.
const maxNumber = 1e6
