package ratelimit

import "time"

// This file limits requests to upstreams during warm-up. For some seconds after its start an
// upstream sustains only a low request rate and collapses above it. When a hall recovers, its
// upstreams are idle as well as cold, and load balancing would direct all routers to them.
//
// The warm-up limit is counted in the same way as a limit stated in responses, by the loader or
// by router shares. The two are kept in separate tables, because a response without a limit
// lifts a stated limit but not the warm-up limit.

// maxWarmup bounds the warm-up time that a single report may claim.
const maxWarmup = 5 * time.Minute

// Warmup reports that an upstream is warming up.
type Warmup struct {
	// PerSecond is the request rate that it sustains, Remaining the time until it is warm.
	PerSecond float64
	Remaining time.Duration
}

// WarmupTable holds the warm-up limits of upstreams. The zero value is empty and ready to use. It
// is not safe for concurrent use.
type WarmupTable struct {
	limits Table
	// until is the end of each upstream's warm-up.
	until map[key]time.Time
}

// Merge records that an upstream is warming up. Of several reported ends the latest counts.
func (w *WarmupTable) Merge(upstream Upstream, warmup Warmup, now time.Time) {
	if warmup.Remaining <= 0 || warmup.PerSecond <= 0 {
		return
	}
	if w.until == nil {
		w.until = map[key]time.Time{}
	}
	w.expire(now)
	if until := now.Add(min(warmup.Remaining, maxWarmup)); until.After(w.until[upstream.key()]) {
		w.until[upstream.key()] = until
	}
	w.limits.Merge(upstream, Report{PerSecond: warmup.PerSecond}, now)
}

// expire drops upstreams whose warm-up has ended.
func (w *WarmupTable) expire(now time.Time) {
	for k, until := range w.until {
		if !until.After(now) {
			delete(w.until, k)
			delete(w.limits.limits, k)
		}
	}
}

// Allow reports whether a request may be sent to an upstream now by the given share of its
// warm-up limit, and counts the request if so. Otherwise it returns the delay before the next
// attempt.
func (w *WarmupTable) Allow(upstream Upstream, share Share, now time.Time) (wait time.Duration, ok bool) {
	if !w.until[upstream.key()].After(now) {
		return 0, true
	}
	return w.limits.Allow(upstream, share, now)
}
