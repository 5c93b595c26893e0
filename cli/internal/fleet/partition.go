package fleet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Platform is the location of the stand-ins, for Cut and Heal.
const Platform = "platform"

// network partitions the fleet. Every process dials through it, so that it can
// close the connections between two locations and refuse new ones. A location
// is a hall or Platform.
type network struct {
	mu sync.Mutex
	// location is the location of each listening address.
	location map[string]string
	cut      map[locationPair]bool
	conns    map[*trackedConn]locationPair
}

// locationPair is two locations, in order of name.
type locationPair struct{ a, b string }

func newLocationPair(a, b string) locationPair {
	if a > b {
		a, b = b, a
	}
	return locationPair{a, b}
}

func newNetwork() *network {
	return &network{location: map[string]string{}, cut: map[locationPair]bool{}, conns: map[*trackedConn]locationPair{}}
}

func (n *network) setLocation(address netip.AddrPort, location string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.location[address.String()] = location
}

// dialFrom returns the dial function of the processes in a hall.
func (n *network) dialFrom(hall string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		link := newLocationPair(hall, n.location[address])
		isCut := n.cut[link]
		n.mu.Unlock()
		if isCut {
			return nil, &net.OpError{Op: "dial", Net: network, Err: fmt.Errorf("%s is cut off", address)}
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{Conn: conn, network: n}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[tracked] = link
		if n.cut[link] {
			_ = conn.Close()
		}
		return tracked, nil
	}
}

// trackedConn is an open connection that Cut can close.
type trackedConn struct {
	net.Conn
	network *network
}

// Close closes the connection and removes it from the network.
func (c *trackedConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// Cut closes every connection between two locations and refuses new ones.
func (f *Fleet) Cut(a, b string) {
	n := f.network
	n.mu.Lock()
	defer n.mu.Unlock()
	link := newLocationPair(a, b)
	n.cut[link] = true
	for conn, connLink := range n.conns {
		if connLink == link {
			_ = conn.Conn.Close()
		}
	}
}

// Heal reverts Cut.
func (f *Fleet) Heal(a, b string) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	delete(f.network.cut, newLocationPair(a, b))
}

// CutHall cuts a hall off from all other halls, and from the platform if
// withPlatform is set.
func (f *Fleet) CutHall(hall string, withPlatform bool) {
	for _, other := range f.Config.Halls {
		if other != hall {
			f.Cut(hall, other)
		}
	}
	if withPlatform {
		f.Cut(hall, Platform)
	}
}

// HealHall reverts CutHall.
func (f *Fleet) HealHall(hall string) {
	for _, other := range f.Config.Halls {
		f.Heal(hall, other)
	}
	f.Heal(hall, Platform)
}
