package swarm_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm/swarmtest"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// wrongDigest returns a manifest with a wrong digest of one chunk.
func wrongDigest(manifest provider.Manifest, index int) provider.Manifest {
	wrong := swarm.NewCopy(manifest).Manifest
	wrong.Digests[index][0] ^= 1
	return wrong
}

// TestFetchCorrectsDigest guards against a fetch that starts again, or never ends, because a digest arrived corrupted
// here and the sender of the chunk has the right one.
func TestFetchCorrectsDigest(t *testing.T) {
	const chunks, corrupted = 8, 5
	data, manifest := sampleVersion(2, chunks)
	for name, fromPeer := range map[string]bool{"from the origin": false, "from a peer": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var net swarmtest.Network
				o := &origin{data: data, sent: map[int]int{}}
				var hosts []swarm.Host
				if fromPeer {
					o.failures = 1 << 30
					complete, peerCopies := swarm.NewCopy(manifest), &swarm.Copies{}
					for index, chunk := range data {
						require.NoError(t, complete.Put(index, chunk))
					}
					peerCopies.Add(complete)
					hosts = []swarm.Host{{Address: net.Serve(t, handler(peerCopies)), Hall: "hall"}}
				}
				own, ownCopies := swarm.NewCopy(wrongDigest(manifest, corrupted)), &swarm.Copies{}
				ownCopies.Add(own)
				address := net.Serve(t, handler(ownCopies))
				fetch := &swarm.Fetch{
					Copy: own, Model: "m", Origin: o.provider(manifest), Self: swarm.Host{Address: address, Hall: "hall"},
					Hosts: func() []swarm.Host { return hosts }, Client: net.Client(t), CopyTime: time.Second,
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				require.NoError(t, fetch.Run(ctx))
				assert.LessOrEqual(t, o.sent[corrupted], 1, "the origin sends the chunk once")
				served, err := swarm.PeerClient{Address: address, Client: net.Client(t)}.Manifest(ctx, 2)
				require.NoError(t, err)
				assert.True(t, manifest.Equal(served), "other hosts get the corrected manifest")
			})
		})
	}
}

// TestDamagedChunkCorrectsNothing guards against a right digest that is replaced because a chunk or another manifest
// is wrong.
func TestDamagedChunkCorrectsNothing(t *testing.T) {
	data, manifest := sampleVersion(2, 4)
	_, otherVersion := sampleVersion(3, 4)
	_, longer := sampleVersion(2, 5)
	c := swarm.NewCopy(manifest)
	assert.False(t, c.Correct(1, []byte("damaged"), manifest))
	assert.False(t, c.Correct(1, data[1], wrongDigest(manifest, 1)))
	assert.False(t, c.Correct(1, data[1], otherVersion))
	assert.False(t, c.Correct(1, data[1], longer))
	assert.False(t, c.Correct(1, data[1], provider.Manifest{}))
	assert.True(t, manifest.Equal(c.CurrentManifest()))
}

// TestSenderWithoutManifestProvesNothing guards against a mismatch that is forgotten because the sender's manifest
// cannot be had: after some of them the manifest here is looked up again.
func TestSenderWithoutManifestProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		data, manifest := sampleVersion(2, 4)
		o := &origin{data: data, sent: map[int]int{}}
		calls := o.provider(manifest)
		calls.Manifest = func(ctx context.Context, _ netip.AddrPort, _ string, _ int) (provider.Manifest, error) {
			<-ctx.Done()
			return provider.Manifest{}, ctx.Err()
		}
		var net swarmtest.Network
		fetch := &swarm.Fetch{
			Copy: swarm.NewCopy(wrongDigest(manifest, 2)), Model: "m", Origin: calls,
			Self:  swarm.Host{Address: net.Serve(t, handler(&swarm.Copies{})), Hall: "hall"},
			Hosts: func() []swarm.Host { return nil }, Client: net.Client(t),
		}
		require.ErrorIs(t, fetch.Run(t.Context()), swarm.ErrManifest)
	})
}
