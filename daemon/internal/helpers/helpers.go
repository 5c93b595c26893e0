// Package helpers holds the few small functions that parts of every life span
// need.
package helpers

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
)

// Pause waits and reports true, or false when stop closes first. A context's
// Done and a tomb's Dying are both fit to stop it.
func Pause(wait time.Duration, stop <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

// Now reads a clock that may be nil, which stands for package clock.
func Now(now func() time.Time) time.Time {
	if now != nil {
		return now()
	}
	return clock.Now()
}

// OrDefault returns value, or fallback where value is the zero value.
func OrDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
