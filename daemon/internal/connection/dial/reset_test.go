package dial_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
)

// resetConn is a connection that is reset while the request is written, after the start of a response whose end is
// not marked. The write gets the error, and the read sees an ordinary end.
type resetConn struct {
	net.Conn
	response *strings.Reader
	// sent is closed when the start of the request was written, read when the start of the response was read, and reset
	// when a write has failed.
	sent, read, reset chan struct{}
	written           bool
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.sent
	n, err := c.response.Read(p)
	if err == nil {
		return n, nil
	}
	close(c.read)
	<-c.reset
	return 0, io.EOF
}

func (c *resetConn) Write(p []byte) (int, error) {
	if !c.written {
		c.written = true
		close(c.sent)
		return len(p), nil
	}
	<-c.read
	defer close(c.reset)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
}

func (c *resetConn) Close() error { return nil }

// TestResetSeenByWriteIsNoEnd guards against a truncated response that looks complete, because the error of its
// connection was returned to the write of the request.
func TestResetSeenByWriteIsNoEnd(t *testing.T) {
	connect := func(context.Context, string, string) (net.Conn, error) {
		response := strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart")
		return &resetConn{response: response, sent: make(chan struct{}), read: make(chan struct{}), reset: make(chan struct{})}, nil
	}
	var meter dial.Meter
	transports := map[string]http.RoundTripper{
		"host": dial.NewHostTransport(connect, 0), "control": dial.NewControlTransport(meter.Wrap(connect)), "chunk": dial.NewChunkTransport(connect),
	}
	for name, transport := range transports {
		t.Run(name, func(t *testing.T) {
			client := &http.Client{Transport: transport}
			const uploadBytes = 1 << 20
			response, err := client.Post("http://127.0.0.1:1/", "", bytes.NewReader(make([]byte, uploadBytes)))
			if err != nil {
				require.ErrorIs(t, err, syscall.ECONNRESET)
				return
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			require.ErrorIs(t, err, syscall.ECONNRESET)
			assert.Equal(t, "part", string(body))
		})
	}
}
