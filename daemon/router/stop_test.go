package router_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/router"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// TestStopCompletesWhileEnginesChange guards against a stop that hangs: an update of the store
// during the stop must not start load feeds that nothing stops.
func TestStopCompletesWhileEnginesChange(t *testing.T) {
	s := &testStore{}
	configuration := baseConfiguration(1)
	configuration.Services = []provider.Service{{Name: "s", Engine: &provider.EngineSpec{Model: "m", Places: 4}}}
	s.configure(configuration)
	engine := func(i int) provider.Upstream {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 78 + byte(i/250), byte(1 + i%250)}), 1)
		return provider.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: address, Hall: "hall", Places: 4}
	}
	const engines = 400
	for i := range engines {
		s.register(engine(i))
	}
	p, cfg := newRouter(t, s, settings.Router{Name: "r1", Hall: "hall", LoaderPort: 1})
	require.NoError(t, p.Start())
	await(t, "ready", func() bool { return ready(cfg) })

	stopped := make(chan struct{})
	changesEnded := make(chan struct{})
	go func() {
		defer close(changesEnded)
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			default:
			}
			changed := engine(i % engines)
			changed.Leaving = i/engines%2 == 0
			s.register(changed)
		}
	}()
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = p.Stop(ctx)
	}()
	await(t, "the stop ends", func() bool {
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	})
	<-changesEnded
}

// TestStopAnswersHangingRequests guards against cutting a caller whose upstream hangs: the caller
// gets a response that says the request may have run, and the stop succeeds.
func TestStopAnswersHangingRequests(t *testing.T) {
	reached := make(chan struct{})
	hang := func(req *http.Request, _ net.Conn) {
		close(reached)
		<-req.Context().Done()
	}
	for name, target := range map[string]string{"may run once": "/unsafe/x", "may run again": "/safe/x", "a stream": "/stream/x"} {
		t.Run(name, func(t *testing.T) {
			reached = make(chan struct{})
			s := &testStore{}
			s.configure(baseConfiguration(1))
			u := startUpstream(t, "u1", hang)
			s.register(u.record())
			p, cfg := newRouter(t, s, settings.Router{Name: "r1", Hall: "hall"})
			require.NoError(t, p.Start())
			await(t, "ready", func() bool { return ready(cfg) })
			got := make(chan reply, 1)
			go func() { got <- call(t, cfg, "id-1", "POST", target, "body") }()
			<-reached

			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			require.NoError(t, p.Stop(ctx), "no request was cut")
			answer := <-got
			require.NoError(t, answer.err)
			assert.Equal(t, http.StatusGatewayTimeout, answer.status)
			assert.Empty(t, answer.header.Get("Retry-After"), "it may have run")
		})
	}
}

// stopping is a router that is being stopped and has closed its listener.
type stopping struct {
	cfg     settings.Router
	process *router.Process
	stopped chan error
}

// startStoppable starts a router with the given upstreams and waits until it is ready.
func startStoppable(t *testing.T, upstreams ...*upstream) *stopping {
	t.Helper()
	s := &testStore{}
	s.configure(baseConfiguration(1))
	for _, u := range upstreams {
		s.register(u.record())
	}
	p, cfg := newRouter(t, s, settings.Router{Name: "r1", Hall: "hall"})
	require.NoError(t, p.Start())
	await(t, "ready", func() bool { return ready(cfg) })
	for _, u := range upstreams {
		awaitListed(s, cfg, "u/"+u.id)
	}
	return &stopping{cfg: cfg, process: p, stopped: make(chan error, 1)}
}

// stop stops the router and returns once it accepts no new connections.
func (s *stopping) stop(t *testing.T, grace time.Duration) {
	t.Helper()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		s.stopped <- s.process.Stop(ctx)
	}()
	await(t, "the listener is closed", func() bool {
		conn, err := net.Dial("tcp", s.cfg.Listen.Callers.String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
}

// callerConn is a connection on which a caller sends one request after the other.
type callerConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *stopping) connect(t *testing.T) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.cfg.Listen.Callers.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(15*time.Second)))
	return &callerConn{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a request with the given timeout, or only the start of one whose body is longer than what is sent
// of it.
func (c *callerConn) send(id, target string, timeout time.Duration, length int, body string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer key-1\r\nDeadline: %d\r\nContent-Length: %d\r\n\r\n%s",
		target, id, timeout.Milliseconds(), length, body)
	require.NoError(c.t, err)
}

// receive returns the next response.
func (c *callerConn) receive() reply {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Close {
		resp.Header.Set("Connection", "close") // ReadResponse removes it
	}
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// assertRefusedByStop asserts that a response promises that the request has not run, and sends its caller to
// another router at once.
func assertRefusedByStop(t *testing.T, got reply) {
	t.Helper()
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, "close", got.header.Get("Connection"))
	assert.Equal(t, "0.000", got.header.Get("Retry-After"))
}

