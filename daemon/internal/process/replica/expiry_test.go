package replica_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestUpstreamsStayInUseForGracePeriod checks that an upstream whose entry is removed with a grace period stays in use
// for that long. One that was leaving, or whose entry is removed without one, is dropped at once.
func TestUpstreamsStayInUseForGracePeriod(t *testing.T) {
	const period = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		leaving := false
		registered, recompiled := 0, 0
		table := &replica.Table{}
		compiler := &replica.Compiler{
			Decode: func(entry provider.Entry) (provider.Record, error) {
				return provider.Record{Upstream: &provider.Upstream{ID: entry.Key, Service: "s", Leaving: leaving}}, nil
			},
			OnKeptEnd: func(_ *provider.Upstream, again bool) {
				if again {
					registered++
				}
			},
			Recompile: func() {
				recompiled++
				table.Recompile()
			},
		}
		table.OnChange = compiler.Apply
		revision := provider.Revision(0)
		apply := func(entry provider.Entry) {
			revision++
			entry.Revision = revision
			table.Apply([]provider.Entry{entry})
		}
		removed := func(key string) provider.Entry {
			return provider.Entry{Key: key, Deleted: true, Grace: provider.Grace{For: period, Reason: provider.GraceOutage}}
		}
		inUse := func() int { return len(compiler.View().Upstreams["s"]) }
		wait := func(d time.Duration) {
			helpers.Pause(d, nil)
			synctest.Wait()
		}

		apply(provider.Entry{Key: "a"})
		apply(removed("a"))
		require.Equal(t, 1, inUse(), "the entry may be written again")
		assert.Equal(t, time.Now(), compiler.View().Upstreams["s"][0].KeptSince)
		apply(provider.Entry{Key: "a"})
		require.Equal(t, 1, inUse(), "registered again, listed once")
		assert.Zero(t, compiler.View().Upstreams["s"][0].KeptSince)
		assert.Equal(t, 1, registered)
		wait(period)
		assert.Zero(t, recompiled, "no period is left")

		apply(removed("a"))
		wait(period - 1)
		assert.Equal(t, 1, inUse())
		wait(1)
		assert.Zero(t, inUse(), "the grace period is over")
		assert.Equal(t, 1, recompiled)
		assert.Equal(t, 1, registered)

		leaving = true
		apply(provider.Entry{Key: "b"})
		apply(removed("b"))
		assert.Zero(t, inUse(), "the upstream was leaving")

		leaving = false
		apply(provider.Entry{Key: "c"})
		apply(provider.Entry{Key: "c", Deleted: true})
		assert.Zero(t, inUse(), "the entry has no grace period")
		wait(period)
		assert.Equal(t, 1, recompiled)
	})
}

// TestForeignEntryDoesNotHideUpstream guards against an entry of a service that the configuration does not name, such
// as an inventory of hosts, which hides the upstream at its address.
func TestForeignEntryDoesNotHideUpstream(t *testing.T) {
	table := &replica.Table{}
	compiler := &replica.Compiler{Decode: func(entry provider.Entry) (provider.Record, error) {
		if entry.Key == "configuration" {
			configuration := &provider.Configuration{Version: uint64(entry.Revision), Services: []provider.Service{{Name: "declared"}}}
			configuration.Routes = []provider.Route{{Shares: []provider.Share{{Service: string(entry.Value), Weight: 1}}}}
			return provider.Record{Configuration: configuration}, nil
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 80)
		return provider.Record{Upstream: &provider.Upstream{ID: entry.Key, Service: string(entry.Value), Address: address}}, nil
	}}
	table.OnChange = compiler.Apply
	revision := provider.Revision(0)
	put := func(key, value string) {
		revision++
		table.Apply([]provider.Entry{{Key: key, Value: []byte(value), Revision: revision, CreateRevision: revision}})
	}
	used := func(service string) int { return len(compiler.View().Upstreams[service]) }
	put("upstream", "routed")
	put("configuration", "routed")
	put("inventory", "inventory")
	assert.Equal(t, 1, used("routed"))
	assert.Zero(t, used("inventory"))
	put("successor", "declared")
	assert.Equal(t, 1, used("declared"), "the entry of a named service that was created last wins")
	assert.Zero(t, used("routed"))
	put("configuration", "inventory")
	assert.Equal(t, 1, used("declared"), "named as well, and created later")
	table.Apply([]provider.Entry{{Key: "successor", Revision: 100, Deleted: true}})
	assert.Equal(t, 1, used("inventory"), "the configuration names its service now")
}

// TestOneUpstreamPerAddress checks that of several entries for one address the one created
// last is used, whichever changed last, and the others only once it is removed.
func TestOneUpstreamPerAddress(t *testing.T) {
	table := &replica.Table{}
	compiler := &replica.Compiler{Decode: func(entry provider.Entry) (provider.Record, error) {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 80)
		return provider.Record{Upstream: &provider.Upstream{ID: entry.Key, Service: "s", Address: address}}, nil
	}}
	table.OnChange = compiler.Apply
	inUse := func() []string {
		var ids []string
		for _, upstream := range compiler.View().Upstreams["s"] {
			ids = append(ids, upstream.ID)
		}
		return ids
	}
	table.Apply([]provider.Entry{{Key: "dead", Revision: 5, CreateRevision: 5}, {Key: "alive", Revision: 9, CreateRevision: 9}})
	assert.Equal(t, []string{"alive"}, inUse())
	table.Apply([]provider.Entry{{Key: "dead", Revision: 12, CreateRevision: 5}})
	assert.Equal(t, []string{"alive"}, inUse(), "a late write of the older entry")
	table.Apply([]provider.Entry{{Key: "alive", Revision: 13, Deleted: true}})
	assert.Equal(t, []string{"dead"}, inUse())
}
