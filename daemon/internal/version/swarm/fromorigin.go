package swarm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// This file fetches what it falls to this host to bring from the origin.

// fromOrigin fetches one chunk that it falls to this host to bring.
func (f *Fetch) fromOrigin(ctx context.Context) (bool, error) {
	index, ok := f.pickForOrigin()
	if !ok {
		return false, nil
	}
	chunk, err := f.askOrigin(ctx, index)
	if err == nil {
		f.tell(index, chunk, FromOrigin)
		return true, nil
	}
	if !errors.Is(err, errDigest) {
		f.mu.Lock()
		f.pace.Failed(index, clock.Now())
		f.mu.Unlock()
		// The chunk is free for peers meanwhile: they may have it by now.
		helpers.Pause(rand.N(askAgain), ctx.Done())
	}
	return true, err
}

// askOrigin has the origin send a chunk that was picked, and takes it.
func (f *Fetch) askOrigin(ctx context.Context, index int) ([]byte, error) {
	defer f.release(index)
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout+f.OriginTime)
	defer cancel()
	chunk, err := f.Source.Chunk(ctx, f.Origin, f.Model, f.Copy.Manifest.Version, index)
	if err != nil {
		return nil, err
	}
	if err := f.Copy.Put(index, chunk); err != nil {
		return nil, f.mismatch(index, err)
	}
	return chunk, nil
}

func (f *Fetch) mismatch(index int, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mismatches[index]++; f.mismatches[index] >= maxMismatches {
		return fmt.Errorf("%w: %w", ErrManifest, err)
	}
	return err
}

// pickForOrigin chooses a missing chunk that it falls to this host to ask the
// origin for.
func (f *Fetch) pickForOrigin() (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	f.rank(f.liveHosts(now))
	have := f.Copy.Have()
	backup := -1
	drawn := 0
	for index := range have[:f.pace.Due(now, f.seen())] {
		if have[index] || f.taken[index] || !f.asksOrigin(index, now) {
			continue
		}
		if f.duties[index].first() {
			f.taken[index] = true
			return index, true
		}
		// Hosts that stand in for others draw, or all would ask for the same.
		if drawn++; rand.IntN(drawn) == 0 {
			backup = index
		}
	}
	if backup < 0 {
		return 0, false
	}
	f.taken[backup] = true
	return backup, true
}
