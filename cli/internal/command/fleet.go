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

func benchFleetCommand() *cli.Command {
	setup := lab.DefaultFleet()
	return &cli.Command{
		Name: "fleet", Usage: "when a start or a change reaches every router, and what links and the store carry; in simulated time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "routers", Value: strconv.Itoa(setup.Routers), Usage: "routers, `NUMBERS` by comma, such as 30,546,4000"},
			&cli.FloatFlag{Name: "loaders", Value: float64(setup.Loaders) / float64(setup.Routers), Usage: "loaders for each router, `N`"},
			&cli.IntFlag{Name: "data-halls", Value: setup.Halls, Usage: "data halls, `N`"},
			&cli.FloatFlag{Name: "wide", Value: setup.WideShare, Usage: "`PART` of the routers whose links are wide"},
			&cli.StringFlag{Name: "configuration-bytes", Value: strconv.Itoa(setup.ConfigurationBytes) + "B", Usage: "`SIZE` of a configuration"},
			&cli.StringFlag{Name: "fault", Value: "all", Usage: "`FAULTS`, by comma, or all: " + strings.Join(lab.FleetFaultNames(), ", ")},
			&cli.StringFlag{Name: "spread", Value: setup.Strategy.Name, Usage: "`WAYS` to spread changes, by comma: now, flat"},
			&cli.StringFlag{Name: "seed", Aliases: []string{"seeds"}, Value: "1", Usage: "`SEEDS`, by comma, a play each"},
			&cli.BoolFlag{Name: "json", Usage: "only the JSON lines, one a play"},
			&cli.StringFlag{Name: "plot", Usage: "draw the time to the last router by their number into `FILE.png`"},
		},
		Action: benchFleet,
	}
}

func benchFleet(ctx context.Context, command *cli.Command) error {
	setups, err := fleetSetups(command)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	results, err := bench.RunFleets(ctx, setups, tellProgress(command))
	if err != nil {
		return err
	}
	return writeResults(command, results, bench.WriteFleetTable, bench.PlotFleets)
}

// fleetSetups reads the flags: a play for each of their values with each.
func fleetSetups(command *cli.Command) ([]lab.FleetSetup, error) {
	routers, err := parseList(command.String("routers"), nil, strconv.Atoi)
	if err != nil {
		return nil, fmt.Errorf("--routers: %w", err)
	}
	faults, err := parseList(command.String("fault"), lab.FleetFaultNames(), lab.FindFleetFault)
	if err != nil {
		return nil, fmt.Errorf("--fault: %w", err)
	}
	strategies, err := parseList(command.String("spread"), nil, lab.FindFleetStrategy)
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
	var setups []lab.FleetSetup
	for _, fault := range faults {
		for _, strategy := range strategies {
			for _, count := range routers {
				for _, seed := range seeds {
					setup := lab.DefaultFleet()
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
