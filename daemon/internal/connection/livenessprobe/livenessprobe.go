// Package livenessprobe distinguishes a crash of an upstream from a broken connection.
//
// A connection breaks in the same way when the upstream crashed, when the network reset the
// connection, and when a healthy upstream aborted one response. The probe dials the
// upstream's address: a refused connection means that no process listens, until the upstream
// restarts some seconds later. A timeout is inconclusive, because a host that was cut off
// cannot be distinguished from a host without power.
//
// The upstream's record in the store was rejected as the signal. It expires some heartbeats
// later, and stays if the upstream restarts under the same id.
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

// crashTTL is how long a detected crash is cached. It covers all connections of the
// upstream, which break within milliseconds, and is shorter than a restart.
const crashTTL = 100 * time.Millisecond

// State is what a check found at the address of an upstream. The zero value means that there was
// no check.
type State string

// Values of State.
const (
	Listening State = "listening" // a process accepts connections
	Crashed   State = "crashed"   // connections are refused
	Unknown   State = "unknown"   // no answer, or another error
)

// ErrClosedByCrash means that an upstream crashed when it closed the connection that was to mark
// the end of its response.
var ErrClosedByCrash = errors.New("the upstream crashed at the end of a response with neither a length nor chunks")

// Probe checks the addresses of upstreams whose connections broke. Dial must be set.
type Probe struct {
	Dial dial.Func
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	mu sync.Mutex
	// checks holds the check in progress or the last check of each address.
	checks map[netip.AddrPort]*check
}

// check is one dial of an address.
type check struct {
	// done is closed when state and until are set.
	done  chan struct{}
	state State
	// until is when the result expires.
	until time.Time
}

// Check returns the state of an upstream whose connection broke or was closed just now. Concurrent
// calls for an address share one check.
func (p *Probe) Check(ctx context.Context, upstream netip.AddrPort) State {
	c, created := p.join(upstream)
	if created {
		c.state = p.dial(ctx, upstream)
		c.until = helpers.Now(p.Now).Add(crashTTL)
		close(c.done)
	}
	<-c.done
	return c.state
}

// join returns the check to wait for, and whether the caller has to run it.
func (p *Probe) join(upstream netip.AddrPort) (*check, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune()
	if existing, ok := p.checks[upstream]; ok {
		return existing, false
	}
	if p.checks == nil {
		p.checks = map[netip.AddrPort]*check{}
	}
	created := &check{done: make(chan struct{})}
	p.checks[upstream] = created
	return created, true
}

// prune drops expired results. A result other than a crash is dropped at once, since
// the upstream may crash at any time. The caller holds mu.
func (p *Probe) prune() {
	now := helpers.Now(p.Now)
	for addr, c := range p.checks {
		select {
		case <-c.done:
			if c.state != Crashed || !now.Before(c.until) {
				delete(p.checks, addr)
			}
		default:
		}
	}
}

// dial opens a connection to the address and closes it at once.
func (p *Probe) dial(ctx context.Context, upstream netip.AddrPort) State {
	conn, err := p.Dial(ctx, "tcp", upstream.String())
	switch {
	case err == nil:
		_ = conn.Close()
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return Crashed
	default:
		return Unknown
	}
}
