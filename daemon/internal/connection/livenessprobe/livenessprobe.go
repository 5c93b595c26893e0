// Package livenessprobe tells an upstream that ended from a connection that did.
//
// A connection breaks in the same way where its upstream ended, where it was reset on the
// way, and where a sound upstream gave up one answer. What follows tells: nobody listens
// at the address of a process that ended, until it is started again some seconds later.
// Silence tells nothing, because a host that was cut off is as silent as one without power.
//
// The entry in the store was rejected as the sign: it goes some heartbeats later, and of
// an upstream that starts again under its id it does not go at all.
package livenessprobe

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// endedStays is how long a finding that an upstream ended stands for others that ask: all
// its connections break within a few milliseconds, and it is back after some hundred.
const endedStays = 100 * time.Millisecond

// Probe checks upstreams whose connections broke. Dial must be set.
type Probe struct {
	Dial dial.Func
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	mu sync.Mutex
	// looks holds the look under way or the last one at each address.
	looks map[netip.AddrPort]*look
}

// look is one look at an address.
type look struct {
	// done is closed when ended and until are set.
	done  chan struct{}
	ended bool
	// until is how long the finding stands.
	until time.Time
}

// Ended reports whether nobody listens at an upstream's address, for a connection to it
// that broke just now. Those that ask together share one look.
func (p *Probe) Ended(ctx context.Context, upstream netip.AddrPort) bool {
	l, own := p.join(upstream)
	if own {
		l.ended = p.refused(ctx, upstream)
		l.until = helpers.Now(p.Now).Add(endedStays)
		close(l.done)
	}
	<-l.done
	return l.ended
}

// join returns the look to wait for, and whether it is the caller's to carry out.
func (p *Probe) join(upstream netip.AddrPort) (*look, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	if known, ok := p.looks[upstream]; ok {
		return known, false
	}
	if p.looks == nil {
		p.looks = map[netip.AddrPort]*look{}
	}
	own := &look{done: make(chan struct{})}
	p.looks[upstream] = own
	return own, true
}

// forget drops findings that do not stand any more; the caller holds mu. That an upstream
// listens stands for nobody: it may have ended since.
func (p *Probe) forget() {
	now := helpers.Now(p.Now)
	for address, l := range p.looks {
		select {
		case <-l.done:
			if !l.ended || !now.Before(l.until) {
				delete(p.looks, address)
			}
		default:
		}
	}
}

// refused reports whether a connection to the address is refused.
func (p *Probe) refused(ctx context.Context, upstream netip.AddrPort) bool {
	connection, err := p.Dial(ctx, "tcp", upstream.String())
	if err == nil {
		_ = connection.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
