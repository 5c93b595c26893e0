// Package swarmtest provides a network inside the test process for tests of hosts that exchange chunks.
package swarmtest

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
)

// Network carries HTTP between hosts inside the test process, so that tests can run on a
// synthetic clock. Addresses without a server refuse connections.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	hosts     uint32
}

// baseAddress is the address below the first one that a network assigns.
const baseAddress = 10 << 24

// Serve serves a handler at a new address until the end of the test.
func (n *Network) Serve(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts++
	var host [4]byte
	binary.BigEndian.PutUint32(host[:], baseAddress+n.hosts)
	address := netip.AddrPortFrom(netip.AddrFrom4(host), 80)
	l := &listener{address: address, connections: make(chan net.Conn), closed: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	n.listeners[address.String()] = l
	server := &http.Server{Handler: handler} //nolint:gosec // tests run on a synthetic clock and have no slow clients
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return address
}

// Client returns an HTTP client on the network.
func (n *Network) Client(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{DialContext: n.Dial}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Dial opens a connection to an address of the network.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	client, server := net.Pipe()
	select {
	case l.connections <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener passes connections to one address to its server.
type listener struct {
	address     netip.AddrPort
	connections chan net.Conn
	closeOnce   sync.Once
	closed      chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
