package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/wheelcleat/wheelcleat/api"
)

// RequestCounts counts requests that have ended, by outcome.
type RequestCounts struct {
	Requested int `json:"asked"`
	Served    int `json:"served"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
}

// Report is the result of a run.
type Report struct {
	Seed                   uint64          `json:"seed"`
	Length                 api.Duration    `json:"length"`
	Size                   Size            `json:"size"`
	Processes              int             `json:"processes"`
	Total                  RequestCounts   `json:"total"`
	Starts                 int             `json:"starts"`
	Versions               int             `json:"versions"`
	Configurations         int             `json:"configurations"`
	OriginCopiesPerVersion float64         `json:"originCopiesAVersion"`
	Violations             []Violation     `json:"violations"`
	Seconds                []RequestCounts `json:"seconds"`
	Steps                  []Step          `json:"steps"`
	Folder                 string          `json:"-"`
}

// Tally counts the outcomes of requests per second. The method start must be called before use.
type Tally struct {
	mu        sync.Mutex
	startTime time.Time
	// seconds are the counts of each second since startTime.
	seconds []RequestCounts
	results []result
	steps   []Step
}

// result is the outcome of one request, kept for the recovery check.
type result struct {
	router string
	at     time.Time
	served bool
}

func (t *Tally) start(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startTime = at
}

// recordStep records that a step has begun.
func (t *Tally) recordStep(step Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steps = append(t.steps, step)
}

// served reports whether the request succeeded. A probe also succeeds if its configuration
// is no longer in force and the router answers 404 or 401.
func (o *Outcome) served() bool {
	unknown := o.Probe > 0 && (o.Status == http.StatusNotFound || o.Status == http.StatusUnauthorized)
	return o.Err == nil && (o.Status == http.StatusOK || unknown)
}

func (t *Tally) recordOutcome(outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	second := max(int(outcome.Ended.Sub(t.startTime).Seconds()), 0)
	for len(t.seconds) <= second {
		t.seconds = append(t.seconds, RequestCounts{})
	}
	s := &t.seconds[second]
	s.Requested++
	switch {
	case outcome.served():
		s.Served++
	case outcome.Err == nil && outcome.Status == http.StatusServiceUnavailable:
		s.Refused++
	default:
		s.Failed++
	}
	t.results = append(t.results, result{router: outcome.Router, at: outcome.Ended, served: outcome.served()})
}

// servedSince counts the requests to a router that ended since from, and those served.
func (t *Tally) servedSince(router string, from time.Time) (served, requested int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.results {
		if r.router != router || r.at.Before(from) {
			continue
		}
		requested++
		if r.served {
			served++
		}
	}
	return served, requested
}

// lastSecond returns the counts of the last complete second.
func (t *Tally) lastSecond() (served, requested int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.seconds) < 2 {
		return 0, 0
	}
	last := t.seconds[len(t.seconds)-2]
	return last.Served, last.Requested
}

// report collects the results of the run.
func (r *run) report() *Report {
	report := &Report{
		Seed: r.Plan.Seed, Length: r.Plan.Length, Size: r.Size, Folder: r.Folder,
		Processes: len(r.fleet.processes()), Versions: r.fleet.newestVersion, Configurations: int(r.fleet.newestConfiguration.Load()),
		Violations: r.oracle.Violations(),
	}
	for _, p := range r.fleet.processes() {
		report.Starts += p.condition().starts
	}
	report.OriginCopiesPerVersion = float64(r.fleet.origin.SentChunks()) / chunks / float64(r.fleet.newestVersion)
	r.tally.mu.Lock()
	defer r.tally.mu.Unlock()
	report.Seconds, report.Steps = slices.Clone(r.tally.seconds), slices.Clone(r.tally.steps)
	for _, s := range report.Seconds {
		report.Total.Requested += s.Requested
		report.Total.Served += s.Served
		report.Total.Refused += s.Refused
		report.Total.Failed += s.Failed
	}
	return report
}

// Save writes the report and the plot into the run's folder.
func (r *Report) Save() error {
	if err := writeJSON(filepath.Join(r.Folder, "report.json"), r); err != nil {
		return err
	}
	return r.plot(filepath.Join(r.Folder, "service.png"))
}

func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	return os.WriteFile(path, append(text, '\n'), 0o600)
}

// Dimensions of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plot draws the share of requests served in each second, and marks the start of each step.
func (r *Report) plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("seed %d, %d processes, %d violations", r.Seed, r.Processes, len(r.Violations))
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share served"
	p.Y.Min, p.Y.Max = 0, 1
	var served, steps plotter.XYs
	for second, s := range r.Seconds {
		if s.Requested > 0 {
			served = append(served, plotter.XY{X: float64(second), Y: float64(s.Served) / float64(s.Requested)})
		}
	}
	for _, step := range r.Steps {
		steps = append(steps, plotter.XY{X: time.Duration(step.At).Seconds()})
	}
	marks, err := plotter.NewScatter(steps)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.Add(marks)
	if err := plotutil.AddLines(p, served); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
