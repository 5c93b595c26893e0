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
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm/swarmtest"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

var errOriginDown = errors.New("origin is down")

// origin is a fake origin that counts how often it sends each chunk.
type origin struct {
	data [][]byte
	mu   sync.Mutex
	sent map[int]int
	// failures is the number of calls that fail before the first success, and corrupt the
	// number of corrupt chunks sent after that.
	failures, corrupt int
	// corruptFirst makes the first transfer of each chunk corrupt.
	corruptFirst bool
	block        chan struct{}
	// linkTime is how long a chunk takes on the origin's link, which sends one at a time and
	// is free at linkFreeAt.
	linkTime   time.Duration
	linkFreeAt time.Time
}

func (o *origin) chunk(ctx context.Context, _ netip.AddrPort, _ string, _, index int) ([]byte, error) {
	if o.block != nil {
		select {
		case <-o.block:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	chunk, arrivesAt, err := o.send(index)
	if !helpers.Pause(time.Until(arrivesAt), ctx.Done()) {
		return nil, ctx.Err()
	}
	return chunk, err
}

// provider returns the calls to the origin, which always sends the given manifest.
func (o *origin) provider(manifest provider.Manifest) provider.Origin {
	return provider.Origin{
		Manifest: func(context.Context, netip.AddrPort, string, int) (provider.Manifest, error) { return manifest, nil },
		Chunk:    o.chunk,
	}
}

// send reserves the link for a chunk and returns the bytes that arrive, and when.
func (o *origin) send(index int) ([]byte, time.Time, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if o.failures > 0 {
		o.failures--
		return nil, now, errOriginDown
	}
	o.sent[index]++
	if o.linkFreeAt.Before(now) {
		o.linkFreeAt = now
	}
	o.linkFreeAt = o.linkFreeAt.Add(o.linkTime)
	if o.corrupt > 0 || o.corruptFirst && o.sent[index] == 1 {
		o.corrupt--
		return []byte("corrupt"), o.linkFreeAt, nil
	}
	return o.data[index], o.linkFreeAt, nil
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

// fetchOnFleet runs a fetch on each of some hosts, in halls of three, and returns their copies
// once all are complete. Dead hosts are listed but do not accept connections.
func fetchOnFleet(t *testing.T, o *origin, manifest provider.Manifest, hosts, dead int) []*swarm.Copy {
	t.Helper()
	o.sent = map[int]int{}
	var net swarmtest.Network
	var listed []swarm.Host
	var copies []*swarm.Copy
	for i := range hosts {
		c := swarm.NewCopy(manifest)
		hostCopies := &swarm.Copies{}
		hostCopies.Add(c)
		copies = append(copies, c)
		listed = append(listed, swarm.Host{Address: net.Serve(t, handler(hostCopies)), Hall: fmt.Sprintf("hall-%d", i/3)})
	}
	for i := range dead {
		listed = append(listed, swarm.Host{Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", i+1)), Hall: "hall-0"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var running sync.WaitGroup
	for i, c := range copies {
		fetch := &swarm.Fetch{
			Copy: c, Model: "m", Origin: o.provider(manifest), Self: listed[i],
			Hosts: func() []swarm.Host { return listed }, Client: net.Client(t),
			CopyTime: max(50*time.Millisecond, o.linkTime*time.Duration(len(manifest.Digests))), Early: i == 0,
		}
		running.Go(func() { assert.NoError(t, fetch.Run(ctx)) })
	}
	running.Wait()
	return copies
}

func assertComplete(t *testing.T, copies []*swarm.Copy, data [][]byte) {
	t.Helper()
	for _, c := range copies {
		require.True(t, c.Complete())
		for index := range data {
			assert.Equal(t, data[index], c.Chunk(index))
		}
	}
}

func TestOriginSendsAboutOneCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		data, manifest := sampleVersion(2, 24)
		o := &origin{data: data}
		copies := fetchOnFleet(t, o, manifest, 9, 0)
		assertComplete(t, copies, data)
		assert.LessOrEqual(t, o.total(), 24+6, "the origin sends about one copy for nine hosts")
	})
}

// TestFetchSendsNoChunkTwiceAfterOriginOutage guards against an early host that fetches chunks
// beside their assigned hosts because the outage counts towards their overdue time.
func TestFetchSendsNoChunkTwiceAfterOriginOutage(t *testing.T) {
	const runs, chunks, corrupt = 20, 24, 3
	for range runs { // the choice of chunks is random
		synctest.Test(t, func(t *testing.T) {
			data, manifest := sampleVersion(2, chunks)
			o := &origin{data: data, failures: 300, corrupt: corrupt, linkTime: 10 * time.Millisecond}
			copies := fetchOnFleet(t, o, manifest, 9, 0)
			assertComplete(t, copies, data)
			assert.LessOrEqual(t, o.total(), chunks+corrupt)
		})
	}
}

// TestFetchRetriesCorruptChunks guards against taking the manifest to be wrong because the
// origin sends many chunks corrupt once each.
func TestFetchRetriesCorruptChunks(t *testing.T) {
	data, manifest := sampleVersion(2, 24)
	o := &origin{data: data, corruptFirst: true, sent: map[int]int{}}
	own := swarm.Host{Address: serve(t, &swarm.Copies{}).Address, Hall: "hall"}
	fetch := &swarm.Fetch{
		Copy: swarm.NewCopy(manifest), Model: "m", Origin: o.provider(manifest), Self: own,
		Hosts: func() []swarm.Host { return nil }, Client: serve(t, &swarm.Copies{}).Client,
	}
	require.NoError(t, fetch.Run(context.Background()))
	assert.Equal(t, 2*24, o.total())
}

func TestLiveHostsTakeOverChunksOfDeadHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		data, manifest := sampleVersion(2, 24)
		o := &origin{data: data}
		copies := fetchOnFleet(t, o, manifest, 4, 3)
		assertComplete(t, copies, data)
		assert.LessOrEqual(t, o.total(), 2*24)
	})
}

