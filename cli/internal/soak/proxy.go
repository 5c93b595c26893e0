package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// LinkFault is what is wrong with a link. The zero value is a sound one.
type LinkFault struct {
	// Reset cuts open connections and all new ones.
	Reset bool
	// StopThere and StopBack hold back what goes to the target and what comes back.
	StopThere, StopBack bool
	// Delay comes before each piece.
	Delay time.Duration
	// BytesPerSecond bounds each direction of a connection; 0 means not at all.
	BytesPerSecond int
}

// Proxy passes TCP connections on to a target, and lets its link suffer.
//
// Lock order: mu is the only lock, and it is not held during reads and writes.
type Proxy struct {
	address, target netip.AddrPort

	mu sync.Mutex
	// listener is nil while new connections are refused.
	listener    *net.TCPListener
	fault       LinkFault
	changed     chan struct{}
	connections map[net.Conn]struct{}
	closed      bool
	done        sync.WaitGroup
}

// StartProxy listens on an address.
func StartProxy(address, target netip.AddrPort) (*Proxy, error) {
	p := &Proxy{address: address, target: target, changed: make(chan struct{}), connections: map[net.Conn]struct{}{}}
	if err := p.Listen(); err != nil {
		return nil, err
	}
	return p, nil
}

// Refuse refuses new connections and cuts those that are open, as the port of a process
// that has ended does; Listen takes them again.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.cut()
}

// Listen takes connections, at first and again after Refuse.
func (p *Proxy) Listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(p.address))
	if err != nil {
		return fmt.Errorf("proxy to %s: %w", p.target, err)
	}
	p.listener = listener
	p.done.Go(func() { p.accept(listener) })
	return nil
}

// Set changes what is wrong with the link.
func (p *Proxy) Set(fault LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.changed)
	p.changed = make(chan struct{})
	if fault.Reset {
		p.cut()
	}
}

// Close cuts all connections and waits for them to end.
func (p *Proxy) Close() {
	p.Refuse()
	p.mu.Lock()
	p.closed = true
	p.cut()
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.done.Wait()
}

// cut must be called with mu held. Connections end with a reset.
func (p *Proxy) cut() {
	for connection := range p.connections {
		reset(connection)
	}
}

func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

func (p *Proxy) accept(listener *net.TCPListener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		p.done.Go(func() { p.pass(connection) })
	}
}

// pass joins one connection to the target until either side ends it.
func (p *Proxy) pass(here net.Conn) {
	if !p.admit(here) {
		reset(here)
		return
	}
	defer p.forget(here)
	there, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", p.target.String())
	if err != nil || !p.admit(there) {
		reset(here)
		return
	}
	defer p.forget(there)
	var both sync.WaitGroup
	both.Go(func() { p.carry(there, here, func(f LinkFault) bool { return f.StopThere }) })
	both.Go(func() { p.carry(here, there, func(f LinkFault) bool { return f.StopBack }) })
	both.Wait()
}

func (p *Proxy) admit(connection net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Reset || p.closed {
		return false
	}
	p.connections[connection] = struct{}{}
	return true
}

func (p *Proxy) forget(connection net.Conn) {
	_ = connection.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, connection)
}

// carry copies one direction. An end on one side is passed on as such.
func (p *Proxy) carry(to, from net.Conn, stopped func(LinkFault) bool) {
	const pieceBytes = 16 << 10
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.suffer(n, stopped)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.end(to, err)
			return
		}
	}
}

func (p *Proxy) end(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF { //nolint:errorlint // Read returns it as it is
		_ = tcp.CloseWrite()
		return
	}
	reset(to)
}

// suffer waits as long as the link holds a piece back.
func (p *Proxy) suffer(bytes int, stopped func(LinkFault) bool) {
	for {
		p.mu.Lock()
		fault, changed, closed := p.fault, p.changed, p.closed
		p.mu.Unlock()
		if !stopped(fault) || closed {
			if fault.BytesPerSecond > 0 {
				wait(time.Duration(bytes)*time.Second/time.Duration(fault.BytesPerSecond), changed)
			}
			if fault.Delay > 0 {
				wait(fault.Delay/2+rand.N(fault.Delay), changed)
			}
			return
		}
		<-changed
	}
}
