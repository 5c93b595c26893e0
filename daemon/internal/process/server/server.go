// Package server runs the HTTP servers of a process, and ends them without
// cutting requests.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	headerTimeout = 10 * time.Second
	// defaultQuiet is the default of Options.Quiet: several round trips between a caller
	// and a host. What is taken in that time must end within the rest of a stop, so more
	// would have long requests cut.
	defaultQuiet = 100 * time.Millisecond
)

// Server is one listening port.
type Server struct {
	// Address is where the server listens.
	Address netip.AddrPort

	http     *http.Server
	listener *net.TCPListener
	quiet    time.Duration
	// open are the connections.
	open connections
	// closing makes answers end their connections.
	closing atomic.Bool
	done    chan struct{}
}

// Options describe a server.
type Options struct {
	Name           string
	Address        netip.AddrPort
	Handler        http.Handler
	MaxHeaderBytes int
	// Quiet is how long a connection that carries no request must have been silent
	// for a shutdown to end it; 0 means 100 ms.
	Quiet time.Duration
}

// Listen opens the port and serves.
func Listen(options Options) (*Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, fmt.Errorf("listen for %s on %s: %w", options.Name, options.Address, err)
	}
	bound, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return nil, fmt.Errorf("listen for %s on %s: not a TCP address", options.Name, options.Address)
	}
	s := &Server{
		Address: bound.AddrPort(), listener: listener, quiet: helpers.OrDefault(options.Quiet, defaultQuiet), done: make(chan struct{}),
	}
	s.http = &http.Server{
		Handler: s.ending(options.Handler), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: options.MaxHeaderBytes, ConnState: s.open.note,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// ending has answers close their connections once the server is closing, so
// that callers come back elsewhere. A request that was read as its connection was closed
// goes no further: nobody would get its answer, and it would have run all the same.
func (s *Server) ending(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(net.Conn); ok && s.open.hasEnded(conn) {
			panic(http.ErrAbortHandler)
		}
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// Closing makes every further answer end its connection.
func (s *Server) Closing() { s.closing.Store(true) }

// Shutdown takes no new connections and waits for requests in flight, and for those that
// callers are about to send on open connections: the HTTP server, once it is told to
// shut down, drops requests that it reads.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Closing()
	_ = s.listener.Close()
	<-s.done
	s.open.endQuiet(ctx, s.quiet)
	err := s.http.Shutdown(ctx)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = s.http.Close()
		return fmt.Errorf("shut down %s: %w", s.Address, err)
	}
	return nil
}

// Kill cuts every connection, as a host that dies.
func (s *Server) Kill() {
	_ = s.http.Close()
	<-s.done
}

// Done is closed when the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }
