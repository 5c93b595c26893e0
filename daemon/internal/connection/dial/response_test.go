package dial

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// connect returns both sides of a TCP connection, the client's with and without its checks. The start of a response whose
// end is not marked has been read from it.
func connect(t *testing.T) (checked *responseConn, plain, server *net.TCPConn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := Direct(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = conn.Close(), accepted.Close() })
	checked, plain, server = &responseConn{Conn: conn}, conn.(*net.TCPConn), accepted.(*net.TCPConn)
	checked.endsResponse.Store(true)
	const part = "HTTP/1.1 200 OK\r\n\r\npart"
	_, err = io.WriteString(server, part)
	require.NoError(t, err)
	_, err = io.ReadFull(checked, make([]byte, len(part)))
	require.NoError(t, err)
	return checked, plain, server
}

// TestEndOfConnection guards against an end that looks regular although the connection broke, and against the reverse.
func TestEndOfConnection(t *testing.T) {
	write := func(conn net.Conn) { _, _ = io.WriteString(conn, "upload") }
	tests := map[string]struct {
		// end ends the connection. It sets uploaded if that is the end of the request.
		end  func(t *testing.T, checked *responseConn, plain, server *net.TCPConn)
		want error
	}{
		"closed after the upload": {func(_ *testing.T, checked *responseConn, _, server *net.TCPConn) {
			checked.uploaded.Store(true)
			_ = server.Close()
		}, io.EOF},
		"half-closed, end of the upload unread": {func(_ *testing.T, checked *responseConn, _, server *net.TCPConn) {
			write(checked)
			checked.uploaded.Store(true)
			_ = server.CloseWrite()
		}, io.EOF},
		"half-closed, upload blocked": {func(_ *testing.T, checked *responseConn, _, server *net.TCPConn) {
			_ = server.CloseWrite()
			const more = 64 << 20 // more than the connection holds
			go func() { _, _ = checked.Write(make([]byte, more)) }()
		}, io.EOF},
		"half-closed, upload stalled": {func(_ *testing.T, _ *responseConn, _, server *net.TCPConn) { _ = server.CloseWrite() }, io.EOF},
		"reset, its error returned elsewhere": {func(t *testing.T, checked *responseConn, plain, server *net.TCPConn) {
			checked.uploaded.Store(true)
			require.NoError(t, server.SetLinger(0))
			_ = server.Close()
			for {
				if _, err := plain.Write([]byte("x")); err != nil {
					require.ErrorIs(t, err, syscall.ECONNRESET)
					return
				}
			}
		}, syscall.ECONNRESET},
		"closed before the next bytes of the upload": {func(_ *testing.T, checked *responseConn, _, server *net.TCPConn) {
			_ = server.Close()
			write(checked)
		}, syscall.ECONNRESET},
		"closed by this process": {func(_ *testing.T, checked *responseConn, _, _ *net.TCPConn) { _ = checked.Close() }, net.ErrClosed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checked, plain, server := connect(t)
			test.end(t, checked, plain, server)
			n, err := checked.Read(make([]byte, 1))
			assert.Zero(t, n)
			assert.ErrorIs(t, err, test.want)
		})
	}
}
