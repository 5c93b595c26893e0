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

func benchFleetCommand() *cli.Command {
	setup := simulation.DefaultFleet()
	return &cli.Command{
		Name: "fleet", Usage: "measure how long starts and changes take to reach all routers, and the load on links and store, in simulated time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "routers", Value: strconv.Itoa(setup.Routers), Usage: "comma-separated `NUMBERS` of routers, such as 30,546,4000"},
			&cli.FloatFlag{Name: "loaders", Value: float64(setup.Loaders) / float64(setup.Routers), Usage: "number `N` of loaders per router"},
			&cli.IntFlag{Name: "data-halls", Value: setup.Halls, Usage: "number `N` of data halls"},
			&cli.FloatFlag{Name: "wide", Value: setup.WideShare, Usage: "`FRACTION` of routers with wide links"},
			&cli.StringFlag{Name: "configuration-bytes", Value: strconv.Itoa(setup.ConfigurationBytes) + "B", Usage: "`SIZE` of a configuration"},
			&cli.StringFlag{Name: "fault", Value: "all", Usage: "comma-separated `FAULTS`, or all: " + strings.Join(simulation.FleetFaultNames(), ", ")},
			&cli.StringFlag{Name: "spread", Value: setup.Strategy.Name, Usage: "comma-separated `MODES` of spreading changes: now, flat"},
			&cli.StringFlag{Name: "seed", Aliases: []string{"seeds"}, Value: "1", Usage: "comma-separated `SEEDS`, one run each"},
			&cli.BoolFlag{Name: "json", Usage: "print only JSON, one line per run"},
			&cli.StringFlag{Name: "plot", Usage: "plot the time to the last router by the number of routers to `FILE.png`"},
		},
		Action: benchFleet,
	}
}

func benchFleet(ctx context.Context, command *cli.Command) error {
	setups, err := fleetSetups(command)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	results, err := bench.RunFleets(ctx, setups, reportProgress(command))
	if err != nil {
		return err
	}
	return writeResults(command, results, bench.WriteFleetTable, bench.PlotFleets)
}

// fleetSetups returns a setup for each combination of the values of the flags.
func fleetSetups(command *cli.Command) ([]simulation.FleetSetup, error) {
	routers, err := parseList(command.String("routers"), nil, strconv.Atoi)
	if err != nil {
		return nil, fmt.Errorf("--routers: %w", err)
	}
	faults, err := parseList(command.String("fault"), simulation.FleetFaultNames(), simulation.FindFleetFault)
	if err != nil {
		return nil, fmt.Errorf("--fault: %w", err)
	}
	strategies, err := parseList(command.String("spread"), nil, simulation.FindFleetStrategy)
	if err != nil {
		return nil, fmt.Errorf("--spread: %w", err)
	}
	seeds, err := parseList(command.String("seed"), nil, parseSeed)
	if err != nil {
		return nil, fmt.Errorf("--seed: %w", err)
	}
	bytes, err := ParseSize(command.String("configuration-bytes"))
	if err != nil {
		return nil, fmt.Errorf("--configuration-bytes: %w", err)
	}
	var setups []simulation.FleetSetup
	for _, fault := range faults {
		for _, strategy := range strategies {
			for _, count := range routers {
				for _, seed := range seeds {
					setup := simulation.DefaultFleet()
					setup.Routers, setup.Loaders = count, int(float64(count)*command.Float("loaders"))
					setup.Halls, setup.WideShare = command.Int("data-halls"), command.Float("wide")
					setup.ConfigurationBytes = int(bytes)
					setup.Fault, setup.Strategy, setup.Seed = fault, strategy, seed
					if err := setup.Validate(); err != nil {
						return nil, err
					}
					setups = append(setups, setup)
				}
			}
		}
	}
	return setups, nil
}
