package balance

import (
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file estimates when upstreams that cannot run a request now will be able to. The estimate
// rests on what their hosts reported, so it covers only upstreams whose load feed this process
// follows.

// overdueReadiness is the assumed remaining time of an upstream that has not served its next version
// by the expected time. Reports state that time in steps of 250 ms.
const overdueReadiness = 250 * time.Millisecond

// Readiness is when a set of upstreams is expected to be able to run a request.
type Readiness struct {
	// In holds the expected times in ascending order, one for each upstream that has any; 0 means
	// that the upstream can run the request now, apart from its load.
	In []time.Duration
	// Unknown is the number of upstreams that cannot run the request and whose hosts expect no
	// time. Upstreams without a recent report that the store records as able to are not counted.
	Unknown int
}

// Serving returns the number of upstreams that can run the request now.
func (r Readiness) Serving() int {
	count, _ := slices.BinarySearch(r.In, 1)
	return count
}

// Readiness returns when upstreams are expected to be able to run a request with the given
// requirements. It ignores Query.Exclude and the load of the upstreams.
//
// Upstreams that have held no version yet are counted only if none has: while a service grows, the
// others are as many as before, and their callers need not wait for the new ones.
func (p *Pool) Readiness(upstreams []*provider.Upstream, query Query) Readiness {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var r, fresh Readiness
	for _, candidate := range upstreams {
		s := p.states[candidate.ID]
		if s == nil {
			s = &state{}
		}
		if candidate.Leaving || s.leaving || s.reportedLeaving(now) || s.pause.blocks(now) {
			continue
		}
		counted := &r
		if s.hasHeldNone(candidate, query.Model) {
			counted = &fresh
		}
		switch in, known := s.readyIn(candidate, query, now); {
		case known:
			counted.In = append(counted.In, in)
		case s.reportedRecently(now) || !s.holds(candidate, query, now):
			counted.Unknown++
		}
	}
	if len(r.In)+r.Unknown == 0 {
		r = fresh
	}
	slices.Sort(r.In)
	return r
}

// hasHeldNone reports whether an upstream is not known to have held any version of a model.
func (s *state) hasHeldNone(candidate *provider.Upstream, model string) bool {
	reported := provider.Upstream{Models: s.report.Models}
	return model != "" && candidate.LoadedVersion(model) == 0 && reported.LoadedVersion(model) == 0
}

// readyIn returns the time until an upstream is expected to be able to run a request, and false if
// that is unknown.
func (s *state) readyIn(candidate *provider.Upstream, query Query, now time.Time) (time.Duration, bool) {
	if !s.reportedRecently(now) {
		return 0, false
	}
	if s.holds(candidate, query, now) && !s.report.Loading && !s.closesBefore(now.Add(query.Duration)) {
		return 0, true
	}
	next, age := s.report.NextVersion, now.Sub(s.modelsReportedAt)
	if next <= 0 || next < query.MinVersion || age > reportMaxAge {
		return 0, false
	}
	return max(s.report.NextIn-age, overdueReadiness), true
}

// holds reports whether an upstream holds a version that may run the request.
func (s *state) holds(candidate *provider.Upstream, query Query, now time.Time) bool {
	if query.Model == "" {
		return true
	}
	held := s.heldVersion(candidate, query.Model, now)
	return held > 0 && held >= query.MinVersion
}

// closesBefore reports whether the upstream closes to load a version before the given time.
func (s *state) closesBefore(end time.Time) bool {
	return !s.closesAt.IsZero() && s.closesAt.Before(end)
}
