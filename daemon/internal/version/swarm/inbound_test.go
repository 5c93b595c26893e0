package swarm_test

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// senders counts the chunks that several hosts send at a time.
type senders struct {
	mu        sync.Mutex
	now, most int
}

func (s *senders) add(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now += count
	s.most = max(s.most, s.now)
}

// serveSlowly serves a host that has a copy and takes its time for each chunk.
func (s *senders) serveSlowly(t *testing.T, c *swarm.Copy, takes time.Duration) netip.AddrPort {
	t.Helper()
	return serveChunks(t, c, func(r *http.Request) {
		s.add(1)
		helpers.Pause(takes, r.Context().Done())
		s.add(-1) // before the answer is out: its reader may ask for the next chunk at once
	})
}

// Four chunks at a time filled a host's link of 7 Mbit/s for 110 ms. Questions for a place
// at its engine had no answer in their 50 ms while it fetched a version:
//
//	"asked":[{"upstream":"...","given":false,"took":50123456,"cause":"ask ... for a place: context deadline exceeded"}]
//
// Routers went by news then, to engines that were full, and 35 in 100 of the requests of
// those seconds were late where none was before.

// TestFewChunksArriveAtATime: as many as the host's link takes in a moment, one more for the
// host that is to be done first.
func TestFewChunksArriveAtATime(t *testing.T) {
	tests := map[string]struct {
		chunkTime time.Duration
		first     bool
		most      int
	}{
		"a narrow link":           {100 * time.Millisecond, false, 1},
		"a link of a few megabit": {27 * time.Millisecond, false, 2},
		"the first host":          {27 * time.Millisecond, true, 3},
		"a wide link":             {time.Millisecond, false, 4},
		"an unknown one":          {0, false, 2},
	}
	const hosts, chunkCount = 8, 24
	data, manifest := sample(2, chunkCount)
	whole := swarm.NewCopy(manifest)
	for index, chunk := range data {
		require.NoError(t, whole.Put(index, chunk))
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &senders{}
			var listed []swarm.Host
			for range hosts {
				listed = append(listed, swarm.Host{Address: s.serveSlowly(t, whole, 5*time.Millisecond), Hall: "hall"})
			}
			o := &origin{data: data, failures: 1 << 30, sent: map[int]int{}}
			fetch := &swarm.Fetch{
				Copy: swarm.NewCopy(manifest), Model: "m", Source: provider.Origin{Chunk: o.chunk},
				Own:   swarm.Host{Address: serve(t, &swarm.Held{}).Address, Hall: "hall"},
				Hosts: func() []swarm.Host { return listed }, Client: serve(t, &swarm.Held{}).Client,
				OriginTime: 50 * time.Millisecond, ChunkTime: test.chunkTime, First: test.first,
			}
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			require.NoError(t, fetch.Run(ctx))
			assert.LessOrEqual(t, s.most, test.most)
		})
	}
}
