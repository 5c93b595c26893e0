package reconcile

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file writes chunks to the engine's staging area and reads them back.

const (
	// maxVerificationAge is the age from which a verification no longer allows an order, because chunks may
	// become corrupt after they were read back. It is longer than a drain.
	maxVerificationAge = maxDrain + 500*time.Millisecond
	// lateEffectTime is how long after the engine answers again a call to it that failed before may still take
	// effect.
	lateEffectTime = 500 * time.Millisecond
)

// staging is what is known about the engine's staging area, which holds one copy of the model.
type staging struct {
	// written is the version whose chunks were all written, 0 from the first write of another version until
	// its last one succeeded.
	written      int
	verification verification
}

// verification is a complete reading of the staged chunks that found those of one version. Each write of a
// chunk of another version invalidates it, and so does an order.
type verification struct {
	version int
	// started is when the first chunk was read.
	started time.Time
}

// unanswered is the last write or order that failed. The engine may still carry it out, for example
// after the host was frozen.
type unanswered struct {
	// version is the version of the call, 0 for none.
	version int
	// until is when the call can no longer take effect, zero until the engine has sent a report.
	until time.Time
}

// reportReceived notes that the engine has answered a later call.
func (u *unanswered) reportReceived(now time.Time) {
	if u.version != 0 && u.until.IsZero() {
		u.until = now.Add(lateEffectTime)
	}
}

// mayOverwrite reports whether the call may still replace chunks of a version by those of another one, or load
// them as another one.
func (u *unanswered) mayOverwrite(version int, now time.Time) bool {
	return u.version != 0 && u.version != version && (u.until.IsZero() || now.Before(u.until))
}

// reuseStaged adds to a copy the chunks of its version that are in the engine's staging area
// already, from before a restart of this loader or of the engine. It retries until the
// engine answers.
func (r *Reconciler) reuseStaged(ctx context.Context, plan Plan, c *swarm.Copy) {
	for ctx.Err() == nil && r.tryReuseStaged(ctx, plan, c) != nil {
		helpers.Pause(roundInterval, ctx.Done())
	}
}

func (r *Reconciler) tryReuseStaged(ctx context.Context, plan Plan, c *swarm.Copy) error {
	const maxMisses = 3 // an empty staging area has no chunk at all, so a few misses suffice
	for index, misses := 0, 0; index < len(c.Manifest.Digests) && misses < maxMisses; index++ {
		chunk, err := r.readChunk(ctx, plan.Goal.Model, index)
		switch {
		case err == nil && c.Put(index, chunk) == nil:
		case err == nil || errors.Is(err, provider.ErrNotFound):
			misses++
		default:
			return fmt.Errorf("read staged chunk: %w", err)
		}
	}
	return nil
}

func (r *Reconciler) readChunk(ctx context.Context, model string, index int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Engine.ReadStaged(ctx, r.EngineAddress, model, index)
}

// stage writes a version to the engine's staging area ahead of its load time. It is verified
// only right before the order, because staged chunks may become corrupt in between.
func (r *Reconciler) stage(ctx context.Context, goal Goal, c *swarm.Copy) {
	started := clock.Now()
	r.staging = staging{}
	var err error
	for index := 0; index < len(c.Manifest.Digests) && err == nil; index++ {
		err = r.writeChunk(ctx, goal, index, c.Chunk(index))
	}
	if err == nil {
		r.staging.written = goal.Version
	}
	r.OnStep(Step{Name: StepStage, Version: goal.Version, Err: err, Took: clock.Since(started)})
}

// repairStaged reads back every staged chunk, writes those that do not match again, and
// returns how many these were.
func (r *Reconciler) repairStaged(ctx context.Context, goal Goal, c *swarm.Copy) (repaired int, err error) {
	for index := range c.Manifest.Digests {
		if r.stagedMatches(ctx, goal, c, index) {
			continue
		}
		repaired++
		if err := r.writeChunk(ctx, goal, index, c.Chunk(index)); err != nil {
			return repaired, fmt.Errorf("stage chunk %d: %w", index, err)
		}
		if !r.stagedMatches(ctx, goal, c, index) {
			return repaired, fmt.Errorf("stage chunk %d: it does not read back as written", index)
		}
	}
	return repaired, nil
}

func (r *Reconciler) stagedMatches(ctx context.Context, goal Goal, c *swarm.Copy, index int) bool {
	chunk, err := r.readChunk(ctx, goal.Model, index)
	return err == nil && c.Matches(index, chunk)
}

func (r *Reconciler) writeChunk(ctx context.Context, goal Goal, index int, chunk []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.Engine.WriteStaged(ctx, r.EngineAddress, goal.Model, index, chunk)
	if err != nil {
		r.unanswered = unanswered{version: goal.Version}
	}
	return err
}

// ensureVerified reports whether all staged chunks are those of a version by a recent verification. If there is
// none it verifies them.
func (r *Reconciler) ensureVerified(ctx context.Context, goal Goal, c *swarm.Copy) bool {
	return r.verified(goal) || r.verify(ctx, goal, c) && r.verified(goal)
}

func (r *Reconciler) verified(goal Goal) bool {
	v := r.staging.verification
	return v.version == goal.Version && r.now().Sub(v.started) < maxVerificationAge
}

// verify verifies and repairs the staged version, and reports whether it is complete.
func (r *Reconciler) verify(ctx context.Context, goal Goal, c *swarm.Copy) bool {
	started := r.now()
	r.staging.verification = verification{}
	repaired, err := r.repairStaged(ctx, goal, c)
	if repaired > 0 || err != nil {
		reason := fmt.Sprintf("%d corrupt or missing chunks", repaired)
		r.OnStep(Step{Name: StepVerify, Version: goal.Version, Reason: reason, Err: err, Took: r.now().Sub(started)})
	}
	if err == nil {
		r.staging.verification = verification{version: goal.Version, started: started}
	}
	return err == nil
}
