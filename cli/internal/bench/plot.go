package bench

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// PlotReadyHosts plots the number of ready hosts over time, one line per run.
func PlotReadyHosts(path string, results []*DistributeResult) error {
	p := plot.New()
	p.X.Label.Text = "seconds after the declaration"
	p.Y.Label.Text = "ready hosts"
	p.Legend.Top = false
	var lines []any
	for _, result := range results {
		points := make(plotter.XYs, 0, 2*len(result.Series))
		for i, point := range result.Series {
			if i > 0 { // draw a step instead of a slope
				points = append(points, plotter.XY{X: point.Seconds, Y: float64(result.Series[i-1].Ready)})
			}
			points = append(points, plotter.XY{X: point.Seconds, Y: float64(point.Ready)})
		}
		lines = append(lines, fmt.Sprintf("%s, %.2f origin copies", result.Policy, result.OriginCopies), points)
	}
	if len(results) > 0 {
		p.Title.Text = fmt.Sprintf("%d hosts in %d halls, %s duplex, fault %s", results[0].Hosts, results[0].Halls, results[0].Duplex, results[0].Fault)
		bound := plotter.XYs{{X: results[0].Bound, Y: 0}, {X: results[0].Bound, Y: float64(results[0].Hosts)}}
		lines = append(lines, "minimum time to all", bound)
	}
	return saveLines(p, path, lines)
}

// saveLines plots lines, each given as a name followed by its points, and saves the plot.
func saveLines(p *plot.Plot, path string, lines []any) error {
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
