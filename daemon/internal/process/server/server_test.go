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

// start serves "ok" on a free port, with an idle timeout that no test reaches.
func start(t *testing.T) *server.Server {
	t.Helper()
	return startWithKeepAlive(t, 0)
}

func startWithKeepAlive(t *testing.T, keepAlive time.Duration) *server.Server {
	t.Helper()
	return listen(t, server.Options{IdleTimeout: time.Minute, KeepAlive: keepAlive, Handler: http.HandlerFunc(serveOK)})
}

// listen starts a server on a free port.
func listen(t *testing.T, options server.Options) *server.Server {
	t.Helper()
	options.Name, options.Address = "callers", netip.MustParseAddrPort("127.0.0.1:0")
	s, err := server.Listen(options)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func serveOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// blockingHandler serves "ok" once release is closed. It closes started when a request has arrived.
func blockingHandler() (handler http.Handler, started, release chan struct{}) {
	started, release = make(chan struct{}), make(chan struct{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		serveOK(w, r)
	}), started, release
}

func dial(t *testing.T, s *server.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// get sends a request on an open connection and returns the response, whose body it has read.
func get(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "requests on open connections must be served")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.Equal(t, "ok", string(body))
	return resp
}

// shutdown starts to shut a server down, and returns once it accepts no new connections.
func shutdown(t *testing.T, s *server.Server) <-chan error {
	t.Helper()
	s.DisableKeepAlives()
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", s.Address.String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	return done
}

// Guards against dropped requests: http.Server.Shutdown closes connections that were
// accepted before without a response to a request that arrives on them.
func TestShutdownServesOpenConnections(t *testing.T) {
	s := start(t)
	idle, reused := dial(t, s), dial(t, s)
	get(t, reused)
	done := shutdown(t, s)
	assert.True(t, get(t, idle).Close, "the response closes the connection")
	assert.True(t, get(t, reused).Close)
	require.NoError(t, <-done)
}

func TestShutdownDoesNotWaitForClosedConnections(t *testing.T) {
	s := start(t)
	idle, reused := dial(t, s), dial(t, s)
	get(t, reused)
	require.NoError(t, idle.Close())
	require.NoError(t, reused.Close())
	require.NoError(t, <-shutdown(t, s))
}

// Guards against callers that keep a connection to a stopping server, because their request arrived before the
// stop and the response was written after it.
func TestResponseToEarlierRequestClosesConnection(t *testing.T) {
	handler, started, release := blockingHandler()
	s := listen(t, server.Options{Handler: handler})
	conn := dial(t, s)
	go func() {
		<-started
		s.DisableKeepAlives()
		close(release)
	}()
	assert.True(t, get(t, conn).Close)
}

// Guards against idle connections that stay open while another one is active: their callers
// would send new requests on them until the shutdown's deadline.
func TestShutdownClosesIdleConnections(t *testing.T) {
	handler, started, release := blockingHandler()
	s := listen(t, server.Options{IdleTimeout: time.Millisecond, Handler: handler})
	idle, busy := dial(t, s), dial(t, s)
	_, err := io.WriteString(busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-started
	done := shutdown(t, s)
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.NoError(t, <-done)
}

// TestKeepAliveOfConfigurationApplies guards against idle connections that stay open for longer than the
// configuration in force allows.
func TestKeepAliveOfConfigurationApplies(t *testing.T) {
	s := start(t)
	conn := dial(t, s)
	get(t, conn)
	s.SetKeepAlive(time.Hour)
	get(t, conn)
	s.SetKeepAlive(time.Millisecond)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// TestSilentCallersHoldNoDescriptors guards against a server that runs out of descriptors because it keeps
// the connections of callers that have fallen silent.
func TestSilentCallersHoldNoDescriptors(t *testing.T) {
	s := startWithKeepAlive(t, time.Millisecond)
	conn := dial(t, s)
	get(t, conn)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
