// Package balance tracks the load and health of each upstream in this process and
// chooses an upstream for a request.
//
// Health is judged only by the outcomes of this process's requests, because a health page
// may succeed while requests fail. Failures decay with time, so an upstream recovers by
// itself: its penalty sinks until it gets occasional requests and then its share. Ejection
// was rejected: a healthy upstream of some services fails one request in seven, which
// cannot be distinguished from a bad upstream without a long history.
//
// Load reports are tens of milliseconds old and the same for all routers. With a load
// measure finer than the number of waiting requests, all routers would send to the
// upstream that looks best until its next report. So running requests do not count until
// all places are in use, and ties are broken at random. See docs/ROUTING.md. For services with
// scarce or uneven engines, expected.go chooses by the expected load instead.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/staleload"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// decayTime is the time constant of the exponential decay of outcomes.
	decayTime = 3 * time.Second
	// healthyFailureShare is the share of failures up to which an upstream counts as
	// healthy.
	healthyFailureShare = 0.25
	// failurePenalty scales the share of failures above that, in waiting requests.
	failurePenalty = 40.0
	// priorWeight is the number of successes that an unknown upstream starts with.
	priorWeight = 6.0
	// minBlock and maxBlock bound the backoff for an upstream that did not accept a
	// connection.
	minBlock = 300 * time.Millisecond
	maxBlock = 1500 * time.Millisecond
	// fullBlock is the pause for an upstream that had no place.
	fullBlock = 60 * time.Millisecond
	// stateRetention is how long the state of an upstream without requests is kept.
	stateRetention = time.Minute
)

// Outcome is the outcome of a request at an upstream.
type Outcome int

// The outcomes.
const (
	// Served requests got an answer of a healthy upstream.
	Served Outcome = iota
	// Failed requests got an error, an incomplete answer or none.
	Failed
	// Full means that the upstream had no place.
	Full
	// Unreachable means that no connection was made.
	Unreachable
	// Moved means that the address has another upstream by now, or the upstream another
	// version.
	Moved
	// Canceled requests do not count for or against the upstream.
	Canceled
)

// Pool holds the state of upstreams by ID. The zero value is ready to use.
type Pool struct {
	// Hall is this process's data hall, whose upstreams are preferred; empty for no
	// preference.
	Hall string
	// Now is the clock; nil means clock.Now.
	Now func() time.Time
	// Rand returns a random number in [0, 1); nil means rand.Float64.
	Rand func() float64
	// ExpectedLoad reports when requests of a service are sent by expected load; nil means never.
	// OtherRouters returns the number of other routers in a data hall; nil means none.
	ExpectedLoad func(service string) ExpectedLoad
	OtherRouters func(hall string) int

	mu        sync.Mutex
	states    map[string]*state
	evictedAt time.Time
	// granted holds the rate at which hosts grant requests of this process, by service.
	granted map[string]*staleload.Rate
	// slowAt is when any upstream last reported the pace of a slow engine, zero if none did.
	slowAt time.Time
}

// state is the state of one upstream, guarded by Pool.mu.
type state struct {
	// started is when the upstream started, zero if unknown.
	started  time.Time
	inFlight int
	// failures and outcomes are decayed counts, and decayedAt is when that was last done.
	failures, outcomes float64
	decayedAt          time.Time
	blockedUntil       time.Time
	block              time.Duration
	// report is the last report of the upstream's host.
	report     LoadReport
	reportedAt time.Time
	// modelsReportedAt is when the host last reported the models. A response to a request
	// for a place reports the load alone.
	modelsReportedAt time.Time
	// closesAt is when the upstream closes to load a version, zero if none is scheduled.
	closesAt time.Time
	// sentSinceReport counts the requests of this process since the last report.
	sentSinceReport int
	expectation     expectation
	// throttledUntil is until when the upstream gets no requests, because the rate limit
	// that it announced is used up.
	throttledUntil time.Time
	// leaving is set once the upstream has stated that it is leaving. Only a restart clears it.
	leaving bool
	pause   pause
	usedAt  time.Time
}

// LoadReport is the load that an upstream's host reports.
type LoadReport struct {
	// Running and Waiting count the requests of all routers.
	Running, Waiting int
	// Loading is set while the upstream is loading a version and serves nothing meanwhile.
	Loading bool
	// Leaving is set while the upstream is about to end. It is no more than a report: the host
	// may run another upstream by the time at which it arrives.
	Leaving bool
	// ClosesIn is the time until it closes to load a version, 0 if none is scheduled.
	ClosesIn time.Duration
	// Models holds the versions that it serves.
	Models []provider.LoadedModel
	// Pace is the factor by which the upstream is slower than declared; 0 means 1.
	Pace float64
	// NextVersion is the version that the upstream is expected to serve after NextIn, 0 if none
	// is expected.
	NextVersion int
	NextIn      time.Duration
}

