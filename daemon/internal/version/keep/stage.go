package keep

import (
	"context"
	"errors"
	"fmt"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file lays chunks beside the engine and reads them back.

// takeStaged takes what already lies beside the engine and belongs to the
// version: from before this loader or the engine was started. It waits for an
// engine that does not answer yet.
func (k *Keeper) takeStaged(ctx context.Context, plan Plan, c *swarm.Copy) {
	for ctx.Err() == nil && k.tryStaged(ctx, plan, c) != nil {
		helpers.Pause(roundEvery, ctx.Done())
	}
}

func (k *Keeper) tryStaged(ctx context.Context, plan Plan, c *swarm.Copy) error {
	const misses = 3 // an empty place is empty throughout
	for index, missed := 0, 0; index < len(c.Manifest.Digests) && missed < misses; index++ {
		chunk, err := k.staged(ctx, plan.Goal.Model, index)
		switch {
		case err == nil && c.Put(index, chunk) == nil:
		case err == nil || errors.Is(err, provider.ErrNotFound):
			missed++
		default:
			return fmt.Errorf("read what lies beside the engine: %w", err)
		}
	}
	return nil
}

func (k *Keeper) staged(ctx context.Context, model string, index int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Engine.ReadStaged(ctx, k.Address, model, index)
}

// prepare lays a version beside the engine ahead of its turn. It is read back
// right before the order, so not here.
func (k *Keeper) prepare(ctx context.Context, goal Goal, c *swarm.Copy) {
	started := clock.Now()
	var err error
	for index := 0; index < len(c.Manifest.Digests) && err == nil; index++ {
		err = k.putChunk(ctx, goal.Model, index, c.Chunk(index))
	}
	if err == nil {
		k.prepared = goal.Version
	}
	k.OnStep(Step{Name: StepStage, Version: goal.Version, Err: err, Took: clock.Since(started)})
}

// stage reads back every chunk beside the engine and mends what is not right.
func (k *Keeper) stage(ctx context.Context, goal Goal, c *swarm.Copy) (mended int, err error) {
	for index := range c.Manifest.Digests {
		if k.stagedRight(ctx, goal, c, index) {
			continue
		}
		mended++
		if err := k.putChunk(ctx, goal.Model, index, c.Chunk(index)); err != nil {
			return mended, fmt.Errorf("stage chunk %d: %w", index, err)
		}
		if !k.stagedRight(ctx, goal, c, index) {
			return mended, fmt.Errorf("stage chunk %d: it does not read back as written", index)
		}
	}
	return mended, nil
}

func (k *Keeper) stagedRight(ctx context.Context, goal Goal, c *swarm.Copy, index int) bool {
	chunk, err := k.staged(ctx, goal.Model, index)
	return err == nil && c.Matches(index, chunk)
}

func (k *Keeper) putChunk(ctx context.Context, model string, index int, chunk []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Engine.WriteStaged(ctx, k.Address, model, index, chunk)
}

// check reads back what lies beside the engine, just before an order.
func (k *Keeper) check(ctx context.Context, goal Goal, c *swarm.Copy) bool {
	started := clock.Now()
	mended, err := k.stage(ctx, goal, c)
	if mended > 0 || err != nil {
		reason := fmt.Sprintf("%d chunks had turned bad", mended)
		k.OnStep(Step{Name: StepCheck, Version: goal.Version, Reason: reason, Err: err, Took: clock.Since(started)})
	}
	return err == nil
}
