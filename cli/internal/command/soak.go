package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wheelcleat/wheelcleat/cli/internal/soak"
)

// errViolations is returned if a soak test found violated guarantees.
var errViolations = errors.New("guarantees violated")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:      "soak",
		Usage:     "run routers and loaders as processes, inject faults, and check their guarantees",
		UsageText: "wheelcleat soak --seeds 10\nwheelcleat soak --seed 7 --length 60s --routers 6 --loaders 8\nwheelcleat soak --plan soak/seed-7/plan.json",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`; 0 derives it from the current time"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`NUMBER` of consecutive seeds, run one after the other"},
			&cli.StringFlag{Name: "plan", Usage: "run the plan in `FILE` instead of generating one"},
			&cli.DurationFlag{Name: "length", Value: 30 * time.Second, Usage: "`DURATION` of the fault injection; up to 19 s without faults follow"},
			&cli.IntFlag{Name: "halls", Value: 2, Usage: "`NUMBER` of data halls"},
			&cli.IntFlag{Name: "routers", Value: 3, Usage: "routers per hall"},
			&cli.IntFlag{Name: "loaders", Value: 3, Usage: "engines with a loader per hall"},
			&cli.IntFlag{Name: "plain", Value: 2, Usage: "upstreams without a loader per hall"},
			&cli.IntFlag{Name: "callers", Value: 4, Usage: "callers per router"},
			&cli.StringFlag{Name: "daemon", Usage: "`PATH` of wheelcleatd; built if not given"},
			&cli.StringFlag{Name: "folder", Value: "soak", Usage: "`FOLDER` for logs, plans, reports and plots"},
			outputFlag(),
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, command *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop() // cancels the context, which stops all processes of a run
	daemon, remove, err := findDaemon(ctx, command.String("daemon"))
	if err != nil {
		return err
	}
	defer remove()
	var reports []*soak.Report
	for i := range command.Int("seeds") {
		plan, err := soakPlan(command, i)
		if err != nil {
			return err
		}
		report, err := soakOnce(ctx, command, daemon, plan)
		if err != nil {
			return fmt.Errorf("soak with seed %d: %w", plan.Seed, err)
		}
		reports = append(reports, report)
	}
	if wantsJSON(command) {
		err = writeJSON(command.Root().Writer, reports)
	} else {
		err = writeSoakTable(command.Root().Writer, reports)
	}
	return errors.Join(err, violationsError(reports))
}

// soakPlan returns the plan given on the command line, or else generates the plan of the i-th seed.
func soakPlan(command *cli.Command, i int) (soak.Plan, error) {
	if path := command.String("plan"); path != "" {
		return soak.LoadPlan(path)
	}
	seed := command.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	return soak.GeneratePlan(seed+uint64(i), command.Duration("length")), nil //nolint:gosec // i is not negative
}

func soakOnce(ctx context.Context, command *cli.Command, daemon string, plan soak.Plan) (*soak.Report, error) {
	options := soak.Options{
		Daemon: daemon, Plan: plan, Callers: command.Int("callers"),
		Folder: filepath.Join(command.String("folder"), fmt.Sprintf("seed-%d", plan.Seed)),
		Size: soak.Size{
			Halls: command.Int("halls"), Routers: command.Int("routers"), Loaders: command.Int("loaders"), Plain: command.Int("plain"),
		},
	}
	if onTerminal(command.Root().ErrWriter) {
		options.Progress = func(line string) { _, _ = fmt.Fprintf(command.Root().ErrWriter, "\r%s", line) }
	}
	report, err := soak.Run(ctx, options)
	if err != nil {
		return nil, err
	}
	return report, report.Save()
}

// findDaemon returns the path of the daemon to run, and a function that removes it if it was built
// for this run.
func findDaemon(ctx context.Context, path string) (string, func(), error) {
	if path != "" {
		return path, func() {}, nil
	}
	folder, err := os.MkdirTemp("", "wheelcleat-soak")
	if err != nil {
		return "", nil, fmt.Errorf("create folder for the daemon: %w", err)
	}
	remove := func() { _ = os.RemoveAll(folder) }
	path = filepath.Join(folder, "wheelcleatd")
	if err := soak.Build(ctx, path); err != nil {
		remove()
		return "", nil, fmt.Errorf("%w; run the command in the repository, or set the path with --daemon", err)
	}
	return path, remove, nil
}

func writeSoakTable(w io.Writer, reports []*soak.Report) error {
	err := table(w, func(t *tabwriter.Writer) {
		_, _ = fmt.Fprintln(t, "SEED\tSTEPS\tSTARTS\tREQUESTS\tSERVED\tREFUSED\tFAILED\tCONFIGURATIONS\tVERSIONS\tORIGIN COPIES\tVIOLATIONS")
		for _, r := range reports {
			_, _ = fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\n", r.Seed, len(r.Steps), r.Starts,
				r.Total.Requested, r.Total.Served, r.Total.Refused, r.Total.Failed, r.Configurations, r.Versions, r.OriginCopiesPerVersion, len(r.Violations))
		}
	})
	const maxShown = 10
	for _, r := range reports {
		for _, v := range r.Violations[:min(maxShown, len(r.Violations))] {
			_, _ = fmt.Fprintf(w, "seed %d, %.1f s: %s: %s\n", r.Seed, v.Seconds, v.Check, v.Text)
			if v.Request != "" {
				_, _ = fmt.Fprintf(w, "  wheelcleat explain %s %s\n", v.Request, filepath.Join(r.Folder, "*.log"))
			}
		}
		if more := len(r.Violations) - maxShown; more > 0 {
			_, _ = fmt.Fprintf(w, "seed %d: %d more violations in %s\n", r.Seed, more, filepath.Join(r.Folder, "report.json"))
		}
	}
	return err
}

func violationsError(reports []*soak.Report) error {
	count := 0
	for _, r := range reports {
		count += len(r.Violations)
	}
	if count == 0 {
		return nil
	}
	return fmt.Errorf("%w: %d violations", errViolations, count)
}
