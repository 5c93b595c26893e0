package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/upstream"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// startEarlyServer starts a server that answers each request before it has read the body.
func startEarlyServer(t *testing.T, answer func(*net.TCPConn)) netip.AddrPort {
	t.Helper()
	server, err := serve.RawRequests(func(_ *http.Request, conn *net.TCPConn) bool {
		answer(conn)
		return false
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address
}

// uploadBytes is more than what the connection holds.
const uploadBytes = 2 << 20

// relayUpload sends a request with a large body and relays the response. The error is that of the whole exchange.
func relayUpload(t *testing.T, peer netip.AddrPort) (*httptest.ResponseRecorder, error) {
	t.Helper()
	transport := upstream.NewTransport(nil)
	defer transport.CloseIdleConnections()
	in := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", uploadBytes)))
	response, err := Send(t.Context(), in, &Hop{Transport: transport, Peer: peer, Path: "/"})
	if err != nil {
		return nil, err
	}
	recorder := httptest.NewRecorder()
	WriteHead(recorder, response)
	return recorder, CopyBody(recorder, response)
}

// TestResponseCutByResetDuringUpload guards against a truncated response that looks complete, because the goroutine
// that writes the upload gets the only error of the connection. Which goroutine gets it is a race, hence the rounds.
func TestResponseCutByResetDuringUpload(t *testing.T) {
	const rounds = 100
	for name, linger := range map[string]int{"reset": 0, "close with unread": -1} {
		t.Run(name, func(t *testing.T) {
			peer := startEarlyServer(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				_, _ = conn.Read(make([]byte, 1)) // more of the upload has arrived
				_ = conn.SetLinger(linger)
			})
			for range rounds {
				_, err := relayUpload(t, peer)
				assert.Error(t, err)
			}
		})
	}
}

// TestWholeEarlyResponseIsRelayed guards against taking each response that precedes the end of the upload for a
// truncated one.
func TestWholeEarlyResponseIsRelayed(t *testing.T) {
	for name, rest := range map[string]func(*net.TCPConn){
		"upload read":   func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) },
		"upload unread": func(*net.TCPConn) { <-t.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			peer := startEarlyServer(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
				_ = conn.CloseWrite()
				rest(conn)
			})
			recorder, err := relayUpload(t, peer)
			require.NoError(t, err)
			assert.Equal(t, "whole", recorder.Body.String())
		})
	}
}
