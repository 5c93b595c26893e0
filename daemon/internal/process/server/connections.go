package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections knows what each connection of a server does. The zero value works.
//
// Lock order: mu is the only lock.
type connections struct {
	mu    sync.Mutex
	known map[net.Conn]connection
	// changed is closed at the next change.
	changed chan struct{}
}

type connection struct {
	state http.ConnState
	since time.Time
}

// note takes a change of a connection's state.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil {
		c.known = map[net.Conn]connection{}
	}
	c.known[conn] = connection{state: state, since: time.Now()}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.known, conn)
	}
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// awaitQuiet waits until no connection carries a request and each of the others has
// been silent for a while: its caller may just be sending one.
func (c *connections) awaitQuiet(ctx context.Context, quiet time.Duration) {
	for {
		rest, changed := c.restless(quiet)
		if rest == 0 {
			return
		}
		timer := time.NewTimer(rest)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// restless returns the longest time until a connection can be quiet, 0 where all are,
// and what is closed at the next change.
func (c *connections) restless(quiet time.Duration) (time.Duration, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	rest := time.Duration(0)
	for _, known := range c.known {
		wait := quiet - time.Since(known.since)
		if known.state == http.StateActive {
			wait = quiet
		}
		rest = max(rest, wait)
	}
	return rest, c.changed
}
