package balance

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// eligible reports whether an upstream may get the request at all.
func (s *state) eligible(candidate *provider.Upstream, query Query, now time.Time) bool {
	if candidate.Leaving || s.leaving || s.reportedLeaving(now) || s.pause.blocks(now) || now.Before(s.throttledUntil) {
		return false
	}
	for _, id := range query.Exclude {
		if id == candidate.ID {
			return false
		}
	}
	if query.Model == "" {
		return true
	}
	held := s.heldVersion(candidate, query.Model, now)
	return held > 0 && held >= query.MinVersion
}

// heldVersion returns the version of a model that an upstream holds, by its host's last
// report, or by its record in the store if that report is missing or too old.
func (s *state) heldVersion(candidate *provider.Upstream, model string, now time.Time) int {
	if now.Sub(s.modelsReportedAt) > reportMaxAge {
		return candidate.LoadedVersion(model)
	}
	reported := provider.Upstream{Models: s.report.Models}
	return reported.LoadedVersion(model)
}

// Scores and penalties are in units of one waiting request.

// jitter bounds the random part of a score, so that upstreams with equally many waiting
// requests are chosen evenly.
const jitter = 1.0

// otherHallPenalty keeps most requests within their hall. It also makes routers of
// different halls choose different upstreams for the same load reports.
const otherHallPenalty = 0.7

// oldVersionPenalty is the penalty of an upstream whose version is avoided fully.
const oldVersionPenalty = 2.0

// closingPenalty is the penalty, for each second up to one, by which a request is likely
// to outlast the time at which the upstream closes to load a version. The upstream's
// loader would deny it a place.
const closingPenalty = 10.0

// unresponsivePenalty ranks an upstream whose host stopped reporting after those that are
// full, and before those that are blocked.
const unresponsivePenalty = 1e3

// blockedPenalty exceeds every score of an upstream that is not blocked.
const blockedPenalty = 1e6

// excessWeight is the weight of a request beyond the upstream's places, which waits until
// another one ends.
const excessWeight = 3.0

// score returns how unfavorable an upstream with a given load is for a request; the lowest score
// wins.
func (s *state) score(load float64, query Query, now time.Time) float64 {
	s.decay(now)
	share := s.failures / (s.outcomes + priorWeight)
	score := load + failurePenalty*max(0, share-healthyFailureShare)
	if now.Before(s.blockedUntil) || s.report.Loading && s.reportedRecently(now) {
		score += blockedPenalty
	}
	if s.unresponsive(now) {
		score += unresponsivePenalty
	}
	if excess := now.Add(query.Duration).Sub(s.closesAt); query.Duration > 0 && !s.closesAt.IsZero() && excess > 0 {
		score += closingPenalty * min(excess.Seconds(), 1)
	}
	return score
}

// versionPenalty returns the penalty of an upstream whose version is avoided.
func (s *state) versionPenalty(candidate *provider.Upstream, query Query, now time.Time) float64 {
	if query.PreferredVersion > 0 && s.heldVersion(candidate, query.Model, now) < query.PreferredVersion {
		return oldVersionPenalty * query.AvoidWeight
	}
	return 0
}

// reportedRecently reports whether the load report of the upstream's host may be used.
func (s *state) reportedRecently(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= reportMaxAge
}

// unresponsive reports whether the upstream's host has reported, but not recently.
func (s *state) unresponsive(now time.Time) bool {
	return !s.reportedAt.IsZero() && !s.reportedRecently(now)
}

// referencePlaces scales the load of upstreams of different sizes.
const referencePlaces = 16

// reportMaxAge is how long a load report is used.
const reportMaxAge = 800 * time.Millisecond

// load estimates the wait for the first byte, in waiting requests. Waiting requests count
// because an engine reads their prompts first; running ones count only once all places
// are in use.
func (s *state) load(candidate *provider.Upstream, reservedPlaces int, now time.Time) float64 {
	if !s.reportedRecently(now) {
		if candidate.Places == 0 {
			return float64(s.inFlight)
		}
		return float64(s.inFlight) * referencePlaces / float64(candidate.Places)
	}
	waiting, excess := s.queue(candidate, reservedPlaces, now)
	return float64(waiting) + excessWeight*float64(excess)
}

// queue returns how many requests wait before the next one and how many must end before
// it gets a place, by the last load report; 0 if there is no recent one.
func (s *state) queue(candidate *provider.Upstream, reservedPlaces int, now time.Time) (waiting, excess int) {
	if !s.reportedRecently(now) {
		return 0, 0
	}
	waiting = s.report.Waiting + s.sentSinceReport
	return waiting, max(0, s.report.Running+waiting+1+reservedPlaces-candidate.Places)
}

// running returns the reported number of running requests, 0 if the report is too old,
// and the age of the report, 0 if there was none.
func (s *state) running(now time.Time) (running int, age time.Duration) {
	if s.reportedAt.IsZero() {
		return 0, 0
	}
	age = now.Sub(s.reportedAt)
	if age > reportMaxAge {
		return 0, age
	}
	return s.report.Running, age
}
