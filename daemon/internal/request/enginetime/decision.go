package enginetime

import "time"

// endFraction is the part of the time until the deadline within which the answer is expected to end.
// The stated length of an answer is right at the median only. In ten replays of package places, 0.85
// cuts two thirds as many streams on slow engines as 1 does and serves more streams in time, while
// with 0.7 more requests are refused at 0.8 of the capacity.
const endFraction = 0.85

// Limits are the times within which a request must be served, from now on; 0 means unknown.
type Limits struct {
	// First is the time until the objective of the first byte, Gap the longest gap between events,
	// and Left the time until the caller's deadline.
	First, Gap, Left time.Duration
}

// Reason is the limit that a request would exceed on an engine, "" for none.
type Reason string

// Values of Reason.
const (
	FirstByte Reason = "first"
	Gap       Reason = "gap"
	End       Reason = "end"
)

// Denial is why an engine denies a request.
type Denial struct {
	// Reason is the exceeded limit, "" if the request is not denied.
	Reason Reason
	// Estimate is the estimate that exceeds it.
	Estimate time.Duration
}

// Decide decides whether an engine can serve a request within its limits.
//
// On a slow engine all limits apply, to the deadline with a margin. On one as fast as declared, Early denies a long answer that
// would end after its caller's deadline, but would end in time on an idle engine: an emptier one
// may be found in the search. Everything else is granted there.
func Decide(e Engine, load Load, r Request, limits Limits, early bool) Denial {
	if limits == (Limits{}) || !e.Known() {
		return Denial{}
	}
	estimate := e.Estimate(load, r)
	if e.Slow() {
		return estimate.exceeds(limits)
	}
	inTime := Limits{Left: limits.Left}
	if early && e.Estimate(Load{}, r).exceeds(inTime).Reason == "" {
		return estimate.exceeds(inTime)
	}
	return Denial{}
}

// exceeds returns the first limit that an estimate exceeds. The end comes last, because a search
// may ignore it.
func (e Estimate) exceeds(limits Limits) Denial {
	switch {
	case limits.First > 0 && e.FirstByte > limits.First:
		return Denial{FirstByte, e.FirstByte}
	case limits.Gap > 0 && e.Gap > limits.Gap:
		return Denial{Gap, e.Gap}
	case limits.Left > 0 && float64(e.End) > endFraction*float64(limits.Left):
		return Denial{End, e.End}
	default:
		return Denial{}
	}
}
