package dial

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/responsehead"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// This file checks responses beneath net/http, as they are read from a connection: their heads, which package
// responsehead judges, and the end of a connection that ends its response, which has neither a length nor chunks. A
// broken connection must not pass for one that the peer closed.
//
// The kernel returns the error of a connection to one call only. One goroutine writes the request while another reads
// the response. If the write gets the error, the read that follows sees an ordinary end. So a read that sees the end
// checks the writes of its connection and the state of the socket: an error closes both directions, the peer's close
// only one.
//
// The upload may not have ended then. Further bytes show whether the peer still reads: one that has closed both
// directions answers them with a reset. So the upload is given some time to end. After that the response counts as
// complete, since a peer may end its response early and be slow to read the rest, or never read it.
//
// Rejected: checking the writes alone, because a write may return after the read; checking where responses are
// forwarded, which leaves out the other clients and comes after the transport has closed the connection; taking each
// end before that of the upload for a broken connection, because whole responses would be lost.

const (
	// maxUploadDelay bounds the time that the upload is given to end.
	maxUploadDelay = 250 * time.Millisecond
	// uploadCheckInterval is the interval of checks in that time.
	uploadCheckInterval = time.Millisecond
)

// errBroken marks the end of a connection that broke, although the read that saw the end returned no error.
var errBroken = errors.New("the connection broke while the request was sent")

// HasMarkedEnd reports whether a length or chunks mark the end of a response's body. Any other
// response ends with its connection.
func HasMarkedEnd(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// responseConn is a connection over which requests are written and responses are read. One goroutine may write while
// another reads.
type responseConn struct {
	net.Conn
	// mu guards head and headErr.
	mu sync.Mutex
	// head checks the head of the response to the current request, and headErr is what it found.
	head    responsehead.Scanner
	headErr error
	// uploaded is set once the request is written.
	uploaded atomic.Bool
	// endsResponse is set once a response is read whose end is not marked. No other follows it.
	endsResponse atomic.Bool
	// writeErr is the first error of Write.
	writeErr atomic.Pointer[error]
}

// begin prepares for the response to another request. Bytes that came before the first request count as the head.
func (c *responseConn) begin() {
	c.uploaded.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Ended() {
		c.head = responsehead.Scanner{}
	}
}

// Write writes to the connection and keeps its error for Read.
func (c *responseConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Read reads from the connection. At the end of a response whose end is not marked, it returns io.EOF only if the peer
// closed the connection.
func (c *responseConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.checkHead(p[:n]); headErr != nil {
		// Without any byte, net/http takes a connection that was used before for one that was closed while it was idle,
		// and sends some requests again by itself.
		return min(n, 1), headErr
	}
	if errors.Is(err, io.EOF) && c.endsResponse.Load() {
		err = c.endError()
	}
	return n, err
}

// checkHead checks bytes that were read, as far as they belong to the head of a response.
func (c *responseConn) checkHead(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headErr == nil {
		c.headErr = c.head.Scan(data)
	}
	return c.headErr
}

// headError returns why the head of the response is malformed, nil if it is not.
func (c *responseConn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr
}

// endError returns how the connection has ended: with io.EOF if the peer closed it, else with an error.
func (c *responseConn) endError() error {
	deadline := clock.Now().Add(maxUploadDelay)
	for {
		socket := c.socket()
		uploaded := c.uploaded.Load()
		if err := c.writeErr.Load(); err != nil {
			return fmt.Errorf("%w: %w", errBroken, *err)
		}
		if socket.err != nil {
			return fmt.Errorf("%w: %w", errBroken, socket.err)
		}
		if uploaded && !socket.unacknowledged || clock.Until(deadline) <= 0 {
			return io.EOF
		}
		helpers.Pause(uploadCheckInterval, nil)
	}
}
