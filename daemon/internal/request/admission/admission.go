// Package admission decides how loaded an engine may be for a request to be let in.
//
// The load that it answers: some hundred engines that get as much as they bear, or a
// tenth to a half more for longer than a few seconds. An engine reads prompts between
// the tokens of what runs, so a first byte takes the own prompt, those that wait before
// it, and a pass of the tokens of all that run after each one or two of them. With
// prompts of 900 tokens at 14 tokens a millisecond and passes of 70 ms that was measured
// as 0.21 s where nothing waits (5 in 100 later than 0.5 s), 0.30 s behind one (15 in
// 100), 0.36 s behind two (23), and 0.46 s where all eight places are taken (42). A
// queue that is let grow makes all of its requests late and serves not one more.
//
// So a request is let in where its first byte is likely to be in time: where no more wait
// than are read meanwhile, and no place beyond those of the engine is needed or that one is
// soon free. The first questions look for an engine where nothing waits.
//
// Eight engines are asked, because a full one says so in a millisecond and one of eight
// mostly is not, up to all that a fleet bears. With five and no place beyond, a fleet of 45
// engines refuses 8 in 100 callers at its full load and 14 at 1.1 times that; with these 2
// and 10, of which 1 and 6 are more than an oracle must (package lab; worth 0.883 and 0.808
// before, 0.957 and 0.862 with these, 0.973 and 0.923 the best in turn).
//
// A caller that was refused and comes back is late already. It gets the places that
// callers who can still be in time leave: in an overload that lasts each that is let in
// would make another late, who comes back in turn. With 1.3 times what engines bear 81 in
// 100 are served in time instead of 64, and 16 are refused twice instead of 12; in a
// burst of 3 s 93 instead of 89, and 6 instead of 3 (the lab of this package, 40 engines).
//
// All routes of a service have the same limit: were each to have its own, the route that
// bears a longer wait would take every place of a full engine before the others may.
//
// Rejected, by the labs: places beyond those of an engine, more of them the less it was
// full lately (0.63 of the worth in an overload of 1.3 where this had 0.67, before who
// comes back was told apart); letting in whoever comes back (0.45); two places beyond
// wherever they are asked for (0.666 at 1.25 times what 45 engines bear, where this has
// 0.732); ten questions (0.732, and two more calls a request).
package admission

import (
	"math"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
)

// Ways are the parts of a search for a place that are open to measurement.
type Ways struct {
	// Questions is how many engines are asked for a place before a request is given up as
	// not to be begun in time.
	Questions int
	// Each is how many engines are asked for a place where none waits, then as many for one
	// behind one, and so on.
	Each int
	// Beyond is how many requests may be let in beyond the places of an engine, by the
	// later questions.
	Beyond int
	// BackLeaves is the part of an engine's places that callers who came back leave free.
	BackLeaves float64
}

// StandingWays are the ones that are kept.
func StandingWays() Ways { return Ways{Questions: 8, Each: 2, Beyond: 1, BackLeaves: 0.25} }

const (
	// passShare is by how much longer the reading of a prompt takes because of the passes
	// between: an engine of 8 places 1.6, one of 16 the same.
	passShare = 1.6
	// ownUnits is how many such times pass until the first byte where nothing waits: the
	// pass under way, and the own prompt.
	ownUnits = 2
	// By news of loads alone a request may wait for a part of the objective: mostPatience
	// where no place was free for up to seldomFull of the time, and leastPatience from
	// oftenFull on, because others follow the same news.
	mostPatience, leastPatience = 1.0, 0.3
	seldomFull, oftenFull       = 0.2, 0.6
	// beyondPart is the part of the objective within which the first byte of a request must
	// be likely that is let in beyond the places of an engine.
	beyondPart = 0.7
	// keptFree is how many places are counted as taken where only news of loads is known:
	// by requests that other routers send before this one hears of them.
	keptFree = 2
	// reservePerRank is how many places of an engine are left to the next more urgent
	// requests while places are scarce, and maxReserve how many at most.
	reservePerRank = 2
	maxReserve     = 4
)

// Unlimited lets a request in anywhere.
var Unlimited = places.Limit{Waiting: math.MaxInt32, InUse: math.MaxInt32}

