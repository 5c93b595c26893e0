package server

import (
	"container/list"
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

// phase is what a connection is waiting for.
type phase int

const (
	// phaseHead is the phase until the head of a request has arrived, on a new connection from its start.
	phaseHead phase = iota
	// phaseIdle is the phase between two requests.
	phaseIdle
	// phaseBody is the phase in which the body of a request arrives.
	phaseBody
	// phaseRequest is the phase in which a request that has arrived is served.
	phaseRequest
	// phaseUnread is the phase in which the client has not read its response for a while.
	phaseUnread
	phases
)

// connections tracks the phase of each connection of a server. The zero value is ready to
// use.
//
// Lock order: mu is taken last, after that of a HeadBudget.
type connections struct {
	mu      sync.Mutex
	tracked map[net.Conn]*connection
	// inPhase lists the connections of each phase, the one that has been in it for the longest time first.
	inPhase [phases]list.List
	// closed holds the connections that were closed here and that the server has not yet
	// reported as closed.
	closed map[net.Conn]bool
	// drained is closed once no connection remains; nil while no caller waits for that.
	drained chan struct{}
	// limit is the number of connections above which one is closed; 0 means unlimited. It is set
	// before the first connection.
	limit int
	// onEvict is called for each connection that is closed because of the limit. It is set before the first
	// connection, and may be nil.
	onEvict func()
}

type connection struct {
	conn  net.Conn
	phase phase
	// element is the entry in the list of the phase.
	element *list.Element
	// since is when the phase began.
	since time.Time
	// checks counts the idle checks since the phase began.
	checks int
}

// setState records the new state of a connection. It is the server's ConnState hook.
func (c *connections) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		c.remove(conn)
		delete(c.closed, conn)
	case http.StateNew:
		c.enter(conn, phaseHead)
		if c.limit > 0 && len(c.tracked) > c.limit {
			c.evict(conn)
		}
	case http.StateActive:
		c.enter(conn, phaseRequest)
	case http.StateIdle:
		c.enter(conn, phaseIdle)
	}
}

// setPhase records the new phase of a connection that is tracked.
func (c *connections) setPhase(conn net.Conn, p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracked[conn] != nil {
		c.enter(conn, p)
	}
}

// enter moves a connection to a phase; the caller holds mu.
func (c *connections) enter(conn net.Conn, p phase) {
	if c.closed[conn] {
		return
	}
	if c.tracked == nil {
		c.tracked = map[net.Conn]*connection{}
	}
	t := c.tracked[conn]
	if t == nil {
		t = &connection{conn: conn}
		c.tracked[conn] = t
	} else {
		c.inPhase[t.phase].Remove(t.element)
	}
	t.phase, t.since, t.checks = p, time.Now(), 0
	t.element = c.inPhase[p].PushBack(t)
}

// clientDelay is how long a client takes at most to send a request or to read a part of a response, unless it is slow
// or does not mean to.
const clientDelay = time.Second

// evict closes a connection, so that a new one finds room. The caller holds mu.
func (c *connections) evict(added net.Conn) {
	c.closeConn(c.leastUseful(added))
	if c.onEvict != nil {
		c.onEvict()
	}
}

// leastUseful returns the connection to close if there are too many: one whose request is late, or else an idle one, one
// whose request is not late yet, or one whose client does not read its response; of each kind the one that has
// waited for the longest time. If a request is being served on each of the others, it is the added one. The caller
// holds mu.
func (c *connections) leastUseful(added net.Conn) net.Conn {
	now := time.Now()
	late := now.Add(-clientDelay)
	for _, kind := range []struct {
		phase phase
		since time.Time
	}{{phaseHead, late}, {phaseBody, late}, {phaseIdle, now}, {phaseHead, now}, {phaseBody, now}, {phaseUnread, now}} {
		if t := c.oldest(kind.phase, kind.since); t != nil && t.conn != added {
			return t.conn
		}
	}
	return added
}

// maxUnreadSkipped bounds the search for an idle connection without unread data.
const maxUnreadSkipped = 16

// oldest returns the connection that has been in a phase for the longest time, nil if there is none since a time or
// longer. Idle connections with unread data are left out. The caller holds mu.
func (c *connections) oldest(p phase, since time.Time) *connection {
	element := c.inPhase[p].Front()
	for range maxUnreadSkipped {
		if element == nil {
			return nil
		}
		t, ok := element.Value.(*connection)
		if !ok || t.since.After(since) {
			return nil
		}
		if p != phaseIdle || !hasUnreadData(t.conn) {
			return t
		}
		element = element.Next()
	}
	return nil
}

// closeIdleSince closes the connections that have been idle since a time or longer.
func (c *connections) closeIdleSince(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.tracked {
		if tracked.phase == phaseIdle && !tracked.since.After(since) && !hasUnreadData(conn) {
			c.closeConn(conn)
		}
	}
}

// isClosed reports whether a connection was closed here.
func (c *connections) isClosed(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed[conn]
}

// remove stops tracking a connection; the caller holds mu.
func (c *connections) remove(conn net.Conn) {
	if t := c.tracked[conn]; t != nil {
		c.inPhase[t.phase].Remove(t.element)
		delete(c.tracked, conn)
	}
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

// close closes a connection. One that the server has already reported as closed is not recorded, since nothing would
// remove it again.
func (c *connections) close(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracked[conn] != nil {
		c.closeConn(conn)
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
		if tracked.phase != phaseHead && tracked.phase != phaseIdle {
			continue
		}
		tracked.checks++
		if tracked.checks >= idleChecks && hasUnreadData(conn) {
			tracked.checks = 0
		}
		if tracked.checks >= idleChecks {
			c.closeConn(conn)
		}
	}
}
