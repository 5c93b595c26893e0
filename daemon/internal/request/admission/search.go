package admission

import (
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/fairshare"
)

// MaxUnresponsive is the number of unresponsive loaders after which a search ends. Each adds a
// call timeout of 50 ms to the request's time to the first byte, which is some hundred.
const MaxUnresponsive = 3

// maxLimitedFactor times the maximum number of queries is the number of engines at their rate
// limit after which a search ends. They do not count as queries, so a search could otherwise visit
// hundreds of them.
const maxLimitedFactor = 2

// Search counts the queries of one request's search for an engine and gives the limit of each.
// Service and Request must be set.
type Search struct {
	Service Service
	Request Request
	// Policy configures the search; the zero value means DefaultPolicy.
	Policy Policy

	// denied counts the engines that denied a place, unresponsive the loaders that did not
	// answer.
	denied, unresponsive int
	// limited counts the engines at their rate limit.
	limited int
	// late counts the denials of engines that cannot serve the request in time, and fastFull the
	// denials for their load of engines as fast as declared.
	late, fastFull int
	// sawFree is set if an engine denied the request for its load although it had a free place that
	// was not kept for others.
	sawFree bool
}

// policy returns Policy or its default.
func (s *Search) policy() Policy {
	if s.Policy == (Policy{}) {
		return DefaultPolicy()
	}
	return s.Policy
}

// Done reports whether the search ends without querying another engine.
func (s *Search) Done() bool {
	return s.denied+s.unresponsive >= s.policy().MaxQueries || s.unresponsive >= MaxUnresponsive || s.LimitsExhausted()
}

// LimitsExhausted reports whether the search ends because too many engines are at their rate limit.
func (s *Search) LimitsExhausted() bool { return s.limited >= maxLimitedFactor*s.policy().MaxQueries }

// Limit returns the maximum load of the next engine. Only means that no other engine remains.
func (s *Search) Limit(only bool) places.Limit {
	return s.policy().Limit(s.Service, s.Request, s.denied, s.Last(only))
}

// Last reports whether the next query is the last. Only means that no other engine remains.
func (s *Search) Last(only bool) bool {
	return only || s.denied+s.unresponsive+1 >= s.policy().MaxQueries
}

// Times returns the time limits of the next query, given those of the request. A request that any
// engine must admit has none.
//
// The last query has no limit for the end of the answer. Its length is only an estimate, and no
// emptier engine will be queried, for which an engine as fast as declared would deny it.
//
// Unless most denials come from engines as fast as declared that are full, the last query guards only
// against wasted work: the first byte must come before the caller's deadline. Limits that no engine meets
// would otherwise refuse the largest requests of a fleet of slow engines, and other requests while slow
// engines have room. The end of the answer is no such limit, because its stated length is often far off
// and would refuse requests by size again. Denials of slow engines for their load tell nothing, since
// the first queries accept only an empty queue.
func (s *Search) Times(times enginetime.Limits, only bool) enginetime.Limits {
	switch {
	case s.Limit(only) == Unlimited:
		return enginetime.Limits{}
	case !s.Last(only):
		return times
	case s.fastFull <= s.late:
		return enginetime.Limits{First: times.Left}
	default:
		return enginetime.Limits{First: times.First, Gap: times.Gap}
	}
}

// AddDenied records that an engine with the given load denied a place. A denial because the engine
// cannot serve the request in time tells nothing about free places.
func (s *Search) AddDenied(load places.EngineLoad) {
	s.denied++
	if load.Late.Reason != "" {
		s.late++
		return
	}
	if !enginetime.Slow(load.Pace) {
		s.fastFull++
	}
	s.sawFree = s.sawFree || load.DeniedBy == fairshare.Granted && load.Running+load.Waiting < s.Service.Places
}

// AddLimited records that an engine is at its rate limit.
func (s *Search) AddLimited() { s.limited++ }

// AddUnresponsive records that a loader did not answer.
func (s *Search) AddUnresponsive() { s.unresponsive++ }

// Counts returns the number of engines that denied a place and that of unresponsive loaders.
func (s *Search) Counts() (denied, unresponsive int) { return s.denied, s.unresponsive }

// Answered returns the number of loaders that answered.
func (s *Search) Answered() int { return s.denied + s.limited }

// AllFull reports whether none of the engines that denied a place for their load had one to give.
func (s *Search) AllFull() bool { return !s.sawFree }

// OnlyLate reports whether all engines that denied a place did so because they cannot serve the
// request in time. Such a search tells nothing about the saturation of the service.
func (s *Search) OnlyLate() bool { return s.late > 0 && s.late == s.denied }
