package dial

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Limits of a transport for control messages and chunks.
const (
	idlePerHost = 8
	idleTimeout = 30 * time.Second
	// The sizes of the read and the write buffer of a connection, in bytes. An
	// entry keeps control connections to hundreds of entries, so their buffers
	// are small.
	controlBuffer = 4 << 10
	chunkBuffer   = 32 << 10
)

// Limits of a transport to hosts; the buffer size is in bytes.
const (
	hostIdlePerHost = 64
	hostBuffer      = 4 << 10
)

// maxResponseHead bounds the head of a response in bytes, interim responses included. Servers in trouble may send
// heads without end, on as many connections as a host has descriptors.
const maxResponseHead = 16 << 10

// Transport is an http.Transport for HTTP/1.1 that returns an error for a response with a malformed head, and for one
// whose connection broke, also where net/http accepts them. All clients use it.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport with the settings of base that opens connections by f, or by Direct where f is nil.
func NewTransport(f Func, base *http.Transport) *Transport {
	f = OrDirect(f)
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := f(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &responseConn{Conn: conn}, nil
	}
	base.DisableCompression = true
	base.MaxResponseHeaderBytes = maxResponseHead
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	// The writing goroutine of a connection that failed may still run while another connection is used.
	var conn atomic.Pointer[responseConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if current, ok := info.Conn.(*responseConn); ok {
				current.begin()
				conn.Store(current)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if current := conn.Load(); current != nil && info.Err == nil {
				current.uploaded.Store(true)
			}
		},
	}
	response, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	current := conn.Load()
	switch {
	case current == nil:
	case err != nil:
		if cause := current.headError(); cause != nil {
			err = cause // net/http may report the part of the head that it got
		}
	case !HasMarkedEnd(response):
		current.endsResponse.Store(true)
	}
	return response, err
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// NewControlTransport returns a transport for control messages.
func NewControlTransport(f Func) *Transport { return newPeerTransport(f, controlBuffer) }

// NewChunkTransport returns a transport for chunks of weights.
func NewChunkTransport(f Func) *Transport { return newPeerTransport(f, chunkBuffer) }

func newPeerTransport(f Func, buffer int) *Transport {
	return NewTransport(f, &http.Transport{
		MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout, ReadBufferSize: buffer, WriteBufferSize: buffer,
	})
}

// NewHostTransport returns a transport for calls to hosts that may become
// unreachable. Idle connections are closed after idle; 0 closes each connection
// after its call.
func NewHostTransport(f Func, idle time.Duration) *Transport {
	return NewTransport(f, &http.Transport{
		DisableKeepAlives: idle == 0, IdleConnTimeout: idle, MaxIdleConnsPerHost: hostIdlePerHost,
		ReadBufferSize: hostBuffer, WriteBufferSize: hostBuffer,
	})
}
