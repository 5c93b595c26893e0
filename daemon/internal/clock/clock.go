// Package clock is the clock by which the daemons take the ages of what they believe, and
// the times of leases, turns and deadlines.
//
// A host may be suspended for seconds. The steady clock, from which time.Now takes
// differences, does not count that time: a router would take what it believed before for
// fresh, and a version whose time is over for one that may serve on. The time of day counts
// it, but jumps. So the time here is the steady clock's, and on top of that what the kernel's
// boot clock says that the host was suspended for.
//
// The boot clock alone was rejected: it is a system call each time, some fifty for a
// request. It is read each checkEvery of steady time, which bounds how long after a
// suspension it stays unnoticed.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkEvery is how often the boot clock is read while somebody asks for the time.
	checkEvery = 20 * time.Millisecond
	// noise is by how much the two clocks may differ by the order in which they are read.
	noise = 10 * time.Millisecond
)

// Clock tells the time. The zero value is the system's.
type Clock struct {
	// Steady is the time since some moment, without suspensions, and Boot the same with
	// them. Nil means the system's.
	Steady, Boot func() time.Duration

	// checked is when Boot was last read, by Steady; 0 means never. ahead is by how much
	// Boot was ahead of Steady at first, where known says so, and suspended the time added
	// to that since.
	checked, ahead, suspended atomic.Int64
	known                     atomic.Bool
}

// begin is when the process began, by the time of day then. Times of this clock have no
// steady part of their own, and are to be compared with each other only.
var (
	begin  = time.Now()
	system Clock
)

// Now returns the time.
func Now() time.Time { return system.Now() }

// Since returns the time that has passed since a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns for how long the host was suspended since the process began.
func Suspended() time.Duration { return system.Suspended() }

// Now returns the time.
func (c *Clock) Now() time.Time {
	steady := c.steady()
	c.check(steady)
	return begin.Round(0).Add(steady + time.Duration(c.suspended.Load()))
}

// Suspended returns for how long the host was suspended since the clock was first asked.
func (c *Clock) Suspended() time.Duration {
	c.check(c.steady())
	return time.Duration(c.suspended.Load())
}

func (c *Clock) steady() time.Duration {
	if c.Steady != nil {
		return c.Steady()
	}
	return time.Since(begin)
}

// check reads the boot clock if it is time to.
func (c *Clock) check(steady time.Duration) {
	last := c.checked.Load()
	if last != 0 && steady-time.Duration(last) < checkEvery || !c.checked.CompareAndSwap(last, max(int64(steady), 1)) {
		return
	}
	ahead, ok := c.read()
	switch {
	case !ok:
	case c.known.CompareAndSwap(false, true):
		c.ahead.Store(int64(ahead))
	default:
		c.raise(int64(ahead) - c.ahead.Load())
	}
}

// read returns by how much the boot clock is ahead of the steady one. It reports false where
// there is none, or where this thread had to wait between the two.
func (c *Clock) read() (time.Duration, bool) {
	before := c.steady()
	boot, ok := c.boot()
	return boot - before, ok && c.steady()-before <= noise/2
}

func (c *Clock) boot() (time.Duration, bool) {
	if c.Boot != nil {
		return c.Boot(), true
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, false // no such clock: suspensions are not noticed
	}
	return time.Duration(now.Nano()), true
}

// raise raises the time that the host was suspended for.
func (c *Clock) raise(suspended int64) {
	for {
		known := c.suspended.Load()
		if suspended < known+int64(noise) || c.suspended.CompareAndSwap(known, suspended) {
			return
		}
	}
}
