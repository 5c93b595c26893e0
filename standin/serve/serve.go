// Package serve runs an http.Handler on a loopback address, for simulations and tests.
package serve

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// headerTimeout bounds the time in which a client has to send its headers.
const headerTimeout = 10 * time.Second

// Server is a running loopback server.
type Server struct {
	// Address is the listening address.
	Address netip.AddrPort
	server  *http.Server
	done    chan struct{}
}

// Loopback serves handler on an ephemeral loopback port.
func Loopback(handler http.Handler) (*Server, error) {
	return Listen(netip.MustParseAddrPort("127.0.0.1:0"), handler)
}

// Listen serves handler on the given address.
func Listen(address netip.AddrPort, handler http.Handler) (*Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	bound := listener.Addr().(*net.TCPAddr).AddrPort()
	s := &Server{
		Address: bound,
		server:  &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.Address.String() }

// Close closes the listener and all connections at once, as the crash of a host would,
// and waits until the listener is closed.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}

// JSON writes a response with value as its JSON body.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
