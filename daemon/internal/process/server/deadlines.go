package server

import (
	"errors"
	"os"
	"time"
)

// This file bounds how long a connection waits for its client. Handlers and net/http set deadlines of their own; the
// earlier one counts.

// Write bounds the time without progress if no handler has set a deadline. A client that does not read for a while
// makes room for others if connections are scarce.
func (c *conn) Write(p []byte) (int, error) {
	written, progress, interval, unread := 0, time.Now(), min(clientDelay, c.server.stallTimeout), false
	for {
		c.setOwnWriteDeadline(time.Now().Add(interval))
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			if unread {
				c.server.conns.leave(c, phaseUnread, phaseRequest)
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
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeDeadline.IsZero() {
		return !time.Now().Before(c.writeDeadline)
	}
	if time.Since(progress) < c.server.stallTimeout {
		return false
	}
	c.server.closed(ResponseNotRead)
	return true
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = deadline
	return c.Conn.SetWriteDeadline(earlier(c.writeDeadline, c.ownWriteDeadline))
}

// setOwnWriteDeadline sets a deadline for the current write.
func (c *conn) setOwnWriteDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownWriteDeadline = deadline
	_ = c.Conn.SetWriteDeadline(earlier(c.writeDeadline, c.ownWriteDeadline))
}

// earlier returns the earlier one of two deadlines, of which the zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	return c.applyReadDeadline()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

func (c *conn) setOwnDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownDeadline = deadline
	_ = c.applyReadDeadline()
}

// applyReadDeadline sets the earlier deadline. The caller holds mu.
func (c *conn) applyReadDeadline() error {
	return c.Conn.SetReadDeadline(earlier(c.readDeadline, c.ownDeadline))
}

// ownDeadlinePassed reports whether err means that ownDeadline has passed, and not one that net/http set.
func (c *conn) ownDeadlinePassed(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Is(err, os.ErrDeadlineExceeded) && !c.ownDeadline.IsZero() && (c.readDeadline.IsZero() || c.ownDeadline.Before(c.readDeadline))
}
