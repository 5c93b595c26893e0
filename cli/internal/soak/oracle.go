package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

// Bounds of the checks, from docs/PLATFORM.md. What the machine of a run adds is measured, see slack.
const (
	// configurationBound is the time within which a change must be in force.
	configurationBound = 3 * time.Second
	// settleTime is how long after a fault the checks of time bounds stay suspended, while
	// the daemons work off what the fault delayed.
	settleTime = 6 * time.Second
	// The retry budget: retries stay within retryRatio of the requests plus retrySlack in
	// each retryWindow. These are the defaults of the settings.
	retryRatio  = 0.2
	retrySlack  = 100
	retryWindow = 10 * time.Second
	// A request that crashed quarantineAfter upstreams may start at most maxLateRuns times
	// later than quarantineBound after the last of these, and maxCrashingRuns times in all. The
	// same holds for all requests with a part that crashed partQuarantineAfter upstreams.
	quarantineAfter, maxLateRuns, maxCrashingRuns = 3, 3, 8
	partQuarantineAfter                           = 5
	quarantineBound                               = 3 * time.Second
)

// Check names a guarantee of the daemons that the oracle checks.
type Check string

// The checks.
const (
	CheckComplete           Check = "whole answers"
	CheckAtMostOnce         Check = "at most once"
	CheckNotRun             Check = "not run is true"
	CheckLeaving            Check = "nothing to the leaving"
	CheckStop               Check = "stops cut nothing"
	CheckCut                Check = "changes cut nothing"
	CheckConfiguration      Check = "configuration in time"
	CheckConfigurationOrder Check = "configuration never back"
	CheckWeights            Check = "weights whole"
	CheckVersion            Check = "version in time"
	CheckBudget             Check = "retry budget"
	CheckRecovery           Check = "service back"
	CheckProcess            Check = "processes live and end well"
	CheckUsage              Check = "memory and files"
	CheckQuarantine         Check = "what ends upstreams is held back"
	CheckShared             Check = "what is shared with it is served"
	CheckLimit              Check = "limits are kept"
	CheckStatedLeaving      Check = "nothing to those that state that they leave"
	CheckPause              Check = "pauses are kept"
	CheckEvacuated          Check = "nothing to evacuated halls"
	CheckCold               Check = "cold upstreams are spared"
	CheckLeft               Check = "nothing for callers that left"
	CheckServed             Check = "callers are served"
	CheckShares             Check = "no account is left out"
)

// Violation is one case in which a check failed.
type Violation struct {
	Check   Check   `json:"check"`
	Seconds float64 `json:"seconds"`
	Text    string  `json:"text"`
	// Request is the id of the request concerned, for wheelcleat explain, or empty.
	Request string `json:"request,omitempty"`
}

// Outcome is what a caller observed of one request.
type Outcome struct {
	ID, Router, Path, Key string
	// Probe is the only configuration that serves the path, or 0 for other paths.
	Probe          int
	Started, Ended time.Time
	// Status is 0 if no response header was received. Signed reports whether an upstream
	// answered.
	Status int
	Signed bool
	Body   string
	// Err is the error of the connection. Unsent reports that the dial failed, so that the
	// request was never sent.
	Err    error
	Unsent bool
	// ConditionBefore and ConditionAfter are the router's conditions around the request.
	ConditionBefore, ConditionAfter condition
}

// faultSpan is the time in which a fault was active. to is zero while the fault is active.
type faultSpan struct {
	kind     Kind
	target   string
	from, to time.Time
}

// Oracle checks the guarantees of the daemons. It records what callers sent and received,
// which requests upstreams started and which faults were active, and never inspects the
// daemons. The zero value is ready to use.
//
// Lock order: mu is the only lock.
type Oracle struct {
	Start time.Time
	// Slack is added to each time bound. With a large value, for machines of unknown speed,
	// only order and counts are checked.
	Slack time.Duration

	mu         sync.Mutex
	violations []Violation
	spans      []*faultSpan
	// routerOf is the router that each request was sent to, runs the number of times that
	// upstreams started it, by request id.
	routerOf map[string]string
	runs     map[string]int
	sent     int
	// arrivals counts the requests that arrived at upstreams.
	arrivals int
	// leaving holds the upstreams that leave, by id.
	leaving map[string]departure
	// allowedCuts holds the routers that cut a response which outlastsDrain allows.
	allowedCuts map[string]bool
	// delays holds the heartbeats of the harness that were late, from oldest to newest.
	delays []delay
	// declared holds the times at which configurations were acknowledged, published those at
	// which versions were, and newestVersion is the last of these.
	declared      map[int]time.Time
	published     map[int]time.Time
	newestVersion int
	// crashingRuns holds the times at which crashing requests started at an upstream, by path or
	// by the part of their prompt.
	crashingRuns map[string][]time.Time
	// limits are the limits that upstreams announce, by upstream id.
	limits map[string]*upstreamLimit
	// hallOf is the hall of each upstream, and evacuated holds the times at which evacuations were
	// acknowledged, by hall.
	hallOf    map[string]string
	evacuated map[string]time.Time
	// cold holds the upstreams that started cold, by upstream id.
	cold map[string]*coldUpstream
	// leftAt is when the callers of requests closed their connections, by request id.
	leftAt map[string]time.Time
	// withdrawals holds what responses stated about further requests, by upstream id.
	withdrawals map[string]*withdrawal
	// inForce is the newest configuration that a router has answered by since each of its
	// starts, by the router's name and the number of the start.
	inForce map[string]observedConfiguration
	// loads are the changes of the load that are in effect.
	loads []*loadSpan
}

