package loader_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/loader"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// TestConnectionsToTheOriginAreNotKept: the origin takes few connections. When
// all hosts lose power at once it goes on counting those that rested, and takes
// no others.
func TestConnectionsToTheOriginAreNotKept(t *testing.T) {
	closed := make(chan struct{}, 1)
	origin := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "chunk") }))
	origin.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	origin.Start()
	defer origin.Close()
	var calls *http.Client
	_, err := loader.New(settings.ExampleLoader(), loader.Options{
		Provider: func(_ netip.AddrPort, _, hosts *http.Client) provider.Provider {
			calls = hosts
			return provider.Provider{}
		},
	})
	require.NoError(t, err)
	response, err := calls.Get(origin.URL)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	require.NoError(t, response.Body.Close())
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is kept")
	}
}
