package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/responsehead/headtest"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/upstream"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// startTextServer starts a server that answers the requests of each connection with the given texts and then ends the
// connection.
func startTextServer(t *testing.T, end func(*net.TCPConn), texts ...string) netip.AddrPort {
	t.Helper()
	server, err := serve.Raw(func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for _, text := range texts {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
		}
		end(conn)
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address
}

func closeConn(conn *net.TCPConn) { _ = conn.Close() }

// whole is a response that keeps the connection open.
const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// relayRequest sends a request that gets a whole response, if behind is set, and returns the error of one that is sent
// after it over the same connection.
func relayRequest(t *testing.T, transport http.RoundTripper, peer netip.AddrPort, behind bool) error {
	t.Helper()
	send := func() error {
		response, err := Send(t.Context(), httptest.NewRequest(http.MethodGet, "/", nil), &Hop{Transport: transport, Peer: peer, Path: "/"})
		if err != nil {
			return err
		}
		recorder := httptest.NewRecorder()
		WriteHead(recorder, response)
		return CopyBody(recorder, response)
	}
	if behind {
		require.NoError(t, send())
	}
	return send()
}

// TestMalformedHeadsAreFailures guards against responses that reach callers although their heads cannot be trusted, and
// against a panic of the response writer for a status that it does not take.
func TestMalformedHeadsAreFailures(t *testing.T) {
	var heads []string
	for _, line := range headtest.StatusLines {
		heads = append(heads, line+"\r\n")
	}
	for _, line := range headtest.FieldLines {
		heads = append(heads, "HTTP/1.1 200 OK\r\nName: value\r\n"+line+"\r\n", "HTTP/1.1 103 X\r\nName: value\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n")
	}
	for _, head := range heads {
		for _, behind := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q behind another response: %t", head, behind), func(t *testing.T) {
				texts := []string{head + "\r\nbody"}
				if behind {
					texts = []string{whole, texts[0]}
				}
				transport := upstream.NewTransport(nil)
				var failure *Failure
				require.ErrorAs(t, relayRequest(t, transport, startTextServer(t, closeConn, texts...), behind), &failure)
				assert.True(t, failure.MaybeReceived)
			})
		}
	}
}

// TestHeadCutInItsMiddleIsFailure guards against a response without its end or its beginning, because the peer stopped in
// the middle of the head.
func TestHeadCutInItsMiddleIsFailure(t *testing.T) {
	resetConn := func(conn *net.TCPConn) { _ = conn.SetLinger(0) }
	for endName, end := range map[string]func(*net.TCPConn){"close": closeConn, "reset": resetConn} {
		for _, line := range []string{"Content-Length: 5", "Transfer-Encoding: chunked", "Name: value"} {
			for _, before := range []string{"", "HTTP/1.1 103 X\r\nName: value\r\n\r\n"} {
				for _, behind := range []bool{false, true} {
					t.Run(fmt.Sprint(endName, " ", line, " behind an interim response: ", before != "", " behind another response: ", behind), func(t *testing.T) {
						head := "HTTP/1.1 200 OK\r\nName: value\r\n" + line + "\r\n\r\n"
						for cut := range head {
							texts := []string{before + head[:cut]}
							if behind {
								texts = []string{whole, texts[0]}
							}
							transport := upstream.NewTransport(nil)
							var failure *Failure
							require.ErrorAs(t, relayRequest(t, transport, startTextServer(t, end, texts...), behind), &failure)
							assert.True(t, failure.MaybeReceived)
						}
					})
				}
			}
		}
	}
}
