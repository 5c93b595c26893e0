// Package serve runs an http.Handler on a loopback port.
package serve

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// headerTimeout bounds the time a client may take to send its headers.
const headerTimeout = 10 * time.Second

// Server is a running loopback server.
type Server struct {
	// Address is where the server listens.
	Address netip.AddrPort
	server  *http.Server
	done    chan struct{}
}

// Loopback starts handler on an ephemeral loopback port.
func Loopback(handler http.Handler) (*Server, error) {
	return On(netip.MustParseAddrPort("127.0.0.1:0"), handler)
}

// On starts handler on the given address.
func On(address netip.AddrPort, handler http.Handler) (*Server, error) {
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

// Close cuts all connections, as a host that dies, and waits for the listener.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}

// JSON writes value as the answer's body.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
