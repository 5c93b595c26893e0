package dial_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/responsehead"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// TestMalformedHeadIsNotAskedForAgain guards against repeats by net/http, which sends a request again if a connection
// that was used before ends before the first byte of the response.
func TestMalformedHeadIsNotAskedForAgain(t *testing.T) {
	var requests atomic.Int64
	server, err := serve.RawRequests(func(_ *http.Request, conn *net.TCPConn) bool {
		status := "200"
		if requests.Add(1) > 1 {
			status = "000"
		}
		_, err := io.WriteString(conn, "HTTP/1.1 "+status+" OK\r\nContent-Length: 5\r\n\r\nwhole")
		return err == nil
	})
	require.NoError(t, err)
	defer server.Close()
	client := &http.Client{Transport: dial.NewHostTransport(dial.Host, time.Minute)}
	get := func() error {
		response, err := client.Get("http://" + server.Address.String())
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	require.NoError(t, get())
	var malformed *responsehead.Error
	require.ErrorAs(t, get(), &malformed)
	assert.EqualValues(t, 2, requests.Load())
}
