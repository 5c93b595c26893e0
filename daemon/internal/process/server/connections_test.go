package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// Guards against a shutdown that measures idle time by the clock alone: after a scheduling
// pause it would close connections whose requests arrived during the pause.
func TestSchedulingPauseDoesNotCountAsIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idleTimeout = 100 * time.Millisecond
		c := &connections{}
		serverConn, callerConn := net.Pipe()
		defer func() { _ = callerConn.Close() }()
		c.setState(serverConn, http.StateNew)
		helpers.Pause(time.Hour, nil) // the process is not scheduled
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.closeIdle(t.Context(), idleTimeout)
		}()
		synctest.Wait()
		c.setState(serverConn, http.StateActive) // the server reads the request that arrived meanwhile
		helpers.Pause(time.Minute, nil)
		synctest.Wait()
		select {
		case <-done:
			assert.Fail(t, "a connection with a request was closed")
		default:
		}
		c.setState(serverConn, http.StateIdle)
		helpers.Pause(idleTimeout/2, nil)
		synctest.Wait()
		c.mu.Lock()
		assert.Len(t, c.tracked, 1, "the caller may be about to send another request")
		c.mu.Unlock()
		helpers.Pause(idleTimeout, nil)
		<-done
	})
}

// Guards against a shutdown that waits for a running request beyond its deadline.
func TestCloseIdleReturnsWhenContextIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &connections{}
		serverConn, callerConn := net.Pipe()
		defer func() { _, _ = serverConn.Close(), callerConn.Close() }()
		c.setState(serverConn, http.StateActive)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.closeIdle(ctx, time.Millisecond)
		assert.Error(t, ctx.Err())
	})
}

// Guards against a shutdown that closes a connection whose request has arrived but was not
// read yet, because the process was not scheduled. Such a request would run although its
// caller has been disconnected.
func TestConnectionWithUnreadDataIsNotIdle(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	serverConn, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = serverConn.Close() }()
	const request = "GET"
	_, err = io.WriteString(caller, request)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return hasUnreadData(serverConn) }, 10*time.Second, time.Millisecond)

	c := &connections{}
	c.setState(serverConn, http.StateIdle)
	runChecks := func() {
		for range 3 * idleChecks {
			c.checkIdle()
		}
	}
	runChecks()
	assert.Len(t, c.tracked, 1)
	assert.False(t, c.isClosed(serverConn))
	_, err = io.ReadFull(serverConn, make([]byte, len(request)))
	require.NoError(t, err)
	runChecks()
	assert.Empty(t, c.tracked)
	assert.True(t, c.isClosed(serverConn))
	c.setState(serverConn, http.StateClosed)
	assert.False(t, c.isClosed(serverConn), "the server has reported it as closed")
}

// Guards against running a request that was read while its connection was being closed.
func TestRequestOnClosedConnectionIsAborted(t *testing.T) {
	serverConn, callerConn := net.Pipe()
	defer func() { _ = callerConn.Close() }()
	s := &Server{}
	handled := 0
	handler := s.closeWhenDraining(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled++ }))
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request = request.WithContext(context.WithValue(request.Context(), connectionKey{}, serverConn))
	handler.ServeHTTP(httptest.NewRecorder(), request)
	assert.Equal(t, 1, handled)

	s.conns.mu.Lock()
	s.conns.closeConn(serverConn)
	s.conns.mu.Unlock()
	s.conns.setState(serverConn, http.StateActive)
	assert.PanicsWithError(t, http.ErrAbortHandler.Error(), func() { handler.ServeHTTP(httptest.NewRecorder(), request) })
	assert.Equal(t, 1, handled)
}

// Guards against resetting connections whose requests have arrived before the server has accepted them, because the
// process was not scheduled when its listener was closed.
func TestShutdownServesConnectionsThatWereNotAccepted(t *testing.T) {
	s, err := bind(Options{Name: "callers", Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})})
	require.NoError(t, err)
	defer s.Close()
	close(s.done) // serve does not run
	const callers = 3
	var conns []net.Conn
	for range callers {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.Address.String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	require.NoError(t, s.Shutdown(t.Context()))
	for _, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.NoError(t, err)
		assert.Equal(t, "ok", string(body))
		assert.True(t, resp.Close)
	}
}

// TestIdleCallersDoNotKeepOthersOut guards against callers that leave connections open until the server has no
// descriptor for others, while its readiness check succeeds on an open connection.
func TestIdleCallersDoNotKeepOthersOut(t *testing.T) {
	const maxConns = 3
	s, err := Listen(Options{
		Name: "callers", Address: netip.MustParseAddrPort("127.0.0.1:0"), MaxConns: maxConns,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
	})
	require.NoError(t, err)
	defer s.Close()
	get := func(conn net.Conn) {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	var conns []net.Conn
	for i := range maxConns + 2 {
		conn, err := net.Dial("tcp", s.Address.String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		get(conn)
		conns = append(conns, conn)
		require.Eventually(t, func() bool { // the server learns that a connection is idle after the response was read
			s.conns.mu.Lock()
			defer s.conns.mu.Unlock()
			return s.conns.inPhase[phaseIdle].Len() == min(i+1, maxConns)
		}, 10*time.Second, time.Millisecond)
	}
	for _, conn := range conns[:2] {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "idle for the longest time")
	}
	for _, conn := range conns[2:] {
		get(conn)
	}
}

// TestClosedConnectionsAreForgotten guards against memory that grows with each connection which is closed here after
// the server has reported it as closed, together with what has arrived on it.
func TestClosedConnectionsAreForgotten(t *testing.T) {
	var c connections
	for range 100 {
		client, conn := net.Pipe()
		_ = client.Close()
		c.setState(conn, http.StateNew)
		c.setState(conn, http.StateClosed)
		c.close(conn)
		assert.False(t, c.isClosed(conn))
	}
	assert.Empty(t, c.closed)
	assert.Empty(t, c.tracked)
}

// TestMemoryLimitsConnections guards against limits on heads, bodies and connections that together exceed the memory
// of a host with many descriptors.
func TestMemoryLimitsConnections(t *testing.T) {
	for _, test := range []struct {
		descriptors int
		memoryMB    float64
		want        int
	}{{4100, 184, 1962}, {4100, 4, 128}, {100, 4, 100}, {512, 64, 512}, {4100, 1048, 4100}, {4100, 0, 4100}, {0, 184, 1962}, {0, 0, 0}} {
		limits := &Limits{Descriptors: test.descriptors, MemoryMB: test.memoryMB}
		want := test.want
		if system := (&Limits{}).descriptors(); test.descriptors == 0 && system > 0 {
			want = system
			if test.memoryMB > 0 {
				want = min(system, test.want)
			}
		}
		assert.Equal(t, want, limits.connections(), "%+v", test)
	}
}
