package clock

import (
	"context"
	"sync"
	"time"
)

// This file provides a clock that stands still while the process does not run. A process that was stopped by a
// signal or got no processor time heard nothing meanwhile, whatever others sent. By this clock its own standstill
// does not look like their silence.
//
// Rejected: measuring how late a single timer fires. Whether the caller runs before or after that timer when the
// process goes on is a matter of chance.

const (
	// tickInterval is the interval of the ticks of a process that runs, and maxTickGap the longest time
	// between two of them for which the process counts as running.
	tickInterval = 100 * time.Millisecond
	maxTickGap   = 250 * time.Millisecond
)

// RunClock is a clock that stands still while the process does not run, for all but maxTickGap of that time.
// Without ticks it is the clock on which it is based. The zero value is ready to use.
type RunClock struct {
	// Base is the clock that goes on; nil means Now.
	Base func() time.Time

	mu sync.Mutex
	// tickedAt is when the last tick was recorded, zero before the first, and stopped how long the process
	// had not run by then.
	tickedAt time.Time
	stopped  time.Duration
}

var systemRunClock RunClock

// RunningNow returns the current time of the process's RunClock. It can be compared only with times of this clock.
func RunningNow() time.Time { return systemRunClock.Now() }

// Stopped returns for how long this process has not run, as far as its RunClock has measured it.
func Stopped() time.Duration { return systemRunClock.Stopped() }

// MeasureStops ticks the process's RunClock until the context ends.
func MeasureStops(ctx context.Context) { systemRunClock.Run(ctx) }

// Run ticks until the context ends.
func (c *RunClock) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		c.Tick()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Tick records that the process runs.
func (c *RunClock) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.base()
	c.stopped = c.stoppedAt(now)
	c.tickedAt = now
}

// Now returns the current time.
func (c *RunClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.base()
	return now.Add(-c.stoppedAt(now))
}

// Stopped returns for how long the process has not run.
func (c *RunClock) Stopped() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stoppedAt(c.base())
}

// stoppedAt returns how long the process had not run by a time after the last tick. The caller holds mu.
func (c *RunClock) stoppedAt(now time.Time) time.Duration {
	if c.tickedAt.IsZero() {
		return c.stopped
	}
	return c.stopped + max(now.Sub(c.tickedAt)-maxTickGap, 0)
}

func (c *RunClock) base() time.Time {
	if c.Base != nil {
		return c.Base()
	}
	return Now()
}
