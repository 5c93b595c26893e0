package ratelimit

import "time"

// This file limits requests to upstreams during warm-up. For some seconds after its start an
// upstream sustains only a low request rate and collapses above it. When a hall recovers, its
// upstreams are idle as well as cold, and load balancing would direct all routers to them.
//
// The warm-up limit is counted in the same way as a limit stated in responses, by the loader or
// by router shares. The two are kept in separate tables, because a response without a limit
// lifts a stated limit but not the warm-up limit.
//
// A record states how much longer its upstream was cold when it was written, and a router counts that from
// the time at which it received the record. A router that received it earlier is never less accurate, so of one
// record the earliest end counts, also once it is over: a router that starts reads old records.

// maxWarmup bounds the warm-up time that a single report may claim.
const maxWarmup = 5 * time.Minute

// Warmup reports that an upstream is warming up.
type Warmup struct {
	// PerSecond is the request rate that it sustains, Remaining the time until it is warm.
	PerSecond float64
	Remaining time.Duration
	// Revision is that of the record from which this is known, 0 if the sender does not state it. An upstream may
	// become cold again, which a newer record states.
	Revision uint64
}

// WarmupTable holds the warm-up limits of upstreams. The zero value is empty and ready to use. It
// is not safe for concurrent use.
type WarmupTable struct {
	// limits holds the limits of upstreams that are warming up.
	limits Table
	// warmups holds the last warm-up of each upstream, also once it is over.
	warmups map[key]warmup
}

// warmup is a warm-up that one record stated.
type warmup struct {
	revision uint64
	until    time.Time
}

// merge merges a report of a warm-up that would end at the given time.
func (w warmup) merge(revision uint64, until time.Time) warmup {
	switch {
	case revision > w.revision:
		return warmup{revision, until}
	case revision == 0 && until.After(w.until):
		w.until = until // nothing tells whether the upstream became cold again
	case revision > 0 && revision == w.revision && until.Before(w.until):
		w.until = until
	}
	return w
}

// Merge records that an upstream is warming up, unless it is known that this warm-up is over.
func (w *WarmupTable) Merge(upstream Upstream, report Warmup, now time.Time) {
	if report.Remaining <= 0 || report.PerSecond <= 0 {
		return
	}
	if w.warmups == nil {
		w.warmups = map[key]warmup{}
	}
	w.expire(now)
	k, until := upstream.key(), now.Add(min(report.Remaining, maxWarmup))
	known, ok := w.warmups[k]
	if !ok && len(w.warmups) >= maxUpstreams {
		w.evictOldest()
	}
	w.warmups[k] = known.merge(report.Revision, until)
	if w.warmups[k].until.After(now) {
		w.limits.Merge(upstream, Report{PerSecond: report.PerSecond}, now)
	}
}

// expire drops the limits of upstreams whose warm-up has ended.
func (w *WarmupTable) expire(now time.Time) {
	for k := range w.limits.limits {
		if !w.warmups[k].until.After(now) {
			delete(w.limits.limits, k)
		}
	}
}

// evictOldest removes the warm-up that ended first.
func (w *WarmupTable) evictOldest() {
	var oldest key
	var until time.Time
	for k, known := range w.warmups {
		if until.IsZero() || known.until.Before(until) {
			oldest, until = k, known.until
		}
	}
	delete(w.warmups, oldest)
}

// Allow reports whether a request may be sent to an upstream now by the given share of its
// warm-up limit, and counts the request if so. Otherwise it returns the delay before the next
// attempt.
func (w *WarmupTable) Allow(upstream Upstream, share Share, now time.Time) (wait time.Duration, ok bool) {
	if !w.warmups[upstream.key()].until.After(now) {
		return 0, true
	}
	return w.limits.Allow(upstream, share, now)
}
