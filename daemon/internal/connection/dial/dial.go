// Package dial makes the connections between processes: it bounds the time to
// connect, counts the bytes of control messages, and is the seam at which tests
// cut the network.
package dial

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Timeout bounds the time to connect.
const Timeout = time.Second

// Func makes a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Direct is the Func of production.
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

// Meter counts the bytes of connections, both directions, headers included.
// The zero value is ready to use.
type Meter struct{ bytes atomic.Int64 }

// Bytes returns the count so far.
func (m *Meter) Bytes() int64 { return m.bytes.Load() }

// Count returns a Func whose connections are counted.
func (m *Meter) Count(f Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := f(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m}, nil
	}
}

// meteredConn is a counted connection.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read counts what was read.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Write counts what was written.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Limits of idle connections.
const (
	idlePerHost = 8
	idleTimeout = 30 * time.Second
	// Buffers of one connection, each way. An entry keeps connections to
	// hundreds of others: with the chunks' buffers there 400 entries would cost
	// each of them 25 MB.
	controlBuffer = 4 << 10
	chunkBuffer   = 32 << 10
)

// NewControlTransport returns a transport for control messages.
func NewControlTransport(f Func) *http.Transport { return newTransport(f, controlBuffer) }

// NewChunkTransport returns a transport for weights.
func NewChunkTransport(f Func) *http.Transport { return newTransport(f, chunkBuffer) }

func newTransport(f Func, buffer int) *http.Transport {
	return &http.Transport{
		DialContext: f, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout,
		DisableCompression: true, ReadBufferSize: buffer, WriteBufferSize: buffer,
	}
}
