package swarm_test

import (
	"context"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm/swarmtest"
)

// frozenFetch is a fetch on a host that is frozen for a time while it and its neighbours fetch a version, and the chunks
// that the origin had sent to this host, by index, shortly after the freeze, before the neighbours report again.
type frozenFetch struct {
	progress   swarm.Progress
	fromOrigin map[int]int
}

func fetchWithFreeze(t *testing.T, freeze time.Duration) (f frozenFetch) {
	t.Helper()
	const chunks, neighbours, linkTime = 24, 5, 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var frozen atomic.Int64
		process := &clock.RunClock{Base: func() time.Time { return time.Now().Add(time.Duration(frozen.Load())) }}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go process.Run(ctx)
		data, manifest := sampleVersion(2, chunks)
		var net swarmtest.Network
		var hosts []swarm.Host
		for range neighbours {
			empty := &swarm.Copies{}
			empty.Add(swarm.NewCopy(manifest))
			hosts = append(hosts, swarm.Host{Address: net.Serve(t, handler(empty)), Hall: "hall"})
		}
		o := &origin{data: data, sent: map[int]int{}, linkTime: linkTime}
		fetch := &swarm.Fetch{
			Copy: swarm.NewCopy(manifest), Model: "m", Origin: o.provider(manifest),
			Self:  swarm.Host{Address: net.Serve(t, handler(&swarm.Copies{})), Hall: "hall"},
			Hosts: func() []swarm.Host { return hosts }, Client: net.Client(t), CopyTime: chunks * linkTime, Now: process.Now,
		}
		done := make(chan error, 1)
		go func() { done <- fetch.Run(ctx) }()
		helpers.Pause(250*time.Millisecond, nil)
		frozen.Store(int64(freeze))
		f.progress = fetch.Progress()
		helpers.Pause(140*time.Millisecond, nil)
		synctest.Wait()
		o.mu.Lock()
		f.fromOrigin = maps.Clone(o.sent)
		o.mu.Unlock()
		cancel()
		require.Error(t, <-done)
	})
	return f
}

// TestFrozenHostTakesOverNoChunks guards against a host that was frozen and takes that for the silence of its
// neighbours and of the origin: it would fetch their chunks too, and its fetch would count as making no progress.
func TestFrozenHostTakesOverNoChunks(t *testing.T) {
	want, frozen := fetchWithFreeze(t, 0), fetchWithFreeze(t, 5*time.Second)
	assert.NotEmpty(t, want.fromOrigin)
	assert.Equal(t, want.fromOrigin, frozen.fromOrigin)
	assert.Less(t, frozen.progress.Quiet, want.progress.Quiet+500*time.Millisecond)
}
