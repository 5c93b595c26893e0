package swarm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/rollout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file fetches from the origin the chunks that are assigned to this host.

// fromOrigin fetches one chunk from the origin. It reports false if none is assigned to
// this host.
func (f *Fetch) fromOrigin(ctx context.Context) (bool, error) {
	index, ok := f.pickForOrigin()
	if !ok {
		return false, nil
	}
	chunk, err := f.requestFromOrigin(ctx, index)
	if err == nil {
		f.recordChunk(index, chunk, FromOrigin)
		return true, nil
	}
	if !errors.Is(err, errDigest) {
		f.mu.Lock()
		f.timeline.OriginFailed(index, f.now())
		f.mu.Unlock()
		// The chunk is not in flight during the delay, so that it may come from a peer.
		helpers.Pause(rand.N(peerRetryDelay), ctx.Done())
	}
	return true, err
}

// requestFromOrigin fetches a chunk that pickForOrigin returned and adds it to the copy.
func (f *Fetch) requestFromOrigin(ctx context.Context, index int) ([]byte, error) {
	defer f.release(index)
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout+f.CopyTime)
	defer cancel()
	ctx = provider.WithMaxBytes(ctx, int64(f.Copy.Manifest.ChunkBytes))
	chunk, err := f.Origin.Chunk(ctx, f.OriginAddress, f.Model, f.Copy.Manifest.Version, index)
	if err != nil {
		return nil, err
	}
	err = f.Copy.Put(index, chunk)
	if errors.Is(err, errDigest) {
		err = f.correct(ctx, index, chunk, sender{FromOrigin, f.originManifest}, err)
	}
	if err != nil {
		return nil, f.recordMismatch(index, err)
	}
	return chunk, nil
}

// originManifest asks the origin for the manifest of the version.
func (f *Fetch) originManifest(ctx context.Context) (provider.Manifest, error) {
	return f.Origin.Manifest(ctx, f.OriginAddress, f.Model, f.Copy.Manifest.Version)
}

func (f *Fetch) recordMismatch(index int, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mismatches[index]++; f.mismatches[index] >= maxMismatches {
		return fmt.Errorf("%w: %w", ErrManifest, err)
	}
	return err
}

// pickForOrigin returns a missing chunk that this host may fetch from the origin, and marks
// it as in flight.
func (f *Fetch) pickForOrigin() (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if !f.updateSources(now).Has(rollout.Origin) {
		return 0, false
	}
	f.assign(f.liveHosts(now))
	have := f.Copy.Present()
	takeover := -1
	candidates := 0
	for index := range have[:f.timeline.DueChunks(now, f.seen())] {
		if have[index] || f.inFlight[index] || !f.fetchesFromOrigin(index, now) {
			continue
		}
		if f.assignments[index].isPrimary() {
			f.inFlight[index] = true
			return index, true
		}
		// Hosts that take over choose at random: otherwise all would fetch the same chunk.
		if candidates++; rand.IntN(candidates) == 0 {
			takeover = index
		}
	}
	if takeover < 0 {
		return 0, false
	}
	f.inFlight[takeover] = true
	return takeover, true
}
