// Package server runs the HTTP servers of entries, agents, routers and loaders, and shuts
// them down without aborting requests.
//
// During a shutdown the server keeps reading from open connections until they have been idle
// for a while: http.Server.Shutdown drops requests that arrive on idle connections after it
// was called, and a caller cannot know whether such a request ran.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// defaultIdleTimeout is several round trips between a caller and a host. Requests that
	// arrive in that time must end before the shutdown's deadline, so a longer timeout would
	// abort long requests.
	defaultIdleTimeout = 100 * time.Millisecond
	// defaultKeepAlive is longer than clients keep connections. A request that is sent when the server
	// closes its connection is lost, and the client cannot know whether it ran.
	defaultKeepAlive = 5 * time.Minute
)

// Server is one listening port.
type Server struct {
	// Address is the bound address.
	Address netip.AddrPort

	http        *http.Server
	listener    *net.TCPListener
	idleTimeout time.Duration
	// stallTimeout is the option StallTimeout, or its default.
	stallTimeout time.Duration
	conns        connections
	// keepAlive is how long connections may be idle, in nanoseconds, and keepAliveOnce starts its enforcement.
	keepAlive     atomic.Int64
	keepAliveOnce sync.Once
	// keepAlivesDisabled makes responses close their connections.
	keepAlivesDisabled atomic.Bool
	// headLimit is the limit of a head in bytes, and headWait the time in which it must arrive, in nanoseconds. 0 means
	// the default. SetHeadLimits changes them.
	headLimit, headWait atomic.Int64
	headBudget          *HeadBudget
	name                string
	onClose             func(name, reason string)
	done                chan struct{}
}

// Options describe a server.
type Options struct {
	Name    string
	Address netip.AddrPort
	Handler http.Handler
	// MaxHeaderBytes limits the head of a request, without the request line; 0 means 64 KiB.
	MaxHeaderBytes int
	// HeadBudget bounds the memory of the heads of all connections of the process; nil means one of its own.
	HeadBudget *HeadBudget
	// OnClose is called with the server's name for each connection that is closed for a Reason. It must not block, and
	// may be nil.
	OnClose func(name, reason string)
	// IdleTimeout is how long a connection must have been idle before a shutdown closes it;
	// 0 means 100 ms.
	IdleTimeout time.Duration
	// KeepAlive is how long a connection is kept open between two requests; 0 means 5 minutes.
	KeepAlive time.Duration
	// StallTimeout is the time without progress after which a connection is closed while a body arrives, or while a
	// response is written for which the handler has set no deadline; 0 means 30 s.
	StallTimeout time.Duration
	// MaxConns is the number of connections above which a new one makes the server close one on which no request is
	// served, or else the new one; 0 means unlimited. Clients could use up all descriptors otherwise.
	MaxConns int
}

// Listen binds the address and serves in a goroutine.
func Listen(options Options) (*Server, error) {
	s, err := bind(options)
	if err != nil {
		return nil, err
	}
	go s.serve()
	return s, nil
}

// bind binds the address. Callers can connect from then on, and are served once serve runs.
func bind(options Options) (*Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, fmt.Errorf("listen for %s on %s: %w", options.Name, options.Address, err)
	}
	bound, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return nil, fmt.Errorf("listen for %s on %s: not a TCP address", options.Name, options.Address)
	}
	s := &Server{
		Address: bound.AddrPort(), listener: listener, idleTimeout: helpers.OrDefault(options.IdleTimeout, defaultIdleTimeout), done: make(chan struct{}),
		stallTimeout: helpers.OrDefault(options.StallTimeout, defaultStallTimeout), headBudget: options.HeadBudget, name: options.Name, onClose: options.OnClose,
	}
	if s.headBudget == nil {
		s.headBudget = &HeadBudget{}
	}
	s.SetHeadLimits(options.MaxHeaderBytes, 0)
	s.conns.limit, s.conns.onEvict = options.MaxConns, func() { s.closed(TooManyConnections) }
	s.http = &http.Server{ //nolint:gosec // a connection limits the time for a head itself
		Handler: s.closeWhenDraining(options.Handler), ConnState: s.setState, MaxHeaderBytes: largestHeadBytes,
		IdleTimeout: helpers.OrDefault(options.KeepAlive, defaultKeepAlive),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
	return s, nil
}

