package admission

import "time"

// This file computes the Retry-After of refused requests. RetryDetector recognizes a retry by the
// time that has passed since the first attempt, so the minimum delay must exceed the difference
// between the timeouts of first attempts.

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
