package reconcile

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/rollout"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file fetches the declared versions; choose.go decides which one from where, and manifest.go looks up a
// manifest.

// maxFailureSteps is the maximum number of steps per second for failed queries to the origin, which are frequent
// during an outage.
const maxFailureSteps = 1

// versionFetch is the fetch of one version. It runs until the version is complete or no longer
// needed, and is suspended while its sources are rollout.None.
type versionFetch struct {
	version int
	// newest is set while this is the newest declared version. Only the lookup of its manifest
	// queries the origin.
	newest  atomic.Bool
	started time.Time
	cancel  context.CancelFunc
	done    chan struct{}
	// sources holds the rollout.Sources in force.
	sources atomic.Uint32
	// originGone is set once the origin has answered that it no longer sends the version.
	originGone atomic.Bool
	// swarm is the running fetch of chunks, nil before the manifest is known.
	swarm atomic.Pointer[swarm.Fetch]
	// preferred is the last decision's. Only the reconciliation loop uses it.
	preferred bool
	// rejected is the last manifest that the origin's chunks did not match, nil if there was none.
	rejected *provider.Manifest
}

func (f *versionFetch) allowedSources() rollout.Sources {
	sources := rollout.Sources(f.sources.Load()) //nolint:gosec // only stored by setSources
	if f.originGone.Load() {
		return sources &^ rollout.Origin
	}
	return sources
}

func (f *versionFetch) setSources(sources rollout.Sources) { f.sources.Store(uint32(sources)) }

// stop cancels the fetch and waits for its end.
func (f *versionFetch) stop() {
	f.cancel()
	<-f.done
}

// startFetch starts the fetch of the plan's goal.
func (r *Reconciler) startFetch(ctx context.Context, plan Plan, newest bool) *versionFetch {
	f := &versionFetch{version: plan.Goal.Version, started: clock.Now(), done: make(chan struct{})}
	fetchCtx, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	f.newest.Store(newest)
	if newest {
		f.setSources(rollout.All)
	}
	go func() {
		defer close(f.done)
		r.fetch(fetchCtx, f, plan)
	}()
	return f
}

func (r *Reconciler) stopFetches() {
	for _, f := range r.fetches {
		f.stop()
	}
	r.fetches = nil
}

// fetch fetches a version, with retries until it succeeds, is superseded, or the context
// ends.
func (r *Reconciler) fetch(ctx context.Context, f *versionFetch, plan Plan) {
	started := clock.Now()
	for ctx.Err() == nil {
		err := r.tryFetch(ctx, f, plan)
		if ctx.Err() != nil {
			return
		}
		r.OnStep(Step{Name: StepFetch, Version: f.version, Err: err, Took: clock.Since(started)})
		if err == nil || errors.Is(err, provider.ErrSuperseded) && f.originGone.Swap(true) {
			return
		}
		if errors.Is(err, swarm.ErrManifest) {
			if c := r.Copies.Get(f.version); c != nil {
				rejected := c.CurrentManifest()
				f.rejected = &rejected
			}
			r.Copies.Drop(f.version)
		}
		helpers.Pause(rand.N(maxRetryDelay), ctx.Done())
		if current, ok := r.Plan(0); ok {
			plan = current.forVersion(f.version, plan)
		}
	}
}

func (r *Reconciler) tryFetch(ctx context.Context, f *versionFetch, plan Plan) error {
	c := r.Copies.Get(f.version)
	if c == nil {
		manifest, err := r.manifest(ctx, f, plan)
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
	fetch.Sources, fetch.Idle = f.allowedSources, r.idle.Load
	fetch.OnCorrected = func(index int, from string) {
		r.OnStep(Step{
			Name: StepCorrect, Version: f.version, Took: clock.Since(f.started),
			Reason: fmt.Sprintf("digest of chunk %d corrected from %s", index, from),
		})
	}
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
	f.swarm.Store(fetch)
	defer cancel()
	return fetch.Run(ctx)
}

// manifest looks up the manifest of the plan's goal.
func (r *Reconciler) manifest(ctx context.Context, f *versionFetch, plan Plan) (provider.Manifest, error) {
	started := clock.Now()
	goal := plan.Goal
	failures := rate.NewLimiter(maxFailureSteps, maxFailureSteps)
	lookup := &ManifestLookup{
		Self: r.Self, Ranking: func() []netip.AddrPort { return r.RankLoaders(goal) },
		QueryPeer: func(ctx context.Context, peer netip.AddrPort) (provider.Manifest, error) {
			return r.PeerManifest(ctx, peer, goal.Version)
		},
		Check:    func(manifest provider.Manifest) error { return checkManifest(manifest, plan) },
		Rejected: f.rejected,
		OnOriginFailure: func(err error) {
			if failures.Allow() {
				r.OnStep(Step{Name: StepManifest, Version: goal.Version, Err: err, Took: clock.Since(started)})
			}
		},
	}
	if f.newest.Load() {
		lookup.QueryOrigin = func(ctx context.Context) (provider.Manifest, error) {
			return r.Origin.Manifest(ctx, plan.OriginAddress, goal.Model, goal.Version)
		}
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
