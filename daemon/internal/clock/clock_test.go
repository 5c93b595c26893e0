package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
)

// host simulates the monotonic clock and the boot clock of a host.
type host struct{ monotonic, boot time.Duration }

func (h *host) clock() *clock.Clock {
	return &clock.Clock{Monotonic: func() time.Duration { return h.monotonic }, Boot: func() time.Duration { return h.boot }}
}

func (h *host) run(d time.Duration) {
	h.monotonic += d
	h.boot += d
}

// TestClockIncludesSuspensions guards against a suspension that is omitted or added twice.
func TestClockIncludesSuspensions(t *testing.T) {
	h := &host{monotonic: time.Second, boot: time.Hour}
	c := h.clock()
	start := c.Now()
	h.run(time.Second)
	assert.Equal(t, time.Second, c.Now().Sub(start))
	assert.Zero(t, c.Suspended())

	h.boot += 5 * time.Second
	h.run(time.Second)
	assert.Equal(t, 7*time.Second, c.Now().Sub(start))
	assert.Equal(t, 5*time.Second, c.Suspended())
	h.run(time.Second)
	assert.Equal(t, 8*time.Second, c.Now().Sub(start))
}

// TestClockIsMonotonic guards, for random sequences of suspensions, against a clock that goes back
// or misses suspended time.
func TestClockIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &host{monotonic: time.Second, boot: time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "boot"))}
		c := h.clock()
		previous, suspended := c.Now(), time.Duration(0)
		first := previous
		ran := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "suspended") {
				d := time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "for"))
				h.boot += d
				suspended += d
			}
			d := time.Duration(rapid.Int64Range(0, 1e8).Draw(t, "ran"))
			ran += d
			h.run(d)
			now := c.Now()
			assert.False(t, now.Before(previous))
			previous = now
		}
		h.run(time.Second)
		assert.InDelta(t, float64(ran+suspended+time.Second), float64(c.Now().Sub(first)), float64(10*time.Millisecond), "the clock includes all suspensions but for the read skew")
	})
}

func TestSystemClockAgreesWithTimeNow(t *testing.T) {
	before, now := time.Now(), clock.Now()
	assert.Less(t, clock.Since(now), time.Hour)
	assert.Less(t, clock.Until(now), time.Hour)
	assert.InDelta(t, 0, float64(now.Sub(before)), float64(time.Hour))
	assert.GreaterOrEqual(t, clock.Suspended(), time.Duration(0))
}
