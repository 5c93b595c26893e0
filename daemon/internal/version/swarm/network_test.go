package swarm_test

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
)

// network carries HTTP between hosts inside the test process, so that tests can run on a
// synthetic clock. Addresses without a server refuse connections.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	hosts     uint32
}

// baseAddress is the address below the first one that a network assigns.
const baseAddress = 10 << 24

// serve serves a handler at a new address until the end of the test.
func (n *network) serve(t *testing.T, handler http.Handler) netip.AddrPort {
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
	server := &http.Server{Handler: handler}
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

// client returns an HTTP client on the network.
func (n *network) client(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{DialContext: n.dial}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
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
