package bench

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/wheelcleat/wheelcleat/daemon/simulation"
)

// Load describes simulations of each pattern with each policy and seed.
type Load struct {
	Setup    simulation.Setup
	Patterns []simulation.Pattern
	Policies []simulation.Policy
	Seeds    []uint64
	// Progress is called after each simulation; nil disables it.
	Progress func(done, total int)
}

// LoadResult is the mean over all seeds for one pattern and policy.
type LoadResult struct {
	simulation.Result
	Seeds int `json:"seeds"`
}

// Run runs all simulations sequentially.
func (b *Load) Run(ctx context.Context) ([]*LoadResult, error) {
	var results []*LoadResult
	total := len(b.Patterns) * len(b.Policies) * len(b.Seeds)
	for _, pattern := range b.Patterns {
		for _, policy := range b.Policies {
			result, err := b.runSeeds(ctx, pattern, policy, func(done int) {
				if b.Progress != nil {
					b.Progress(len(results)*len(b.Seeds)+done, total)
				}
			})
			if err != nil {
				return nil, fmt.Errorf("pattern %s, policy %s: %w", pattern.Name, policy.Name, err)
			}
			results = append(results, result)
		}
	}
	return results, nil
}

// runSeeds simulates a pattern under a policy for each seed.
func (b *Load) runSeeds(ctx context.Context, pattern simulation.Pattern, policy simulation.Policy, done func(int)) (*LoadResult, error) {
	var runs []*simulation.Result
	for _, seed := range b.Seeds {
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("canceled: %w", err)
		}
		setup := b.Setup
		setup.Pattern, setup.Seed = pattern, seed
		result, err := simulation.Run(setup, policy)
		if err != nil {
			return nil, err
		}
		runs = append(runs, result)
		done(len(runs))
	}
	return &LoadResult{Result: simulation.Mean(runs), Seeds: len(runs)}, nil
}

// WriteLoadTable writes one line per result.
func WriteLoadTable(out io.Writer, results []*LoadResult) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "pattern\tpolicy\tworth\tbest\tbest in turn\tin time\tlate\trefused\tagain\tcut\tback known\tlimit used\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t\n",
			r.Pattern, r.Policy, r.Worth, r.OracleWorth, r.OracleInOrderWorth, r.InTime, r.Late, r.Refused, r.RefusedTwice, r.Truncated, r.DetectedRetries, r.LimitUtilization)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}

// PlotLoad plots the worth over time, one line per pattern and policy.
func PlotLoad(path string, results []*LoadResult) error {
	p := plot.New()
	p.X.Label.Text = "seconds since the start"
	p.Y.Label.Text = "worth by time of arrival"
	p.Y.Max = 1
	p.Legend.Top = false
	var lines []any
	for _, result := range results {
		points := make(plotter.XYs, 0, len(result.WindowWorth))
		for i, worth := range result.WindowWorth {
			points = append(points, plotter.XY{X: float64(i) * simulation.WindowLength.Seconds(), Y: worth})
		}
		lines = append(lines, fmt.Sprintf("%s, %s", result.Pattern, result.Policy), points)
	}
	return saveLines(p, path, lines)
}
