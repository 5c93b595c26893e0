package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/upstream"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// TestMalformedHeadIsUnknownOutcome guards against a connection that is cut without an answer and without a record,
// because the response writer panics for the status of the upstream.
func TestMalformedHeadIsUnknownOutcome(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 200 OK\r\nBad Name: x\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n"} {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			upstreamServer, err := serve.RawRequests(func(_ *http.Request, conn *net.TCPConn) bool {
				_, _ = io.WriteString(conn, head+"\r\nbody")
				return false
			})
			require.NoError(t, err)
			t.Cleanup(upstreamServer.Close)
			resp, err := sendThroughHandler(t, &Handler{Upstream: upstreamServer.Address, Transport: upstream.NewTransport(nil)})
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			assert.Equal(t, http.StatusBadGateway, resp.StatusCode)
			assert.Equal(t, string(api.OutcomeUnknown), resp.Header.Get(api.HeaderOutcome))
		})
	}
}
