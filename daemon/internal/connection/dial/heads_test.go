package dial_test

import (
	"bufio"
	"context"
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
)

// TestMalformedHeadIsNotAskedForAgain guards against repeats by net/http, which sends a request again if a connection
// that was used before ends before the first byte of the response.
func TestMalformedHeadIsNotAskedForAgain(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					response := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
					if requests.Add(1) > 1 {
						response = "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole"
					}
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	client := &http.Client{Transport: dial.NewHostTransport(dial.Host, time.Minute)}
	get := func() error {
		response, err := client.Get("http://" + listener.Addr().String())
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
