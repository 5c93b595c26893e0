package balance

import (
	"math"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/staleload"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file chooses among a few upstreams drawn at random by the load that is expected there now,
// for services whose engines are scarce or uneven. See docs/design/even-load.md.

// ExpectedLoad determines when the requests of a service are sent by expected load.
type ExpectedLoad int

// The cases in which a service's requests are sent by expected load.
const (
	ExpectedLoadNever ExpectedLoad = iota
	// ExpectedLoadIfSlow means while an upstream has recently reported the pace of a slow engine.
	ExpectedLoadIfSlow
	ExpectedLoadAlways
)

const (
	// slowRetention is how long after a report of a slow engine a service counts as one with slow
	// engines. It spans times in which no report of that engine arrives.
	slowRetention = 10 * time.Second
	// drawnHere and drawnElsewhere are the numbers of upstreams that are compared, of this hall and
	// of all others. Where this hall has fewer that accept requests, more of the others are drawn.
	// With three of each, or six, routers with the same reports choose the same upstreams more
	// often, and 1.1 and 1.3 to 1.8 times as many queries are denied as with two.
	drawnHere, drawnElsewhere = 2, 1
	// otherHallCost is the cost of the link to another hall, in waiting requests. At the given
	// weight of running requests it is equal to seven of twelve places. It varies by otherHallSpread
	// from request to request, so that the requests of a hall do not all change to another one at
	// the same difference in load.
	otherHallCost, otherHallSpread = 2.5, 1.0
	// reportDelay is how long after a grant a report may not include the request yet. It is that of
	// package places, and the way of the report.
	reportDelay = 40 * time.Millisecond
	// denialHold is how long an upstream that denied a place is avoided, on an upstream of pace 1,
	// and denialPenalty how strongly. A pass, after which the queue has been read, takes 50 to
	// 110 ms, of which half remains on average.
	denialHold    = 40 * time.Millisecond
	denialPenalty = 3.0
)

// logScale rounds the expected load of a choice, which is logged, to hundredths.
const logScale = 100

// expectation is what is known of an upstream beyond its last report.
type expectation struct {
	// grants holds the times at which the host granted requests of this process that the last
	// report may not include, oldest first.
	grants   []time.Time
	deniedAt time.Time
	// slowAt is when the pace of a slow engine was last reported.
	slowAt time.Time
}

// recordPace applies the pace in a report that has just arrived. The caller holds mu.
func (p *Pool) recordPace(s *state, pace float64, now time.Time) {
	if enginetime.Slow(pace) {
		s.expectation.slowAt, p.slowAt = now, now
	}
}

// dropReported drops the grants that a line of the host's feed includes.
func (e *expectation) dropReported(now time.Time) {
	first := 0
	for first < len(e.grants) && now.Sub(e.grants[first]) > reportDelay {
		first++
	}
	e.grants = e.grants[first:]
}

// RecordPlace records whether the upstream's host granted the request a place. The load that the
// host reported with its answer does not include the request.
func (c Choice) RecordPlace(granted bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	now := c.pool.now()
	s := c.pool.state(c.Upstream.ID, now)
	if !granted {
		s.expectation.deniedAt = now
		return
	}
	s.expectation.grants = append(s.expectation.grants, now)
	if c.pool.granted == nil {
		c.pool.granted = map[string]*staleload.Rate{}
	}
	rate := c.pool.granted[c.Upstream.Service]
	if rate == nil {
		rate = &staleload.Rate{}
		c.pool.granted[c.Upstream.Service] = rate
	}
	rate.Add(now)
}

// usesExpectedLoad reports whether requests to the given upstreams of one service are sent by
// expected load. The caller holds mu.
func (p *Pool) usesExpectedLoad(upstreams []*provider.Upstream, now time.Time) bool {
	if p.ExpectedLoad == nil || len(upstreams) == 0 {
		return false
	}
	switch p.ExpectedLoad(upstreams[0].Service) {
	case ExpectedLoadAlways:
	case ExpectedLoadIfSlow:
		if !p.anySlow(upstreams, now) {
			return false
		}
	default:
		return false
	}
	return p.anyReport(upstreams, now)
}

// AnySlow reports whether one of the upstreams recently reported the pace of a slow engine, in its
// load feed or with its response to a query for a place.
func (p *Pool) AnySlow(upstreams []*provider.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.anySlow(upstreams, p.now())
}

// anySlow is AnySlow for callers that hold mu. It runs for each query for a place, so it does not
// look at the upstreams while none of this process has been slow.
func (p *Pool) anySlow(upstreams []*provider.Upstream, now time.Time) bool {
	if p.slowAt.IsZero() || now.Sub(p.slowAt) > slowRetention {
		return false
	}
	for _, candidate := range upstreams {
		if s := p.states[candidate.ID]; s != nil && !s.expectation.slowAt.IsZero() && now.Sub(s.expectation.slowAt) <= slowRetention {
			return true
		}
	}
	return false
}

func (p *Pool) anyReport(upstreams []*provider.Upstream, now time.Time) bool {
	for _, candidate := range upstreams {
		if s := p.states[candidate.ID]; s != nil && s.reportedRecently(now) {
			return true
		}
	}
	return false
}

// option is an eligible upstream.
type option struct {
	upstream *provider.Upstream
	state    *state
	penalty  float64
	// expected is the cost of the expected load, if hasLoad is set.
	expected float64
	hasLoad  bool
}

// chooseByExpectedLoad sets the upstream with the lowest sum of expected load and penalties among
// a few that are drawn at random in this hall and in the others. An upstream that a penalty ranks
// behind others is drawn only if none is left before it.
func (p *Pool) chooseByExpectedLoad(best *Choice, upstreams []*provider.Upstream, query Query, now time.Time) {
	own, others := make([]option, 0, len(upstreams)), make([]option, 0, len(upstreams))
	for _, candidate := range upstreams {
		s := p.state(candidate.ID, now)
		s.resetIfRestarted(candidate.Started, now)
		if !s.eligible(candidate, query, now) {
			continue
		}
		o := option{upstream: candidate, state: s, penalty: s.score(0, query, now) + s.versionPenalty(candidate, query, now) + s.denialPenalty(now)}
		if p.inOtherHall(candidate) {
			others = append(others, o)
		} else {
			own = append(own, o)
		}
	}
	best.Candidates = len(own) + len(others)
	drawn := p.draw(own, drawnHere)
	drawn = append(drawn, p.draw(others, drawnElsewhere+drawnHere-countUsable(drawn))...)
	unknown := p.expectAll(drawn, upstreams, query, now)
	linkCost := otherHallCost + otherHallSpread*(2*p.random()-1)
	for _, o := range drawn {
		expected := o.expected
		if !o.hasLoad {
			expected = unknown + o.state.load(o.upstream, query.ReservedPlaces, now)
		}
		score := expected + o.penalty
		if p.inOtherHall(o.upstream) {
			score += linkCost
		}
		if score < best.Score {
			logged := math.Round(expected*logScale) / logScale
			best.Upstream, best.Score, best.InFlight, best.Expected = o.upstream, score, o.state.inFlight, &logged
		}
	}
}

// countUsable returns the number of options that are neither blocked nor unresponsive.
func countUsable(options []option) int {
	count := 0
	for _, o := range options {
		if o.penalty < unresponsivePenalty {
			count++
		}
	}
	return count
}

// draw draws some of the options at random, in proportion to their speed.
func (p *Pool) draw(options []option, count int) []option {
	penalties := make([]float64, len(options))
	for i, o := range options {
		penalties[i] = o.penalty + math.Log(enginetime.NormalPace(o.state.report.Pace))
	}
	var drawn []option
	for _, index := range staleload.Draw(penalties, count, p.random) {
		drawn = append(drawn, options[index])
	}
	return drawn
}

// expectAll sets the expected load of the options that have a recent report, and returns its mean,
// which is assumed of the others. An upstream must not look idle because this process does not
// follow its host.
func (p *Pool) expectAll(options []option, upstreams []*provider.Upstream, query Query, now time.Time) (mean float64) {
	sum, count := 0.0, 0
	for i := range options {
		o := &options[i]
		if o.hasLoad = o.state.reportedRecently(now); !o.hasLoad {
			continue
		}
		o.expected = o.state.expectedCost(o.upstream, query.ReservedPlaces, p.othersPerSecond(o.upstream.Hall, upstreams, now), now)
		sum, count = sum+o.expected, count+1
	}
	return sum / float64(max(count, 1))
}

// expectedCost returns the cost of the expected load of an upstream with a recent report.
func (s *state) expectedCost(candidate *provider.Upstream, reservedPlaces int, othersPerSecond float64, now time.Time) float64 {
	report := staleload.Report{
		Running: s.report.Running, Waiting: s.report.Waiting, Age: now.Sub(s.reportedAt), Sent: s.sentSinceReport + len(s.expectation.grants),
		Places: candidate.Places, Pace: enginetime.NormalPace(s.report.Pace), OthersPerSecond: othersPerSecond,
	}
	return report.Expected().Cost(candidate.Places, reservedPlaces, report.Pace)
}

// denialPenalty returns the penalty of an upstream that denied a place recently.
func (s *state) denialPenalty(now time.Time) float64 {
	hold := time.Duration(float64(denialHold) * enginetime.NormalPace(s.report.Pace))
	if s.expectation.deniedAt.IsZero() || now.Sub(s.expectation.deniedAt) >= hold {
		return 0
	}
	return denialPenalty
}

// othersPerSecond returns the rate at which other routers are expected to send to an upstream of a
// hall: each as often as this router, and mostly to its own hall.
func (p *Pool) othersPerSecond(hall string, upstreams []*provider.Upstream, now time.Time) float64 {
	rate := p.granted[upstreams[0].Service]
	if rate == nil || p.OtherRouters == nil {
		return 0
	}
	count := 0
	for _, candidate := range upstreams {
		if candidate.Hall == hall {
			count++
		}
	}
	return rate.PerSecond(now) * float64(p.OtherRouters(hall)) / float64(max(count, 1))
}
