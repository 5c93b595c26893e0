package server

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/framing"
)

const (
	// defaultMaxHeadBytes bounds the head of a request if neither the options nor the configuration do.
	defaultMaxHeadBytes = 64 << 10
	// largestHeadBytes bounds the head of a request whatever the configuration says.
	largestHeadBytes = 16 << 20
	// requestLineBytes is what a head may take in addition to its limit, which is one of the header lines.
	requestLineBytes = 4 << 10
	// maxEmptyLineBytes is how many bytes of empty lines may precede a request.
	maxEmptyLineBytes = 8
	// defaultHeadTimeout bounds the time in which a head must arrive, and silentTimeout that until the first byte
	// arrives on a new connection.
	defaultHeadTimeout, silentTimeout = 10 * time.Second, 10 * time.Second
	// defaultStallTimeout bounds the time without progress while a body arrives or a response is written.
	defaultStallTimeout = 30 * time.Second
	// unreadGrace is how long a read goes on after its deadline if data has arrived: the process may not have run.
	unreadGrace = time.Second
	// lingerTimeout and lingerBytes bound what is read from a refused client, so that it can read the refusal. To close
	// a connection with unread data resets it.
	lingerTimeout, lingerBytes = 500 * time.Millisecond, 256 << 10
)

// tcpConn is what a conn needs of a *net.TCPConn. Its other methods, such as ReadFrom, would bypass the bounds.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// conn is a connection of a client. It gives net/http the head of a request only once the head has arrived completely
// and within the limits. Reads are sequential, as net/http does them.
type conn struct {
	tcpConn
	server *Server

	// The fields below belong to the goroutine that reads.

	// head scans the head of the next request, and body is the position in the body of the current request. If body
	// has not ended, the head is empty.
	head framing.Head
	body framing.Body
	// ready holds bytes of the current request for net/http, and early bytes of the next one that arrived with it.
	ready, early []byte
	// graceUsed is set once the deadline of the head was extended.
	graceUsed bool

	// last is set if the connection must close after the response, since the end of the request is ambiguous.
	last bool

	// memory is the share of the head in the budget, with its bytes as long as it has not arrived completely.
	memory reservation
	// serving is set from the time at which net/http has parsed a head to the end of the response.
	serving       atomic.Bool
	reads, writes deadline
}

func (s *Server) newConn(accepted net.Conn) net.Conn {
	tcp, ok := accepted.(tcpConn)
	if !ok {
		return accepted
	}
	c := &conn{tcpConn: tcp, server: s, reads: deadline{apply: tcp.SetReadDeadline}, writes: deadline{apply: tcp.SetWriteDeadline}}
	c.memory.evict = c.evictHead
	c.reads.setOwn(time.Now().Add(silentTimeout))
	return c
}

// Read returns bytes of at most one request.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case len(c.ready) > 0:
		return c.takeReady(p), nil
	case !c.body.Ended() && !c.serving.Load():
		return 0, io.EOF // the handler gave up the body, so the next request cannot be found
	case !c.body.Ended():
		return c.readBody(p)
	case c.serving.Load():
		return c.readAhead(p[:1])
	default:
		return c.readHead(p)
	}
}

// takeReady copies bytes of the current request to p.
func (c *conn) takeReady(p []byte) int {
	n := copy(p, c.ready)
	c.ready = c.ready[n:]
	if len(c.ready) == 0 {
		c.ready = nil
	}
	return n
}

// receive reads from the bytes that arrived early, or else from the socket.
func (c *conn) receive(p []byte) (int, error) {
	if len(c.early) > 0 {
		n := copy(p, c.early)
		c.early = c.early[n:]
		if len(c.early) == 0 {
			c.early = nil
		}
		return n, nil
	}
	return c.tcpConn.Read(p)
}

// readBody reads bytes of the body of the current request.
func (c *conn) readBody(p []byte) (int, error) {
	c.reads.setOwn(time.Now().Add(c.server.stallTimeout))
	n, err := c.receive(p)
	n = c.splitBody(p[:n])
	if c.body.Ended() {
		c.reads.setOwn(time.Time{})
		c.server.conns.setPhase(c, phaseRequest)
	}
	if err != nil && c.reads.ownPassed(err) {
		c.server.closed(BodyStalled)
	}
	return n, err
}

// splitBody returns how many of the bytes that were received belong to the body. It keeps the others for the next
// request.
func (c *conn) splitBody(data []byte) int {
	n := c.body.Scan(data)
	if n < len(data) {
		c.early = slices.Concat(data[n:], c.early)
	}
	return n
}