// Query holds the requirements of a request.
type Query struct {
	// Exclude holds the IDs of upstreams that must not be chosen again.
	Exclude []string
	// Model is the model that the upstream must hold, empty for none, and
	// MinVersion its lowest version.
	Model      string
	MinVersion int
	// ReservedPlaces is the number of places of each upstream that are reserved for more
	// urgent requests.
	ReservedPlaces int
	// Duration is the expected duration of the request, 0 if it does not matter.
	Duration time.Duration
	// PreferredVersion is the version below which upstreams are avoided, and
	// AvoidWeight how strongly, from 0 to 1.
	PreferredVersion int
	AvoidWeight      float64
}

// Choice is a chosen upstream. Done must be called once.
type Choice struct {
	Upstream *provider.Upstream
	// Version is the version of the model that the upstream holds.
	Version int
	// InFlight and Score are those of the upstream before the choice, and Candidates the
	// number of eligible upstreams.
	InFlight   int
	Score      float64
	Candidates int
	// Waiting is the number of requests queued before this one, and Excess the number
	// that must end before it gets a place; 0 without a recent load report.
	Waiting, Excess int
	// Running is the number of running requests, 0 without a recent load report. ReportAge
	// is the age of the last report, 0 if there was none.
	Running   int
	ReportAge time.Duration
	// HasReport is set if there is a recent load report.
	HasReport bool
	// Expected is the expected load by which the upstream was chosen, in waiting requests; nil if it
	// was chosen by its last report alone.
	Expected *float64
	// OtherHall is set if the upstream is in another data hall than this process.
	OtherHall bool

	pool *Pool
	// probe is set if the request finds out whether the upstream accepts requests after a pause.
	probe bool
}

// WithLoad returns the choice with a load that the upstream's host just reported.
func (c Choice) WithLoad(running, waiting int) Choice {
	c.Running, c.Waiting, c.ReportAge = running, waiting, 0
	c.Excess = max(0, running+waiting+1-c.Upstream.Places)
	return c
}

// Choose chooses the upstream with the lowest score, or returns false if none is
// eligible. A blocked upstream is chosen only if no other is left.
func (p *Pool) Choose(upstreams []*provider.Upstream, query Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.evict(now)
	best := Choice{Score: math.Inf(1), pool: p}
	if p.usesExpectedLoad(upstreams, now) {
		p.chooseByExpectedLoad(&best, upstreams, query, now)
	} else {
		p.chooseByReport(&best, upstreams, query, now)
	}
	if best.Upstream == nil {
		return Choice{}, false
	}
	chosen := p.states[best.Upstream.ID]
	best.Waiting, best.Excess = chosen.queue(best.Upstream, query.ReservedPlaces, now)
	best.Running, best.ReportAge = chosen.running(now)
	best.HasReport = chosen.reportedRecently(now)
	chosen.inFlight++
	chosen.sentSinceReport++
	if best.probe = chosen.pause.active; best.probe {
		chosen.pause.probeSentAt = now
	}
	best.Version = chosen.heldVersion(best.Upstream, query.Model, now)
	best.OtherHall = p.inOtherHall(best.Upstream)
	return best, true
}

// chooseByReport sets the eligible upstream with the lowest score by the last reports.
func (p *Pool) chooseByReport(best *Choice, upstreams []*provider.Upstream, query Query, now time.Time) {
	for _, candidate := range upstreams {
		s := p.state(candidate.ID, now)
		s.resetIfRestarted(candidate.Started, now)
		if !s.eligible(candidate, query, now) {
			continue
		}
		score := s.score(s.load(candidate, query.ReservedPlaces, now), query, now) + p.random()*jitter
		score += s.versionPenalty(candidate, query, now)
		if p.inOtherHall(candidate) {
			score += otherHallPenalty
		}
		best.Candidates++
		if score < best.Score {
			best.Upstream, best.Score, best.InFlight = candidate, score, s.inFlight
		}
	}
}

func (p *Pool) inOtherHall(candidate *provider.Upstream) bool {
	return p.Hall != "" && candidate.Hall != p.Hall
}

