// Package backoff remembers which daemons not to call for a while, because they did not
// answer of late.
package backoff

import (
	"net/netip"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// List holds the daemons that are not called. The zero value is empty and ready to use.
type List struct {
	mu sync.Mutex
	// until holds when each may be called again.
	until map[netip.AddrPort]time.Time
}

// Add keeps a daemon from being called for some time. Clock may be nil, which means clock.Now.
func (l *List) Add(daemon netip.AddrPort, rest time.Duration, clock func() time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = map[netip.AddrPort]time.Time{}
	}
	l.until[daemon] = helpers.Now(clock).Add(rest)
}

// Has reports whether a daemon is not to be called now.
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
