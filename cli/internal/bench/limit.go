package bench

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/wheelcleat/wheelcleat/daemon/simulation"
)

// RunLimits simulates setups with limited upstreams sequentially.
func RunLimits(ctx context.Context, setups []simulation.LimitSetup) ([]*simulation.LimitResult, error) {
	var results []*simulation.LimitResult
	for _, setup := range setups {
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("canceled: %w", err)
		}
		result, err := simulation.RunLimit(setup)
		if err != nil {
			return nil, fmt.Errorf("fault %s, %d routers, limit %g: %w", setup.Fault, setup.Routers, setup.PerSecond, err)
		}
		results = append(results, result)
	}
	return results, nil
}

// WriteLimitTable writes one line per result.
func WriteLimitTable(out io.Writer, results []*simulation.LimitResult) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "fault\trouters\tlimit\tseed\tworst\tmean\tfalls after\tback after\tserved\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%g\t%d\t%.2f\t%.2f\t%s\t%s\t%.3f\t\n",
			r.Fault, r.Routers, r.PerSecond, r.Seed, r.MaxUtilization, r.MeanUtilization, r.OverloadDuration, r.RecoveryTime, r.ServedShare)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}

// PlotLimits plots the requests per second to limited upstreams, one line per run.
func PlotLimits(path string, results []*simulation.LimitResult) error {
	p := plot.New()
	p.X.Label.Text = "seconds since the start"
	p.Y.Label.Text = "requests per second to limited upstreams"
	var lines []any
	for _, result := range results {
		points := make(plotter.XYs, 0, len(result.RequestsBySecond))
		for i, requests := range result.RequestsBySecond {
			points = append(points, plotter.XY{X: (time.Duration(i) * time.Second).Seconds(), Y: float64(requests)})
		}
		lines = append(lines, fmt.Sprintf("%s, %d routers, %g", result.Fault, result.Routers, result.PerSecond), points)
	}
	return saveLines(p, path, lines)
}
