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

// Symptom: after a start of a fleet of 440 loaders in 5 halls calls to the store from four of
// the halls time out for a minute, connections to it too.
//
// Sequence: loaders list the routers before any has announced itself, and again 10 s later. Until
// then each lists all upstreams from the store each 2 s.
//
// Cause: a loader that knows no router takes the store for the only source. 88 lists of 150 KB
// each 2 s ask 70 Mbit/s of a link that has 26.
//
// What settled it: each loader's lines name a call for upstreams that timed out 2.7 s after its
// start, and one for routers 10 s after.
func TestStartingLoaderLeavesTheStoreToRouters(t *testing.T) {
	p, err := New(settings.ExampleLoader(), Options{
		Provider: func(netip.AddrPort, *http.Client, *http.Client) provider.Provider { return provider.Provider{} },
	})
	require.NoError(t, err)
	_, err = p.hosts.QueryPeer(t.Context(), "u/", 0)
	require.ErrorIs(t, err, replica.ErrWait)
	for range 100 {
		assert.LessOrEqual(t, p.routersPause(), routersSoon, "the hall's routers are looked for")
	}

	p.began = clock.Now().Add(-storeAfter)
	_, err = p.hosts.QueryPeer(t.Context(), "u/", 0)
	require.ErrorIs(t, err, replica.ErrNoPeer, "no router has come up, so the store is read")

	member := &provider.Member{Name: "r", Hall: p.current.Load().Hall, Peers: netip.MustParseAddrPort("127.0.0.1:1")}
	p.compiler.Decode = func(provider.Entry) (provider.Record, error) { return provider.Record{Member: member}, nil }
	p.compiler.Apply([]provider.Entry{{Key: "m/r", Revision: 1}})
	for range 100 {
		assert.Greater(t, p.routersPause(), routersSoon, "once one is known, they are not")
	}
}
