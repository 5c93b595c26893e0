// Package quarantine withholds requests that crash the upstreams that run them. Routers send each
// other every crash and merge the reports into their tables (package broadcast); quarantines are
// kept in the store as well. The dispatcher asks for a verdict before each attempt.
//
// A crash is evidence against every request that ran on the upstream, bystanders included. The
// cause may be the request as a whole, or a part of its prompt that other requests have as well. A
// bystander seldom runs on the next upstream that crashes, whereas the cause always does.
// Contents, and parts of prompts likewise, are therefore judged by the depth of their crashes, which
// is one more than the depth of the deepest earlier crash of the content or part. A crash counts as
// earlier if the router had received it before it sent the request, or more than simultaneousWindow
// before the present crash. Upstreams that crash together, as in a power failure, thus have depth 1,
// however many of them ran the same popular request. The second condition is needed because attempts
// of one caller overlap: by the first condition alone the depth would grow too slowly.
//
// At depth 2 a request is sent to one upstream only, without retry or hedge. At depth 3 it is
// quarantined, and attempts without a response head are canceled. When the quarantine expires, one
// router sends the request once, as a trial. A further crash renews the quarantine for longer, and
// a complete response clears the content and the parts of the prompt. What recently had a complete
// response is not blamed for a crash, since a popular request or document may run on each of several
// upstreams that crashing requests bring down in turn. Rare bystanders are released once the crashes
// of the cause explain theirs.
//
// Suspects that were in the same requests have the same crashes, and are quarantined together: the
// cause, and what other requests need. Crashes alone do not tell them apart, and the quarantine keeps
// sound requests from doing so. A request with only some of these suspects is therefore sent during
// the quarantine, as a trial (see trial.go).
//
// Invariant: a cleared content stays cleared. Crashes known at the clearing, and those deeper than
// any that can have occurred since, are ignored for longer than a message takes to arrive.
//
// The package has no clock and no network.
//
// Rejected: blaming the longest-running request, since upstreams crash while they read a prompt as
// well as after hours; a quarantine at depth 2, which hits bystanders; one router that judges for
// all, which has to be located and may be partitioned; a quarantine of the account, the route or the
// first part of the prompt, which sound requests share.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
)

const (
	// quarantineDepth is the depth from which a content or part is quarantined, singleAttemptDepth
	// the one from which a request is sent to one upstream only.
	quarantineDepth, singleAttemptDepth = 3, 2
	// initialQuarantine is the duration of the first quarantine. Each renewal after a failed
	// trial multiplies the duration by quarantineGrowth. The trials of a crashing content thus
	// cost few upstreams, and a bystander is soon cleared.
	initialQuarantine = 15 * time.Second
	quarantineGrowth  = 4
	// maxQuarantine bounds the duration. A record is dropped after twice this time without a
	// crash.
	maxQuarantine = 3 * time.Hour
	// suspectTTL is how long crashes count against a content that was never quarantined.
	suspectTTL = 10 * time.Minute
	// simultaneousWindow is how long after one crash another counts as equally deep. It covers
	// the delays with which simultaneous crashes are reported: a few milliseconds, and tens of them
	// over a narrow link.
	simultaneousWindow = 100 * time.Millisecond
	// clearedTTL is how long a clearing rejects delayed crash reports, longer than any message takes.
	clearedTTL = 10 * time.Second
	// successTTL is how long a complete response exonerates a content and its parts, and maxSuccesses
	// bounds each of the two generations of these: those of 7 s at a hundred requests a second, each
	// with five parts.
	successTTL   = 2 * time.Second
	maxSuccesses = 4096
	// establishedTTL is how long repeated complete responses of a content or part count in favor of a
	// trial, longer than the pauses between the requests of most callers.
	establishedTTL = time.Minute
	// maxContents bounds the table to about 1 MB. Contents and parts with the shallowest crashes are
	// evicted first, so that a caller cannot lift a quarantine by sending many others.
	maxContents = 4096
	// maxCrashes bounds the crashes kept of a content.
	maxCrashes = 16
)

