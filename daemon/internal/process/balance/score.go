package balance

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file says whether an upstream may get a request, and how good a choice it is.

// fits reports whether an upstream may get the request at all.
func (s *state) fits(candidate *provider.Upstream, query Query, now time.Time) bool {
	if candidate.Leaving || now.Before(s.heldUntil) {
		return false
	}
	for _, id := range query.Tried {
		if id == candidate.ID {
			return false
		}
	}
	if query.Model == "" {
		return true
	}
	held := s.holds(candidate, query.Model, now)
	return held > 0 && held >= query.Version
}

// holds returns the version that an upstream holds: what its host told, or what
// its record says where the host told nothing of late.
func (s *state) holds(candidate *provider.Upstream, model string, now time.Time) int {
	if now.Sub(s.modelsAt) > toldFor {
		return candidate.LoadedVersion(model)
	}
	told := provider.Upstream{Models: s.told.Models}
	return told.LoadedVersion(model)
}

// chance bounds what is added at random to a score, in requests: upstreams at
// which as many requests wait are alike.
const chance = 1.0

// farScore is what an upstream in another hall counts more, in requests. It
// keeps most requests and answers within their hall, and lets routers of
// different halls follow the same news to different upstreams.
const farScore = 0.7

// oldScore is what an upstream with a version that is to be avoided altogether
// counts more, in requests.
const oldScore = 2.0

// closingScore is what an upstream that takes a version before the request is likely to be
// done counts more, in requests, for each second beyond, up to one. Its loader gives no
// place; each question to it would be in vain.
const closingScore = 10.0

// silentScore puts an upstream whose host fell silent behind those that are
// full, and before those that are blocked.
const silentScore = 1e3

// blockedScore is above every score of an upstream that is not blocked.
const blockedScore = 1e6

func (s *state) score(candidate *provider.Upstream, query Query, now time.Time) float64 {
	s.fade(now)
	share := s.failures / (s.outcomes + priorWeight)
	score := s.load(candidate, query.Reserve, now) + failurePenalty*max(0, share-soundShare)
	if now.Before(s.blockedUntil) || s.told.Loading && now.Sub(s.toldAt) <= toldFor {
		score += blockedScore
	}
	if s.silent(now) {
		score += silentScore
	}
	if over := now.Add(query.Lasts).Sub(s.closes); query.Lasts > 0 && !s.closes.IsZero() && over > 0 {
		score += closingScore * min(over.Seconds(), 1)
	}
	return score
}

// silent reports whether the upstream's host has told of it, but not of late.
func (s *state) silent(now time.Time) bool {
	return !s.toldAt.IsZero() && now.Sub(s.toldAt) > toldFor
}

// referencePlaces scales loads of upstreams of different sizes.
const referencePlaces = 16

// toldFor is how long a told load is used.
const toldFor = 800 * time.Millisecond

// load is how long a request is likely to wait for its first byte, in requests
// ahead of it. Those that wait count, because an engine reads their prompts
// first; those that run do not, until all places are taken.
func (s *state) load(candidate *provider.Upstream, reserve int, now time.Time) float64 {
	if now.Sub(s.toldAt) > toldFor {
		if candidate.Places == 0 {
			return float64(s.inFlight)
		}
		return float64(s.inFlight) * referencePlaces / float64(candidate.Places)
	}
	waiting, beyond := s.ahead(candidate, reserve, now)
	return float64(waiting) + beyondWeight*float64(beyond)
}

// ahead is how many requests are read before the next one, and how many must
// end first for want of places, by what the upstream's host told; 0 where it
// told nothing of late.
func (s *state) ahead(candidate *provider.Upstream, reserve int, now time.Time) (waiting, beyond int) {
	if now.Sub(s.toldAt) > toldFor {
		return 0, 0
	}
	waiting = s.told.Waiting + s.sentSince
	return waiting, max(0, s.told.Running+waiting+1+reserve-candidate.Places)
}

// running is how many requests the upstream's host last told of and how long ago;
// what it told long ago does not count.
func (s *state) running(now time.Time) (running int, age time.Duration) {
	if s.toldAt.IsZero() {
		return 0, 0
	}
	age = now.Sub(s.toldAt)
	if age > toldFor {
		return 0, age
	}
	return s.told.Running, age
}

// beyondWeight is what a request beyond the places counts: it waits for another
// to end.
const beyondWeight = 3.0