// resetIfRestarted resets the state of an upstream that restarted under its ID: the new
// process has neither the load nor the failures of the old one.
func (s *state) resetIfRestarted(started, now time.Time) {
	if !started.After(s.started) {
		return
	}
	if s.started.IsZero() {
		s.started = started
		return
	}
	*s = state{started: started, inFlight: s.inFlight, decayedAt: now, usedAt: now}
}

func (p *Pool) now() time.Time { return helpers.Now(p.Now) }

func (p *Pool) random() float64 {
	if p.Rand != nil {
		return p.Rand()
	}
	return rand.Float64()
}

func (p *Pool) state(id string, now time.Time) *state {
	if p.states == nil {
		p.states = map[string]*state{}
	}
	s := p.states[id]
	if s == nil {
		s = &state{decayedAt: now}
		p.states[id] = s
	}
	s.usedAt = now
	return s
}

// evict drops the state of upstreams that have been unused for their retention time.
func (p *Pool) evict(now time.Time) {
	if now.Sub(p.evictedAt) < stateRetention {
		return
	}
	p.evictedAt = now
	for id, s := range p.states {
		if s.inFlight == 0 && now.Sub(s.usedAt) > s.retention() {
			delete(p.states, id)
		}
	}
}

// Unresponsive reports whether the host of an upstream has stopped reporting: it is
// unreachable, frozen or overloaded, or its loader has stopped.
func (p *Pool) Unresponsive(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	return s != nil && s.unresponsive(p.now())
}

// Loading reports whether the host of an upstream reported that it is loading a version or
// is about to. Requests that break off there do not count as failures of the upstream.
func (p *Pool) Loading(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	return s != nil && s.report.Loading && s.reportedRecently(p.now())
}

// Report records a report of an upstream's host.
func (p *Pool) Report(id string, report LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := p.state(id, now)
	s.report, s.reportedAt, s.modelsReportedAt, s.sentSinceReport = report, now, now, 0
	p.recordPace(s, report.Pace, now)
	s.expectation.dropReported(now)
	s.closesAt = time.Time{}
	if report.ClosesIn > 0 {
		s.closesAt = now.Add(report.ClosesIn)
	}
}

// ReportLoad records the load in a response to a request for a place, which includes all
// places that the host has granted.
func (p *Pool) ReportLoad(id string, load LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := p.state(id, now)
	s.report.Running, s.report.Waiting, s.report.Loading, s.report.Leaving = load.Running, load.Waiting, load.Loading, load.Leaving
	s.report.Pace = load.Pace
	s.reportedAt, s.sentSinceReport = now, 0
	p.recordPace(s, load.Pace, now)
	s.expectation.grants = nil // a loader counts what it granted before
}

// Throttle withholds requests from an upstream for a while, because its rate limit is used
// up. A wait of 0 ends that.
func (p *Pool) Throttle(id string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.state(id, now).throttledUntil = now.Add(wait)
}

// Throttled reports whether an upstream is throttled.
func (p *Pool) Throttled(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	return s != nil && s.throttledUntil.After(p.now())
}

// ThrottledFor reports whether any of the upstreams that are not leaving is throttled, and
// the time until the first of them is available.
func (p *Pool) ThrottledFor(upstreams []*provider.Upstream) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var shortest time.Duration
	for _, candidate := range upstreams {
		s := p.states[candidate.ID]
		if s == nil || candidate.Leaving || s.leaving || !s.throttledUntil.After(now) {
			continue
		}
		if remaining := s.throttledUntil.Sub(now); shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest, shortest > 0
}

// decay applies the decay since the last call to the counts of failures and outcomes.
func (s *state) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(s.decayedAt)) / float64(decayTime))
	s.failures *= factor
	s.outcomes *= factor
	s.decayedAt = now
}

// Done ends the choice's request and counts its outcome.
func (c Choice) Done(outcome Outcome) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	now := c.pool.now()
	s := c.pool.state(c.Upstream.ID, now)
	s.inFlight--
	s.decay(now)
	if c.probe {
		s.pause.probeSentAt = time.Time{}
	}
	switch outcome {
	case Served:
		s.outcomes++
		s.block = 0
	case Failed:
		s.outcomes++
		s.failures++
	case Full:
		s.blockedUntil = now.Add(fullBlock)
	case Unreachable:
		s.outcomes++
		s.failures++
		s.block = min(max(2*s.block, minBlock), maxBlock)
		s.blockedUntil = now.Add(s.block)
	case Moved:
		s.blockedUntil = now.Add(minBlock)
	case Canceled:
	}
}
