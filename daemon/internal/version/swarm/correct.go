package swarm

import (
	"context"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file corrects digests of a manifest that arrived corrupted. A manifest cannot be checked before its chunks
// arrive, and by then other hosts have it too. So when a chunk of the origin does not match, or a second one of a peer
// at the same index, its sender is asked for its manifest: if the chunk matches that one, the digest here is wrong. The
// correction spreads with the chunk, since each host that receives it finds the mismatch and asks the host that sent it.
//
// Rejected: to look up the whole manifest again, which repeats the fetch and may return the same wrong one from a host
// that has not found the mismatch yet.

// ManifestTimeout bounds a call for a manifest.
const ManifestTimeout = 700 * time.Millisecond

// sender is a host, or the origin, that has sent a chunk.
type sender struct {
	// name is the address of the host, or FromOrigin.
	name     string
	manifest func(context.Context) (provider.Manifest, error)
}

// correct adds a chunk that did not match, with that error, if the manifest of its sender shows that the digest is
// wrong. Otherwise the chunk is damaged, and it returns the error.
func (f *Fetch) correct(ctx context.Context, index int, chunk []byte, from sender, mismatch error) error {
	ctx, cancel := context.WithTimeout(ctx, ManifestTimeout)
	defer cancel()
	manifest, err := from.manifest(ctx)
	if err != nil || !f.Copy.Correct(index, chunk, manifest) {
		return mismatch
	}
	if f.OnCorrected != nil {
		f.OnCorrected(index, from.name)
	}
	return f.Copy.Put(index, chunk)
}
