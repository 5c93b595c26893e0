package server

import (
	"errors"
	"os"
	"sync"
	"time"
)

// This file bounds how long a connection waits for its client.

// deadline is a deadline for reads or writes: the earlier one of that which net/http or a handler has given, and of that
// which the connection has set itself. The zero time is none.
type deadline struct {
	// apply sets the deadline of the socket.
	apply func(time.Time) error

	mu         sync.Mutex
	given, own time.Time
}

// setGiven sets the deadline of net/http or a handler.
func (d *deadline) setGiven(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.given = t
	return d.apply(d.earlier())
}

// setOwn sets the deadline of the connection.
func (d *deadline) setOwn(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.IsZero() && d.own.IsZero() {
		return
	}
	d.own = t
	_ = d.apply(d.earlier())
}

// earlier returns the earlier deadline. The caller holds mu.
func (d *deadline) earlier() time.Time {
	if d.ownFirst() {
		return d.own
	}
	return d.given
}

// ownFirst reports whether the deadline of the connection is the earlier one. The caller holds mu.
func (d *deadline) ownFirst() bool {
	return !d.own.IsZero() && (d.given.IsZero() || d.own.Before(d.given))
}

// ownPassed reports whether err means that the deadline of the connection has passed.
func (d *deadline) ownPassed(err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return errors.Is(err, os.ErrDeadlineExceeded) && d.ownFirst()
}

// givenDeadline returns the deadline of net/http or a handler.
func (d *deadline) givenDeadline() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.given
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.reads.setGiven(t) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.writes.setGiven(t) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Write bounds the time without progress if no handler has set a deadline. A client that does not read for a while
// makes room for others if connections are scarce.
func (c *conn) Write(p []byte) (int, error) {
	written, progress, interval, unread := 0, time.Now(), min(clientDelay, c.server.stallTimeout), false
	for {
		c.writes.setOwn(time.Now().Add(interval))
		n, err := c.tcpConn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			if unread {
				c.server.conns.setPhase(c, phaseRequest)
			}
			return written, err
		}
		if n > 0 {
			progress = time.Now()
		}
		if c.writeEnds(progress) {
			return written, err
		}
		if !unread {
			unread = true
			c.server.conns.setPhase(c, phaseUnread)
		}
	}
}

// writeEnds reports whether a write without progress since a time must end: at the deadline of the handler, or else
// after the time for a stall.
func (c *conn) writeEnds(progress time.Time) bool {
	if given := c.writes.givenDeadline(); !given.IsZero() {
		return !time.Now().Before(given)
	}
	if time.Since(progress) < c.server.stallTimeout {
		return false
	}
	c.server.closed(ResponseNotRead)
	return true
}
