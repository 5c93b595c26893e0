package fleet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Platform is the place of the stand-ins in a partition.
const Platform = "platform"

// network knows which hall each address stands in and which halls are cut off
// from each other. It is the dial seam of every process of a fleet.
type network struct {
	mu sync.Mutex
	// place names the hall, or Platform, of each listening address.
	place map[string]string
	cut   map[pair]bool
	conns map[*cutConn]pair
}

// pair is two places, in order of name.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

func newNetwork() *network {
	return &network{place: map[string]string{}, cut: map[pair]bool{}, conns: map[*cutConn]pair{}}
}

func (n *network) put(address netip.AddrPort, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.place[address.String()] = place
}

// dialFrom returns the dial seam of a process in a hall.
func (n *network) dialFrom(hall string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		way := pairOf(hall, n.place[address])
		isCut := n.cut[way]
		n.mu.Unlock()
		if isCut {
			return nil, &net.OpError{Op: "dial", Net: network, Err: fmt.Errorf("%s is cut off", address)}
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		made := &cutConn{Conn: conn, network: n}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[made] = way
		if n.cut[way] {
			_ = conn.Close()
		}
		return made, nil
	}
}

// cutConn is a connection that a cut ends.
type cutConn struct {
	net.Conn
	network *network
}

// Close ends the connection and forgets it.
func (c *cutConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// Cut ends every connection between two places and makes no new ones.
func (f *Fleet) Cut(a, b string) {
	n := f.network
	n.mu.Lock()
	defer n.mu.Unlock()
	way := pairOf(a, b)
	n.cut[way] = true
	for conn, between := range n.conns {
		if between == way {
			_ = conn.Conn.Close()
		}
	}
}

// Heal undoes Cut.
func (f *Fleet) Heal(a, b string) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	delete(f.network.cut, pairOf(a, b))
}

// CutHall cuts a hall off from all other halls, and from the platform if asked.
func (f *Fleet) CutHall(hall string, platformToo bool) {
	for _, other := range f.Config.Halls {
		if other != hall {
			f.Cut(hall, other)
		}
	}
	if platformToo {
		f.Cut(hall, Platform)
	}
}

// HealHall undoes CutHall.
func (f *Fleet) HealHall(hall string) {
	for _, other := range f.Config.Halls {
		f.Heal(hall, other)
	}
	f.Heal(hall, Platform)
}