// Verdict states whether a request may be sent, and how often.
type Verdict int

// Values of Verdict.
const (
	// Unrestricted means that the route alone decides.
	Unrestricted Verdict = iota
	// SingleAttempt means a single attempt, without retry or hedge.
	SingleAttempt
	// Quarantined means that the request is not sent.
	Quarantined
)

// String returns the name used in logs.
func (v Verdict) String() string { return [...]string{"free", "once", "held"}[v] }

// Table holds the crashes of contents and parts as one router has received them. The zero value is empty
// and ready to use. It is not safe for concurrent use.
type Table struct {
	// contents holds the records by the digests of contents and of parts.
	contents map[content.Digest]*record
	// succeeded holds the digests with complete responses within successTTL, and established those
	// within establishedTTL that had another one before.
	succeeded, established recentDigests
}

// Verdict returns the present verdict on a request that was admitted before: the strictest one on its
// content and the parts of its prompt.
func (t *Table) Verdict(digests []content.Digest, now time.Time) Verdict {
	strictest := Unrestricted
	for _, digest := range digests {
		strictest = max(strictest, t.verdict(digest, now))
	}
	return strictest
}

// verdict returns the present verdict on one content or part.
func (t *Table) verdict(digest content.Digest, now time.Time) Verdict {
	r := t.contents[digest]
	if r == nil {
		return Unrestricted
	}
	r.expire(now)
	switch depth := r.depth(); {
	case depth >= quarantineDepth && !r.explained:
		return Quarantined
	case depth >= singleAttemptDepth:
		return SingleAttempt
	default:
		return Unrestricted
	}
}

// Attempt is an attempt during which the upstream crashed.
type Attempt struct {
	// Content is the digest of the request's content or of a part of its prompt.
	Content  content.Digest
	Upstream string
	// Started is the start time of the upstream, SentAt the time at which the request was sent.
	Started, SentAt time.Time
}

// Attribute returns the crash of an upstream during an attempt, as observed now, and reports
// whether it counts against the content. A crash with the same id and start time that was received
// before the attempt is a different one.
func (t *Table) Attribute(attempt Attempt, now time.Time) (Crash, bool) {
	crash := Crash{Upstream: attempt.Upstream, Started: attempt.Started, Depth: 1}
	if t.succeeded.holds(attempt.Content, successTTL, now) {
		return crash, false
	}
	r := t.contents[attempt.Content]
	if r == nil {
		return crash, true
	}
	r.expire(now)
	for _, earlier := range r.crashes {
		sentAfter := earlier.at.Before(attempt.SentAt)
		if sentAfter && earlier.sameID(crash) {
			crash.Recurrence = max(crash.Recurrence, earlier.Recurrence+1)
		}
		if sentAfter || now.Sub(earlier.at) > simultaneousWindow {
			crash.Depth = max(crash.Depth, min(earlier.Depth, r.depth())+1)
		}
	}
	for _, earlier := range r.cleared {
		if earlier.at.Before(attempt.SentAt) && earlier.sameID(crash) {
			crash.Recurrence = max(crash.Recurrence, earlier.Recurrence+1)
		}
	}
	return crash, true
}

// RecordSuccess records that a content had a complete response.
func (t *Table) RecordSuccess(digest content.Digest, now time.Time) {
	if t.succeeded.holds(digest, establishedTTL, now) || t.established.holds(digest, establishedTTL, now) {
		t.established.add(digest, establishedTTL, maxSuccesses, now)
	}
	t.succeeded.add(digest, successTTL, maxSuccesses, now)
}

// Merge merges a report of this or another router and reports whether the table changed.
func (t *Table) Merge(report Report, now time.Time) bool {
	if report.Cleared {
		return t.clear(report.Content, now)
	}
	if report.Trial {
		t.mergeTrial(report.Content, now)
		return false
	}
	if len(report.Crashes) == 0 {
		return false
	}
	r := t.findOrAdd(report.Content, now)
	r.expire(now)
	r.part = r.part || report.Part
	before, lastAt, changed := r.depth(), r.lastAt, false
	for _, crash := range report.Crashes {
		changed = r.merge(crash, now) || changed
	}
	if before < quarantineDepth && r.depth() >= quarantineDepth {
		r.duration = min(max(initialQuarantine, quarantineGrowth*r.duration), maxQuarantine)
	}
	r.adoptDuration(report)
	if changed {
		r.lastAt = latest(lastAt, now.Add(-r.ageOf(report)))
	}
	if changed && r.deepest() >= quarantineDepth {
		t.explain()
	}
	return changed
}

