// Package helpers provides small functions that packages of all parts of the
// daemons share.
package helpers

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
)

// Pause sleeps and returns true, or returns false as soon as stop is closed. Stop
// may be the Done channel of a context or the Dying channel of a tomb.
func Pause(duration time.Duration, stop <-chan struct{}) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

// NewBackoff returns an exponential backoff whose interval grows from first to longest. Each delay
// has jitter of half the interval.
func NewBackoff(first, longest time.Duration) *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = first, longest
	return delays
}

// Now returns the time of a clock. A nil clock stands for clock.Now.
func Now(now func() time.Time) time.Time {
	if now != nil {
		return now()
	}
	return clock.Now()
}

// Stopped returns for how long the process has not run by the given function, or by package clock if it is nil.
func Stopped(stopped func() time.Duration) time.Duration {
	if stopped != nil {
		return stopped()
	}
	return clock.Stopped()
}

// OrDefault returns value, or fallback if value is the zero value.
func OrDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
