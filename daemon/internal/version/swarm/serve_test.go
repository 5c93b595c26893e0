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

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/linestream"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// sampleVersion returns the chunks of a version and its manifest.
func sampleVersion(version, chunks int) ([][]byte, provider.Manifest) {
	manifest := provider.Manifest{Model: "m", Version: version, ChunkBytes: 64}
	var data [][]byte
	for index := range chunks {
		chunk := []byte(strings.Repeat(string(rune('a'+index%26))+string(rune('0'+version)), 32))
		data = append(data, chunk)
		manifest.Digests = append(manifest.Digests, sha256.Sum256(chunk))
	}
	return data, manifest
}

// handler returns the handler that a host serves its copies with.
func handler(copies *swarm.Copies) *bunrouter.Router {
	routes := bunrouter.New()
	(&swarm.Server{Copies: copies}).Register(routes)
	return routes
}

// serve starts a server of copies and returns a client for it.
func serve(t *testing.T, copies *swarm.Copies) swarm.PeerClient {
	t.Helper()
	server := httptest.NewServer(handler(copies))
	t.Cleanup(server.Close)
	address, err := netip.ParseAddrPort(server.Listener.Addr().String())
	require.NoError(t, err)
	return swarm.PeerClient{Address: address, Client: server.Client()}
}

func TestPeerServesManifestReportsAndChunks(t *testing.T) {
	data, manifest := sampleVersion(2, 9)
	c := swarm.NewCopy(manifest)
	require.NoError(t, c.Put(1, data[1]))
	require.NoError(t, c.Put(8, data[8]))
	hostCopies := &swarm.Copies{}
	hostCopies.Add(c)
	peer := serve(t, hostCopies)

	got, err := peer.Manifest(context.Background(), 2)
	require.NoError(t, err)
	assert.Equal(t, manifest, got)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var reports []swarm.Bitmap
	err = peer.Follow(ctx, 2, false, func(have swarm.Bitmap) {
		reports = append(reports, have)
		if len(reports) == 1 {
			assert.NoError(t, c.Put(0, data[0]))
			return
		}
		cancel()
	})
	require.Error(t, err)
	assert.Equal(t, []swarm.Bitmap{"201", "301"}, reports)
	assert.True(t, reports[0].Has(1) && reports[0].Has(8))
	assert.False(t, reports[0].Has(0) || reports[0].Has(7) || reports[0].Has(12))

	chunk, err := peer.Chunk(context.Background(), 2, 8)
	require.NoError(t, err)
	assert.Equal(t, data[8], chunk)

	_, err = peer.Chunk(context.Background(), 2, 5)
	require.ErrorIs(t, err, provider.ErrNotFound)
	require.ErrorIs(t, peer.Follow(context.Background(), 3, false, nil), linestream.ErrNotServed)
}

func TestCopyRejectsChunksThatDoNotMatch(t *testing.T) {
	data, manifest := sampleVersion(1, 3)
	c := swarm.NewCopy(manifest)
	require.Error(t, c.Put(0, data[1]), "another chunk")
	require.Error(t, c.Put(0, data[0][:10]), "a truncated chunk")
	require.ErrorIs(t, c.Put(3, data[0]), provider.ErrNotFound)
	assert.Nil(t, c.Chunk(0))
	for index := range data {
		require.NoError(t, c.Put(index, data[index]))
		require.NoError(t, c.Put(index, data[index]), "twice")
	}
	assert.True(t, c.Complete())
}

func TestOnlyNewestVersionsAreKept(t *testing.T) {
	hostCopies := &swarm.Copies{}
	for version := 1; version <= 5; version++ {
		_, manifest := sampleVersion(version, 1)
		hostCopies.Add(swarm.NewCopy(manifest))
	}
	assert.Nil(t, hostCopies.Get(2))
	assert.NotNil(t, hostCopies.Get(3))
	assert.NotNil(t, hostCopies.Get(5))
}