// explain releases bystanders: contents and parts all of whose crashes are also those of other
// quarantined contents or parts with more crashes. If one of them was the cause after all, it crashes
// an upstream that the others did not, and is quarantined again.
func (t *Table) explain() {
	var quarantined []*record
	for _, r := range t.contents {
		if r.deepest() >= quarantineDepth {
			quarantined = append(quarantined, r)
		}
	}
	for _, r := range quarantined {
		r.explained = !slices.ContainsFunc(r.crashes, func(crash observedCrash) bool {
			return !slices.ContainsFunc(quarantined, func(other *record) bool {
				return len(other.crashes) > len(r.crashes) && other.has(crash.Crash)
			})
		})
	}
}

// clear drops the crashes of a content and reports whether there were any. It creates a record if
// there is none, because crash reports may be in transit.
func (t *Table) clear(digest content.Digest, now time.Time) bool {
	r := t.findOrAdd(digest, now)
	changed, dropped := len(r.crashes) > 0, slices.Concat(r.crashes, r.cleared)
	wasQuarantined := r.deepest() >= quarantineDepth
	*r = record{lastAt: now, part: r.part, cleared: dropped[:min(len(dropped), maxCrashes)], clearedAt: now}
	if wasQuarantined {
		t.explain()
	}
	return changed
}

// Suspected reports whether crashes are recorded against a content or part.
func (t *Table) Suspected(digest content.Digest) bool {
	r := t.contents[digest]
	return r != nil && len(r.crashes) > 0
}

// Report returns the report of a content.
func (t *Table) Report(digest content.Digest, now time.Time) Report {
	report := Report{Content: digest}
	if r := t.contents[digest]; r != nil && len(r.crashes) > 0 {
		report.Part, report.Duration, report.Age = r.part, r.duration, now.Sub(r.lastAt)
		for _, crash := range r.crashes {
			report.Crashes = append(report.Crashes, crash.Crash)
		}
	}
	return report
}

// Reports returns the reports of all contents with crashes.
func (t *Table) Reports(now time.Time) []Report {
	reports := make([]Report, 0, len(t.contents))
	for digest, r := range t.contents {
		if len(r.crashes) > 0 {
			reports = append(reports, t.Report(digest, now))
		}
	}
	return reports
}

// findOrAdd returns the record of a content or part. It adds one if there is none, and evicts others
// from a full table.
func (t *Table) findOrAdd(digest content.Digest, now time.Time) *record {
	if r := t.contents[digest]; r != nil {
		return r
	}
	if t.contents == nil {
		t.contents = map[content.Digest]*record{}
	}
	if len(t.contents) >= maxContents {
		t.evict(now)
	}
	r := &record{}
	t.contents[digest] = r
	return r
}

// evict drops records without crashes and, if the table is still full, the eighth with the
// shallowest crashes, older ones first. Evicting an eighth at once amortizes the sort.
func (t *Table) evict(now time.Time) {
	maps.DeleteFunc(t.contents, func(_ content.Digest, r *record) bool {
		r.expire(now)
		return len(r.crashes) == 0
	})
	if len(t.contents) < maxContents {
		return
	}
	digests := slices.SortedFunc(maps.Keys(t.contents), func(a, b content.Digest) int {
		recordA, recordB := t.contents[a], t.contents[b]
		return cmp.Or(cmp.Compare(recordA.depth(), recordB.depth()), recordA.lastAt.Compare(recordB.lastAt))
	})
	for _, digest := range digests[:maxContents/8] {
		delete(t.contents, digest)
	}
}
