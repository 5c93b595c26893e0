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

// Bounds of the promises, from docs/PLATFORM.md, each with slack for a machine that does
// other work as well.
const (
	// configurationBound is how long a change may take to be in force, leaveBound how
	// long an upstream that leaves may be sent to.
	configurationBound = 3*time.Second + boundSlack
	leaveBound         = 3*time.Second + boundSlack
	// versionBound is how long requests may begin on an older version.
	versionBound = 8*time.Second + boundSlack
	boundSlack   = 2 * time.Second
	// settleTime is how long after a fault the promises on time still rest: what it held
	// up has to be caught up with.
	settleTime = 6 * time.Second
	// Second sends stay within retryRatio of the requests plus retrySlack in each
	// retryWindow: the settings' defaults.
	retryRatio  = 0.2
	retrySlack  = 100
	retryWindow = 10 * time.Second
	// A request under which heldAfter upstreams ended may begin mostLate times more later
	// than heldBound after that, and mostDeadly times in all.
	heldAfter, mostLate, mostDeadly = 3, 3, 8
	heldBound                       = 3*time.Second + boundSlack
)

// Check names one promise.
type Check string

// The checks.
const (
	CheckWhole         Check = "whole answers"
	CheckOnce          Check = "at most once"
	CheckNotRun        Check = "not run is true"
	CheckLeaving       Check = "nothing to the leaving"
	CheckStop          Check = "stops cut nothing"
	CheckCut           Check = "changes cut nothing"
	CheckConfiguration Check = "configuration in time"
	CheckBack          Check = "configuration never back"
	CheckWeights       Check = "weights whole"
	CheckVersion       Check = "version in time"
	CheckBudget        Check = "retry budget"
	CheckRecovery      Check = "service back"
	CheckProcess       Check = "processes live and end well"
	CheckUsage         Check = "memory and files"
	CheckHeld          Check = "what ends upstreams is held back"
	CheckLimit         Check = "limits are kept"
)

// Violation is one promise that was not kept.
type Violation struct {
	Check   Check   `json:"check"`
	Seconds float64 `json:"seconds"`
	Text    string  `json:"text"`
	// Request is the id to explain, where there is one.
	Request string `json:"request,omitempty"`
}

// Outcome is one request as its caller saw it.
type Outcome struct {
	ID, Router, Path string
	// Probe is the configuration that serves the path, 0 for all others.
	Probe          int
	Started, Ended time.Time
	// Status is 0 where no head came; Signed says that an upstream answered.
	Status int
	Signed bool
	Body   string
	// Err is what went wrong on the connection, Unsent that the request never left.
	Err    error
	Unsent bool
	// Before and After are the router's conditions.
	Before, After condition
}

// span is a time in which a fault was active; to is zero while it still is.
type span struct {
	kind     Kind
	target   string
	from, to time.Time
}

// Oracle checks the promises. It knows what callers sent and got, what upstreams began,
// and which faults were active; it does not look into the daemons. The zero value works.
//
// Lock order: mu is the only lock.
type Oracle struct {
	Began time.Time
	// Patience is added to each bound of time: on a machine whose speed is not known
	// what is checked is order and counts.
	Patience time.Duration

	mu         sync.Mutex
	violations []Violation
	spans      []*span
	// router is where each request went, by its id; runs counts its beginnings.
	router map[string]string
	runs   map[string]int
	sent   int
	// reached counts requests that came to upstreams.
	reached int
	// leaving is when each upstream was acknowledged to leave.
	leaving map[string]time.Time
	// declared is when each configuration was acknowledged, named the same of versions.
	declared map[int]time.Time
	named    map[int]time.Time
	newest   int
	version  int
	// deadly holds when each deadly request began at an upstream, by its path.
	deadly map[string][]time.Time
	// limits are those that upstreams name, by id.
	limits map[string]*namedLimit
	// inForce is the newest configuration that each start of a router has shown.
	inForce map[string]shown
}

type shown struct {
	configuration int
	at            time.Time
}

func (o *Oracle) violatef(check Check, request, format string, args ...any) {
	o.violations = append(o.violations, Violation{
		Check: check, Seconds: time.Since(o.Began).Seconds(), Request: request, Text: fmt.Sprintf(format, args...),
	})
}

// Violatef notes a promise that was not kept.
func (o *Oracle) Violatef(check Check, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violatef(check, "", format, args...)
}

// Violations returns what was found so far.
func (o *Oracle) Violations() []Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.violations)
}

// Strike notes that a fault begins; what it returns ends it.
func (o *Oracle) Strike(kind Kind, target string) func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := &span{kind: kind, target: target, from: time.Now()}
	o.spans = append(o.spans, s)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		s.to = time.Now()
	}
}