// TestServerRejectsUploadsBeyondQueue: the rejection is sent at once, so that the requesting host
// can use another peer, and the queue has room again once the active uploads have ended.
func TestServerRejectsUploadsBeyondQueue(t *testing.T) {
	data, manifest := sampleVersion(2, 9)
	c := swarm.NewCopy(manifest)
	require.NoError(t, c.Put(1, data[1]))
	hostCopies := &swarm.Copies{}
	hostCopies.Add(c)
	routes := bunrouter.New()
	entered, unblock := make(chan struct{}, 8), make(chan struct{})
	slow := func() float64 { // called for each slice, before it is written
		entered <- struct{}{}
		<-unblock
		return 0
	}
	(&swarm.Server{Copies: hostCopies, Uplink: swarm.Uplink{BytesPerSecond: slow}}).Register(routes)
	server := httptest.NewServer(routes)
	t.Cleanup(server.Close)
	peer := swarm.PeerClient{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Client: server.Client()}

	const uploads = 3 // one active, two queued
	results := make(chan error, uploads)
	for range uploads {
		go func() {
			_, err := peer.Chunk(context.Background(), 2, 1)
			for swarm.IsBusy(err) { // the probe below may have occupied the last queue slot
				_, err = peer.Chunk(context.Background(), 2, 1)
			}
			results <- err
		}()
	}
	<-entered // one upload is active, and two are queued or about to be
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := peer.Chunk(ctx, 2, 1)
		return swarm.IsBusy(err)
	}, 10*time.Second, time.Millisecond)
	close(unblock)
	served := 0
	for range uploads {
		if err := <-results; err == nil {
			served++
		}
	}
	assert.Positive(t, served)
	_, err := peer.Chunk(context.Background(), 2, 1)
	require.NoError(t, err, "the queue has room again")
}

// TestUploadsKeepToTheLinkRate: a chunk is written in slices, and each only when the link has
// sent the one before.
func TestUploadsKeepToTheLinkRate(t *testing.T) {
	const bytesPerSecond, chunkBytes = 400e3, 24 << 10
	chunk := []byte(strings.Repeat("x", chunkBytes))
	c := swarm.NewCopy(provider.Manifest{Version: 2, ChunkBytes: chunkBytes, Digests: [][32]byte{sha256.Sum256(chunk)}})
	require.NoError(t, c.Put(0, chunk))
	hostCopies := &swarm.Copies{}
	hostCopies.Add(c)
	routes := bunrouter.New()
	(&swarm.Server{Copies: hostCopies, Uplink: swarm.Uplink{BytesPerSecond: func() float64 { return bytesPerSecond }}}).Register(routes)
	server := httptest.NewServer(routes)
	t.Cleanup(server.Close)
	peer := swarm.PeerClient{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Client: server.Client()}
	started := time.Now()
	got, err := peer.Chunk(context.Background(), 2, 0)
	require.NoError(t, err)
	assert.Equal(t, chunk, got)
	// The last third is written only when the link has sent the first two.
	assert.Greater(t, time.Since(started).Seconds(), chunkBytes*2/3/bytesPerSecond)
}

// TestReportsFollowReplacedCopy guards against hosts that learn nothing of the chunks of a copy that replaced one with
// a wrong manifest, because their stream still reports the old copy.
func TestReportsFollowReplacedCopy(t *testing.T) {
	data, manifest := sampleVersion(2, 4)
	replaced, replacing := swarm.NewCopy(wrongDigest(manifest, 3)), swarm.NewCopy(manifest)
	require.NoError(t, replaced.Put(0, data[0]))
	require.NoError(t, replacing.Put(3, data[3]))
	hostCopies := &swarm.Copies{}
	hostCopies.Add(replaced)
	peer := serve(t, hostCopies)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var last swarm.Bitmap
	err := peer.Follow(ctx, 2, false, func(have swarm.Bitmap) {
		if last = have; have.Has(0) {
			hostCopies.Drop(2)
			hostCopies.Add(replacing)
		}
		if have.Has(3) {
			cancel()
		}
	})
	require.Error(t, err)
	assert.True(t, last.Has(3), "the chunk of the copy that replaced the other")
	assert.False(t, last.Has(0), "a chunk that the host no longer has")
}
