package mirror_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestLapsedUpstreamsAreUsedOn: an entry that goes while the store is away, or
// right after, says little. One that is not back in time is gone; one that was
// leaving, or goes while the store answers, is gone at once.
func TestLapsedUpstreamsAreUsedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	away, leaving := true, false
	table := &mirror.Table{}
	compiler := &mirror.Compiler{
		Decode: func(entry provider.Entry) (provider.Record, error) {
			return provider.Record{Upstream: &provider.Upstream{ID: entry.Key, Service: "s", Leaving: leaving}}, nil
		},
		Lapses: func() bool { return away },
		Now:    func() time.Time { return now },
	}
	table.OnChange = compiler.Take
	revision := provider.Revision(0)
	tell := func(key string, gone bool) {
		revision++
		table.Apply([]provider.Entry{{Key: key, Revision: revision, Deleted: gone}})
	}
	used := func() int { return len(compiler.View().Upstreams["s"]) }

	tell("a", false)
	tell("a", true)
	assert.Equal(t, 1, used(), "it may only have lapsed")
	require.True(t, compiler.Lapsed())
	tell("a", false)
	assert.Equal(t, 1, used(), "it is back, once")
	assert.False(t, compiler.Lapsed())

	tell("a", true)
	now = now.Add(time.Minute)
	table.Recompile()
	assert.Zero(t, used(), "it is not back")
	assert.False(t, compiler.Lapsed())

	leaving = true
	tell("b", false)
	tell("b", true)
	assert.Zero(t, used(), "it was leaving")

	away, leaving = false, false
	tell("c", false)
	tell("c", true)
	assert.Zero(t, used(), "the store answers")
}

// TestOneUpstreamAnAddress: of several entries that name an address the one created
// last is used, whichever changed last; the others come back only without it.
func TestOneUpstreamAnAddress(t *testing.T) {
	table := &mirror.Table{}
	compiler := &mirror.Compiler{Decode: func(entry provider.Entry) (provider.Record, error) {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 80)
		return provider.Record{Upstream: &provider.Upstream{ID: entry.Key, Service: "s", Address: address}}, nil
	}}
	table.OnChange = compiler.Take
	used := func() []string {
		var ids []string
		for _, upstream := range compiler.View().Upstreams["s"] {
			ids = append(ids, upstream.ID)
		}
		return ids
	}
	table.Apply([]provider.Entry{{Key: "dead", Revision: 5, CreateRevision: 5}, {Key: "alive", Revision: 9, CreateRevision: 9}})
	assert.Equal(t, []string{"alive"}, used())
	table.Apply([]provider.Entry{{Key: "dead", Revision: 12, CreateRevision: 5}})
	assert.Equal(t, []string{"alive"}, used(), "a late write of the dead one")
	table.Apply([]provider.Entry{{Key: "alive", Revision: 13, Deleted: true}})
	assert.Equal(t, []string{"dead"}, used())
}
