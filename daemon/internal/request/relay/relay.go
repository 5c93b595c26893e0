// Package relay hands one request to the next hop and streams the answer back.
// The entry and the agent use the same code, each for its own hop.
//
// It does little on purpose: no buffering beyond one read, no decompression,
// no rewriting of bodies. What matters is that it knows whether a failed
// request can have been seen by the next hop.
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

// copyBytes is the size of one read of an answer.
const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// hopHeaders belong to one connection and are not handed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Hop is one request on its way to the next hop.
type Hop struct {
	Transport *http.Transport
	Peer      netip.AddrPort
	// Path is the request's path and query at the peer.
	Path string
	// Header is set on the request over the caller's headers.
	Header http.Header
	// Body replaces the caller's body; nil hands that on.
	Body io.Reader
	// ExpectContinue has the peer say that it takes the request before any
	// byte of the body is read from the caller, so that a refused request
	// can be sent elsewhere with its body whole.
	ExpectContinue bool
}

// Failure says that no answer came.
type Failure struct {
	Peer netip.AddrPort
	// HandedOver is true when the peer may have seen the request.
	HandedOver bool
	Err        error
}

// Error names the peer and whether it may have seen the request.
func (f *Failure) Error() string {
	step := "reach"
	if f.HandedOver {
		step = "get an answer from"
	}
	return fmt.Sprintf("%s %s: %s", step, f.Peer, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Send hands the request on and returns the answer's head, whose body the
// caller passes to Copy or closes. The error is a *Failure.
func Send(ctx context.Context, in *http.Request, hop *Hop) (*http.Response, error) {
	handedOver := false
	trace := &httptrace.ClientTrace{
		// From here on bytes may reach the peer.
		GotConn: func(httptrace.GotConnInfo) { handedOver = true },
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
		out.Header.Set("User-Agent", "") // else the transport names itself
	}
	setBody(out, in, hop)
	response, err := hop.Transport.RoundTrip(out)
	if err != nil {
		return nil, &Failure{Peer: hop.Peer, HandedOver: handedOver, Err: err}
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

// copyHeader adds the headers that are handed on.
func copyHeader(to, from http.Header) {
	dropped := strings.Split(from.Get("Connection"), ",")
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
	for _, name := range dropped {
		if name = strings.TrimSpace(name); name != "" {
			to.Del(name)
		}
	}
}

// CopyHead writes the answer's status and headers.
func CopyHead(w http.ResponseWriter, response *http.Response) {
	copyHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
}

// errWrite marks an error of the caller's connection.
var errWrite = errors.New("write to the caller")

// IsCallerGone reports whether Copy failed because the caller left.
func IsCallerGone(err error) bool { return errors.Is(err, errWrite) }

// Copy streams the answer's body, each piece as it comes, and closes it.
func Copy(w http.ResponseWriter, response *http.Response) error {
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
			// A body of known length needs no flush for its pieces: the
			// server sends it when the buffer is full or the handler ends.
			if response.ContentLength < 0 && err == nil {
				_ = controller.Flush()
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read the answer of %s: %w", response.Request.URL.Host, err)
		}
	}
}
