package ratelimit

import "time"

// This file bounds what upstreams get while they are cold: for some seconds after a start
// one carries few requests a second, from all routers together, and collapses above that.
// When a hall comes back at once its upstreams are cold and stand idle, which draws all
// routers there. The sum is counted as that of a named limit is, by the loader beside the
// upstream; routers take shares where it does not answer. Answers end a named limit, and say
// nothing of this one, so the two are kept apart.

// longestCold bounds the time for which an upstream is taken for cold by what one message
// says.
const longestCold = 5 * time.Minute

// Cold says that an upstream is cold.
type Cold struct {
	// PerSecond is the requests a second that it carries, and Left how much longer.
	PerSecond float64
	Left      time.Duration
}

// Warming is the upstreams that are cold. The zero value is empty and ready to use. It is not
// safe for use by several goroutines.
type Warming struct {
	limits Table
	// until is when each is warm.
	until map[key]time.Time
}

// Told takes that an upstream is cold. Of several times the latest counts.
func (w *Warming) Told(upstream Upstream, cold Cold, now time.Time) {
	if cold.Left <= 0 || cold.PerSecond <= 0 {
		return
	}
	if w.until == nil {
		w.until = map[key]time.Time{}
	}
	w.forget(now)
	if until := now.Add(min(cold.Left, longestCold)); until.After(w.until[upstream.key()]) {
		w.until[upstream.key()] = until
	}
	w.limits.Told(upstream, Note{PerSecond: cold.PerSecond}, now)
}

// forget drops upstreams that are warm.
func (w *Warming) forget(now time.Time) {
	for known, until := range w.until {
		if !until.After(now) {
			delete(w.until, known)
			delete(w.limits.limits, known)
		}
	}
}

// Allow reports whether a request may go to an upstream now, by some share of what it
// carries, and counts it. Else it returns after what time to ask again.
func (w *Warming) Allow(upstream Upstream, share Share, now time.Time) (wait time.Duration, ok bool) {
	if !w.until[upstream.key()].After(now) {
		return 0, true
	}
	return w.limits.Allow(upstream, share, now)
}
