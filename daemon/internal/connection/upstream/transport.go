// Package upstream makes the connections on which requests are handed on.
//
// net/http's Transport sends some requests a second time by itself when a
// reused connection breaks: those with a safe method or an idempotency key,
// and those whose body it can make anew. The request may have run by then. A
// body that is neither nil nor http.NoBody, without GetBody, shuts that off for
// every method, so OneShot gives each request such a body. What stays is the
// case in which not one byte was written to the connection: that request has
// never left, and sending it on a fresh connection is no repetition.
package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
)

// Limits of the connections to one host.
const (
	idleTimeout     = 90 * time.Second
	idlePerHost     = 128
	continueTimeout = time.Hour // the agent always answers; see ExpectContinue
)

// NewTransport returns a transport for requests. HTTP/1.1 only: a stalled
// stream must not hold up the others that share its connection.
func NewTransport(connect dial.Func) *http.Transport {
	return &http.Transport{
		DialContext:           dial.OrDirect(connect),
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   idlePerHost,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: continueTimeout,
		DisableCompression:    true,
		WriteBufferSize:       16 << 10,
		ReadBufferSize:        16 << 10,
	}
}

// oneShot hides a body's type, so that the transport cannot tell that it could
// send the request again.
type oneShot struct{ io.Reader }

// Close does nothing: the body belongs to the server that read the request.
func (oneShot) Close() error { return nil }

// OneShot makes a request one that the transport never sends twice.
func OneShot(request *http.Request, body io.Reader) {
	if body == nil {
		body = http.NoBody
	}
	request.Body = oneShot{body}
	request.GetBody = nil
}
