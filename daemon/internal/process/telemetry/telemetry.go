// Package telemetry gives a process its log, its metrics and its health pages.
//
// Every routing or placement decision is one JSON line with the field
// "decision"; nothing else carries that field, so the decisions of a fleet can
// be picked out of its logs with one filter.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	promtally "github.com/uber-go/tally/v4/prometheus"
)

// reportEvery is the interval in which counters reach /metrics.
const reportEvery = time.Second

// Options describe the process.
type Options struct {
	Role, Name, Hall string
	// Level is debug, info, warn or error.
	Level string
	// Output takes the log lines; nil means standard error.
	Output io.Writer
}

// Telemetry is a process's log and metrics.
type Telemetry struct {
	Log   *log.Entry
	Scope tally.Scope

	closer  io.Closer
	metrics http.Handler
	// notReady holds why the process is not ready, "" when it is.
	notReady atomic.Value
}

// New starts the metrics reporter; Close ends it.
func New(options Options) (*Telemetry, error) {
	output := options.Output
	if output == nil {
		output = os.Stderr
	}
	level, err := log.ParseLevel(options.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", options.Level, err)
	}
	logger := &log.Logger{Handler: jsonlog.New(output), Level: level}
	registry := prometheus.NewRegistry()
	reporter := promtally.NewReporter(promtally.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "wheelcleat",
		Tags:           map[string]string{"role": options.Role, "hall": options.Hall},
		CachedReporter: reporter,
		Separator:      promtally.DefaultSeparator,
	}, reportEvery)
	t := &Telemetry{
		Log:     logger.WithFields(log.Fields{"role": options.Role, "name": options.Name, "hall": options.Hall}),
		Scope:   scope,
		closer:  closer,
		metrics: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	t.SetNotReady("starting")
	return t, nil
}

// Close flushes and ends the metrics reporter.
func (t *Telemetry) Close() { _ = t.closer.Close() }

// Decision is one routing or placement decision: what was decided, the choice,
// why, at which configuration revision, and what else it depended on.
type Decision struct {
	Step     string // "route", "place", "activate", "fetch", ...
	Choice   string
	Reason   string
	Revision uint64
	// Details are further fields of the line, such as the candidates.
	Details log.Fields
}

// Decide logs a decision.
func (t *Telemetry) Decide(d Decision) {
	fields := log.Fields{"decision": d.Step, "choice": d.Choice, "reason": d.Reason, "revision": d.Revision}
	for name, value := range d.Details {
		fields[name] = value
	}
	t.Log.WithFields(fields).Info(d.Step + " decided")
}

// Contact logs that the store was lost, with the cause, or answers again. Prefix
// is what of it the process follows.
func (t *Telemetry) Contact(prefix string, lost error) {
	fields := log.Fields{"dependency": "store", "prefix": prefix}
	if lost != nil {
		fields["reason"] = lost.Error()
		t.Log.WithFields(fields).Warn("dependency lost")
		return
	}
	t.Log.WithFields(fields).Info("dependency regained")
}

// NeighbourMuted writes one line when a daemon of the hall that is asked in place of
// the store is not asked for a while.
func (t *Telemetry) NeighbourMuted(neighbour netip.AddrPort, reason error) {
	t.Scope.Counter("neighbours_muted").Inc(1)
	t.Log.WithFields(log.Fields{
		"decision": "follow", "dependency": "neighbour", "peer": neighbour, "reason": reason.Error(),
	}).Warn("neighbour not asked for a while")
}

// SetReady marks the process as ready.
func (t *Telemetry) SetReady() { t.notReady.Store("") }

// SetNotReady marks the process as not ready and says why.
func (t *Telemetry) SetNotReady(why string) { t.notReady.Store(why) }

// NotReady returns why the process is not ready, or "".
func (t *Telemetry) NotReady() string {
	why, _ := t.notReady.Load().(string)
	return why
}

// Pages adds /metrics, /healthz and /readyz to a mux.
func (t *Telemetry) Pages(mux *http.ServeMux) {
	mux.Handle("GET /metrics", t.metrics)
	t.Health(mux)
}

// Health adds /healthz and /readyz to a mux.
func (t *Telemetry) Health(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "alive\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if why := t.NotReady(); why != "" {
			http.Error(w, "not ready: "+why, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
}