// stopGrace is shorter than the time limit of the routes.
const stopGrace = 3 * time.Second

// TestStoppingRouterRefusesRequestThatMayOutlastIt guards against cutting a request that arrives on a
// connection in use after the listener was closed. One that ends before the router for certain is served.
func TestStoppingRouterRefusesRequestThatMayOutlastIt(t *testing.T) {
	first, release := make(chan struct{}), make(chan struct{})
	u := startUpstream(t, "u1", func(req *http.Request, conn net.Conn) {
		if id := req.Header.Get("Request-Id"); id != "first" {
			answerOK(req, conn)
			return
		}
		_, _ = io.WriteString(conn, markedByChunks.head(req, 0)+markedByChunks.encode("id: 1\ndata: token\n\n"))
		first <- struct{}{}
		<-release
		_, _ = io.WriteString(conn, markedByChunks.encode("id: 2\ndata: [DONE]\n\n")+"0\r\n\r\n")
	})
	s := startStoppable(t, u)
	long, short := s.connect(t), s.connect(t)
	for _, c := range []*callerConn{long, short} {
		c.send("first", "/stream/x", 4*time.Second, 0, "")
		<-first
		head, err := c.reader.Peek(1) // the head is out, without "Connection: close"
		require.NoError(t, err)
		require.NotEmpty(t, head)
	}
	s.stop(t, stopGrace)
	close(release)
	for _, c := range []*callerConn{long, short} {
		got := c.receive()
		require.NoError(t, got.err)
		require.Empty(t, got.header.Get("Connection"))
	}
	long.send("outlasts", "/unsafe/x", 4*time.Second, 0, "")
	assertRefusedByStop(t, long.receive())
	short.send("ends", "/unsafe/x", 500*time.Millisecond, 0, "")
	got := short.receive()
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, "close", got.header.Get("Connection"))
	assert.EqualValues(t, 3, u.received.Load(), "the request that may outlast the router was not sent")
	require.NoError(t, <-s.stopped, "no request was cut")
}

// TestStoppingRouterRefusesLateBody guards against sending a request whose body was completed so late that the
// router would cut it, and against a connection that is closed without a response to such a request.
func TestStoppingRouterRefusesLateBody(t *testing.T) {
	for name, rest := range map[string]string{"the rest arrives late": "dy", "the rest never arrives": ""} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, "u1", answerOK)
			s := startStoppable(t, u)
			c := s.connect(t)
			c.send("id-1", "/unsafe/x", 4*time.Second, len("body"), "bo")
			s.stop(t, stopGrace)
			_, err := io.WriteString(c.conn, rest)
			require.NoError(t, err)
			assertRefusedByStop(t, c.receive())
			assert.Zero(t, u.received.Load())
			require.NoError(t, <-s.stopped)
		})
	}
}

// TestStoppingRouterSendsNothingAgainThatItWouldCut guards against a retry, or a stream that resumes, which
// outlasts the router.
func TestStoppingRouterSendsNothingAgainThatItWouldCut(t *testing.T) {
	event := markedByChunks.encode("id: 1\ndata: token\n\n")
	cases := map[string]struct {
		target, begin string
		end           upstreamFunc
		check         func(t *testing.T, got reply)
	}{
		"refused by the upstream": {target: "/unsafe2/x", end: answerNotRun, check: assertRefusedByStop},
		"no response": {target: "/safe/x", end: closeConnection, check: func(t *testing.T, got reply) {
			t.Helper()
			require.NoError(t, got.err)
			assert.Equal(t, http.StatusBadGateway, got.status)
		}},
		"a broken stream": {target: "/stream/x", begin: event, end: closeConnection, check: func(t *testing.T, got reply) {
			t.Helper()
			assert.Error(t, got.err, "the stream must not look complete")
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reached, release := make(chan struct{}), make(chan struct{})
			answer := func(req *http.Request, conn net.Conn) {
				if c.begin != "" {
					_, _ = io.WriteString(conn, markedByChunks.head(req, 0)+c.begin)
				}
				reached <- struct{}{}
				<-release
				c.end(req, conn)
			}
			first, second := startUpstream(t, "u1", answer), startUpstream(t, "u2", answer)
			s := startStoppable(t, first, second)
			conn := s.connect(t)
			conn.send("id-1", c.target, 4*time.Second, 0, "")
			<-reached
			if c.begin != "" {
				_, err := conn.reader.Peek(1)
				require.NoError(t, err)
			}
			s.stop(t, stopGrace)
			close(release)
			c.check(t, conn.receive())
			assert.EqualValues(t, 1, first.received.Load()+second.received.Load())
			require.NoError(t, <-s.stopped)
		})
	}
}
