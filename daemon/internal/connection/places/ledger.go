// Package places hands out the places of one engine.
//
// Many routers send to an engine, and each hears of its load some ten
// milliseconds late. Going by that news alone they all take the same free place,
// and their requests wait behind each other while other engines stand idle. So a
// router asks for a place before it sends, and the loader beside the engine, which
// knows the engine's own count and every place that it gave since, says yes or no.
//
// A place that was given and is not used costs nothing for long: it counts only
// until a report shows what became of it. A queue here was rejected, because the
// engine's own orders by priority and sees the requests that came without asking.
package places

import (
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// showsAfter is how long after a place was given the request shows in the
// engine's own count: the answer's way, the request's way and a connection
// between data halls a few milliseconds apart.
const showsAfter = 25 * time.Millisecond

// Load is what an engine says of itself.
type Load struct {
	// Running requests have begun, Waiting ones have not.
	Running, Waiting int
	// Loading says that it serves nothing, or is about to stop serving.
	Loading bool
}

// Limit is how loaded an engine may be for a request to be let in.
type Limit struct {
	// Waiting is how many requests may wait there already.
	Waiting int
	// Taken is how many may wait or run there already.
	Taken int
	// Lasts is how long the request is likely to hold its place, 0 where it is to have one
	// although the engine is soon to take a version.
	Lasts time.Duration
}

// Ledger counts the places of one engine. The zero value gives none until a load
// was observed.
type Ledger struct {
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	mu       sync.Mutex
	load     Load
	observed bool
	// closes is when the engine is to be ordered to take a version, zero if not soon.
	closes time.Time
	// given holds when places were given that the load does not show yet, oldest
	// first.
	given []time.Time
}

// Observe takes what the engine said of itself just now, false where it did not
// answer.
func (l *Ledger) Observe(load Load, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load, l.observed = load, answered
	l.forget()
}

// Close takes when the engine is to be ordered to take a version, zero where that is not
// soon. Requests that are likely to run then get no place.
func (l *Ledger) Close(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closes = at
}

// tooLong reports whether a request would likely run when the engine closes; the caller
// holds mu.
func (l *Ledger) tooLong(limit Limit) bool {
	return !l.closes.IsZero() && limit.Lasts > 0 && helpers.Now(l.Now).Add(limit.Lasts).After(l.closes)
}

// forget drops the places that the load shows by now; the caller holds mu.
func (l *Ledger) forget() {
	shown := helpers.Now(l.Now).Add(-showsAfter)
	first := 0
	for first < len(l.given) && !l.given[first].After(shown) {
		first++
	}
	l.given = l.given[first:]
}

// Take gives a place if the engine's load is within the limit. It returns the
// load that decided, with the places given and not shown yet as waiting.
func (l *Ledger) Take(limit Limit) (Load, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.load
	load.Waiting += len(l.given)
	if !l.observed || load.Loading || l.tooLong(limit) || load.Waiting > limit.Waiting || load.Running+load.Waiting > limit.Taken {
		return load, false
	}
	l.given = append(l.given, helpers.Now(l.Now))
	return load, true
}
