package swarm_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

var errOriginDown = errors.New("the origin is down")

// origin is an origin of weights that counts what it sends of each chunk.
type origin struct {
	data [][]byte
	mu   sync.Mutex
	sent map[int]int
	// failures is how many calls fail before the first that does not, and spoil
	// how many after that get wrong bytes.
	failures, spoil int
	// spoilFirst has the first sending of each chunk be wrong.
	spoilFirst bool
	hold       chan struct{}
	// linkTime is how long a chunk takes; one is sent at a time.
	linkTime time.Duration
}

func (o *origin) chunk(ctx context.Context, _ netip.AddrPort, _ string, _, index int) ([]byte, error) {
	if o.hold != nil {
		select {
		case <-o.hold:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures > 0 {
		o.failures--
		return nil, errOriginDown
	}
	o.sent[index]++
	if o.linkTime > 0 {
		<-time.After(o.linkTime)
	}
	if o.spoil > 0 || o.spoilFirst && o.sent[index] == 1 {
		o.spoil--
		return []byte("spoilt"), nil
	}
	return o.data[index], nil
}

func (o *origin) total() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for _, count := range o.sent {
		total += count
	}
	return total
}

// fleet runs a fetch on each of some hosts in halls of three and returns their
// copies once all are whole. Dead hosts are listed but not there.
func fleet(t *testing.T, o *origin, manifest provider.Manifest, hosts, dead int) []*swarm.Copy {
	t.Helper()
	o.sent = map[int]int{}
	var listed []swarm.Host
	var copies []*swarm.Copy
	for i := range hosts {
		c := swarm.NewCopy(manifest)
		held := &swarm.Held{}
		held.Add(c)
		copies = append(copies, c)
		listed = append(listed, swarm.Host{Address: serve(t, held).Address, Hall: fmt.Sprintf("hall-%d", i/3)})
	}
	for i := range dead {
		listed = append(listed, swarm.Host{Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", i+1)), Hall: "hall-0"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var running sync.WaitGroup
	for i, c := range copies {
		fetch := &swarm.Fetch{
			Copy: c, Model: "m", Source: provider.Origin{Chunk: o.chunk}, Own: listed[i],
			Hosts: func() []swarm.Host { return listed }, Client: serve(t, &swarm.Held{}).Client,
			OriginTime: max(50*time.Millisecond, o.linkTime*time.Duration(len(manifest.Digests))), First: i == 0,
		}
		running.Go(func() { assert.NoError(t, fetch.Run(ctx)) })
	}
	running.Wait()
	return copies
}

func assertWhole(t *testing.T, copies []*swarm.Copy, data [][]byte) {
	t.Helper()
	for _, c := range copies {
		require.True(t, c.Complete())
		for index := range data {
			assert.Equal(t, data[index], c.Chunk(index))
		}
	}
}

func TestOriginSendsEachChunkOnce(t *testing.T) {
	data, manifest := sample(2, 24)
	o := &origin{data: data}
	copies := fleet(t, o, manifest, 9, 0)
	assertWhole(t, copies, data)
	assert.LessOrEqual(t, o.total(), 24+6, "about one copy for nine hosts")
}

func TestFetchOutlivesAnOriginThatWasDown(t *testing.T) {
	data, manifest := sample(2, 24)
	o := &origin{data: data, failures: 300, spoil: 3, linkTime: 10 * time.Millisecond}
	copies := fleet(t, o, manifest, 9, 0)
	assertWhole(t, copies, data)
	// Hosts that stood in for others must not all have asked for the same.
	t.Logf("the origin sent %d chunks", o.total())
	assert.LessOrEqual(t, o.total(), 24+24/2)
}

// TestSpoiltChunksAreNoReasonToStartAnew: an origin that spoils many chunks once
// each is no sign of a wrong manifest.
func TestSpoiltChunksAreNoReasonToStartAnew(t *testing.T) {
	data, manifest := sample(2, 24)
	o := &origin{data: data, spoilFirst: true, sent: map[int]int{}}
	own := swarm.Host{Address: serve(t, &swarm.Held{}).Address, Hall: "hall"}
	fetch := &swarm.Fetch{
		Copy: swarm.NewCopy(manifest), Model: "m", Source: provider.Origin{Chunk: o.chunk}, Own: own,
		Hosts: func() []swarm.Host { return nil }, Client: serve(t, &swarm.Held{}).Client,
	}
	require.NoError(t, fetch.Run(context.Background()))
	assert.Equal(t, 2*24, o.total())
}

func TestDeadHostsAreStoodInFor(t *testing.T) {
	data, manifest := sample(2, 24)
	o := &origin{data: data}
	copies := fleet(t, o, manifest, 4, 3)
	assertWhole(t, copies, data)
	assert.LessOrEqual(t, o.total(), 2*24)
}

// serveStuck serves a host that says it has a copy and never sends a chunk of it.
func serveStuck(t *testing.T, c *swarm.Copy) netip.AddrPort {
	t.Helper()
	held := &swarm.Held{}
	held.Add(c)
	pages := bunrouter.New()
	(&swarm.Server{Held: held}).Register(pages)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") {
			<-r.Context().Done()
			return
		}
		pages.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestStuckHolderIsPassedOver: chunks that only a host offers which does not send
// them come from the origin, or from another hall where that one is down too.
func TestStuckHolderIsPassedOver(t *testing.T) {
	data, manifest := sample(2, 4)
	whole := swarm.NewCopy(manifest)
	for index, chunk := range data {
		require.NoError(t, whole.Put(index, chunk))
	}
	for name, originDown := range map[string]bool{"origin": false, "another hall": true} {
		t.Run(name, func(t *testing.T) {
			o := &origin{data: data, sent: map[int]int{}}
			hosts := []swarm.Host{{Address: serveStuck(t, whole), Hall: "hall"}}
			if originDown {
				o.failures = math.MaxInt32
				held := &swarm.Held{}
				held.Add(whole)
				hosts = append(hosts, swarm.Host{Address: serve(t, held).Address, Hall: "far"})
			}
			fetch := &swarm.Fetch{
				Copy: swarm.NewCopy(manifest), Model: "m", Source: provider.Origin{Chunk: o.chunk},
				Own:   swarm.Host{Address: serve(t, &swarm.Held{}).Address, Hall: "hall"},
				Hosts: func() []swarm.Host { return hosts }, Client: serve(t, &swarm.Held{}).Client,
				OriginTime: 50 * time.Millisecond,
			}
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			require.NoError(t, fetch.Run(ctx))
		})
	}
}

func TestWrongManifestIsNoticed(t *testing.T) {
	data, manifest := sample(2, 4)
	manifest.Digests[2][0] ^= 1
	o := &origin{data: data, sent: map[int]int{}}
	own := swarm.Host{Address: serve(t, &swarm.Held{}).Address, Hall: "hall"}
	fetch := &swarm.Fetch{
		Copy: swarm.NewCopy(manifest), Model: "m", Source: provider.Origin{Chunk: o.chunk}, Own: own,
		Hosts: func() []swarm.Host { return nil }, Client: serve(t, &swarm.Held{}).Client,
	}
	require.ErrorIs(t, fetch.Run(context.Background()), swarm.ErrManifest)
}

func TestFetchEndsWhenItIsGivenUp(t *testing.T) {
	data, manifest := sample(2, 4)
	o := &origin{data: data, sent: map[int]int{}, hold: make(chan struct{})}
	own := swarm.Host{Address: serve(t, &swarm.Held{}).Address, Hall: "hall"}
	fetch := &swarm.Fetch{
		Copy: swarm.NewCopy(manifest), Model: "m", Source: provider.Origin{Chunk: o.chunk}, Own: own,
		Hosts: func() []swarm.Host { return nil }, Client: serve(t, &swarm.Held{}).Client,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- fetch.Run(ctx) }()
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}
