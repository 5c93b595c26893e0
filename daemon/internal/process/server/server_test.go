package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/server"
)

// start serves "ok" on a free port; idle connections are given all the time they want.
func start(t *testing.T) *server.Server {
	t.Helper()
	s, err := server.Listen(server.Options{
		Name: "callers", Address: netip.MustParseAddrPort("127.0.0.1:0"), Quiet: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
	})
	require.NoError(t, err)
	t.Cleanup(s.Kill)
	return s
}

func dial(t *testing.T, s *server.Server) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", s.Address.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// get sends a request over an open connection and returns the answer, read whole.
func get(t *testing.T, connection net.Conn) *http.Response {
	t.Helper()
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err, "an open connection is served")
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	assert.Equal(t, "ok", string(body))
	return answer
}

// shutdown begins to shut a server down, and returns once it takes no new connections.
func shutdown(t *testing.T, s *server.Server) <-chan error {
	t.Helper()
	s.Closing()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		connection, err := net.Dial("tcp", s.Address.String())
		if err == nil {
			_ = connection.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	return ended
}

// Symptom: a caller's connection ended without an answer while a router stopped; the
// router's log has no line about the request.
//
// Sequence: the router gets SIGTERM and serves on for 2.5 s. A caller opens a
// connection and sends a request as that time ends.
//
// Cause: once told to shut down, the HTTP server drops requests that it reads on
// connections that it took before.
//
// What settled it: the connection ended 1 ms after it was made, within 5 ms of the end
// of the 2.5 s, while the process went on for 0.27 s; the server's source says so.
func TestShutdownServesOpenConnections(t *testing.T) {
	s := start(t)
	silent, used := dial(t, s), dial(t, s)
	get(t, used)
	ended := shutdown(t, s)
	assert.True(t, get(t, silent).Close, "the answer ends the connection")
	assert.True(t, get(t, used).Close)
	require.NoError(t, <-ended)
}

func TestShutdownDoesNotWaitForCallersThatAreGone(t *testing.T) {
	s := start(t)
	silent, used := dial(t, s), dial(t, s)
	get(t, used)
	require.NoError(t, silent.Close())
	require.NoError(t, used.Close())
	require.NoError(t, <-shutdown(t, s))
}

// TestShutdownEndsSilentConnections: a connection that carries nothing is ended while
// another one is at work, or its caller would send on it until the stop's time is over.
func TestShutdownEndsSilentConnections(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, err := server.Listen(server.Options{
		Name: "callers", Address: netip.MustParseAddrPort("127.0.0.1:0"), Quiet: time.Millisecond,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-release
			_, _ = io.WriteString(w, "ok")
		}),
	})
	require.NoError(t, err)
	t.Cleanup(s.Kill)
	silent, busy := dial(t, s), dial(t, s)
	_, err = io.WriteString(busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-started
	ended := shutdown(t, s)
	_, err = silent.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	close(release)
	answer, err := http.ReadResponse(bufio.NewReader(busy), nil)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.NoError(t, <-ended)
}