// observedConfiguration is a configuration that a router answered by, and when.
type observedConfiguration struct {
	configuration int
	at            time.Time
}

func (o *Oracle) violatef(check Check, request, format string, args ...any) {
	o.violations = append(o.violations, Violation{
		Check: check, Seconds: time.Since(o.Start).Seconds(), Request: request, Text: fmt.Sprintf(format, args...),
	})
}

// Violatef records a failed check that concerns no single request.
func (o *Oracle) Violatef(check Check, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violatef(check, "", format, args...)
}

// Violations returns the violations recorded so far.
func (o *Oracle) Violations() []Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.violations)
}

// BeginFault records that a fault begins. The returned function records its end.
func (o *Oracle) BeginFault(kind Kind, target string) func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := &faultSpan{kind: kind, target: target, from: time.Now()}
	o.spans = append(o.spans, s)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		s.to = time.Now()
	}
}

// affects reports whether a fault is one of the given components. Faults of routers count only for the named router:
// the others must keep their guarantees without it.
func (s *faultSpan) affects(router string, components []string) bool {
	return (!s.kind.affects("router") || s.target == router) && slices.ContainsFunc(components, s.kind.affects)
}

// faultActive reports whether a fault that affects the router by the given components was active between from and to,
// or within settleTime before. It must be called with mu held.
func (o *Oracle) faultActive(from, to time.Time, router string, components ...string) bool {
	return slices.ContainsFunc(o.spans, func(s *faultSpan) bool {
		active := !s.from.After(to) && (s.to.IsZero() || s.to.After(from.Add(-settleTime)))
		return active && s.affects(router, components)
	})
}

// RecordConfiguration records that a configuration was acknowledged.
func (o *Oracle) RecordConfiguration(configuration int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.declared, configuration, time.Now())
}

// RecordSent records that a caller is about to send a request.
func (o *Oracle) RecordSent(id, router string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.routerOf, id, router)
	o.sent++
}

// RecordArrival records that a request arrived at an upstream.
func (o *Oracle) RecordArrival(id, upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals++
	now := time.Now()
	o.checkLimit(id, upstream, now)
	o.checkWithdrawal(id, upstream, now)
	o.checkEvacuation(id, upstream, now)
	o.checkCold(id, upstream, now)
	o.checkLeft(id, upstream, now)
	o.checkLeaving(id, upstream, now)
}

// RecordRun records that an upstream started a request.
func (o *Oracle) RecordRun(run standin.Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := o.runs[run.ID] + 1
	set(&o.runs, run.ID, count)
	switch {
	case strings.HasPrefix(run.Path, standin.CrashPath):
		o.checkQuarantine(run, run.Path, quarantineAfter)
	case run.CrashPart != "":
		o.checkQuarantine(run, run.CrashPart, partQuarantineAfter)
	}
	if count > 1 && strings.HasPrefix(run.Path, unsafePath) {
		o.violatef(CheckAtMostOnce, run.ID, "%s started a request that may run at most once; start number %d", run.Upstream, count)
	}
	o.checkVersion(run)
}

// checkQuarantine records that an upstream started a crashing request, and checks the number and
// the times of such starts for the same cause: the request's path or a part of its prompt. It must be
// called with mu held.
func (o *Oracle) checkQuarantine(run standin.Run, cause string, after int) {
	runs := o.crashingRuns[cause]
	runs = append(runs, run.At)
	set(&o.crashingRuns, cause, runs)
	if o.faultActive(runs[0], run.At, o.routerOf[run.ID], "store", "router", "all", "link") {
		return
	}
	if len(runs) > maxCrashingRuns {
		o.violatef(CheckQuarantine, run.ID, "%s started a request that had crashed %d upstreams", run.Upstream, len(runs)-1)
		return
	}
	if len(runs) <= after {
		return
	}
	lateRuns := 0
	for _, at := range runs[after:] {
		if at.Sub(runs[after-1]) > quarantineBound+o.slack(runs[after-1]) {
			lateRuns++
		}
	}
	if lateRuns > maxLateRuns {
		o.violatef(CheckQuarantine, run.ID, "%s started a request %s after the like had crashed %d upstreams; late start number %d",
			run.Upstream, run.At.Sub(runs[after-1]).Round(time.Millisecond), after, lateRuns)
	}
}

