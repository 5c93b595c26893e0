package replica_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestExpiredUpstreamsStayInUseForGracePeriod checks that an upstream whose entry is removed
// while the store is unreachable stays in use for a while. One that was leaving, or whose
// entry is removed while the store answers, is dropped at once.
func TestExpiredUpstreamsStayInUseForGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	unreachable, leaving := true, false
	table := &replica.Table{}
	compiler := &replica.Compiler{
		Decode: func(entry provider.Entry) (provider.Record, error) {
			return provider.Record{Upstream: &provider.Upstream{ID: entry.Key, Service: "s", Leaving: leaving}}, nil
		},
		MayHaveExpired: func() bool { return unreachable },
		Now:            func() time.Time { return now },
	}
	table.OnChange = compiler.Apply
	revision := provider.Revision(0)
	apply := func(key string, deleted bool) {
		revision++
		table.Apply([]provider.Entry{{Key: key, Revision: revision, Deleted: deleted}})
	}
	inUse := func() int { return len(compiler.View().Upstreams["s"]) }

	apply("a", false)
	apply("a", true)
	assert.Equal(t, 1, inUse(), "the entry may only have expired")
	require.True(t, compiler.HasExpired())
	apply("a", false)
	assert.Equal(t, 1, inUse(), "registered again, listed once")
	assert.False(t, compiler.HasExpired())

	apply("a", true)
	now = now.Add(time.Minute)
	table.Recompile()
	assert.Zero(t, inUse(), "the grace period is over")
	assert.False(t, compiler.HasExpired())

	leaving = true
	apply("b", false)
	apply("b", true)
	assert.Zero(t, inUse(), "the upstream was leaving")

	unreachable, leaving = false, false
	apply("c", false)
	apply("c", true)
	assert.Zero(t, inUse(), "the store answers")
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
