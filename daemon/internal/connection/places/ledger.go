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
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
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
	// Wait is after what time to ask again, where no place was given because the engine's
	// limit is used up, else 0.
	Wait time.Duration
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

// Question is what a router asks.
type Question struct {
	Limit
	// Engine is the start of the engine that the place is to be at, and Known what the router
	// knows of its limit, nil for nothing.
	Engine ratelimit.Upstream
	Known  *ratelimit.Report
	// Cold says that the router takes the engine for cold, nil where it does not.
	Cold *ratelimit.Warmup
}

// Ledger counts the places of one engine. The zero value gives none until a load
// was observed.
type Ledger struct {
	// Now is the clock; nil means clock.Now.
	Now func() time.Time
	// OnLimit is told what changes of the engine's limit. It may be nil.
	OnLimit func(engine ratelimit.Upstream, change ratelimit.Change)

	mu       sync.Mutex
	load     Load
	observed bool
	// closes is when the engine is to be ordered to take a version, zero if not soon.
	closes time.Time
	// given holds when places were given that the load does not show yet, oldest
	// first.
	given []time.Time
	// limits holds that of the engine, by its starts.
	limits ratelimit.Table
	// warming bounds what it gets while it is cold.
	warming ratelimit.WarmupTable
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

// Take gives a place if the engine's load is within the limit, and what it takes from all
// routers in a second is not used up. It returns the load that decided, with the places given
// and not shown yet as waiting.
func (l *Ledger) Take(question Question) (Load, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(question)
	load, fits := l.fits(question.Limit)
	if !fits {
		return load, false
	}
	now := helpers.Now(l.Now)
	wait, ok := l.warming.Allow(question.Engine, ratelimit.FullShare, now)
	if ok {
		wait, ok = l.limits.Allow(question.Engine, ratelimit.FullShare, now)
	}
	if !ok {
		load.Wait = max(wait, time.Millisecond)
		return load, false
	}
	l.given = append(l.given, now)
	return load, true
}

// learn takes what a router knows of the engine; the caller holds mu.
func (l *Ledger) learn(question Question) {
	if question.Cold != nil {
		l.warming.Merge(question.Engine, *question.Cold, helpers.Now(l.Now))
	}
	if question.Known == nil {
		return
	}
	change := l.limits.Merge(question.Engine, *question.Known, helpers.Now(l.Now))
	if change.Changed && l.OnLimit != nil {
		l.OnLimit(question.Engine, change)
	}
}

// Known returns what is known of an engine's limit, nil for nothing.
func (l *Ledger) Known(engine ratelimit.Upstream) *ratelimit.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	note, ok := l.limits.Report(engine, helpers.Now(l.Now))
	if !ok {
		return nil
	}
	return &note
}

// fits reports whether the engine's load is within the limit; the caller holds mu.
func (l *Ledger) fits(limit Limit) (Load, bool) {
	load := l.load
	load.Waiting += len(l.given)
	closed := !l.observed || load.Loading || l.tooLong(limit)
	return load, !closed && load.Waiting <= limit.Waiting && load.Running+load.Waiting <= limit.Taken
}