// disturbed reports whether a fault of some parts was active in a time or shortly
// before. Of the faults of routers only those of the named one count: the others have
// to do without it. It must be called with mu held.
func (o *Oracle) disturbed(from, to time.Time, router string, parts ...string) bool {
	return slices.ContainsFunc(o.spans, func(s *span) bool {
		active := !s.from.After(to) && (s.to.IsZero() || s.to.After(from.Add(-settleTime)))
		concerns := !s.kind.on("router") || s.target == router
		return active && concerns && slices.ContainsFunc(parts, func(part string) bool { return s.kind.on(part) })
	})
}

// Configured and Named note acknowledged changes, Left an upstream that leaves.
func (o *Oracle) Configured(version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.declared, version, time.Now())
	o.newest = version
}

// Named notes that a version was named.
func (o *Oracle) Named(version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.named, version, time.Now())
	o.version = version
}

// Left notes that an upstream has said that it leaves.
func (o *Oracle) Left(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.leaving, upstream, time.Now())
}

// Back notes that an upstream is to be used again.
func (o *Oracle) Back(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.leaving, upstream)
}

// Sent notes that a caller is about to send a request.
func (o *Oracle) Sent(id, router string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.router, id, router)
	o.sent++
}

// Reached notes that a request came to an upstream.
func (o *Oracle) Reached(id, upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reached++
	now := time.Now()
	o.checkLimit(id, upstream, now)
	left, leaves := o.leaving[upstream]
	if leaves && now.Sub(left) > leaveBound+o.Patience && !o.disturbed(left, now, o.router[id], "store", "router", "all") {
		o.violatef(CheckLeaving, id, "%s got a request from %s %s after it had said that it leaves", upstream, o.router[id], now.Sub(left).Round(time.Millisecond))
	}
}

// Ran notes that an upstream began a request.
func (o *Oracle) Ran(run standin.Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := o.runs[run.ID] + 1
	set(&o.runs, run.ID, count)
	if strings.HasPrefix(run.Path, standin.CrashPath) {
		o.checkDeadly(run)
	}
	if count > 1 && strings.HasPrefix(run.Path, unsafePath) {
		o.violatef(CheckOnce, run.ID, "%s began a request that may run once for the %d. time", run.Upstream, count)
	}
	named := o.named[o.version]
	if run.Version > 0 && run.Version < o.version && run.At.Sub(named) > versionBound+o.Patience &&
		!o.disturbed(named, run.At, o.router[run.ID], "store", "router", "loader", "all", "link", "upstream", "engine", "origin") {
		o.violatef(CheckVersion, run.ID, "%s began a request on version %d, %s after version %d was named",
			run.Upstream, run.Version, run.At.Sub(named).Round(time.Millisecond), o.version)
	}
}

// checkDeadly counts the upstreams that began a request under which they end.
func (o *Oracle) checkDeadly(run standin.Run) {
	began := o.deadly[run.Path]
	began = append(began, run.At)
	set(&o.deadly, run.Path, began)
	if o.disturbed(began[0], run.At, o.router[run.ID], "store", "router", "all", "link") {
		return
	}
	if len(began) > mostDeadly {
		o.violatef(CheckHeld, run.ID, "%s began a request under which %d upstreams ended", run.Upstream, len(began)-1)
		return
	}
	if len(began) <= heldAfter {
		return
	}
	late := 0
	for _, at := range began[heldAfter:] {
		if at.Sub(began[heldAfter-1]) > heldBound+o.Patience {
			late++
		}
	}
	if late > mostLate {
		o.violatef(CheckHeld, run.ID, "%s began a request %s after three upstreams had ended under it, the %d. so late",
			run.Upstream, run.At.Sub(began[heldAfter-1]).Round(time.Millisecond), late)
	}
}

// Ended notes what a caller got.
func (o *Oracle) Ended(outcome Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case outcome.Err != nil:
		o.checkStop(outcome)
		o.checkCut(outcome)
	case outcome.Status == http.StatusOK:
		o.checkWhole(outcome)
	case outcome.Status == http.StatusServiceUnavailable && !outcome.Signed:
		if o.runs[outcome.ID] > 0 && strings.HasPrefix(outcome.Path, unsafePath) {
			o.violatef(CheckNotRun, outcome.ID, "%s says that a request has not run, but an upstream began it", outcome.Router)
		}
	}
	if outcome.Probe > 0 && outcome.Err == nil {
		o.checkProbe(outcome)
	}
}

