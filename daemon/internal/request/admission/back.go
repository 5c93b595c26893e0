package admission

import "time"

// This file says when a refused caller is to come back. It answers an overload that lasts: a
// caller who comes back is known by the time that has gone, so nobody is to come sooner than
// first times differ. At 1.25 times what 45 engines bear callers told 0.3 to 0.9 s leave
// 0.629 of the worth, those told 1.2 to 1.9 s 0.732, and later ones no more (package lab).
// Callers wait for a third of their time at most, so 6 s leave no more than 2 s.

// Why is why a caller is refused.
type Why int

// The reasons.
const (
	// EnginesFull means that an answer would be late.
	EnginesFull Why = iota
	// NotReady means that this process, or all upstreams that it knows, cannot serve yet:
	// soon they can, or another process can now.
	NotReady
)

const (
	// ShortestReturn is the soonest that a caller refused in an overload is told to come
	// back.
	ShortestReturn = 1200 * time.Millisecond
	// LongestReturn is the latest that any caller is told to.
	LongestReturn = 1900 * time.Millisecond
	// soonReturn and latestSoon are the same for callers refused because nothing is ready.
	// After a loss of power routers know their configuration within 0.3 s of their start
	// and engines serve 0.5 to 1.1 s after it, empty, while who is told of an overload comes
	// back when all others do.
	soonReturn = 500 * time.Millisecond
	latestSoon = 1300 * time.Millisecond
	// mostWait is the part of their time, as a divisor, for which callers wait as told.
	mostWait = 3
)

// Back is when a refused caller is to come back, by a number drawn from 0 to 1: refused
// callers are not to come back together.
func Back(why Why, drawn float64) time.Duration {
	least, most := ShortestReturn, LongestReturn
	if why == NotReady {
		least, most = soonReturn, latestSoon
	}
	return least + time.Duration(drawn*float64(most-least))
}
