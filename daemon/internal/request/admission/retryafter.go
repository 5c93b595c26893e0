package admission

import (
	"sort"
	"time"
)

// This file computes the Retry-After of refused requests. RetryDetector recognizes a retry by the
// time that has passed since the first attempt, so the minimum delay must exceed the difference
// between the timeouts of first attempts.
//
// Around the deadline of a version, no engine may run requests for some seconds, and then the
// engines become ready within a second or two. First attempts alone need more places than the first
// engines that are ready have. So the returns are spread until shortly after most engines are
// ready, at a rate in proportion to the engines that are ready by then. Returns that end when half of
// the engines are ready arrive at three times the rate of first attempts, and nearly all of them are
// refused again.

// RefusalReason is why a request is refused.
type RefusalReason int

// Values of RefusalReason.
const (
	// EnginesFull means that the response would be late.
	EnginesFull RefusalReason = iota
	// NotReady means that this process or all upstreams in its view cannot serve yet. They
	// will soon, or another process already can.
	NotReady
)

const (
	// MinRetryAfter is the minimum Retry-After of a request refused for overload. Retries that
	// come sooner cannot be told from first attempts and take their places.
	MinRetryAfter = 1200 * time.Millisecond
	// MaxRetryAfter is the maximum Retry-After of such a request. Callers wait for a third of their
	// timeout at most, so a timeout of 6 s leaves no more than 2 s.
	MaxRetryAfter = 1900 * time.Millisecond
	// minNotReady and maxNotReady are the bounds for NotReady. They are shorter, because after
	// a power failure engines are ready and empty before the retries of an overload arrive: 0.5
	// to 1.1 s after their start.
	minNotReady = 500 * time.Millisecond
	maxNotReady = 1300 * time.Millisecond
	// pauseSpread spreads the retries of each rank after a pause of all upstreams, and pauseRanks
	// is the number of ranks that return one after another.
	pauseSpread = 400 * time.Millisecond
	pauseRanks  = 3
	// Returns begin when one in firstReadyShare engines is expected to be ready, and end tailAfterReady
	// after all but one in lastReadyShare are. At the end of a rollout a few hosts with slow links
	// are far behind the others.
	firstReadyShare, lastReadyShare = 8, 8
	// tailAfterReady gives the queue of returns time to drain: right after a rollout the engines have
	// little room beyond first attempts.
	tailAfterReady = time.Second
	// A refused caller is assumed to wait for Retry-After, but at most for its timeout divided
	// by maxWaitDivisor.
	maxWaitDivisor = 3
)

// RetryAfterPause returns the Retry-After of a request that is refused because all upstreams asked
// for a pause, of which the first ends after remaining. The most urgent rank, 0, returns first. A
// uniform variate in [0, 1) spreads the retries of a rank.
func RetryAfterPause(remaining time.Duration, rank int, variate float64) time.Duration {
	step := time.Duration(min(rank, pauseRanks-1)) * pauseSpread
	return max(remaining, minNotReady) + step + time.Duration(variate*float64(pauseSpread))
}

// RetryAfter returns the Retry-After of a refused request. A uniform variate in [0, 1) spreads it, so
// that refused callers do not retry at the same time.
func RetryAfter(reason RefusalReason, variate float64) time.Duration {
	lower, upper := MinRetryAfter, MaxRetryAfter
	if reason == NotReady {
		lower, upper = minNotReady, maxNotReady
	}
	return lower + time.Duration(variate*float64(upper-lower))
}

// Expectation is when the engines of a service are expected to be able to run a request.
type Expectation struct {
	// Ready holds the times until an engine is ready, in ascending order; 0 means now.
	Ready []time.Duration
	// Unknown is the number of engines that are not ready and for which no time is known.
	Unknown int
}

// Window is the time range of the returns of refused callers.
type Window struct{ From, To time.Duration }

// Window returns the time range over which callers return, or false if nothing can be concluded:
// half of the engines are ready, or the time is known for too few of them.
func (e Expectation) Window() (Window, bool) {
	total := len(e.Ready) + e.Unknown
	first := (total+firstReadyShare-1)/firstReadyShare - 1
	if total == 0 || first >= len(e.Ready) || 2*e.readyBy(0) >= total {
		return Window{}, false
	}
	last := min(total-1-total/lastReadyShare, len(e.Ready)-1)
	from := max(e.Ready[first], MinRetryAfter)
	to := max(e.Ready[last]+tailAfterReady, from+MaxRetryAfter-MinRetryAfter)
	return Window{From: from, To: to}, true
}

// RetryAfter returns a time in the window. The density is in proportion to the number of engines
// that are ready by then. A uniform variate in [0, 1) determines the time; a lower one never
// yields a later time.
func (e Expectation) RetryAfter(w Window, variate float64) time.Duration {
	total := 0.0
	e.eachStep(w, func(length time.Duration, ready int) bool {
		total += length.Seconds() * float64(ready)
		return true
	})
	remaining, at := variate*total, w.From
	e.eachStep(w, func(length time.Duration, ready int) bool {
		weight := length.Seconds() * float64(ready)
		if remaining < weight {
			at += time.Duration(remaining / float64(ready) * float64(time.Second))
			return false
		}
		remaining -= weight
		at += length
		return true
	})
	return min(at, w.To)
}

// eachStep calls visit for each part of the window in which the number of ready engines is constant,
// until it returns false.
func (e Expectation) eachStep(w Window, visit func(length time.Duration, ready int) bool) {
	for at := w.From; at < w.To; {
		ready, end := e.readyBy(at), w.To
		if ready < len(e.Ready) {
			end = min(end, e.Ready[ready])
		}
		if !visit(end-at, max(ready, 1)) {
			return
		}
		at = end
	}
}

// readyBy returns the number of engines that are expected to be ready at a time.
func (e Expectation) readyBy(at time.Duration) int {
	return sort.Search(len(e.Ready), func(i int) bool { return e.Ready[i] > at })
}
