package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleChecks is the number of consecutive checks that must find a connection idle before it
// is closed. Elapsed time alone would close a connection whose request arrived while the
// process was not scheduled; between two checks the server reads what has arrived.
const idleChecks = 5

// connections tracks the state of each connection of a server. The zero value is ready to
// use.
//
// Lock order: mu is the only lock.
type connections struct {
	mu      sync.Mutex
	tracked map[net.Conn]connection
	// closed holds the connections that were closed here and that the server has not yet
	// reported as closed.
	closed map[net.Conn]bool
	// drained is closed once no connection remains; nil while no caller waits for that.
	drained chan struct{}
	// limit is the number of connections above which idle ones are closed; 0 means unlimited. It is set
	// before the first connection.
	limit int
}

type connection struct {
	state http.ConnState
	// since is when the state changed.
	since time.Time
	// checks counts the idle checks since the state changed.
	checks int
}

// setState records the new state of a connection. It is the server's ConnState hook.
func (c *connections) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracked == nil {
		c.tracked = map[net.Conn]connection{}
	}
	c.tracked[conn] = connection{state: state, since: time.Now()}
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		c.remove(conn)
		delete(c.closed, conn)
	case state == http.StateNew && c.limit > 0 && len(c.tracked) > c.limit:
		c.closeLongestIdle()
	}
}

// closeLongestIdle closes the connection that has been idle for the longest time, so that a new caller finds room.
// The caller holds mu.
func (c *connections) closeLongestIdle() {
	var longest net.Conn
	for conn, tracked := range c.tracked {
		if tracked.state == http.StateIdle && (longest == nil || tracked.since.Before(c.tracked[longest].since)) {
			longest = conn
		}
	}
	if longest != nil && !hasUnreadData(longest) {
		c.closeConn(longest)
	}
}

// closeIdleSince closes the connections that have been idle since a time or longer.
func (c *connections) closeIdleSince(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.tracked {
		if tracked.state == http.StateIdle && !tracked.since.After(since) && !hasUnreadData(conn) {
			c.closeConn(conn)
		}
	}
}

// isClosed reports whether checkIdle has closed a connection.
func (c *connections) isClosed(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed[conn]
}

// remove stops tracking a connection; the caller holds mu.
func (c *connections) remove(conn net.Conn) {
	delete(c.tracked, conn)
	if len(c.tracked) == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}

// drainedChan returns a channel that is closed once no connection remains.
func (c *connections) drainedChan() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	drained := make(chan struct{})
	if len(c.tracked) == 0 {
		close(drained)
		return drained
	}
	c.drained = drained
	return drained
}

// closeIdle closes each connection, but not before it has been idle for idleTimeout, because
// a caller may be about to send a request on it. It returns when no connection remains or
// ctx is done.
func (c *connections) closeIdle(ctx context.Context, idleTimeout time.Duration) {
	drained := c.drainedChan()
	ticker := time.NewTicker(max(idleTimeout/idleChecks, 1))
	defer ticker.Stop()
	for {
		select {
		case <-drained:
			return
		case <-ticker.C:
			c.checkIdle()
		case <-ctx.Done():
			return
		}
	}
}

// closeConn closes a connection; the caller holds mu.
func (c *connections) closeConn(conn net.Conn) {
	_ = conn.Close()
	c.remove(conn)
	if c.closed == nil {
		c.closed = map[net.Conn]bool{}
	}
	c.closed[conn] = true
}

// checkIdle checks all connections once and closes those that idleChecks consecutive checks
// found idle. A connection with unread data is not idle: after a scheduling pause this check
// may run before the server reads a request that has arrived.
func (c *connections) checkIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.tracked {
		if tracked.state == http.StateActive {
			continue
		}
		tracked.checks++
		if tracked.checks >= idleChecks && hasUnreadData(conn) {
			tracked.checks = 0
		}
		c.tracked[conn] = tracked
		if tracked.checks >= idleChecks {
			c.closeConn(conn)
		}
	}
}
