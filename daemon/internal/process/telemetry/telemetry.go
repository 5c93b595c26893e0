// Package telemetry provides the log, the metrics and the health pages of a process.
//
// Each routing or placement decision is logged as one JSON line with the field "decision". No
// other line has that field, so one filter selects the decisions of a fleet.
package telemetry

import (
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

// metricsInterval is the interval at which metrics are reported to /metrics.
const metricsInterval = time.Second

// Options configures a Telemetry.
type Options struct {
	Role, Name, Hall string
	// Level is debug, info, warn or error.
	Level string
	// Output receives the log lines; nil means standard error.
	Output io.Writer
}

// Telemetry holds the log and the metrics of a process.
type Telemetry struct {
	Log   *log.Entry
	Scope tally.Scope

	level   *levelFilter
	closer  io.Closer
	metrics http.Handler
	// notReady holds the reason why the process is not ready, "" if it is ready.
	notReady atomic.Value
	// stopped is for how long the process had not run when that was logged last, in nanoseconds.
	stopped atomic.Int64
	closed  closedConnections
}

// minLoggedStop is the shortest time without running that is logged.
const minLoggedStop = 200 * time.Millisecond

// New returns a Telemetry and starts its metrics reporter, which Close stops.
func New(options Options) (*Telemetry, error) {
	output := options.Output
	if output == nil {
		output = os.Stderr
	}
	level := &levelFilter{next: jsonlog.New(output)}
	if err := level.set(options.Level); err != nil {
		return nil, err
	}
	logger := &log.Logger{Handler: level, Level: log.DebugLevel}
	registry := prometheus.NewRegistry()
	reporter := promtally.NewReporter(promtally.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "wheelcleat",
		Tags:           map[string]string{"role": options.Role, "hall": options.Hall},
		CachedReporter: reporter,
		Separator:      promtally.DefaultSeparator,
	}, metricsInterval)
	t := &Telemetry{
		Log:     logger.WithFields(log.Fields{"role": options.Role, "name": options.Name, "hall": options.Hall}),
		Scope:   scope,
		level:   level,
		closer:  closer,
		metrics: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	t.SetNotReady("starting")
	return t, nil
}

// SetLevel changes the level of the log to debug, info, warn or error.
func (t *Telemetry) SetLevel(level string) error { return t.level.set(level) }

// Close flushes and stops the metrics reporter.
func (t *Telemetry) Close() { _ = t.closer.Close() }

// Decision is one routing or placement decision, with the configuration revision that it is
// based on.
type Decision struct {
	Step     string // "route", "place", "activate", "fetch", ...
	Choice   string
	Reason   string
	Revision uint64
	// Details holds further fields of the line, such as the candidates.
	Details log.Fields
}

// LogDecision logs a decision.
func (t *Telemetry) LogDecision(d Decision) {
	fields := log.Fields{"decision": d.Step, "choice": d.Choice, "reason": d.Reason, "revision": d.Revision}
	for name, value := range d.Details {
		fields[name] = value
	}
	t.Log.WithFields(fields).Info(d.Step + " decided")
}

// LogStoreConnection logs that the connection to the store was lost with err, or that it was
// restored if err is nil. Prefix is the part of the store that the process follows.
func (t *Telemetry) LogStoreConnection(prefix string, err error) {
	fields := log.Fields{"dependency": "store", "prefix": prefix}
	if err != nil {
		fields["reason"] = err.Error()
		t.Log.WithFields(fields).Warn("dependency lost")
		return
	}
	t.Log.WithFields(fields).Info("dependency regained")
}

// LogNeighbourBackoff logs that a daemon of the same hall, which the process queries in place of
// the store, is in backoff after an error.
func (t *Telemetry) LogNeighbourBackoff(neighbour netip.AddrPort, reason error) {
	t.Scope.Counter("neighbours_muted").Inc(1)
	t.Log.WithFields(log.Fields{
		"decision": "follow", "dependency": "neighbour", "peer": neighbour, "reason": reason.Error(),
	}).Warn("neighbour not asked for a while")
}

// LogStop logs if the process has not run for a while since the last such line, given for how long it has not run
// in all. What it finds about others soon after that may be older than it seems.
func (t *Telemetry) LogStop(stopped time.Duration) {
	before := t.stopped.Load()
	last := stopped - time.Duration(before)
	if last < minLoggedStop || !t.stopped.CompareAndSwap(before, int64(stopped)) {
		return
	}
	t.Scope.Counter("stops").Inc(1)
	t.Log.WithField("for", last.Round(time.Millisecond).String()).Warn("the process did not run")
}

// SetReady marks the process as ready.
func (t *Telemetry) SetReady() { t.notReady.Store("") }

// SetNotReady marks the process as not ready for the given reason.
func (t *Telemetry) SetNotReady(reason string) { t.notReady.Store(reason) }

// NotReady returns the reason why the process is not ready, or "".
func (t *Telemetry) NotReady() string {
	reason, _ := t.notReady.Load().(string)
	return reason
}

// RegisterPages adds /metrics, /healthz and /readyz to a mux.
func (t *Telemetry) RegisterPages(mux *http.ServeMux) {
	mux.Handle("GET /metrics", t.metrics)
	t.RegisterHealth(mux)
}

// RegisterHealth adds /healthz and /readyz to a mux.
func (t *Telemetry) RegisterHealth(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "alive\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := t.NotReady(); reason != "" {
			http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
}
