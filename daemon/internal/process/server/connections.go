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

// endQuiet ends each connection once it carries no request and has been silent for a
// while, because its caller may just be sending one, and returns when all have ended.
func (c *connections) endQuiet(ctx context.Context, quiet time.Duration) {
	for ctx.Err() == nil {
		next, changed := c.closeQuiet(quiet)
		if next == 0 {
			return
		}
		timer := time.NewTimer(next)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// closeQuiet closes the connections that are quiet by now. It returns when to look
// again, 0 where none is left, and what is closed at the next change.
func (c *connections) closeQuiet(quiet time.Duration) (next time.Duration, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	for conn, known := range c.known {
		rest := quiet
		if known.state != http.StateActive {
			rest -= time.Since(known.since)
		}
		if rest <= 0 {
			_ = conn.Close()
			delete(c.known, conn)
			continue
		}
		if next == 0 || rest < next {
			next = rest
		}
	}
	return next, c.changed
}
