package call

import (
	"io"
	"net/http"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// MaxControlResponse bounds the body of a response to a control call, in bytes: several times the list of
// the hosts, or the configuration, of the largest fleet.
const MaxControlResponse = 4 << 20

// maxControlRequest bounds the body of a control call, in bytes. Calls carry the state of one host, or less.
const maxControlRequest = 1 << 20

// BoundedHandler returns a handler of control calls whose bodies are bounded, since generated servers read whole
// bodies.
func BoundedHandler(handler http.Handler) http.Handler {
	return http.MaxBytesHandler(handler, maxControlRequest)
}

// NewControlClient returns a client of control calls, whose responses are bounded.
func NewControlClient(transport http.RoundTripper) *http.Client {
	return &http.Client{Transport: Bounded{Transport: transport, MaxBytes: MaxControlResponse}}
}

// Bounded is a transport whose responses have at most MaxBytes of body, so that a server in trouble cannot
// exhaust the memory of its clients. It serves clients that read whole bodies, as generated ones do.
// Reading further fails with provider.ErrTooLarge.
type Bounded struct {
	Transport http.RoundTripper
	MaxBytes  int64
}

// RoundTrip implements http.RoundTripper.
func (b Bounded) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := b.Transport.RoundTrip(req)
	if err == nil {
		resp.Body = &boundedBody{resp.Body, b.MaxBytes}
	}
	return resp, err
}

// boundedBody is a body of which at most remaining bytes may be read.
type boundedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, provider.ErrTooLarge
	}
	return n, err
}