// serveStuck serves a host that reports a copy but never sends a chunk of it.
func serveStuck(t *testing.T, c *swarm.Copy) netip.AddrPort {
	t.Helper()
	return serveChunks(t, c, func(r *http.Request) { <-r.Context().Done() })
}

// serveChunks serves a host that has a copy and calls the function before each chunk.
func serveChunks(t *testing.T, c *swarm.Copy, before func(r *http.Request)) netip.AddrPort {
	t.Helper()
	hostCopies := &swarm.Copies{}
	hostCopies.Add(c)
	complete := handler(hostCopies)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") {
			before(r)
		}
		complete.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestFetchBypassesStuckHolder: chunks whose only holder in the hall does not send them come
// from the origin, or from another hall where the origin is down too.
func TestFetchBypassesStuckHolder(t *testing.T) {
	data, manifest := sampleVersion(2, 4)
	complete := swarm.NewCopy(manifest)
	for index, chunk := range data {
		require.NoError(t, complete.Put(index, chunk))
	}
	for name, originDown := range map[string]bool{"origin": false, "another hall": true} {
		t.Run(name, func(t *testing.T) {
			o := &origin{data: data, sent: map[int]int{}}
			hosts := []swarm.Host{{Address: serveStuck(t, complete), Hall: "hall"}}
			if originDown {
				o.failures = math.MaxInt32
				hostCopies := &swarm.Copies{}
				hostCopies.Add(complete)
				hosts = append(hosts, swarm.Host{Address: serve(t, hostCopies).Address, Hall: "far"})
			}
			fetch := &swarm.Fetch{
				Copy: swarm.NewCopy(manifest), Model: "m", Origin: o.provider(manifest),
				Self:  swarm.Host{Address: serve(t, &swarm.Copies{}).Address, Hall: "hall"},
				Hosts: func() []swarm.Host { return hosts }, Client: serve(t, &swarm.Copies{}).Client,
				CopyTime: 50 * time.Millisecond,
			}
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			require.NoError(t, fetch.Run(ctx))
		})
	}
}

func TestFetchFailsOnWrongManifest(t *testing.T) {
	data, manifest := sampleVersion(2, 4)
	manifest.Digests[2][0] ^= 1
	o := &origin{data: data, sent: map[int]int{}}
	own := swarm.Host{Address: serve(t, &swarm.Copies{}).Address, Hall: "hall"}
	fetch := &swarm.Fetch{
		Copy: swarm.NewCopy(manifest), Model: "m", Origin: o.provider(manifest), Self: own,
		Hosts: func() []swarm.Host { return nil }, Client: serve(t, &swarm.Copies{}).Client,
	}
	require.ErrorIs(t, fetch.Run(context.Background()), swarm.ErrManifest)
}

func TestFetchEndsWithItsContext(t *testing.T) {
	data, manifest := sampleVersion(2, 4)
	o := &origin{data: data, sent: map[int]int{}, block: make(chan struct{})}
	own := swarm.Host{Address: serve(t, &swarm.Copies{}).Address, Hall: "hall"}
	fetch := &swarm.Fetch{
		Copy: swarm.NewCopy(manifest), Model: "m", Origin: o.provider(manifest), Self: own,
		Hosts: func() []swarm.Host { return nil }, Client: serve(t, &swarm.Copies{}).Client,
	}
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- fetch.Run(ctx) }()
	cancel()
	require.ErrorIs(t, <-result, context.Canceled)
}
