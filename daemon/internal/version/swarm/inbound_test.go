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
)

// senders counts the chunks that a group of hosts sends at once.
type senders struct {
	mu                sync.Mutex
	active, maxActive int
}

func (s *senders) add(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += count
	s.maxActive = max(s.maxActive, s.active)
}

// serveSlowly serves a host that has a copy and delays each chunk.
func (s *senders) serveSlowly(t *testing.T, c *swarm.Copy, delay time.Duration) netip.AddrPort {
	t.Helper()
	return serveChunks(t, c, func(r *http.Request) {
		s.add(1)
		helpers.Pause(delay, r.Context().Done())
		s.add(-1) // before the response: its reader may request the next chunk at once
	})
}

// TestFetchBoundsInboundChunks: the bound follows from the rate of the host's link, with one
// more for an early host. Beyond it arriving chunks delay the routers' place queries to this
// host until they time out.
func TestFetchBoundsInboundChunks(t *testing.T) {
	tests := map[string]struct {
		chunkTime time.Duration
		early     bool
		maxActive int
		idle      bool
	}{
		"narrow link":             {100 * time.Millisecond, false, 1, false},
		"link of a few megabit/s": {27 * time.Millisecond, false, 2, false},
		"early host":              {27 * time.Millisecond, true, 3, false},
		"wide link":               {time.Millisecond, false, 4, false},
		"idle engine":             {100 * time.Millisecond, false, 4, true},
		"unknown link":            {0, false, 2, false},
	}
	const hosts, chunkCount = 8, 24
	data, manifest := sampleVersion(2, chunkCount)
	complete := swarm.NewCopy(manifest)
	for index, chunk := range data {
		require.NoError(t, complete.Put(index, chunk))
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &senders{}
			var listed []swarm.Host
			for range hosts {
				listed = append(listed, swarm.Host{Address: s.serveSlowly(t, complete, 5*time.Millisecond), Hall: "hall"})
			}
			o := &origin{data: data, failures: 1 << 30, sent: map[int]int{}}
			fetch := &swarm.Fetch{
				Copy: swarm.NewCopy(manifest), Model: "m", Origin: o.provider(manifest),
				Self:  swarm.Host{Address: serve(t, &swarm.Copies{}).Address, Hall: "hall"},
				Hosts: func() []swarm.Host { return listed }, Client: serve(t, &swarm.Copies{}).Client,
				CopyTime: 50 * time.Millisecond, ChunkTime: test.chunkTime, Early: test.early, Idle: func() bool { return test.idle },
			}
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			require.NoError(t, fetch.Run(ctx))
			assert.LessOrEqual(t, s.maxActive, test.maxActive)
			if test.idle {
				assert.Greater(t, s.maxActive, 1, "no query needs the link")
			}
		})
	}
}
