// Package upstream provides the transport on which requests are forwarded.
//
// net/http.Transport retries some requests by itself when a reused connection
// breaks: those with a safe method or an idempotency key, and those whose body
// it can rewind through GetBody. The upstream may have executed the request by
// then. A body that is neither nil nor http.NoBody, without GetBody, disables
// these retries for every method, so DisableRetry gives each request such a body.
// The transport still retries when it has written no byte to the connection;
// that is safe, because the request was not sent.
package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
)

// Limits of the connections to a host.
const (
	idleTimeout     = 90 * time.Second
	idlePerHost     = 128
	continueTimeout = time.Hour // the agent always responds; see relay.Hop.ExpectContinue
)

// NewTransport returns a transport for requests. It speaks HTTP/1.1 only, so
// that a stalled stream cannot block other streams on the same connection.
func NewTransport(connect dial.Func) *dial.Transport {
	return dial.NewTransport(connect, &http.Transport{
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   idlePerHost,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: continueTimeout,
		WriteBufferSize:       16 << 10,
		ReadBufferSize:        16 << 10,
	})
}

// noRewind hides the type of a body, so that the transport cannot rewind it.
type noRewind struct{ io.Reader }

// Close does nothing: the server that read the request closes the body.
func (noRewind) Close() error { return nil }

// DisableRetry keeps the transport from retrying a request.
func DisableRetry(req *http.Request, body io.Reader) {
	if body == nil {
		body = http.NoBody
	}
	req.Body = noRewind{body}
	req.GetBody = nil
}
