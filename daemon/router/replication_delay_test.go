package router

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/peering"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// newReaderOf returns a router that reads the store for its hall, in a fleet of the given size over two halls.
func newReaderOf(routers int) *Process {
	p := &Process{follower: &replica.Follower{Table: &replica.Table{}}, neighbours: &peering.Neighbours{}}
	p.current.Store(&settings.Router{Name: "r0", Hall: "hall-0", Bounds: settings.RouterBounds{LinkMbps: 1000}})
	var entries []provider.Entry
	records := map[string]*provider.Member{}
	for i := range routers {
		name := fmt.Sprint("r", i)
		records[name] = &provider.Member{
			Name: name, Hall: fmt.Sprint("hall-", i%2), Peers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 2), byte(i / 250), byte(i % 250)}), 1),
		}
		entries = append(entries, provider.Entry{Key: name, Revision: 1})
	}
	p.compiler = &replica.Compiler{Decode: func(entry provider.Entry) (provider.Record, error) {
		return provider.Record{Member: records[entry.Key]}, nil
	}}
	p.compiler.Apply(entries)
	p.follower.ApplyUpdate(replica.Update{After: 1, Status: replica.Status{Revision: 1}})
	return p
}

// TestRemovalThatStoreWithholdsArrivesWithinDrainTime guards against a reader of the store that asks its peers for what
// is new only after an upstream whose record was removed has stopped to serve.
func TestRemovalThatStoreWithholdsArrivesWithinDrainTime(t *testing.T) {
	const (
		// hops is the number of routers between a reader and the last router of a large hall, and hopDelay the pause
		// of each after an update with the time of a call.
		hops, hopDelay = 2, 60 * time.Millisecond
		reserve        = 200 * time.Millisecond
	)
	for routers, drainTime := range map[int]time.Duration{6: 2 * time.Second, 35: 3 * time.Second, 400: 3 * time.Second} {
		p := newReaderOf(routers)
		assert.LessOrEqual(t, p.pullAfter()+peering.PullInterval+hops*hopDelay+reserve, drainTime, "%d routers", routers)
	}
}

// TestReaderAsksPeersOfOtherHalls guards against a reader of the store that asks the routers which follow it for what
// is new.
func TestReaderAsksPeersOfOtherHalls(t *testing.T) {
	p := newReaderOf(40)
	const calls = 1000
	remote := 0
	for range calls {
		peer, ok := p.choosePeer()
		assert.True(t, ok)
		if peer.Addr().As4()[1] == 1 {
			remote++
		}
	}
	assert.Greater(t, remote, calls/2)
}
