// Package admission computes how loaded an engine may be to accept a request. The dispatcher sends
// the computed limit with each query for a place, an execution slot of an engine, and the loader
// beside the engine grants or denies the place by it.
//
// An engine reads prompts between the decoding passes of the requests that it runs. The time to
// the first byte of a request therefore grows with every prompt queued before its own. A queue
// that is allowed to grow makes all of its requests late without raising the throughput. So a
// request is admitted only if its first byte is likely to meet the objective: no more prompts wait
// than are read in time, and the request needs no place beyond those of the engine, or one that is
// freed soon. The first queries of a search look for an engine with an empty queue.
//
// A search queries several engines: a full engine answers within a millisecond, and unless the
// whole fleet is saturated, one of a few engines usually has a free place.
//
// A retry of a refused request is likely to be late already. It gets only places that first
// attempts leave free. In a sustained overload each admitted retry would otherwise make a first
// attempt late, which would then be retried as well.
//
// All routes of a service share one limit. With limits per route, the route that tolerates the
// longest wait would occupy every place of a full engine.
//
// Rejected: overcommitting an engine by more than one request, or by more requests the less it
// was full recently, and treating retries like first attempts, since each of these makes more
// requests late in a sustained overload; more queries per search, which serve no more requests.
package admission

import (
	"math"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
)

// Policy configures the search for an engine.
type Policy struct {
	// MaxQueries is the maximum number of engines queried before a request is refused. One of eight
	// mostly has a free place, up to the load that a fleet sustains.
	MaxQueries int
	// QueriesPerStep is the number of queries per step. The first step accepts only an engine
	// with an empty queue; each further step accepts one more waiting request.
	QueriesPerStep int
	// MaxOvercommit is the maximum number of requests that the later queries may admit beyond the
	// places of an engine.
	MaxOvercommit int
	// RetryReserve is the fraction of an engine's places that retries leave free.
	RetryReserve float64
}

// DefaultPolicy returns the policy used in production.
func DefaultPolicy() Policy {
	return Policy{MaxQueries: 8, QueriesPerStep: 2, MaxOvercommit: 1, RetryReserve: 0.25}
}

const (
	// passFactor is the factor by which interleaved decoding passes extend the reading of a
	// prompt on a full engine. It is the same for engines of 8 and of 16 places.
	passFactor = 1.6
	// minReads is the time to the first byte on an engine with an empty queue, as a multiple of
	// the time to read a prompt: the pass under way and the request's own prompt.
	minReads = 2
	// cachedReadFraction is the fraction of the time to read a prompt that remains if the engine
	// has the prompt's beginning in its cache.
	cachedReadFraction = 0.5
	// If only load reports are known, a request may wait for a fraction of the objective. It
	// falls from maxWaitFraction at a saturation of lowSaturation to minWaitFraction at
	// highSaturation, since other routers follow the same reports.
	maxWaitFraction, minWaitFraction = 1.0, 0.3
	lowSaturation, highSaturation    = 0.2, 0.6
	// overcommitFraction is the fraction of the objective within which the first byte of a
	// request admitted beyond the places of an engine must be likely.
	overcommitFraction = 0.7
	// reportLagPlaces is the number of places assumed in use beyond a load report: by requests
	// that other routers have sent since.
	reportLagPlaces = 2
	// reservePerRank is the number of places per priority rank that a request leaves free on
	// each engine for more urgent ones while places are scarce, maxReserve the maximum.
	reservePerRank = 2
	maxReserve     = 4
)

// Unlimited admits a request to any engine.
var Unlimited = places.Limit{Waiting: math.MaxInt32, InUse: math.MaxInt32}

// Service describes the engines of a service.
type Service struct {
	// Places is the number of requests that an engine runs at once.
	Places int
	// ReadTime is how long an engine takes to read a prompt of mean length, 0 if unknown.
	ReadTime time.Duration
	// PlaceInterval is the average time between two places freed on a full engine.
	PlaceInterval time.Duration
	// Objective is the shortest first-byte objective of the service's routes, 0 if none has one.
	Objective time.Duration
	// Saturation is the share of recent time in which no engine had a free place.
	Saturation float64
}

// Request describes the request to admit.
type Request struct {
	// Rank is the rank of the request among the priorities of the service, 0 for the most
	// urgent.
	Rank int
	// Divided means that a loader decides which ranks precede, so that the router reserves no
	// places for them.
	Divided bool
	// Retry means that the caller retries after a refusal.
	Retry bool
	// Sent means that the request was sent to an engine before. Refusing it would waste the
	// work done, so its last query is unlimited.
	Sent bool
}

