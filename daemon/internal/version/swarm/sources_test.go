package swarm_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/rollout"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm/swarmtest"
)

// TestFetchUsesAllowedSourcesOnly guards against a superseded version that takes the link of the host or of the
// origin while the newest one needs it, and against hosts that take over chunks from each other after a
// suspension because it counted as overdue.
func TestFetchUsesAllowedSourcesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const chunks, atPeer = 24, 8
		data, manifest := sampleVersion(2, chunks)
		var net swarmtest.Network
		partial := swarm.NewCopy(manifest)
		for index := range atPeer {
			require.NoError(t, partial.Put(index, data[index]))
		}
		hostCopies := &swarm.Copies{}
		hostCopies.Add(partial)
		peer := swarm.Host{Address: net.Serve(t, handler(hostCopies)), Hall: "hall"}
		o := &origin{data: data, sent: map[int]int{}, linkTime: 10 * time.Millisecond}
		var sources atomic.Uint32
		c := swarm.NewCopy(manifest)
		fetch := &swarm.Fetch{
			Copy: c, Model: "m", Origin: o.provider(manifest), Self: swarm.Host{Address: net.Serve(t, handler(&swarm.Copies{})), Hall: "hall"},
			Hosts: func() []swarm.Host {
				if rollout.Sources(sources.Load()) == rollout.All {
					return nil // the peer, to which half of the chunks are assigned, only reports
				}
				return []swarm.Host{peer}
			},
			Client: net.Client(t), CopyTime: chunks * o.linkTime,
			Sources: func() rollout.Sources { return rollout.Sources(sources.Load()) },
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- fetch.Run(ctx) }()
		count := func() int { n, _ := c.Count(); return n }

		helpers.Pause(3*time.Second, nil)
		assert.Zero(t, count(), "suspended")
		assert.Equal(t, atPeer, fetch.Progress().Offered, "reports are followed meanwhile")
		sources.Store(uint32(rollout.Peers))
		helpers.Pause(3*time.Second, nil)
		assert.Equal(t, atPeer, count(), "what the peer has")
		assert.Zero(t, o.total())
		p := fetch.Progress()
		assert.Equal(t, chunks-atPeer, p.Missing)
		assert.True(t, p.OriginFails)
		assert.Greater(t, p.Quiet, time.Second)
		sources.Store(uint32(rollout.All))
		require.NoError(t, <-done)
		assert.Equal(t, chunks-atPeer, o.total())
	})
}

// TestDamagedChunksAreNotRequestedForLong guards against a host that sends damaged chunks only and takes a part of
// its neighbours' links for good.
func TestDamagedChunksAreNotRequestedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const chunks = 8
		data, manifest := sampleVersion(2, chunks)
		other, _ := sampleVersion(3, chunks)
		damaged := swarm.NewCopy(manifest)
		for index := range chunks {
			require.NoError(t, damaged.Put(index, data[index]))
		}
		var net swarmtest.Network
		var requests atomic.Int64
		peer := swarm.Host{Address: net.Serve(t, damagingHandler(damaged, other[0], &requests)), Hall: "hall"}
		fetch := &swarm.Fetch{
			Copy: swarm.NewCopy(manifest), Model: "m", Origin: (&origin{failures: 1 << 30}).provider(manifest),
			Self:  swarm.Host{Address: net.Serve(t, handler(&swarm.Copies{})), Hall: "hall"},
			Hosts: func() []swarm.Host { return []swarm.Host{peer} }, Client: net.Client(t), CopyTime: time.Second,
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		require.Error(t, fetch.Run(ctx))
		assert.LessOrEqual(t, requests.Load(), int64(6))
		assert.Zero(t, fetch.Progress().Offered, "chunks that do not arrive intact")
	})
}

// damagingHandler reports the chunks of a copy and counts and answers requests for them with other bytes.
func damagingHandler(c *swarm.Copy, other []byte, requests *atomic.Int64) http.Handler {
	hostCopies := &swarm.Copies{}
	hostCopies.Add(c)
	routes := handler(hostCopies)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") {
			requests.Add(1)
			_, _ = w.Write(other)
			return
		}
		routes.ServeHTTP(w, r)
	})
}
