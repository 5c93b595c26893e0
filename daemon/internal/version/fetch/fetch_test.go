package fetch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/source"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/stage"
)

// newSwarm returns the swarm as seen from one hall. The first hosts of each hall,
// as many as gateways says, are its gateways.
func newSwarm(hall string, perHall map[string]int, gateways int) Swarm {
	var swarm Swarm
	names := make([]string, 0, len(perHall))
	for name := range perHall {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for i := range perHall[name] {
			peer := Peer{Name: fmt.Sprintf("%s-%03d", name, i), Hall: name, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))}
			if name == hall {
				swarm.HallHosts = append(swarm.HallHosts, peer)
			}
			if i < gateways {
				swarm.Gateways = append(swarm.Gateways, peer)
			}
		}
	}
	return swarm
}

func numberedDigests(n int) []digest {
	chunks := make([]digest, n)
	for i := range chunks {
		chunks[i] = manifest.Sum([]byte(fmt.Sprint(i)))
	}
	return chunks
}

// All hosts of a fleet must agree that each chunk has one primary in each hall,
// and that exactly one of these fetches it from the origin.
func TestEachChunkHasOnePrimaryPerHallAndOneOrigin(t *testing.T) {
	halls := map[string]int{"a": 5, "b": 20, "c": 1}
	chunks := numberedDigests(200)
	primaries := map[string]int{}
	origins := make([]int, len(chunks))
	originFetches := map[string]int{}
	for hall, count := range halls {
		swarm := newSwarm(hall, halls, 16)
		for i := range count {
			f := &Fetcher{Self: fmt.Sprintf("%s-%03d", hall, i), Hall: hall}
			for _, a := range f.assignmentsOf(chunks, swarm) {
				if a.rank != 0 {
					continue
				}
				primaries[fmt.Sprint(hall, a.chunk)]++
				if len(a.otherHallPeers) == 0 {
					origins[a.chunk]++
					originFetches[hall]++
				}
			}
		}
	}
	assert.Len(t, primaries, len(halls)*len(chunks))
	for key, count := range primaries {
		require.Equal(t, 1, count, key)
	}
	for chunk, count := range origins {
		require.Equal(t, 1, count, "chunk %d", chunk)
	}
	for hall := range halls {
		assert.InDelta(t, len(chunks)/len(halls), originFetches[hall], 30, "fetches from the origin are spread evenly over halls")
	}
}

func TestOtherHallPeersAreInOtherHalls(t *testing.T) {
	halls := map[string]int{"a": 3, "b": 3, "c": 3, "d": 3, "e": 3, "f": 3, "g": 3}
	for hall := range halls {
		swarm := newSwarm(hall, halls, 3)
		for i := range 3 {
			f := &Fetcher{Self: fmt.Sprintf("%s-%03d", hall, i), Hall: hall}
			for _, a := range f.assignmentsOf(numberedDigests(50), swarm) {
				assert.LessOrEqual(t, len(a.otherHallPeers), 2*peersPerOtherHall)
				for _, peer := range a.otherHallPeers {
					assert.NotEqual(t, hall, peer.Hall, "a peer of the local hall")
				}
			}
		}
	}
}

func TestNeighboursReachEveryHostOfHall(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 17, 64, 286} {
		swarm := newSwarm("a", map[string]int{"a": hosts}, 16)
		pollers := map[string][]string{}
		for i, host := range swarm.HallHosts {
			f := &Fetcher{Self: host.Name, Hall: "a"}
			for _, peer := range f.neighbours(swarm) {
				require.NotEqual(t, host.Name, peer.Name)
				pollers[peer.Name] = append(pollers[peer.Name], host.Name)
			}
			limit := DefaultNeighbours
			if i < 16 {
				limit += 15 // gateways poll each other
			}
			assert.LessOrEqual(t, len(f.neighbours(swarm)), min(limit, hosts-1))
		}
		reached := map[string]bool{"a-000": true}
		for queue := []string{"a-000"}; len(queue) > 0; queue = queue[1:] {
			for _, next := range pollers[queue[0]] {
				if !reached[next] {
					reached[next] = true
					queue = append(queue, next)
				}
			}
		}
		assert.Len(t, reached, hosts, "a chunk at one host reaches all hosts")
	}
}

func TestTreePolicyPollsOnlyParent(t *testing.T) {
	swarm := newSwarm("a", map[string]int{"a": 7}, 7)
	parents := map[string]string{}
	for _, host := range swarm.HallHosts {
		f := &Fetcher{Self: host.Name, Hall: "a", Policy: PolicyTree}
		for _, parent := range f.neighbours(swarm) {
			parents[host.Name] = parent.Name
		}
	}
	assert.Len(t, parents, 6, "all but the root")
	assert.Equal(t, "a-002", parents["a-006"])
}

// The store fails or returns corrupt bytes for some chunks; only these may be
// fetched from the origin.
func TestFetchFallsBackToOriginWhenStoreFails(t *testing.T) {
	data := bytes.Repeat([]byte("weights of a small model "), 100)
	m, err := manifest.Build(bytes.NewReader(data), int64(len(data)), 256)
	require.NoError(t, err)
	_, id, err := m.Encode()
	require.NoError(t, err)
	var mu sync.Mutex
	requests := map[string]int{}
	newSource := func(name string, respond func(offset int64, good []byte) ([]byte, error)) *source.Source {
		return &source.Source{Name: name, FetchRange: func(_ context.Context, _ manifest.Digest, offset, length int64) ([]byte, error) {
			mu.Lock()
			requests[name]++
			mu.Unlock()
			return respond(offset, bytes.Clone(data[offset:offset+length]))
		}}
	}
	store := newSource("store", func(offset int64, good []byte) ([]byte, error) {
		switch offset / 256 % 3 {
		case 0:
			return nil, errors.New("store unavailable")
		case 1:
			good[0] ^= 1
		}
		return good, nil
	})
	origin := newSource("origin", func(_ int64, good []byte) ([]byte, error) { return good, nil })
	logger, err := telemetry.New(telemetry.Options{Level: "error", Output: io.Discard})
	require.NoError(t, err)
	defer logger.Close()
	self := Peer{Name: "alone", Hall: "a"}
	singleHost := Swarm{HallHosts: []Peer{self}, Gateways: []Peer{self}, Halls: []string{"a"}}
	f := &Fetcher{Self: "alone", Hall: "a", Stage: &stage.Stage{}, Downloader: &source.Downloader{}, Sources: []*source.Source{store, origin}, Telemetry: logger}
	version, err := f.Stage.Open(id, m, nil)
	require.NoError(t, err)
	require.NoError(t, f.Fetch(t.Context(), version, func() (Swarm, <-chan struct{}) { return singleHost, nil }))
	var assembled bytes.Buffer
	require.NoError(t, version.WriteAll(&assembled))
	assert.Equal(t, data, assembled.Bytes())
	assert.Equal(t, len(m.Chunks), requests["store"], "every chunk is requested from the store first")
	assert.Less(t, requests["origin"], requests["store"], "the origin only for chunks that the store failed to deliver")
	assert.Positive(t, requests["origin"])
}