// Reserve returns the number of places that a request leaves free on each engine for more urgent
// ones. A loader that divides scarce places leaves fewer free, and only while they are asked for.
func Reserve(s Service, r Request) int {
	if s.Saturation < lowSaturation || r.Divided {
		return 0
	}
	return min(r.Rank*reservePerRank, maxReserve)
}

// HoldTime returns the expected time for which a request holds a place: the recent average, scaled
// by the ratio of its answer tokens to their mean. An engine that is about to load a version admits
// only requests that are expected to end before.
func HoldTime(s Service, meanHoldTime time.Duration, answerTokens, meanAnswerTokens float64) time.Duration {
	if meanAnswerTokens <= 0 {
		return meanHoldTime
	}
	return time.Duration(float64(meanHoldTime)*answerTokens/meanAnswerTokens) + minReads*s.ReadTime
}

// Limit returns the maximum load at which the next engine may admit the request, after the given
// number of engines have denied it. Last means that no further engine will be queried.
func (p Policy) Limit(s Service, r Request, denied int, last bool) places.Limit {
	maxInUse := max(0, s.Places-1-Reserve(s, r))
	switch {
	case last && (r.Sent || s.Objective <= 0):
		return Unlimited
	case r.Retry && !r.Sent:
		return places.Limit{InUse: max(0, maxInUse-p.retryReserve(s))}
	case last:
		return places.Limit{Waiting: s.maxWaiting(), InUse: maxInUse + p.overcommit(s)}
	default:
		step := denied / max(p.QueriesPerStep, 1)
		return places.Limit{Waiting: min(step, s.maxWaiting()), InUse: maxInUse + min(step, p.overcommit(s))}
	}
}

// LeastFirstByte returns the least time to the first byte on any engine: the time to read the request's
// own prompt on an idle engine that has a part of it in its cache. It is 0 if unknown.
func (s Service) LeastFirstByte(promptTokens, meanPromptTokens float64) time.Duration {
	least := cachedReadFraction * float64(s.ReadTime)
	if promptTokens > 0 && meanPromptTokens > 0 {
		least *= promptTokens / meanPromptTokens
	}
	return time.Duration(least)
}

// overcommit returns the number of requests that may be admitted beyond the places of an engine, so
// that a freed place is not idle until the next pass. It is 0 if places are freed so slowly that
// the waiting request would be late: an engine of 12 places gains by one more, one of 8 does not.
func (p Policy) overcommit(s Service) int {
	if s.PlaceInterval <= 0 {
		return 0
	}
	spare := time.Duration(overcommitFraction*float64(s.Objective)) - minReads*s.busyReadTime()
	return max(0, min(p.MaxOvercommit, int(spare/s.PlaceInterval)))
}

// retryReserve returns the number of places of each engine that a retry leaves free.
func (p Policy) retryReserve(s Service) int { return int(p.RetryReserve * float64(s.Places)) }

// maxWaiting returns the queue length behind which a request still meets the objective.
func (s Service) maxWaiting() int {
	read := s.busyReadTime()
	if read <= 0 {
		return 1
	}
	return int(max(0, s.Objective-minReads*read) / read)
}

// busyReadTime returns the time to read a prompt of mean length on a full engine.
func (s Service) busyReadTime() time.Duration { return time.Duration(passFactor * float64(s.ReadTime)) }

// Overloaded reports whether a request would probably miss its objective at an engine whose load
// is known only from a report.
func Overloaded(s Service, r Request, load places.EngineLoad) bool {
	if r.Sent || s.Objective <= 0 || s.Places == 0 {
		return false
	}
	inUse := load.Running + load.Waiting + 1
	if r.Retry {
		inUse += DefaultPolicy().retryReserve(s)
	}
	excess := max(0, inUse+reportLagPlaces+Reserve(s, r)-s.Places)
	wait := time.Duration(load.Waiting)*s.ReadTime + time.Duration(excess)*s.PlaceInterval
	return wait > time.Duration(waitFraction(s.Saturation)*float64(s.Objective))
}

// waitFraction returns the fraction of the objective that a request may wait at a given
// saturation.
func waitFraction(saturation float64) float64 {
	x := (saturation - lowSaturation) / (highSaturation - lowSaturation)
	return maxWaitFraction - (maxWaitFraction-minWaitFraction)*min(max(x, 0), 1)
}
