package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// quietLooks is in how many looks, one after the other, a connection must be silent to be
// ended. By the clock alone one would be ended whose request came while the process stood
// still; what has come is read between two looks.
const quietLooks = 5

// connections knows what each connection of a server does. The zero value works.
//
// Lock order: mu is the only lock.
type connections struct {
	mu    sync.Mutex
	known map[net.Conn]connection
	// ended are the connections that were closed here and whose server has not noticed yet.
	ended map[net.Conn]bool
	// none is closed once no connection is left; nil while nobody waits for that.
	none chan struct{}
}

type connection struct {
	state http.ConnState
	// silent counts the looks since the state changed.
	silent int
}

// note takes a change of a connection's state.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil {
		c.known = map[net.Conn]connection{}
	}
	c.known[conn] = connection{state: state}
	if state == http.StateClosed || state == http.StateHijacked {
		c.forget(conn)
		delete(c.ended, conn)
	}
}

// hasEnded reports whether a connection was closed here.
func (c *connections) hasEnded(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended[conn]
}

// forget drops a connection; the caller holds mu.
func (c *connections) forget(conn net.Conn) {
	delete(c.known, conn)
	if len(c.known) == 0 && c.none != nil {
		close(c.none)
		c.none = nil
	}
}

// gone returns a channel that is closed once no connection is left.
func (c *connections) gone() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	none := make(chan struct{})
	if len(c.known) == 0 {
		close(none)
		return none
	}
	c.none = none
	return none
}

// endQuiet ends each connection once it carries no request and has been silent for a
// while, because its caller may just be sending one, and returns when all have ended.
func (c *connections) endQuiet(ctx context.Context, quiet time.Duration) {
	none := c.gone()
	look := time.NewTicker(max(quiet/quietLooks, 1))
	defer look.Stop()
	for {
		select {
		case <-none:
			return
		case <-look.C:
			c.closeQuiet()
		case <-ctx.Done():
			return
		}
	}
}

// end closes a connection; the caller holds mu.
func (c *connections) end(conn net.Conn) {
	_ = conn.Close()
	c.forget(conn)
	if c.ended == nil {
		c.ended = map[net.Conn]bool{}
	}
	c.ended[conn] = true
}

// closeQuiet is one look at the connections: it closes those that were silent in enough
// of them. What has come and was not read yet is no silence: a process that stood still
// looks before it reads, and closed a connection 56 ms after its request had been sent.
func (c *connections) closeQuiet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, known := range c.known {
		if known.state == http.StateActive {
			continue
		}
		known.silent++
		if known.silent >= quietLooks && hasUnread(conn) {
			known.silent = 0
		}
		c.known[conn] = known
		if known.silent >= quietLooks {
			c.end(conn)
		}
	}
}
