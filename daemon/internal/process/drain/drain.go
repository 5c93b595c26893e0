// Package drain decides which work a stopping process still begins. The processes that answer callers
// start it when they stop, and ask it about each request and each further send of one.
//
// At the end of a drain the connections of callers are closed. A request that is in progress then is cut,
// although it has run, so work begins only if it is expected to end before. Rejecting all requests from the
// start of a drain was considered: load balancers and callers learn of it only after seconds, and most
// requests that arrive until then are short enough.
package drain

import (
	"context"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
)

// responseMargin is how long before the end of a drain its work must be done, so that responses reach callers
// before their connections are closed.
const responseMargin = 400 * time.Millisecond

// Drain is the drain of one process. The zero value and nil are those of a process that is not stopping.
//
// Lock order: mu is the only lock.
type Drain struct {
	mu sync.Mutex
	// end is when all work must be done, zero while the process is not stopping or may take any time.
	end time.Time
	// closed is set once callers can open no connections.
	closed bool
	// expired is done at end. It is nil until it is needed.
	expired context.Context //nolint:containedctx // its life is that of the process
	expire  context.CancelFunc
}

// Begin starts the drain of a process that closes the connections of callers when ctx is done. The returned
// function releases its resources.
func (d *Drain) Begin(ctx context.Context) (stop func()) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	remaining := time.Until(deadline) - responseMargin
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initExpired()
	d.end = clock.Now().Add(remaining)
	timer := time.AfterFunc(remaining, d.expire)
	return func() { timer.Stop() }
}

// CloseToNewCallers records that callers can open no more connections. Requests arrive only on those that were
// in use before, and their callers reach another process by opening a new one.
func (d *Drain) CloseToNewCallers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

// Expired returns a context that is done when all work must be done.
func (d *Drain) Expired() context.Context {
	if d == nil {
		return context.Background()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initExpired()
	return d.expired
}

// initExpired creates the context; the caller holds mu.
func (d *Drain) initExpired() {
	if d.expired == nil {
		d.expired, d.expire = context.WithCancel(context.Background()) //nolint:gosec // a process that never stops never cancels it
	}
}

// Accepts reports whether a request that has arrived may begin, by the time that it is expected to take and its
// deadline, which ends it for certain. Once callers can open no connections only the deadline counts, because refusing the
// request costs its caller no more than a new connection.
func (d *Drain) Accepts(expected time.Duration, deadline time.Time) bool {
	if d == nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.end.IsZero() || !deadline.After(d.end) {
		return true
	}
	return !d.closed && d.fits(expected)
}

// Remaining returns the time until all work must be done, and false if the process is not stopping.
func (d *Drain) Remaining() (time.Duration, bool) {
	if d == nil {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return clock.Until(d.end), !d.end.IsZero()
}

// Fits reports whether work that is expected to take a time ends before the drain does.
func (d *Drain) Fits(expected time.Duration) bool {
	if d == nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fits(expected)
}

// fits is Fits; the caller holds mu.
func (d *Drain) fits(expected time.Duration) bool {
	return d.end.IsZero() || clock.Until(d.end) >= expected
}
