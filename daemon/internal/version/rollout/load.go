package rollout

import (
	"fmt"
	"time"
)

// This file decides whether an engine closes ahead of a load, and estimates when it serves its next version.

const (
	// RateWindow is the time over which the rate of arriving chunks is measured: some ten chunks at
	// the rate of a link, and short enough to notice a stall before the engine closes for long.
	RateWindow = 500 * time.Millisecond
	// minEstimate is the shortest time in which an engine that serves no newer version yet is expected to
	// serve one.
	minEstimate = 250 * time.Millisecond
)

// Load is a version that the engine has not loaded, with its scheduled load time.
type Load struct {
	Version int
	At      time.Time
	// HasCopy is set once the manifest is known, and Missing is the number of chunks that this host
	// lacks.
	HasCopy bool
	Missing int
	// PerSecond is the rate at which chunks arrive, 0 if none does.
	PerSecond float64
}

// readyIn returns the time until the copy is expected to be complete, or false if no estimate is possible.
func (l Load) readyIn() (time.Duration, bool) {
	switch {
	case !l.HasCopy:
		return 0, false
	case l.Missing == 0:
		return 0, true
	case l.PerSecond <= 0:
		return 0, false
	}
	return time.Duration(float64(l.Missing) / l.PerSecond * float64(time.Second)), true
}

// Closing is the decision whether a serving engine closes ahead of a load.
type Closing struct {
	// At is the scheduled load time if the engine closes, otherwise zero.
	At time.Time
	// StaysOpenFor is the version whose load is due soon but not expected to happen in time, 0 if
	// there is none, and Reason says why.
	StaysOpenFor int
	Reason       string
}

// Close decides whether an engine closes now: a load is due within the lead time and its copy is complete,
// or expected to be by then. An engine that closes for a load that does not happen refuses
// requests for nothing.
func Close(loads []Load, lead time.Duration, now time.Time) Closing {
	var c Closing
	for _, load := range loads {
		if !now.Before(load.At) || now.Before(load.At.Add(-lead)) {
			continue
		}
		ready, known := load.readyIn()
		switch {
		case known && !now.Add(ready).After(load.At):
			if c.At.IsZero() || load.At.Before(c.At) {
				c.At = load.At
			}
		case c.StaysOpenFor < load.Version:
			c.StaysOpenFor, c.Reason = load.Version, load.lateReason(known, ready, now)
		}
	}
	if !c.At.IsZero() {
		c.StaysOpenFor, c.Reason = 0, ""
	}
	return c
}

func (l Load) lateReason(known bool, ready time.Duration, now time.Time) string {
	due := l.At.Sub(now).Round(time.Millisecond)
	switch {
	case !l.HasCopy:
		return fmt.Sprintf("engine stays open: load due in %s, no manifest yet", due)
	case !known:
		return fmt.Sprintf("engine stays open: load due in %s, %d chunks missing and none arriving", due, l.Missing)
	default:
		return fmt.Sprintf("engine stays open: load due in %s, %d chunks missing and expected in %s", due, l.Missing, ready.Round(time.Millisecond))
	}
}

// Engine is the state of the engine and of its order.
type Engine struct {
	// Loaded is the version that it serves, 0 for none.
	Loaded int
	// Ordered is the version of an order that has not taken effect yet, 0 for none, and OrderedAt when it
	// was sent.
	Ordered   int
	OrderedAt time.Time
	// LoadTime is the time from an order to the engine serving the version, and DrainTime the time
	// from the scheduled load to the order.
	LoadTime, DrainTime time.Duration
}

// Expected is a version that the engine is expected to serve next, and when.
type Expected struct {
	Version int
	At      time.Time
}

// Next returns the version that the engine is expected to serve next, or false if no estimate is possible.
func Next(engine Engine, loads []Load, now time.Time) (Expected, bool) {
	if engine.Ordered > 0 {
		return Expected{engine.Ordered, latest(engine.OrderedAt.Add(engine.LoadTime), now.Add(minEstimate))}, true
	}
	var next Expected
	for _, load := range loads {
		ready, known := load.readyIn()
		if !known {
			continue
		}
		at := now.Add(ready)
		if engine.Loaded > 0 { // an empty engine loads as soon as the copy is complete
			at = latest(at, load.At).Add(engine.DrainTime)
		}
		at = at.Add(engine.LoadTime)
		if next.Version == 0 || at.Before(next.At) || at.Equal(next.At) && load.Version > next.Version {
			next = Expected{load.Version, at}
		}
	}
	return next, next.Version > 0
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
