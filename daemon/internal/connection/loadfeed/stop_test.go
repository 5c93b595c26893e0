package loadfeed_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
)

// TestFollowAfterStopDoesNothing guards against a Stop that never returns, because an update
// from the store starts goroutines while Stop waits for those that it canceled.
func TestFollowAfterStopDoesNothing(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	host := netip.MustParseAddrPort(server.Listener.Addr().String())
	reader := &loadfeed.Reader{Client: server.Client(), OnState: func(netip.AddrPort, loadfeed.State) {}}
	reader.Follow([]netip.AddrPort{host})
	reader.Stop()
	reader.Follow([]netip.AddrPort{host})
	assert.Zero(t, reader.Following())
}
