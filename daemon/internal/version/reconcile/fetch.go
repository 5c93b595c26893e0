package reconcile

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

// This file fetches the newest declared version; manifest.go looks up its manifest.

// ensureFetch starts the fetch of the newest declared version and cancels that of any other,
// unless that one is nearly complete.
func (r *Reconciler) ensureFetch(ctx context.Context, plan Plan) {
	if r.fetchVersion == plan.Goal.Version || r.nearlyComplete() {
		return
	}
	r.stopFetch()
	r.fetchVersion, r.fetchStarted = plan.Goal.Version, clock.Now()
	fetchCtx, cancel := context.WithCancel(ctx)
	r.cancelFetch = cancel
	r.fetchDone = make(chan struct{})
	go func(done chan<- struct{}) {
		defer close(done)
		r.fetch(fetchCtx, plan)
	}(r.fetchDone)
}

// nearlyComplete reports whether the running fetch should end although a newer version was
// declared: engines have to reach its version earlier than the newer one.
func (r *Reconciler) nearlyComplete() bool {
	const minShare = 0.6
	c := r.Copies.Get(r.fetchVersion)
	if c == nil || c.Complete() {
		return false
	}
	count, _ := c.Count()
	return float64(count) >= minShare*float64(len(c.Manifest.Digests)) && clock.Since(r.fetchStarted) < maxSupersededFetch
}

func (r *Reconciler) stopFetch() {
	if r.cancelFetch != nil {
		r.cancelFetch()
		<-r.fetchDone
		r.cancelFetch = nil
	}
}

// fetch fetches a version, with retries until it succeeds, is superseded, or the context
// ends.
func (r *Reconciler) fetch(ctx context.Context, plan Plan) {
	started := clock.Now()
	for ctx.Err() == nil {
		err := r.tryFetch(ctx, plan)
		if ctx.Err() != nil {
			return
		}
		r.OnStep(Step{Name: StepFetch, Version: plan.Goal.Version, Err: err, Took: clock.Since(started)})
		if err == nil || errors.Is(err, provider.ErrSuperseded) {
			return
		}
		if errors.Is(err, swarm.ErrManifest) {
			r.Copies.Drop(plan.Goal.Version)
		}
		helpers.Pause(rand.N(maxRetryDelay), ctx.Done())
		if newer, ok := r.Plan(0); ok && newer.Goal.Version == plan.Goal.Version {
			plan = newer
		}
	}
}

func (r *Reconciler) tryFetch(ctx context.Context, plan Plan) error {
	c := r.Copies.Get(plan.Goal.Version)
	if c == nil {
		manifest, err := r.manifest(ctx, plan)
		if err != nil {
			return err
		}
		c = swarm.NewCopy(manifest)
		r.Copies.Add(c)
	}
	if c.Complete() {
		return nil
	}
	fetch := r.NewFetch(plan, c)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var scan sync.WaitGroup
	defer scan.Wait()
	scanned := make(chan struct{})
	scan.Go(func() {
		r.reuseStaged(ctx, plan, c)
		close(scanned)
	})
	fetch.LocalScanDone = scanned
	defer cancel()
	return fetch.Run(ctx)
}

// manifest looks up the manifest of the newest declared version.
func (r *Reconciler) manifest(ctx context.Context, plan Plan) (provider.Manifest, error) {
	started := clock.Now()
	goal := plan.Goal
	lookup := &ManifestLookup{
		Self: r.Self, Ranking: r.RankLoaders(goal),
		QueryPeer: func(ctx context.Context, peer netip.AddrPort) (provider.Manifest, error) {
			return r.PeerManifest(ctx, peer, goal.Version)
		},
		QueryOrigin: func(ctx context.Context) (provider.Manifest, error) {
			return r.Origin.Manifest(ctx, plan.OriginAddress, goal.Model, goal.Version)
		},
		Check: func(manifest provider.Manifest) error { return checkManifest(manifest, plan) },
	}
	found, err := lookup.Find(ctx)
	if err != nil {
		return provider.Manifest{}, fmt.Errorf("manifest of version %d: %w", goal.Version, err)
	}
	r.OnStep(Step{
		Name: StepManifest, Version: goal.Version, Took: clock.Since(started),
		Reason: fmt.Sprintf("from %s after %d queries to peers", found.From, found.PeerQueries),
	})
	return found.Manifest, nil
}
