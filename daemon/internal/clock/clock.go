// Package clock provides a monotonic clock that includes the time of host suspensions. The
// daemons use it for ages of data, leases, schedules and deadlines.
//
// The monotonic clock, from which time.Now takes differences, stops while the host is
// suspended. With it a router would take stale data for fresh after a suspension, and would
// keep using a version that has expired. Wall-clock time includes suspensions but jumps. So
// this clock adds to the monotonic time the suspended time, which it derives from the
// kernel's boot clock.
//
// The boot clock alone was rejected: it costs a system call for each reading. It is read at
// most once in checkInterval, which bounds how long a suspension goes undetected.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the shortest time between two readings of the boot clock.
	checkInterval = 20 * time.Millisecond
	// maxReadSkew is the largest difference of the two clocks that does not count as a suspension,
	// since they are not read at the same instant.
	maxReadSkew = 10 * time.Millisecond
)

// Clock is a monotonic clock that includes suspensions. The zero value reads the clocks of
// the system.
type Clock struct {
	// Monotonic returns the monotonic time, which excludes suspensions, and Boot the time that
	// includes them. Nil means the system's clock.
	Monotonic, Boot func() time.Duration

	// checked is the monotonic time of the last reading of Boot; 0 means never. offset is the
	// initial difference of Boot and Monotonic, valid once calibrated is set. suspended is by how
	// much the difference has grown since.
	checked, offset, suspended atomic.Int64
	calibrated                 atomic.Bool
}

// startTime is the wall-clock time at the start of the process, on which the times of this
// clock are based. They carry no monotonic reading, and can be compared only with each other.
var (
	startTime = time.Now()
	system    Clock
)

// Now returns the current time of the system's clock.
func Now() time.Time { return system.Now() }

// Since returns the time elapsed since a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns how long the host was suspended since the start of the process.
func Suspended() time.Duration { return system.Suspended() }

// Now returns the current time.
func (c *Clock) Now() time.Time {
	monotonic := c.monotonic()
	c.check(monotonic)
	return startTime.Round(0).Add(monotonic + time.Duration(c.suspended.Load()))
}

// Suspended returns how long the host was suspended since the first reading of the clock.
func (c *Clock) Suspended() time.Duration {
	c.check(c.monotonic())
	return time.Duration(c.suspended.Load())
}

func (c *Clock) monotonic() time.Duration {
	if c.Monotonic != nil {
		return c.Monotonic()
	}
	return time.Since(startTime)
}

// check reads the boot clock unless it was read within checkInterval.
func (c *Clock) check(monotonic time.Duration) {
	last := c.checked.Load()
	if last != 0 && monotonic-time.Duration(last) < checkInterval || !c.checked.CompareAndSwap(last, max(int64(monotonic), 1)) {
		return
	}
	offset, ok := c.readOffset()
	switch {
	case !ok:
	case c.calibrated.CompareAndSwap(false, true):
		c.offset.Store(int64(offset))
	default:
		c.raise(int64(offset) - c.offset.Load())
	}
}

// readOffset returns the difference of the boot clock and the monotonic clock. It reports
// false if there is no boot clock, or if the thread was preempted between the readings.
func (c *Clock) readOffset() (time.Duration, bool) {
	before := c.monotonic()
	boot, ok := c.boot()
	return boot - before, ok && c.monotonic()-before <= maxReadSkew/2
}

func (c *Clock) boot() (time.Duration, bool) {
	if c.Boot != nil {
		return c.Boot(), true
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, false // without a boot clock, suspensions are not detected
	}
	return time.Duration(now.Nano()), true
}

// raise raises the suspended time. It ignores lower values, so that the clock never goes back.
func (c *Clock) raise(suspended int64) {
	for {
		current := c.suspended.Load()
		if suspended < current+int64(maxReadSkew) || c.suspended.CompareAndSwap(current, suspended) {
			return
		}
	}
}