func (o *Oracle) checkWhole(outcome Outcome) {
	want := standin.ResponseBody(outcome.ID)
	if strings.HasPrefix(outcome.Path, standin.StreamPath) {
		want = ""
		for number := 1; number <= standin.Events(outcome.Path); number++ {
			want += standin.Event(outcome.ID, number)
		}
	}
	if outcome.Body != want || !outcome.Signed {
		o.violatef(CheckWhole, outcome.ID, "%s answered 200 (signed: %t) with %q where %q is right", outcome.Router, outcome.Signed, outcome.Body, want)
	}
}

// checkStop has a look at connections that broke. A process that was told to stop, and
// met nothing else, must not break one that carries a request.
func (o *Oracle) checkStop(outcome Outcome) {
	stopped := outcome.After.state == Stopping || outcome.After.state == Down && outcome.Before.state == Stopping
	same := outcome.Before.starts == outcome.After.starts
	if outcome.Unsent || !stopped || !same || outcome.After.disturbed.After(outcome.After.started) {
		return
	}
	if outcome.Status != 0 && o.disturbed(outcome.Started, outcome.Ended, outcome.Router, "upstream", "link", "loader", "all", "engine") {
		return // the upstream broke it off, or its weights changed
	}
	o.violatef(CheckStop, outcome.ID, "%s broke a connection while it was to stop, %s after the request was sent, status %d: %v",
		outcome.Router, outcome.Ended.Sub(outcome.Started).Round(time.Millisecond), outcome.Status, outcome.Err)
}

// checkCut has a look at connections that broke while their router ran. Configurations and
// versions, and faults of the store, of loaders and of the origin, give no reason to break
// one that carries a request.
func (o *Oracle) checkCut(outcome Outcome) {
	ran := outcome.Before.state == Running && outcome.After.state == Running && outcome.Before.starts == outcome.After.starts
	if outcome.Unsent || !ran || o.disturbed(outcome.Started, outcome.Ended, outcome.Router, "router", "upstream", "link", "all") {
		return
	}
	o.violatef(CheckCut, outcome.ID, "%s broke a connection %s after the request was sent, status %d: %v",
		outcome.Router, outcome.Ended.Sub(outcome.Started).Round(time.Millisecond), outcome.Status, outcome.Err)
}

// checkProbe judges by which configuration a router answered. The path of a probe is
// served, and its key valid, by one configuration only.
func (o *Oracle) checkProbe(outcome Outcome) {
	served := outcome.Status == http.StatusOK
	unknown := outcome.Status == http.StatusNotFound || outcome.Status == http.StatusUnauthorized
	start := fmt.Sprintf("%s/%d", outcome.Router, outcome.Before.starts)
	before := o.inForce[start]
	if before.configuration > outcome.Probe && before.at.Before(outcome.Started) && served {
		o.violatef(CheckBack, outcome.ID, "%s answers by configuration %d, it had %d before", outcome.Router, outcome.Probe, before.configuration)
	}
	if served && outcome.Probe > before.configuration {
		set(&o.inForce, start, shown{configuration: outcome.Probe, at: outcome.Ended})
	}
	replaced, isReplaced := o.declared[outcome.Probe+1]
	declared := o.declared[outcome.Probe]
	if unknown && !isReplaced {
		if before.configuration == outcome.Probe && before.at.Before(outcome.Started) {
			o.violatef(CheckBack, outcome.ID, "%s does not know configuration %d any more", outcome.Router, outcome.Probe)
		}
		o.checkLatef(outcome, declared, "answers %d by a configuration older than %d", outcome.Status, outcome.Probe)
	}
	if served && isReplaced {
		o.checkLatef(outcome, replaced, "still answers %d by configuration %d", outcome.Status, outcome.Probe)
	}
}

func (o *Oracle) checkLatef(outcome Outcome, declared time.Time, format string, args ...any) {
	late := outcome.Started.Sub(declared)
	fresh := outcome.Started.Sub(outcome.Before.started) < settleTime
	if late <= configurationBound+o.Patience || fresh || o.disturbed(declared, outcome.Ended, outcome.Router, "store", "router", "all") {
		return
	}
	o.violatef(CheckConfiguration, outcome.ID, "%s %s, %s after the change was acknowledged", outcome.Router,
		fmt.Sprintf(format, args...), late.Round(time.Millisecond))
}

// Finish checks what holds for the run as a whole.
func (o *Oracle) Finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	windows := time.Since(o.Began).Seconds()/retryWindow.Seconds() + 1
	if most := float64(o.sent)*(1+retryRatio) + retrySlack*windows; float64(o.reached) > most {
		o.violatef(CheckBudget, "", "upstreams got %d requests for the %d that callers sent, %.0f allowed", o.reached, o.sent, most)
	}
}

// set puts a value into a map that may not be there yet.
func set[K comparable, V any](m *map[K]V, key K, value V) {
	if *m == nil {
		*m = map[K]V{}
	}
	(*m)[key] = value
}