// Service is what is known of a service's engines.
type Service struct {
	// Places is how many requests an engine runs at once.
	Places int
	// ReadTime is how long an engine takes to read a usual prompt, 0 where not known.
	ReadTime time.Duration
	// PlaceEvery is how often one of a full engine's places is freed.
	PlaceEvery time.Duration
	// Objective is the shortest of the service's routes, 0 where none has one.
	Objective time.Duration
	// Full is the share of the time, lately, in which no place was free.
	Full float64
}

// Request is what counts of a request.
type Request struct {
	// Rank is its place among the priorities of the service, 0 for the most urgent.
	Rank int
	// Returned says that its caller was refused before.
	Returned bool
	// Sent says that it was sent before. What was done for it would be lost, so it takes
	// any place at last.
	Sent bool
}

// Reserve is how many places of each engine a request leaves to more urgent ones.
func Reserve(s Service, r Request) int {
	if s.Full < seldomFull {
		return 0
	}
	return min(r.Rank*reservePerRank, maxReserve)
}

// Lasts is how long a request is likely to hold a place of an engine, from how long
// requests hold one on average lately, the tokens of the answer, and those of a usual one.
// An engine that is soon to take a version gives its places to those that are done by then.
func Lasts(s Service, occupied time.Duration, answer, usual float64) time.Duration {
	if usual <= 0 {
		return occupied
	}
	return time.Duration(float64(occupied)*answer/usual) + ownUnits*s.ReadTime
}

// Limit is how loaded an engine may be that is asked after some others. Last says that
// no other one will be.
func (w Ways) Limit(s Service, r Request, asked int, last bool) places.Limit {
	free := max(0, s.Places-1-Reserve(s, r))
	switch {
	case last && (r.Sent || s.Objective <= 0):
		return Unlimited
	case r.Returned && !r.Sent:
		return places.Limit{InUse: max(0, free-w.returnedFree(s))}
	case last:
		return places.Limit{Waiting: s.mayWait(), InUse: free + w.beyond(s)}
	default:
		step := asked / max(w.Each, 1)
		return places.Limit{Waiting: min(step, s.mayWait()), InUse: free + min(step, w.beyond(s))}
	}
}

// beyond is how many may be let in beyond the places of an engine: as many as have one in
// time. An engine of 12 places with one more does not stand with a place empty until the
// next pass; one of 8 frees a place so seldom that who waits for it is late.
func (w Ways) beyond(s Service) int {
	if s.PlaceEvery <= 0 {
		return 0
	}
	spare := time.Duration(beyondPart*float64(s.Objective)) - ownUnits*s.unit()
	return max(0, min(w.Beyond, int(spare/s.PlaceEvery)))
}

// returnedFree is how many places of each engine a request that came back leaves to others.
func (w Ways) returnedFree(s Service) int { return int(w.BackLeaves * float64(s.Places)) }

// mayWait is how many may wait at an engine for a request to be in time behind them.
func (s Service) mayWait() int {
	unit := s.unit()
	if unit <= 0 {
		return 1
	}
	return int(max(0, s.Objective-ownUnits*unit) / unit)
}

// unit is how long an engine takes for a usual prompt between passes.
func (s Service) unit() time.Duration { return time.Duration(passShare * float64(s.ReadTime)) }

// Overloaded reports, where only news of an engine's load is known, whether a request
// would wait there so long that its first byte would be late.
func Overloaded(s Service, r Request, load places.Load) bool {
	if r.Sent || s.Objective <= 0 || s.Places == 0 {
		return false
	}
	taken := load.Running + load.Waiting + 1
	if r.Returned {
		taken += StandingWays().returnedFree(s)
	}
	beyond := max(0, taken+keptFree+Reserve(s, r)-s.Places)
	wait := time.Duration(load.Waiting)*s.ReadTime + time.Duration(beyond)*s.PlaceEvery
	return wait > time.Duration(patience(s.Full)*float64(s.Objective))
}

// patience is the part of the objective that a request may wait, where no place was free
// for some share of the time.
func patience(full float64) float64 {
	part := (full - seldomFull) / (oftenFull - seldomFull)
	return mostPatience - (mostPatience-leastPatience)*min(max(part, 0), 1)
}
