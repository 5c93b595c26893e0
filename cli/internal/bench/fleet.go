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

// RunFleets simulates fleets sequentially. It calls progress after each one, unless that is nil.
func RunFleets(ctx context.Context, setups []simulation.FleetSetup, progress func(done, total int)) ([]*simulation.FleetResult, error) {
	var results []*simulation.FleetResult
	for i, setup := range setups {
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("canceled: %w", err)
		}
		result, err := simulation.RunFleet(setup)
		if err != nil {
			return nil, fmt.Errorf("fault %s, %d routers: %w", setup.Fault, setup.Routers, err)
		}
		results = append(results, result)
		if progress != nil {
			progress(i+1, len(setups))
		}
	}
	return results, nil
}

// WriteFleetTable writes one line per result.
func WriteFleetTable(out io.Writer, results []*simulation.FleetResult) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "fault\tspread\trouters\tloaders\tfirst s\thalf s\t99 in 100 s\tlast s\tstore calls\treaders\tregion KB\tsender KB\twasted KB\t")
	const kilo = 1000
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t%d\t\n",
			r.Fault, r.Strategy, r.Routers, r.Loaders, r.FirstSeconds, r.MedianSeconds, r.P99Seconds, r.LastSeconds, r.StoreCalls, r.Readers,
			r.RegionBytes/kilo, r.SenderBytes/kilo, r.WastedBytes/kilo)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}

// PlotFleets plots the time until the last router had the change against the number of routers,
// on logarithmic axes, one line per fault and strategy.
func PlotFleets(path string, results []*simulation.FleetResult) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "routers", "seconds to the last router"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	var lines []any
	points := map[string]plotter.XYs{}
	for _, r := range results {
		name := fmt.Sprintf("%s, %s", r.Fault, r.Strategy)
		if points[name] == nil {
			lines = append(lines, name, nil)
		}
		if r.LastSeconds > 0 {
			points[name] = append(points[name], plotter.XY{X: float64(r.Routers), Y: r.LastSeconds})
		}
	}
	for i := 0; i < len(lines); i += 2 {
		name, _ := lines[i].(string)
		lines[i+1] = points[name]
	}
	return saveLines(p, path, lines)
}
