// Package relay sends one request to the next hop and streams the response back. The entry
// and the agent both use it, each for its own hop.
//
// It buffers no more than one read, and neither decompresses nor rewrites bodies. It reports
// whether the next hop may have received a request that failed, because only a request that
// was not received may be retried freely.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/upstream"
)

// copyBytes is the size of one read of a response.
const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Hop describes the request to the next hop.
type Hop struct {
	Transport http.RoundTripper
	Peer      netip.AddrPort
	// Path is the request's path and query at the peer.
	Path string
	// Header is set on the request over the caller's headers.
	Header http.Header
	// Body replaces the caller's body; nil forwards the caller's.
	Body io.Reader
	// ExpectContinue makes the peer accept the request before any byte of the body is read
	// from the caller, so that a refused request can be sent elsewhere with its complete
	// body.
	ExpectContinue bool
}

// Failure is the error of a request without a response.
type Failure struct {
	Peer netip.AddrPort
	// MaybeReceived reports whether the peer may have received the request.
	MaybeReceived bool
	Err           error
}

// Error names the peer and whether it may have received the request.
func (f *Failure) Error() string {
	step := "reach"
	if f.MaybeReceived {
		step = "get an answer from"
	}
	return fmt.Sprintf("%s %s: %s", step, f.Peer, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Send forwards the request and returns the head of the response. The caller must pass the
// response to CopyBody or close its body. The error is a *Failure.
func Send(ctx context.Context, in *http.Request, hop *Hop) (*http.Response, error) {
	maybeReceived := false
	trace := &httptrace.ClientTrace{
		// Once there is a connection, bytes may reach the peer.
		GotConn: func(httptrace.GotConnInfo) { maybeReceived = true },
	}
	out, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), in.Method, "http://"+hop.Peer.String()+hop.Path, nil)
	if err != nil {
		return nil, &Failure{Peer: hop.Peer, Err: err}
	}
	copyHeader(out.Header, in.Header)
	for name, values := range hop.Header {
		out.Header[name] = values
	}
	if _, named := out.Header["User-Agent"]; !named {
		out.Header.Set("User-Agent", "") // otherwise the transport sets its own
	}
	setBody(out, in, hop)
	response, err := hop.Transport.RoundTrip(out)
	if err != nil {
		return nil, &Failure{Peer: hop.Peer, MaybeReceived: maybeReceived, Err: err}
	}
	return response, nil
}

func setBody(out, in *http.Request, hop *Hop) {
	body := io.Reader(in.Body)
	if hop.Body != nil {
		body = hop.Body
	}
	upstream.DisableRetry(out, body)
	out.ContentLength = in.ContentLength
	out.Host = in.Host
	if hop.ExpectContinue && in.ContentLength != 0 {
		out.Header.Set("Expect", "100-continue")
	} else {
		out.Header.Del("Expect")
	}
}

// copyHeader copies the headers that are forwarded.
func copyHeader(to, from http.Header) {
	dropped := strings.Split(strings.Join(from.Values("Connection"), ","), ",")
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
	for _, name := range dropped {
		if name = strings.TrimSpace(name); name != "" {
			to.Del(name)
		}
	}
}

// WriteHead writes the status and headers of the response.
func WriteHead(w http.ResponseWriter, response *http.Response) {
	copyHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
}

// errWrite marks an error of the caller's connection.
var errWrite = errors.New("write to the caller")

// IsCallerDisconnect reports whether CopyBody failed because the caller disconnected.
func IsCallerDisconnect(err error) bool { return errors.Is(err, errWrite) }

// CopyBody streams the body of the response as it arrives, and closes it.
func CopyBody(w http.ResponseWriter, response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	buffer, _ := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return fmt.Errorf("%w: %w", errWrite, writeErr)
			}
			// A body of known length needs no flush: the server writes it when its
			// buffer is full or the handler returns.
			if response.ContentLength < 0 && err == nil {
				_ = controller.Flush()
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read response of %s: %w", response.Request.URL.Host, err)
		}
	}
}