// serve accepts connections until the listener is closed.
func (s *Server) serve() {
	defer close(s.done)
	_ = s.http.Serve(&boundedListener{Listener: s.listener, server: s})
}

// boundedListener returns connections that limit what their clients send.
type boundedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.server.newConn(accepted), nil
}

// setState is the ConnState hook of net/http.
func (s *Server) setState(accepted net.Conn, state http.ConnState) {
	s.conns.setState(accepted, state)
	if c, ok := accepted.(*conn); ok {
		c.setState(state)
	}
}

// closed reports a connection that is closed for a reason.
func (s *Server) closed(reason Reason) {
	if s.onClose != nil {
		s.onClose(s.name, string(reason))
	}
}

// SetHeadLimits changes the limit of a head in bytes and the time in which it must arrive. 0 restores the default: 64
// KiB, and 10 s.
func (s *Server) SetHeadLimits(maxBytes int, timeout time.Duration) {
	s.headLimit.Store(int64(maxBytes))
	s.headWait.Store(int64(timeout))
}

// maxHeadBytes returns the limit of a head with its request line.
func (s *Server) maxHeadBytes() int {
	limit := helpers.OrDefault(int(s.headLimit.Load()), defaultMaxHeadBytes)
	return min(limit, largestHeadBytes) + requestLineBytes
}

func (s *Server) headTimeout() time.Duration {
	return helpers.OrDefault(time.Duration(s.headWait.Load()), defaultHeadTimeout)
}

// keepAliveCheckInterval is the interval of checks for connections that have been idle for too long.
const keepAliveCheckInterval = 500 * time.Millisecond

// SetKeepAlive changes how long a connection may be idle between two requests. 0 restores the option KeepAlive, which
// is the longest time in any case.
func (s *Server) SetKeepAlive(keepAlive time.Duration) {
	s.keepAlive.Store(int64(keepAlive))
	if keepAlive > 0 {
		s.keepAliveOnce.Do(func() { go s.enforceKeepAlive() })
	}
}

// enforceKeepAlive closes idle connections until the listener is closed; Shutdown closes the others.
func (s *Server) enforceKeepAlive() {
	for helpers.Pause(keepAliveCheckInterval, s.done) {
		if keepAlive := time.Duration(s.keepAlive.Load()); keepAlive > 0 {
			s.conns.closeIdleSince(time.Now().Add(-keepAlive))
		}
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// closeWhenDraining makes responses close their connections once keep-alives are disabled,
// so that callers reconnect to another server. This applies to all responses whose head is
// written from then on, also if the request arrived before. It aborts a request that was read while
// checkIdle closed its connection: the request would run although no caller could receive
// the response.
func (s *Server) closeWhenDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		accepted, ok := r.Context().Value(connectionKey{}).(net.Conn)
		if ok && s.conns.isClosed(accepted) {
			panic(http.ErrAbortHandler)
		}
		c, ok := accepted.(*conn)
		handler.ServeHTTP(&responseWriter{ResponseWriter: w, closes: &s.keepAlivesDisabled, last: ok && c.last}, r)
	})
}

// DisableKeepAlives makes every further response close its connection.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Shutdown stops accepting connections, and waits for the requests in flight and for those
// that callers are about to send on open connections. Only then does it call
// http.Server.Shutdown, which drops requests that arrive later.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	queued := acceptQueued(s.listener)
	_ = s.listener.Close()
	<-s.done
	_ = s.http.Serve(&boundedListener{Listener: &queuedListener{Listener: s.listener, queued: queued}, server: s})
	s.conns.closeIdle(ctx, s.idleTimeout)
	err := s.http.Shutdown(ctx)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = s.http.Close()
		return fmt.Errorf("shut down %s: %w", s.Address, err)
	}
	return nil
}

// Close closes the listener and all connections at once, as a crash of the host would.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// Done returns a channel that is closed when the server no longer accepts connections.
func (s *Server) Done() <-chan struct{} { return s.done }
