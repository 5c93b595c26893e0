// Package backoff records the daemons that are not called for a while after a failed call.
package backoff

import (
	"net/netip"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// List holds the daemons that are in backoff. The zero value is empty and ready to use.
type List struct {
	mu sync.Mutex
	// until holds when the backoff of each daemon ends.
	until map[netip.AddrPort]time.Time
}

// Add puts a daemon in backoff for a duration. A nil clock stands for clock.Now.
func (l *List) Add(daemon netip.AddrPort, duration time.Duration, clock func() time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = map[netip.AddrPort]time.Time{}
	}
	l.until[daemon] = helpers.Now(clock).Add(duration)
}

// Has reports whether a daemon is in backoff, and removes it from the list once the backoff is over.
func (l *List) Has(daemon netip.AddrPort, clock func() time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.until[daemon]
	if ok && !helpers.Now(clock).Before(until) {
		delete(l.until, daemon)
		return false
	}
	return ok
}
