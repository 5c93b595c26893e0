// Package dial provides the dialers and HTTP transports for connections between
// processes. They bound the time to connect and count the bytes of control
// messages. Tests inject network faults by replacing a Func.
package dial

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Timeout bounds the time to connect.
const Timeout = time.Second

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Direct opens a connection over the network.
func Direct(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: Timeout, KeepAlive: 15 * time.Second}
	return dialer.DialContext(ctx, network, address)
}

// OrDirect returns f, or Direct where f is nil.
func OrDirect(f Func) Func {
	if f == nil {
		return Direct
	}
	return f
}

// Meter counts the bytes of connections in both directions, headers included.
// The zero value is ready to use.
type Meter struct{ bytes atomic.Int64 }

// Bytes returns the count so far.
func (m *Meter) Bytes() int64 { return m.bytes.Load() }

// Wrap returns a Func that opens connections by f and adds their bytes to the meter.
func (m *Meter) Wrap(f Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := f(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m}, nil
	}
}

// meteredConn is a connection that adds its bytes to a meter.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// SyscallConn returns the socket of the connection, which tells whether it broke.
func (c *meteredConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
