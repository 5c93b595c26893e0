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

// LinkFault is the fault of a link. The zero value is a link without a fault.
type LinkFault struct {
	// Reset resets open and new connections.
	Reset bool
	// BlockToTarget and BlockFromTarget delay all bytes of a direction until the fault ends.
	BlockToTarget, BlockFromTarget bool
	// Delay is the mean delay of each chunk.
	Delay time.Duration
	// BytesPerSecond limits each direction of a connection; 0 means no limit.
	BytesPerSecond int
}

// Proxy forwards TCP connections to a target and injects faults of the link.
//
// Lock order: mu is the only lock. It is not held during reads and writes.
type Proxy struct {
	address, target netip.AddrPort

	mu sync.Mutex
	// listener is nil while new connections are refused.
	listener *net.TCPListener
	fault    LinkFault
	changed  chan struct{}
	conns    map[net.Conn]struct{}
	// silenced is closed when the connections that are open now go silent.
	silenced chan struct{}
	closed   bool
	handlers sync.WaitGroup
}

// StartProxy starts a proxy that listens on an address.
func StartProxy(address, target netip.AddrPort) (*Proxy, error) {
	p := &Proxy{address: address, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, silenced: make(chan struct{})}
	if err := p.Listen(); err != nil {
		return nil, err
	}
	return p, nil
}

// StopListening closes the listener and resets open connections, so that the port behaves
// like that of a process that has exited. Listen reopens it.
func (p *Proxy) StopListening() {
	p.CloseListener()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// CloseListener closes the listener and keeps open connections, which end as the target ends them.
func (p *Proxy) CloseListener() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// Listen opens the listener, at first and again after StopListening. It does nothing while
// the listener is open or after Close.
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
	p.handlers.Go(func() { p.accept(listener) })
	return nil
}

// SetFault replaces the fault of the link.
func (p *Proxy) SetFault(fault LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.changed)
	p.changed = make(chan struct{})
	if fault.Reset {
		p.resetAll()
	}
}

// SilenceOpen makes all open connections silent for good: nothing passes, neither bytes nor their end.
// New connections work.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

// Close resets all connections and waits until their goroutines have returned.
func (p *Proxy) Close() {
	p.StopListening()
	p.mu.Lock()
	p.closed = true
	p.resetAll()
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.handlers.Wait()
}

// resetAll resets all open connections. It must be called with mu held.
func (p *Proxy) resetAll() {
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.handlers.Go(func() { p.forward(conn) })
	}
}

// forward connects a client to the target and copies both directions until they have ended.
func (p *Proxy) forward(client net.Conn) {
	silenced, ok := p.register(client)
	if !ok {
		reset(client)
		return
	}
	defer p.unregister(client)
	target, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", p.target.String())
	if err != nil {
		reset(client)
		return
	}
	if _, ok := p.register(target); !ok {
		reset(target)
		reset(client)
		return
	}
	defer p.unregister(target)
	var wg sync.WaitGroup
	wg.Go(func() { p.copyDirection(target, client, silenced, func(f LinkFault) bool { return f.BlockToTarget }) })
	wg.Go(func() { p.copyDirection(client, target, silenced, func(f LinkFault) bool { return f.BlockFromTarget }) })
	wg.Wait()
}

// register adds a connection, unless the fault of the link or Close forbids it. It returns the channel
// that is closed when the connection goes silent.
func (p *Proxy) register(conn net.Conn) (silenced <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Reset || p.closed {
		return nil, false
	}
	p.conns[conn] = struct{}{}
	return p.silenced, true
}

// unregister closes a connection and removes it.
func (p *Proxy) unregister(conn net.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// copyDirection copies one direction until it goes silent. It forwards a half-close as a half-close
// and an error as a reset.
func (p *Proxy) copyDirection(to, from net.Conn, silenced <-chan struct{}, blocked func(LinkFault) bool) {
	const chunkLen = 16 << 10
	buf := make([]byte, chunkLen)
	for {
		n, err := from.Read(buf)
		if isClosed(silenced) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			p.applyFault(n, blocked)
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.closeWrite(to, err)
			return
		}
	}
}

// closeWrite half-closes a connection after io.EOF and resets it after other errors.
func (p *Proxy) closeWrite(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF { //nolint:errorlint // Read returns it unwrapped
		_ = tcp.CloseWrite()
		return
	}
	reset(to)
}

// applyFault waits for as long as the fault of the link delays a chunk of n bytes.
func (p *Proxy) applyFault(n int, blocked func(LinkFault) bool) {
	for {
		p.mu.Lock()
		fault, changed, closed := p.fault, p.changed, p.closed
		p.mu.Unlock()
		if !blocked(fault) || closed {
			if fault.BytesPerSecond > 0 {
				wait(time.Duration(n)*time.Second/time.Duration(fault.BytesPerSecond), changed)
			}
			if fault.Delay > 0 {
				wait(fault.Delay/2+rand.N(fault.Delay), changed)
			}
			return
		}
		<-changed
	}
}
