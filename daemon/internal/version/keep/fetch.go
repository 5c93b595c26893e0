package keep

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file has the goal's version fetched; manifest.go finds its manifest.

// keepFetching has the goal's version under way, and no other.
func (k *Keeper) keepFetching(ctx context.Context, plan Plan) {
	if k.fetching == plan.Goal.Version || k.nearlyThere() {
		return
	}
	k.stopFetch()
	k.fetching, k.fetchSince = plan.Goal.Version, clock.Now()
	fetchCtx, cancel := context.WithCancel(ctx)
	k.cancel = cancel
	k.fetched = make(chan struct{})
	go func(done chan<- struct{}) {
		defer close(done)
		k.fetch(fetchCtx, plan)
	}(k.fetched)
}

// nearlyThere reports whether the version under way is so far that it is worth
// its end although a newer one was declared: engines have to reach it earlier.
func (k *Keeper) nearlyThere() bool {
	const worthIt = 0.6
	c := k.Held.Get(k.fetching)
	if c == nil || c.Complete() {
		return false
	}
	count, _ := c.Count()
	return float64(count) >= worthIt*float64(len(c.Manifest.Digests)) && clock.Since(k.fetchSince) < fetchMost
}

func (k *Keeper) stopFetch() {
	if k.cancel != nil {
		k.cancel()
		<-k.fetched
		k.cancel = nil
	}
}

// fetch brings a version to this host, over as many tries as it takes.
func (k *Keeper) fetch(ctx context.Context, plan Plan) {
	started := clock.Now()
	for ctx.Err() == nil {
		err := k.tryFetch(ctx, plan)
		if ctx.Err() != nil {
			return
		}
		k.OnStep(Step{Name: StepFetch, Version: plan.Goal.Version, Err: err, Took: clock.Since(started)})
		if err == nil || errors.Is(err, provider.ErrSuperseded) {
			return
		}
		if errors.Is(err, swarm.ErrManifest) {
			k.Held.Drop(plan.Goal.Version)
		}
		helpers.Pause(rand.N(retryPause), ctx.Done())
		if newer, ok := k.Plan(0); ok && newer.Goal.Version == plan.Goal.Version {
			plan = newer
		}
	}
}

func (k *Keeper) tryFetch(ctx context.Context, plan Plan) error {
	c := k.Held.Get(plan.Goal.Version)
	if c == nil {
		manifest, err := k.manifest(ctx, plan)
		if err != nil {
			return err
		}
		c = swarm.NewCopy(manifest)
		k.Held.Add(c)
	}
	if c.Complete() {
		return nil
	}
	fetch := k.NewFetch(plan, c)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var looking sync.WaitGroup
	defer looking.Wait()
	looked := make(chan struct{})
	looking.Go(func() {
		k.takeStaged(ctx, plan, c)
		close(looked)
	})
	fetch.AfterOthers = looked
	defer cancel()
	return fetch.Run(ctx)
}

// manifest finds the manifest of the goal's version.
func (k *Keeper) manifest(ctx context.Context, plan Plan) (provider.Manifest, error) {
	started := clock.Now()
	goal := plan.Goal
	inquiry := &Inquiry{
		Own: k.Own, Ranked: k.Ranked(goal),
		AskPeer: func(ctx context.Context, peer netip.AddrPort) (provider.Manifest, error) {
			return k.AskPeer(ctx, peer, goal.Version)
		},
		AskOrigin: func(ctx context.Context) (provider.Manifest, error) {
			return k.Origin.Manifest(ctx, plan.Origin, goal.Model, goal.Version)
		},
		Check: func(manifest provider.Manifest) error { return checkManifest(manifest, plan) },
	}
	found, err := inquiry.Find(ctx)
	if err != nil {
		return provider.Manifest{}, fmt.Errorf("manifest of version %d: %w", goal.Version, err)
	}
	k.OnStep(Step{
		Name: StepManifest, Version: goal.Version, Took: clock.Since(started),
		Reason: fmt.Sprintf("from %s after %d questions to other hosts", found.From, found.Asked),
	})
	return found.Manifest, nil
}
