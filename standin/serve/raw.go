package serve

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
)

// RawServer accepts connections on a loopback address and serves each without an HTTP server, for upstreams that do not
// keep to the protocol.
type RawServer struct {
	// Address is the listening address.
	Address  netip.AddrPort
	listener *net.TCPListener
	done     chan struct{}
}

// Raw calls handle for each connection, on an ephemeral loopback port, and closes the connection after it.
func Raw(handle func(*net.TCPConn)) (*RawServer, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &RawServer{Address: listener.Addr().(*net.TCPAddr).AddrPort(), listener: listener, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn)
			}()
		}
	}()
	return s, nil
}

// RawRequests calls handle for the head of each request. The body is read only as far as handle reads it or it arrived
// with the head. A connection ends after handle returns false.
func RawRequests(handle func(*http.Request, *net.TCPConn) bool) (*RawServer, error) {
	return Raw(func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil || !handle(request, conn) {
				return
			}
		}
	})
}

// Close closes the listener and waits until it is closed. Connections stay open.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	<-s.done
}
