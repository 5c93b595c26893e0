package swarm_test

import (
	"context"
	"crypto/sha256"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/lines"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// sample returns the chunks of a version and its manifest.
func sample(version, chunks int) ([][]byte, provider.Manifest) {
	manifest := provider.Manifest{Model: "m", Version: version, ChunkBytes: 64}
	var data [][]byte
	for index := range chunks {
		chunk := []byte(strings.Repeat(string(rune('a'+index%26))+string(rune('0'+version)), 32))
		data = append(data, chunk)
		manifest.Digests = append(manifest.Digests, sha256.Sum256(chunk))
	}
	return data, manifest
}

// pages returns what a host serves of its copies.
func pages(held *swarm.Held) *bunrouter.Router {
	router := bunrouter.New()
	(&swarm.Server{Held: held}).Register(router)
	return router
}

// serve starts a server of copies and returns a peer that asks it.
func serve(t *testing.T, held *swarm.Held) swarm.Peer {
	t.Helper()
	server := httptest.NewServer(pages(held))
	t.Cleanup(server.Close)
	address, err := netip.ParseAddrPort(server.Listener.Addr().String())
	require.NoError(t, err)
	return swarm.Peer{Address: address, Client: server.Client()}
}

func TestPeerGivesWhatItHolds(t *testing.T) {
	data, manifest := sample(2, 9)
	c := swarm.NewCopy(manifest)
	require.NoError(t, c.Put(1, data[1]))
	require.NoError(t, c.Put(8, data[8]))
	held := &swarm.Held{}
	held.Add(c)
	peer := serve(t, held)

	got, err := peer.Manifest(context.Background(), 2)
	require.NoError(t, err)
	assert.Equal(t, manifest, got)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var heard []swarm.Have
	err = peer.Follow(ctx, 2, false, func(have swarm.Have) {
		heard = append(heard, have)
		if len(heard) == 1 {
			assert.NoError(t, c.Put(0, data[0]))
			return
		}
		cancel()
	})
	require.Error(t, err)
	assert.Equal(t, []swarm.Have{"201", "301"}, heard)
	assert.True(t, heard[0].Has(1) && heard[0].Has(8))
	assert.False(t, heard[0].Has(0) || heard[0].Has(7) || heard[0].Has(12))

	chunk, err := peer.Chunk(context.Background(), 2, 8)
	require.NoError(t, err)
	assert.Equal(t, data[8], chunk)

	_, err = peer.Chunk(context.Background(), 2, 5)
	require.ErrorIs(t, err, provider.ErrNotFound)
	require.ErrorIs(t, peer.Follow(context.Background(), 3, false, nil), lines.ErrNotServed)
}

func TestCopyTakesOnlyRightBytes(t *testing.T) {
	data, manifest := sample(1, 3)
	c := swarm.NewCopy(manifest)
	require.Error(t, c.Put(0, data[1]), "another chunk's bytes")
	require.Error(t, c.Put(0, data[0][:10]), "a broken chunk")
	require.ErrorIs(t, c.Put(3, data[0]), provider.ErrNotFound)
	assert.Nil(t, c.Chunk(0))
	for index := range data {
		require.NoError(t, c.Put(index, data[index]))
		require.NoError(t, c.Put(index, data[index]), "twice")
	}
	assert.True(t, c.Complete())
}

func TestHeldKeepsTheNewest(t *testing.T) {
	held := &swarm.Held{}
	for version := 1; version <= 5; version++ {
		_, manifest := sample(version, 1)
		held.Add(swarm.NewCopy(manifest))
	}
	assert.Nil(t, held.Get(2))
	assert.NotNil(t, held.Get(3))
	assert.NotNil(t, held.Get(5))
}

// TestUploadsBeyondAFewAreTurnedAway: the asker hears so at once and asks another
// host; nothing is lost when the uploads under way are done.
func TestUploadsBeyondAFewAreTurnedAway(t *testing.T) {
	data, manifest := sample(2, 9)
	c := swarm.NewCopy(manifest)
	require.NoError(t, c.Put(1, data[1]))
	held := &swarm.Held{}
	held.Add(c)
	pages := bunrouter.New()
	// The call that looks whether all are taken may itself take the last of them, so one that
	// was turned away for that asks again.
	entered, goOn := make(chan struct{}, 8), make(chan struct{})
	slow := func() float64 { // called for each slice, before it is written
		entered <- struct{}{}
		<-goOn
		return 0
	}
	(&swarm.Server{Held: held, Uplink: swarm.Uplink{BytesPerSecond: slow}}).Register(pages)
	server := httptest.NewServer(pages)
	t.Cleanup(server.Close)
	peer := swarm.Peer{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Client: server.Client()}

	const taken = 3 // one that is sent, two that wait
	results := make(chan error, taken)
	for range taken {
		go func() {
			_, err := peer.Chunk(context.Background(), 2, 1)
			for swarm.IsBusy(err) {
				_, err = peer.Chunk(context.Background(), 2, 1)
			}
			results <- err
		}()
	}
	<-entered // one is being sent, and two wait for it or are on their way
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := peer.Chunk(ctx, 2, 1)
		return swarm.IsBusy(err)
	}, 10*time.Second, time.Millisecond)
	close(goOn)
	served := 0
	for range taken {
		if err := <-results; err == nil {
			served++
		}
	}
	assert.Positive(t, served)
	_, err := peer.Chunk(context.Background(), 2, 1)
	require.NoError(t, err, "a place is free again")
}

// TestChunksTakeAPartOfTheLink: a chunk is written in slices, none before the
// link has sent the one before.
func TestChunksTakeAPartOfTheLink(t *testing.T) {
	const bytesPerSecond, chunkBytes = 400e3, 24 << 10
	chunk := []byte(strings.Repeat("x", chunkBytes))
	c := swarm.NewCopy(provider.Manifest{Version: 2, ChunkBytes: chunkBytes, Digests: [][32]byte{sha256.Sum256(chunk)}})
	require.NoError(t, c.Put(0, chunk))
	held := &swarm.Held{}
	held.Add(c)
	pages := bunrouter.New()
	(&swarm.Server{Held: held, Uplink: swarm.Uplink{BytesPerSecond: func() float64 { return bytesPerSecond }}}).Register(pages)
	server := httptest.NewServer(pages)
	t.Cleanup(server.Close)
	peer := swarm.Peer{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Client: server.Client()}
	started := time.Now()
	got, err := peer.Chunk(context.Background(), 2, 0)
	require.NoError(t, err)
	assert.Equal(t, chunk, got)
	// The last third is written when the link has sent the first two.
	assert.Greater(t, time.Since(started).Seconds(), chunkBytes*2/3/bytesPerSecond)
}