// RecordOutcome records and checks what a caller observed of a request.
func (o *Oracle) RecordOutcome(outcome Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case outcome.Err != nil:
		o.checkStop(outcome)
		o.checkCut(outcome)
	case outcome.Status == http.StatusOK:
		o.checkComplete(outcome)
	case outcome.Status == http.StatusServiceUnavailable && !outcome.Signed:
		if o.runs[outcome.ID] > 0 && strings.HasPrefix(outcome.Path, unsafePath) {
			o.violatef(CheckNotRun, outcome.ID, "%s reports that a request has not run, but an upstream started it", outcome.Router)
		}
	}
	if outcome.Probe > 0 && outcome.Err == nil {
		o.checkProbe(outcome)
	}
	o.countForLoads(outcome)
}

func (o *Oracle) checkComplete(outcome Outcome) {
	want := standin.ResponseBody(outcome.ID)
	if strings.HasPrefix(outcome.Path, standin.StreamPath) {
		want = ""
		for number := 1; number <= standin.EventCount(outcome.Path); number++ {
			want += standin.Event(outcome.ID, number)
		}
	}
	if outcome.Body != want || !outcome.Signed {
		o.violatef(CheckComplete, outcome.ID, "%s answered 200 (signed: %t) with %q, want %q", outcome.Router, outcome.Signed, outcome.Body, want)
	}
}

// checkCut checks a connection that broke while its router ran. New configurations and
// versions, and faults of the store, of loaders and of the origin, must not break a
// connection that carries a request.
func (o *Oracle) checkCut(outcome Outcome) {
	ran := outcome.ConditionBefore.state == Running && outcome.ConditionAfter.state == Running && outcome.ConditionBefore.starts == outcome.ConditionAfter.starts
	if outcome.Unsent || !ran || o.faultActive(outcome.Started, outcome.Ended, outcome.Router, "router", "upstream", "link", "all") {
		return
	}
	o.violatef(CheckCut, outcome.ID, "%s broke a connection %s after the request was sent, status %d: %v",
		outcome.Router, outcome.Ended.Sub(outcome.Started).Round(time.Millisecond), outcome.Status, outcome.Err)
}

// checkProbe checks which configuration a router answered by. Only one configuration serves
// the path of a probe and accepts its key.
func (o *Oracle) checkProbe(outcome Outcome) {
	served := outcome.Status == http.StatusOK
	unknown := outcome.Status == http.StatusNotFound || outcome.Status == http.StatusUnauthorized
	start := fmt.Sprintf("%s/%d", outcome.Router, outcome.ConditionBefore.starts)
	before := o.inForce[start]
	if before.configuration > outcome.Probe && before.at.Before(outcome.Started) && served {
		o.violatef(CheckConfigurationOrder, outcome.ID, "%s answers by configuration %d after it answered by %d", outcome.Router, outcome.Probe, before.configuration)
	}
	if served && outcome.Probe > before.configuration {
		set(&o.inForce, start, observedConfiguration{configuration: outcome.Probe, at: outcome.Ended})
	}
	successor, hasSuccessor := o.declared[outcome.Probe+1]
	declared := o.declared[outcome.Probe]
	if unknown && !hasSuccessor {
		if before.configuration == outcome.Probe && before.at.Before(outcome.Started) {
			o.violatef(CheckConfigurationOrder, outcome.ID, "%s no longer serves configuration %d, which is the newest", outcome.Router, outcome.Probe)
		}
		o.checkLatef(outcome, declared, "answers %d by a configuration older than %d", outcome.Status, outcome.Probe)
	}
	if served && hasSuccessor {
		o.checkLatef(outcome, successor, "still answers %d by configuration %d", outcome.Status, outcome.Probe)
	}
}

// checkLatef reports an outcome that contradicts a configuration which was acknowledged longer
// than configurationBound before the request. It must be called with mu held.
func (o *Oracle) checkLatef(outcome Outcome, declared time.Time, format string, args ...any) {
	delay := outcome.Started.Sub(declared)
	justStarted := outcome.Started.Sub(outcome.ConditionBefore.started) < settleTime
	if delay <= configurationBound+o.slack(declared) || justStarted || o.faultActive(declared, outcome.Ended, outcome.Router, "store", "router", "all") {
		return
	}
	o.violatef(CheckConfiguration, outcome.ID, "%s %s, %s after the change was acknowledged", outcome.Router,
		fmt.Sprintf(format, args...), delay.Round(time.Millisecond))
}

// Finish checks the bounds that apply to the complete run.
func (o *Oracle) Finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	windows := time.Since(o.Start).Seconds()/retryWindow.Seconds() + 1
	if allowed := float64(o.sent)*(1+retryRatio) + retrySlack*windows; float64(o.arrivals) > allowed {
		o.violatef(CheckBudget, "", "upstreams received %d requests for %d that callers sent, %.0f allowed", o.arrivals, o.sent, allowed)
	}
}

// set stores a value in a map and allocates the map if it is nil.
func set[K comparable, V any](m *map[K]V, key K, value V) {
	if *m == nil {
		*m = map[K]V{}
	}
	(*m)[key] = value
}