// readAhead reads the first byte of the next request while the current one is served. net/http does that to detect
// that the client has disconnected.
func (c *conn) readAhead(p []byte) (int, error) {
	for {
		n, err := c.receive(p)
		if n == 0 {
			return 0, err
		}
		if rest := c.head.SkipEmptyLines(p); len(rest) > 0 {
			c.head.Scan(rest)
			return n, err
		}
		if c.head.EmptyLines > maxEmptyLineBytes {
			return n, err // readHead refuses the next request
		}
	}
}

// readHead reads a head until it is complete, and returns its first bytes.
func (c *conn) readHead(p []byte) (int, error) {
	if c.head.Size > 0 {
		c.beginHead() // readAhead has read its first byte
	}
	for c.head.EmptyLines <= maxEmptyLineBytes {
		n, err := c.receive(p)
		data := c.head.SkipEmptyLines(p[:n])
		if err != nil && !c.extendDeadline(err) {
			return c.headError(err)
		}
		if len(data) == 0 {
			continue
		}
		first := c.head.Size == 0
		scanned, complete := c.head.Scan(data)
		if c.head.Size > c.server.maxHeadBytes() {
			return c.refuse(HeadTooLarge)
		}
		if complete {
			return c.finishHead(p, data, scanned)
		}
		if first {
			c.beginHead()
		}
		if !c.server.headBudget.appendPartial(&c.memory, data, c.server.maxHeadBytes()) {
			return c.refuse(HeadMemory)
		}
	}
	return c.refuse(EmptyLines)
}

// beginHead starts the time limit for a head of which a part has arrived.
func (c *conn) beginHead() {
	c.reads.setOwn(time.Now().Add(c.server.headTimeout()))
	c.server.conns.setPhase(c, phaseHead)
}

// finishHead begins the request whose head ends after the first scanned bytes of data. data may lie in p.
func (c *conn) finishHead(p, data []byte, scanned int) (int, error) {
	start, ok := c.server.headBudget.complete(&c.memory, c.head.Size, c.head.Lines)
	if !ok {
		return c.refuse(HeadMemory)
	}
	head, rest := data[:scanned], data[scanned:]
	if len(start) == 0 {
		c.beginRequest(head)
		return copy(p, data[:scanned+c.splitBody(rest)]), nil
	}
	c.ready = slices.Concat(start, head)
	c.beginRequest(c.ready)
	c.ready = append(c.ready, rest[:c.splitBody(rest)]...)
	return c.takeReady(p), nil
}

// beginRequest begins the request with a head.
func (c *conn) beginRequest(head []byte) {
	c.body = framing.BodyOf(head)
	c.last = c.body.Unbounded()
	c.head, c.graceUsed = framing.Head{}, false
	c.reads.setOwn(time.Time{})
}

// headError handles an error while a head arrives.
func (c *conn) headError(err error) (int, error) {
	if c.reads.ownPassed(err) && c.head.Size > 0 {
		return c.refuse(HeadTimeout)
	}
	if c.reads.ownPassed(err) {
		c.server.closed(HeadTimeout)
	}
	return 0, err
}

// extendDeadline extends the deadline of a head once if it has passed although data has arrived. The process may not
// have run for a while.
func (c *conn) extendDeadline(err error) bool {
	if c.graceUsed || !c.reads.ownPassed(err) || !hasUnreadData(c) {
		return false
	}
	c.graceUsed = true
	c.reads.setOwn(time.Now().Add(unreadGrace))
	return true
}

// refuse answers a request that has not been parsed, and ends the connection. No response is in progress.
func (c *conn) refuse(reason Reason) (int, error) {
	c.early = nil
	c.server.headBudget.release(&c.memory)
	if c.server.conns.isClosed(c) {
		return 0, io.EOF // another goroutine closed and counted it
	}
	c.server.closed(reason)
	_ = c.tcpConn.SetDeadline(time.Now().Add(lingerTimeout))
	if _, err := io.WriteString(c.tcpConn, reason.refusal()); err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.tcpConn, lingerBytes)
	}
	_ = c.Close()
	return 0, io.EOF
}

// evictHead closes the connection because its partial head takes memory that another head needs. It may be called from
// any goroutine.
func (c *conn) evictHead() {
	c.writeNow(HeadMemory.refusal())
	c.server.conns.close(c)
	c.server.closed(HeadMemory)
}

// writeNow writes a short text if the socket accepts it without blocking.
func (c *conn) writeNow(text string) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Write(func(fd uintptr) bool {
		_, _ = syscall.Write(int(fd), []byte(text))
		return true
	})
}

// setState follows the state that net/http reports.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.serving.Store(true)
		if !c.body.Ended() {
			c.server.conns.setPhase(c, phaseBody)
		}
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		c.serving.Store(false)
		c.server.headBudget.release(&c.memory)
	default:
	}
}
