package loader

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// TestStartingLoaderLeavesStoreToRouters guards against a start of all hosts in which every
// loader lists all upstreams from the store, because no router has registered yet, and overloads
// the link to the store.
func TestStartingLoaderLeavesStoreToRouters(t *testing.T) {
	p, err := New(settings.ExampleLoader(), Options{
		Provider: func(netip.AddrPort, *http.Client, *http.Client) provider.Provider { return provider.Provider{} },
	})
	require.NoError(t, err)
	_, err = p.upstreams.QueryPeer(t.Context(), "u/", 0)
	require.ErrorIs(t, err, replica.ErrWait)
	for range 100 {
		assert.LessOrEqual(t, p.routersDelay(), routersRetryInterval, "the hall's routers are not listed often enough")
	}

	p.createdAt = clock.Now().Add(-startupPeriod)
	_, err = p.upstreams.QueryPeer(t.Context(), "u/", 0)
	require.ErrorIs(t, err, replica.ErrNoPeer, "the store is read where no router has registered")

	member := &provider.Member{Name: "r", Hall: p.current.Load().Hall, Peers: netip.MustParseAddrPort("127.0.0.1:1")}
	p.compiler.Decode = func(provider.Entry) (provider.Record, error) { return provider.Record{Member: member}, nil }
	p.compiler.Apply([]provider.Entry{{Key: "m/r", Revision: 1}})
	for range 100 {
		assert.Greater(t, p.routersDelay(), routersRetryInterval, "the routers are listed too often once one is known")
	}
}
