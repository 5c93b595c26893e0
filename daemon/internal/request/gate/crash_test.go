package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
)

// TestResponseCutByCrashIsIncomplete guards against a response that looks complete because its
// upstream, which marks no end, crashed while it sent the response.
func TestResponseCutByCrashIsIncomplete(t *testing.T) {
	for name, test := range map[string]struct{ crashes, complete bool }{"crash": {true, false}, "close": {false, true}} {
		t.Run(name, func(t *testing.T) {
			listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						_, _ = conn.Read(make([]byte, 4096))
						_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\npart of a body")
						if test.crashes {
							_ = listener.Close()
						}
						_ = conn.Close()
					}()
				}
			}()
			resp, err := sendThroughHandler(t, &Handler{
				Upstream: listener.Addr().(*net.TCPAddr).AddrPort(), Transport: &http.Transport{}, Probe: &livenessprobe.Probe{Dial: dial.Direct},
			})
			if err != nil {
				assert.False(t, test.complete)
				return
			}
			_, err = io.ReadAll(resp.Body)
			require.NoError(t, resp.Body.Close())
			assert.Equal(t, test.complete, err == nil)
		})
	}
}

// sendThroughHandler sends a request as an entry does to a handler, whose gate is opened here.
func sendThroughHandler(t *testing.T, h *Handler) (*http.Response, error) {
	t.Helper()
	tele, err := telemetry.New(telemetry.Options{Level: "info", Output: io.Discard})
	require.NoError(t, err)
	t.Cleanup(tele.Close)
	h.Gate, h.Telemetry = &Gate{}, tele
	h.Gate.Open(Serving{[]string{"s"}, "v1"})
	mux := http.NewServeMux()
	h.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	req, err := http.NewRequest(http.MethodGet, server.URL+PathPrefix+"/x", http.NoBody)
	require.NoError(t, err)
	req.Header.Set(HeaderService, "s")
	req.Header.Set(HeaderManifest, "v1")
	return http.DefaultClient.Do(req)
}
