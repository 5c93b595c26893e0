package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// callers simulates the requests of one route with a virtual clock.
type callers struct {
	detector admission.RetryDetector
	now      time.Time
	rng      *rand.Rand
}

func newCallers() *callers {
	c := &callers{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2))}
	c.detector.Now = func() time.Time { return c.now }
	return c
}

// timeout draws the timeout of a first attempt, shorter than the longest by up to the given
// fraction.
func (c *callers) timeout(longest time.Duration, spread float64) time.Duration {
	return time.Duration((1 - spread*c.rng.Float64()) * float64(longest))
}

// retryTimeout draws the remaining time of a retry that honored Retry-After.
func (c *callers) retryTimeout(longest time.Duration, spread float64) time.Duration {
	first := c.timeout(longest, spread)
	return first - min(admission.RetryAfter(admission.EnginesFull, c.rng.Float64()), first/3)
}

// countRetries sends requests 100 ms apart and returns how many are classified as retries.
func (c *callers) countRetries(count int, declared time.Duration, remaining func() time.Duration) int {
	retries := 0
	for range count {
		c.now = c.now.Add(100 * time.Millisecond)
		if c.detector.IsRetry(admission.Arrival{Route: "r", Remaining: remaining(), Declared: declared}) {
			retries++
		}
	}
	return retries
}

// TestRetriesAreDistinguishedFromFirstAttempts guards against missed retries and against first
// attempts taken for retries when the timeouts of callers differ and half of all requests are
// retries.
func TestRetriesAreDistinguishedFromFirstAttempts(t *testing.T) {
	for _, spread := range []float64{0, 0.05, 0.15} {
		for _, longest := range []time.Duration{2500 * time.Millisecond, 6 * time.Second, time.Minute} {
			c := newCallers()
			first := func() time.Duration { return c.timeout(longest, spread) }
			distinct := spread*longest.Seconds() < admission.MinRetryAfter.Seconds()
			baseline := c.countRetries(200, 0, first)
			assert.LessOrEqual(t, baseline, 10, "without refusals, %s, %.2f", longest, spread)
			assert.True(t, !distinct || baseline == 0, "without refusals, %s, %.2f", longest, spread)
			firsts, retries := 0, 0
			for range 200 {
				c.detector.RecordRefusal()
				firsts += c.countRetries(1, 0, first)
				retries += c.countRetries(1, 0, func() time.Duration { return c.retryTimeout(longest, spread) })
			}
			assert.Zero(t, firsts, "%s, %.2f", longest, spread)
			if distinct {
				assert.GreaterOrEqual(t, retries, 196, "%s, %.2f", longest, spread)
			}
		}
	}
}

// TestWidelySpreadTimeoutsYieldNoRetries guards against first attempts taken for retries on a route
// whose timeouts are not informative.
func TestWidelySpreadTimeoutsYieldNoRetries(t *testing.T) {
	c := newCallers()
	spread := func() time.Duration { return c.timeout(6*time.Second, 0.9) }
	assert.Less(t, c.countRetries(400, 0, spread), 20)
	c.detector.RecordRefusal()
	assert.Zero(t, c.countRetries(20, 0, spread))
}

// TestDeclaredTimeoutIdentifiesRetriesAfterStart covers a process whose first requests are mostly
// retries. A declared timeout that no request has identifies none.
func TestDeclaredTimeoutIdentifiesRetriesAfterStart(t *testing.T) {
	const longest = 6 * time.Second
	for _, declared := range []time.Duration{longest, time.Minute} {
		c := newCallers()
		firsts, retries := 0, 0
		for i := range 60 {
			c.detector.RecordRefusal()
			if i%4 == 0 {
				firsts += c.countRetries(1, declared, func() time.Duration { return c.timeout(longest, 0.15) })
				continue
			}
			retries += c.countRetries(1, declared, func() time.Duration { return c.retryTimeout(longest, 0.15) })
		}
		assert.Zero(t, firsts, "declared %s", declared)
		if declared == longest {
			assert.Equal(t, 45, retries)
		} else {
			assert.Zero(t, retries)
		}
	}
}

// TestFewLongTimeoutsAreOutliers guards against a few callers with far longer timeouts making all
// others look like retries.
func TestFewLongTimeoutsAreOutliers(t *testing.T) {
	c := newCallers()
	count := 0
	c.countRetries(200, 0, func() time.Duration {
		if count++; count%40 == 0 {
			return time.Hour
		}
		return c.timeout(6*time.Second, 0.15)
	})
	c.detector.RecordRefusal()
	assert.Equal(t, 20, c.countRetries(20, 0, func() time.Duration { return c.retryTimeout(6*time.Second, 0.15) }))
}

// TestSamplesExpireWithUnusedRoute guards against judging new, shorter timeouts by old samples.
func TestSamplesExpireWithUnusedRoute(t *testing.T) {
	c := newCallers()
	c.countRetries(200, 0, func() time.Duration { return c.timeout(6*time.Second, 0) })
	c.now = c.now.Add(2 * time.Minute)
	assert.Zero(t, c.countRetries(100, 0, func() time.Duration { return c.timeout(3*time.Second, 0) }))
}

// TestLateRetriesAreNoBaseline guards against retries of callers that were told a long time: taken
// as first attempts, they would make the route inconclusive.
func TestLateRetriesAreNoBaseline(t *testing.T) {
	const timeout, wait, cycles = 30 * time.Second, 5 * time.Second, 20
	c := newCallers()
	c.countRetries(200, 0, func() time.Duration { return timeout })
	for range cycles {
		c.detector.RecordRefusal()
		c.detector.RecordLongRefusal(wait, timeout)
		c.now = c.now.Add(wait)
		assert.Equal(t, 1, c.countRetries(1, 0, func() time.Duration { return timeout - wait }))
		assert.Zero(t, c.countRetries(1, 0, func() time.Duration { return timeout }))
	}
	// A caller with 30 s left waits for 10 s at most, whatever it was told.
	c.detector.RecordLongRefusal(time.Hour, timeout)
	c.now = c.now.Add(timeout/3 + time.Second)
	assert.Less(t, c.countRetries(20, 0, func() time.Duration { return timeout - wait }), 10, "later samples are a baseline, so that shorter timeouts are noticed")
}
