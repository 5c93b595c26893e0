package quarantine

import (
	"bytes"
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
)

// This file decides which requests are sent although their content or parts are quarantined.
//
// The trial after a quarantine expires belongs to one router, the first in the order of the digest.
// The trial during a quarantine belongs to whichever router gets a request that distinguishes the
// suspects, since some routers may get none: a client keeps its connections to few routers. Routers
// take turns in the order of the digest and tell each other of each trial, so that one upstream is at
// risk at a time.
//
// Rejected: clearing a part by responses from before the crash, since it may begin to crash upstreams
// after hours of sound use; blaming the rarer of two parts, since the cause may be the popular one.

const (
	// trialTimeout is how long the result of a trial is awaited before the next one.
	trialTimeout = 10 * time.Second
	// trialTurn is the time between the turns of routers, longer than reports of a trial usually take.
	// The number of routers that may run a trial doubles with each turn.
	trialTurn = 500 * time.Millisecond
	// maxEarlyTrials bounds the trials of a record during one quarantine. A second one is needed if
	// the first is interrupted by the crash of another request.
	maxEarlyTrials = 2
)

// Admission is the verdict on a request that has just arrived.
type Admission struct {
	Verdict Verdict
	// Trials are the quarantined contents and parts that the request tries, empty if it is no trial. Its
	// verdict is then SingleAttempt, whatever Verdict returns for it later.
	Trials []content.Digest
}

// Admit returns the verdict on a request that has just arrived, by its content and the parts of its
// prompt. One request at a time is admitted as a trial of what is quarantined of it. position returns
// the position of this router in the order of all routers for a digest, 0 for the first. If several
// digests are tried, the one with the most crashes determines the router: no router may be the first
// for all.
func (t *Table) Admit(digests []content.Digest, position func(content.Digest) int, now time.Time) Admission {
	verdict := t.Verdict(digests, now)
	suspects := t.quarantined(digests)
	if len(suspects) == 0 {
		return Admission{Verdict: verdict}
	}
	if !t.mayTry(digests, suspects, position, now) {
		return Admission{Verdict: Quarantined}
	}
	for _, digest := range suspects {
		t.contents[digest].beginTrial(now)
	}
	return Admission{Verdict: SingleAttempt, Trials: suspects}
}

// AbandonTrials records that a request that was admitted as a trial was not sent to any upstream.
func (t *Table) AbandonTrials(trials []content.Digest) {
	for _, digest := range trials {
		if r := t.contents[digest]; r != nil {
			r.trialAt = time.Time{}
			r.earlyTrials = max(r.earlyTrials-1, 0)
		}
	}
}

// quarantined returns the digests that are quarantined, also those whose quarantine has expired and
// that were not tried since.
func (t *Table) quarantined(digests []content.Digest) []content.Digest {
	return slices.DeleteFunc(slices.Clone(digests), func(digest content.Digest) bool {
		r := t.contents[digest]
		return r == nil || r.deepest() < quarantineDepth || r.explained
	})
}

// mayTry reports whether this router may send a request with these digests as a trial of suspects.
func (t *Table) mayTry(digests, suspects []content.Digest, position func(content.Digest) int, now time.Time) bool {
	expired := true
	for _, digest := range suspects {
		r := t.contents[digest]
		if r.inTrial(now) || !r.expired && r.earlyTrials >= maxEarlyTrials {
			return false
		}
		expired = expired && r.expired
	}
	decisive := slices.MaxFunc(suspects, t.compareCrashes)
	own := position(decisive)
	if expired && own == 0 {
		return true
	}
	return now.Sub(t.contents[decisive].lastAt) >= turnOf(own) && t.distinguishes(digests, now)
}

// distinguishes reports whether a request with these digests may distinguish what is suspected of it
// from the cause. All crashes of the suspect are also those of a content or part that is not in the
// request: if the request crashes an upstream, the other one is explained; if it does not, the suspect
// is cleared. Or the suspect had repeated responses at this router shortly before: several causes
// together have given it more crashes than each of them has.
func (t *Table) distinguishes(digests []content.Digest, now time.Time) bool {
	return !slices.ContainsFunc(digests, func(digest content.Digest) bool {
		return t.Suspected(digest) && !t.established.holds(digest, establishedTTL, now) && !t.hasTwin(digest, digests)
	})
}

// hasTwin reports whether all crashes of a suspect are also those of a content or part other than these
// digests.
func (t *Table) hasTwin(suspect content.Digest, digests []content.Digest) bool {
	r := t.contents[suspect]
	for digest, other := range t.contents {
		if len(other.crashes) >= len(r.crashes) && other.hasAll(r) && !slices.Contains(digests, digest) {
			return true
		}
	}
	return false
}

// mergeTrial records that another router has begun a trial.
func (t *Table) mergeTrial(digest content.Digest, now time.Time) {
	if r := t.contents[digest]; r != nil && r.deepest() >= quarantineDepth {
		r.expire(now)
		r.beginTrial(now)
	}
}

// compareCrashes orders recorded contents and parts by their crashes, and those with as many in the same
// way at each router.
func (t *Table) compareCrashes(a, b content.Digest) int {
	return cmp.Or(cmp.Compare(len(t.contents[a].crashes), len(t.contents[b].crashes)), bytes.Compare(a[:], b[:]))
}

// turnOf returns how long after the last crash the router at a position may run a trial.
func turnOf(position int) time.Duration {
	return time.Duration(bits.Len(uint(max(position, 0)))) * trialTurn
}

func (r *record) beginTrial(now time.Time) {
	r.trialAt = now
	if !r.expired {
		r.earlyTrials++
	}
}

// inTrial reports whether the result of a trial is awaited. A crash is taken for its result, although
// another request may have caused it.
func (r *record) inTrial(now time.Time) bool {
	return !r.trialAt.IsZero() && now.Sub(r.trialAt) < trialTimeout && !r.lastAt.After(r.trialAt)
}
