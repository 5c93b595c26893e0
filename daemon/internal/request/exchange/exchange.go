// Package exchange sends one request to one upstream and says what became of
// it.
//
// Everything that may be sent again hangs on one question: can the request have
// run? Only two things say that it has not: no connection was made, or the
// upstream itself promised so. All else, a reset, a close, an answer to another
// request, leaves it unknown. The answer is kept in the type Fate, so that no
// caller has to read errors.
package exchange

import (
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
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Fate is what is known of a request after it was sent.
type Fate int

// The fates. The zero value is the one that permits least.
const (
	// Unknown means that it may have run, or may run yet.
	Unknown Fate = iota
	// Answered means that the upstream gave the head of an answer of its own.
	Answered
	// Unsent means that no connection was made: it has not run.
	Unsent
	// Refused means that the upstream promised that it has not run.
	Refused
	// Misdirected means the same, because another upstream, or another version,
	// is at the address.
	Misdirected
)

// String returns the fate's name in logs.
func (f Fate) String() string {
	return [...]string{"unknown", "answered", "unsent", "refused", "misdirected"}[f]
}

// NotRun reports whether the request has not run and never will.
func (f Fate) NotRun() bool { return f >= Unsent }

// Result is what one send came to. Response is set, with a body to close, only
// where Fate is Answered.
type Result struct {
	Fate     Fate
	Response *http.Response
	Err      error
	// Said is what the answer says of the upstream's limit, where there was an answer of
	// the upstream's.
	Said ratelimit.Said
}

// Errors of answers that are not the upstream's answer to this request.
var (
	errOtherRequest = errors.New("the answer belongs to another request")
	errUnsigned     = errors.New("the answer is a success without a signature")
	errEncoded      = errors.New("the answer is encoded, which was not asked for")
	errBareRefusal  = errors.New("the upstream refused without the promise that the request has not run")
)

// Send describes one send.
type Send struct {
	// Incoming is the caller's request, whose method, target and headers go on.
	Incoming *http.Request
	Body     []byte
	Upstream *provider.Upstream
	// Account replaces the account header; empty removes it.
	Account string
	// Left is the time that the upstream may take.
	Left time.Duration
	// Priority is the place in the upstream's queue, 0 to 9; below 0 means none.
	Priority int
	// Version is the version that the upstream must hold; 0 means any.
	Version int
	// LastEvent is the event after which a stream goes on; empty keeps the
	// caller's own.
	LastEvent string
	// Fresh asks for a connection of its own, for requests that cannot be sent
	// again if a kept connection turns out to be dead.
	Fresh bool
}

// Client sends requests. Kept and Fresh must be set.
type Client struct {
	Headers provider.Headers
	// Kept reuses connections, Fresh makes one for each request.
	Kept, Fresh http.RoundTripper
}

// Do sends a request and waits for the head of the answer.
func (c *Client) Do(ctx context.Context, send Send) Result {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request := c.request(httptrace.WithClientTrace(ctx, trace), send)
	transport := c.Kept
	if send.Fresh {
		transport = c.Fresh
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		fate := Unknown
		if !connected {
			fate = Unsent
		}
		return Result{Fate: fate, Err: fmt.Errorf("send to %s at %s: %w", send.Upstream.ID, send.Upstream.Address, err)}
	}
	result := c.judge(send.Incoming, response)
	result.Said = c.said(result, response.Header)
	if result.Fate != Answered {
		_ = response.Body.Close()
		result.Err = fmt.Errorf("answer of %s at %s: %w", send.Upstream.ID, send.Upstream.Address, result.Err)
	}
	return result
}

// judge decides from the head what an answer says.
func (c *Client) judge(incoming *http.Request, response *http.Response) Result {
	h := &c.Headers
	if response.Header.Get(h.RequestID) != incoming.Header.Get(h.RequestID) {
		return Result{Fate: Unknown, Err: errOtherRequest}
	}
	promised := response.Header.Get(h.NotRun) != ""
	switch status := response.StatusCode; {
	case status == http.StatusMisdirectedRequest:
		return Result{Fate: Misdirected, Err: fmt.Errorf("status %d", status)}
	case promised:
		return Result{Fate: Refused, Err: fmt.Errorf("status %d", status)}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		return Result{Fate: Unknown, Err: errBareRefusal}
	case status/100 == 2 && response.Header.Get(h.Signature) == "":
		return Result{Fate: Unknown, Err: errUnsigned}
	case status/100 == 2 && response.Header.Get("Content-Encoding") != "":
		return Result{Fate: Unknown, Err: errEncoded}
	case status < http.StatusOK || status/100 == 3:
		return Result{Fate: Unknown, Err: fmt.Errorf("status %d", status)}
	default:
		return Result{Fate: Answered, Response: response}
	}
}

// said reads what an answer says of its upstream's limit. One that another upstream gave,
// or that belongs to another request and may be old, says nothing. One that is broken may
// name a limit, but not end one.
func (c *Client) said(result Result, header http.Header) ratelimit.Said {
	if result.Fate == Misdirected || errors.Is(result.Err, errOtherRequest) {
		return ratelimit.Said{}
	}
	said := ratelimit.Parse(header.Values(c.Headers.Limit))
	if result.Fate == Unknown && said.Kind == ratelimit.Unlimited {
		return ratelimit.Said{}
	}
	return said
}

// request builds what the upstream gets.
func (c *Client) request(ctx context.Context, send Send) *http.Request {
	in := send.Incoming
	out := (&http.Request{
		Method: in.Method, Host: in.Host,
		URL:   target(in, send.Upstream),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        in.Header.Clone(),
		ContentLength: int64(len(send.Body)),
	}).WithContext(ctx)
	CutConnectionHeaders(out.Header)
	c.setHeaders(out.Header, send)
	if len(send.Body) == 0 {
		upstream.DisableRetry(out, nil)
		if in.Method == http.MethodGet || in.Method == http.MethodHead {
			out.Body = nil
		}
		return out
	}
	upstream.DisableRetry(out, strings.NewReader(string(send.Body)))
	return out
}

func (c *Client) setHeaders(header http.Header, send Send) {
	h := &c.Headers
	header.Del("Authorization")
	header.Del(h.Account)
	if send.Account != "" {
		header.Set(h.Account, send.Account)
	}
	header.Set(h.Deadline, strconv.FormatInt(max(send.Left.Milliseconds(), 1), 10))
	header.Set(h.ExpectedUpstream, send.Upstream.ID)
	header.Del(h.ExpectedVersion)
	if send.Version > 0 {
		header.Set(h.ExpectedVersion, strconv.Itoa(send.Version))
	}
	header.Del(h.Priority)
	if send.Priority >= 0 {
		header.Set(h.Priority, strconv.Itoa(send.Priority))
	}
	if send.LastEvent != "" {
		header.Set(h.LastEvent, send.LastEvent)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // net/http would add its own
	}
}

// target keeps the caller's request target byte for byte. A target that begins
// with two slashes would be taken for a host, so that one goes through the
// parsed form.
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

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// CutConnectionHeaders removes the headers that concern one connection only.
func CutConnectionHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}
