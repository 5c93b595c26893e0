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
	// linkTime is how long a chunk takes on the origin's link, which is free from
	// the moment linkFree on: one is sent at a time.
	linkTime time.Duration
	linkFree time.Time
}

func (o *origin) chunk(ctx context.Context, _ netip.AddrPort, _ string, _, index int) ([]byte, error) {
	if o.hold != nil {
		select {
		case <-o.hold:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	chunk, arrives, err := o.send(index)
	if !helpers.Pause(time.Until(arrives), ctx.Done()) {
		return nil, ctx.Err()
	}
	return chunk, err
}

// send puts a chunk on the link and returns what arrives of it, and when.
func (o *origin) send(index int) ([]byte, time.Time, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if o.failures > 0 {
		o.failures--
		return nil, now, errOriginDown
	}
	o.sent[index]++
	if o.linkFree.Before(now) {
		o.linkFree = now
	}
	o.linkFree = o.linkFree.Add(o.linkTime)
	if o.spoil > 0 || o.spoilFirst && o.sent[index] == 1 {
		o.spoil--
		return []byte("spoilt"), o.linkFree, nil
	}
	return o.data[index], o.linkFree, nil
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
	var net network
	var listed []swarm.Host
	var copies []*swarm.Copy
	for i := range hosts {
		c := swarm.NewCopy(manifest)
		held := &swarm.Held{}
		held.Add(c)
		copies = append(copies, c)
		listed = append(listed, swarm.Host{Address: net.serve(t, pages(held)), Hall: fmt.Sprintf("hall-%d", i/3)})
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
			Hosts: func() []swarm.Host { return listed }, Client: net.client(t),
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
	synctest.Test(t, func(t *testing.T) {
		data, manifest := sample(2, 24)
		o := &origin{data: data}
		copies := fleet(t, o, manifest, 9, 0)
		assertWhole(t, copies, data)
		assert.LessOrEqual(t, o.total(), 24+6, "about one copy for nine hosts")
	})
}

// Symptom: after an origin was down it sent 28 to 36 chunks of 24, of which it spoilt 3.
//
// Sequence: the origin fails for a while; nine hosts wait for chunks. Once it sends
// again each asks for its own.
//
// Cause: only a part of the pause was taken off what a chunk is overdue, so all of
// them stayed overdue by more than a host that is to be done first waits. It asked for
// one after the other, while those who bring them did so too.
//
// What settled it: all chunks that were sent twice were asked for by that host, 250 to
// 390 ms overdue.
func TestFetchOutlivesAnOriginThatWasDown(t *testing.T) {
	const plays, chunks, spoilt = 20, 24, 3
	for range plays { // which chunks a host asks for is drawn
		synctest.Test(t, func(t *testing.T) {
			data, manifest := sample(2, chunks)
			o := &origin{data: data, failures: 300, spoil: spoilt, linkTime: 10 * time.Millisecond}
			copies := fleet(t, o, manifest, 9, 0)
			assertWhole(t, copies, data)
			assert.LessOrEqual(t, o.total(), chunks+spoilt)
		})
	}
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
	synctest.Test(t, func(t *testing.T) {
		data, manifest := sample(2, 24)
		o := &origin{data: data}
		copies := fleet(t, o, manifest, 4, 3)
		assertWhole(t, copies, data)
		assert.LessOrEqual(t, o.total(), 2*24)
	})
}

// serveStuck serves a host that says it has a copy and never sends a chunk of it.
func serveStuck(t *testing.T, c *swarm.Copy) netip.AddrPort {
	t.Helper()
	return serveChunks(t, c, func(r *http.Request) { <-r.Context().Done() })
}

// serveChunks serves a host that has a copy and does something before it sends a chunk.
func serveChunks(t *testing.T, c *swarm.Copy, before func(r *http.Request)) netip.AddrPort {
	t.Helper()
	held := &swarm.Held{}
	held.Add(c)
	whole := pages(held)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") {
			before(r)
		}
		whole.ServeHTTP(w, r)
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
