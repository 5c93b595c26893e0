// Package exchange sends one request to one upstream and classifies the result. The
// dispatcher calls it for every attempt and decides on retries by the classification.
//
// Whether a request may be sent again depends on whether it may have run. It did not
// if no connection was established, if the response carries the upstream's not-run
// header, or if its status is 421 (misdirected request). In all other cases (a reset, a
// closed connection, a response to another request) it may have run.
// Kind holds the classification, so that the dispatcher need not inspect errors.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/upstream"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Kind classifies the result of an attempt.
type Kind int

// Values of Kind. The zero value permits the fewest retries.
const (
	// Unknown means that the request may have run or may still run.
	Unknown Kind = iota
	// Answered means that a valid response head was received from the upstream.
	Answered
	// Unsent means that no connection was established, so the request did not run.
	Unsent
	// Refused means that the upstream declares that the request did not run.
	Refused
	// Misdirected means that the request did not run, because another upstream or
	// another version serves at the address.
	Misdirected
)

// String returns the name used in logs.
func (k Kind) String() string {
	return [...]string{"unknown", "answered", "unsent", "refused", "misdirected"}[k]
}

// NotRun reports whether the request did not run and will not.
func (k Kind) NotRun() bool { return k >= Unsent }

// Result is the result of one attempt. Response is set only if Kind is Answered; the
// caller must close its body.
type Result struct {
	Kind     Kind
	Response *http.Response
	Err      error
	// Announcement is what the response states about the upstream, if it comes from the
	// expected one.
	Announcement Announcement
}

// Errors for responses that cannot be attributed to the request and the upstream.
var (
	errRequestIDMismatch = errors.New("the response has the ID of another request")
	errUnsigned          = errors.New("the response is a success without a signature")
	errEncoded           = errors.New("the response has a content encoding that was not requested")
	errUndeclaredRefusal = errors.New("the refusal lacks the header which guarantees that the request has not run")
)

// Attempt describes one attempt to send a request.
type Attempt struct {
	// Incoming is the caller's request; its method, target and headers are forwarded.
	Incoming *http.Request
	Body     []byte
	Upstream *provider.Upstream
	// Account is the value of the account header; empty removes the header.
	Account string
	// Timeout is the time until the deadline, which the upstream receives in a header.
	Timeout time.Duration
	// Priority is the priority in the upstream's queue, 0 to 9; a negative value omits it.
	Priority int
	// Version is the version that the upstream must have loaded; 0 means any.
	Version int
	// LastEventID is the id of the event after which a stream resumes; empty keeps the
	// caller's header.
	LastEventID string
	// NewConn requests a new connection. A request that must not be repeated would be
	// lost if a pooled keep-alive connection turned out to be closed.
	NewConn bool
}

// Client sends requests to upstreams. Pooled and Unpooled must be set.
type Client struct {
	Headers provider.Headers
	// Pooled pools connections; Unpooled opens one for each request.
	Pooled, Unpooled http.RoundTripper
}

// Do sends a request and waits for the response head.
func (c *Client) Do(ctx context.Context, attempt Attempt) Result {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request := c.newRequest(httptrace.WithClientTrace(ctx, trace), attempt)
	transport := c.Pooled
	if attempt.NewConn {
		transport = c.Unpooled
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		kind := Unknown
		if !connected {
			kind = Unsent
		}
		return Result{Kind: kind, Err: fmt.Errorf("send to %s at %s: %w", attempt.Upstream.ID, attempt.Upstream.Address, err)}
	}
	result := c.classify(attempt.Incoming, response)
	result.Announcement = c.readAnnouncement(result, response)
	if result.Kind != Answered {
		_ = response.Body.Close()
		result.Err = fmt.Errorf("response from %s at %s: %w", attempt.Upstream.ID, attempt.Upstream.Address, result.Err)
	}
	return result
}

// classify classifies a response by its status and headers.
func (c *Client) classify(incoming *http.Request, response *http.Response) Result {
	h := &c.Headers
	if response.Header.Get(h.RequestID) != incoming.Header.Get(h.RequestID) {
		return Result{Kind: Unknown, Err: errRequestIDMismatch}
	}
	declaredNotRun := response.Header.Get(h.NotRun) != ""
	switch status := response.StatusCode; {
	case status == http.StatusMisdirectedRequest:
		return Result{Kind: Misdirected, Err: fmt.Errorf("status %d", status)}
	case declaredNotRun:
		return Result{Kind: Refused, Err: fmt.Errorf("status %d", status)}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		return Result{Kind: Unknown, Err: fmt.Errorf("status %d: %w", status, errUndeclaredRefusal)}
	case status/100 == 2 && response.Header.Get(h.Signature) == "":
		return Result{Kind: Unknown, Err: errUnsigned}
	case status/100 == 2 && response.Header.Get("Content-Encoding") != "":
		return Result{Kind: Unknown, Err: errEncoded}
	case status < http.StatusOK || status/100 == 3:
		return Result{Kind: Unknown, Err: fmt.Errorf("status %d", status)}
	default:
		return Result{Kind: Answered, Response: response}
	}
}

func (c *Client) newRequest(ctx context.Context, attempt Attempt) *http.Request {
	in := attempt.Incoming
	out := (&http.Request{
		Method: in.Method, Host: in.Host,
		URL:   target(in, attempt.Upstream),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        in.Header.Clone(),
		ContentLength: int64(len(attempt.Body)),
	}).WithContext(ctx)
	RemoveHopByHopHeaders(out.Header)
	c.setHeaders(out.Header, attempt)
	if len(attempt.Body) == 0 {
		upstream.DisableRetry(out, nil)
		if in.Method == http.MethodGet || in.Method == http.MethodHead {
			out.Body = nil
		}
		return out
	}
	upstream.DisableRetry(out, bytes.NewReader(attempt.Body)) // the sends of a request share its body
	return out
}

func (c *Client) setHeaders(header http.Header, attempt Attempt) {
	h := &c.Headers
	header.Del("Authorization")
	header.Del(h.Account)
	if attempt.Account != "" {
		header.Set(h.Account, attempt.Account)
	}
	header.Set(h.Deadline, strconv.FormatInt(max(attempt.Timeout.Milliseconds(), 1), 10))
	header.Set(h.ExpectedUpstream, attempt.Upstream.ID)
	header.Del(h.ExpectedVersion)
	if attempt.Version > 0 {
		header.Set(h.ExpectedVersion, strconv.Itoa(attempt.Version))
	}
	header.Del(h.Priority)
	if attempt.Priority >= 0 {
		header.Set(h.Priority, strconv.Itoa(attempt.Priority))
	}
	if attempt.LastEventID != "" {
		header.Set(h.LastEvent, attempt.LastEventID)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
}

// target preserves the caller's request target byte for byte. A target that starts
// with two slashes would be parsed as a host, so it is rebuilt from the parsed URL.
func target(in *http.Request, to *provider.Upstream) *url.URL {
	out := &url.URL{Scheme: "http", Host: to.Address.String()}
	if strings.HasPrefix(in.RequestURI, "/") && !strings.HasPrefix(in.RequestURI, "//") {
		out.Opaque = in.RequestURI
		return out
	}
	out.Path, out.RawPath = in.URL.Path, in.URL.RawPath
	out.RawQuery, out.ForceQuery = in.URL.RawQuery, in.URL.ForceQuery
	return out
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// RemoveHopByHopHeaders removes hop-by-hop headers, including those that the Connection
// header names.
func RemoveHopByHopHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
