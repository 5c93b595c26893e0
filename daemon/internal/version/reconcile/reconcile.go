// Package reconcile brings an engine to the declared version of its model. It fetches the
// version, writes it to the engine's staging area, verifies it there, and orders the
// engine to load it at its scheduled load time. The staging area is the engine's own;
// package stage is that of agents. Package loader runs one instance for the engine on its
// host.
//
// The package is a reconciliation loop: each round starts from the engine's own report
// and compares it with the declared versions. The response to an order does not tell what
// the engine holds, so a restarted engine and a restarted loader need no handling of their
// own. A lost response only delays calls for another version, because the engine may still
// carry out the order.
package reconcile

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/rollout"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// roundInterval is the interval between rounds.
	roundInterval = 50 * time.Millisecond
	// BusyInterval is the interval between rounds while the engine is busy. Routers need
	// fresher load reports then; an idle engine is polled less often because each report
	// costs processor time on this host and on the routers.
	BusyInterval = 20 * time.Millisecond
	// busyThreshold is the share of an engine's places in use from which it counts as busy.
	busyThreshold = 0.6
	// callTimeout bounds a call to the engine on this host.
	callTimeout = time.Second
	// maxRetryDelay bounds the random delay after a failed fetch.
	maxRetryDelay = 400 * time.Millisecond
	// minDrain is the time for routers to learn that the engine is draining, and maxDrain
	// the longest that an order waits for queued requests.
	minDrain = 200 * time.Millisecond
	maxDrain = 2 * time.Second
	// CloseLeadTime is how long before its scheduled load an engine accepts only requests that
	// are likely to end by then, about the duration of most streams. An order cuts no
	// request, and the engine serves nothing new until the longest running one has ended,
	// so a long request accepted shortly before the order leaves the other places idle.
	CloseLeadTime = 1600 * time.Millisecond
	// defaultLoadTime is the expected time from an order to the engine serving the version, until it was
	// measured: the load itself takes 300 ms, and running requests end before it.
	defaultLoadTime = 800 * time.Millisecond
	// orderRetryInterval is the time for an order to take effect in the engine's report
	// before it is sent again.
	orderRetryInterval = 500 * time.Millisecond
)

// Goal is a declared version that the engine should load.
type Goal struct {
	Model   string
	Version int
	// FencingToken is the token of the order: an engine rejects an order whose token is lower
	// than the highest one that it has seen.
	FencingToken provider.Revision
	// LoadAt is the earliest time to order an engine that serves an older version.
	LoadAt time.Time
	// Due is when engines must serve this version or a newer one, zero if not known.
	Due time.Time
}

// Plan is the desired state of one engine, with what is needed to reach it.
type Plan struct {
	// Goal is the newest declared version, the one to fetch, and Earlier the
	// ones declared before it, newest first.
	Goal    Goal
	Earlier []Goal
	// OriginAddress is the address of the origin of the weights.
	OriginAddress netip.AddrPort
	// Places is the number of requests that the engine runs at once.
	Places int
	// Chunks and ChunkBytes are the declared sizes of a version.
	Chunks, ChunkBytes int
	// CopyTime is how long the origin takes to send one copy.
	CopyTime time.Duration
	// ChunkTime is how long a chunk takes over this host's link, 0 if not known.
	ChunkTime time.Duration
}

// goals returns all declared versions, newest first.
func (p Plan) goals() []Goal { return append([]Goal{p.Goal}, p.Earlier...) }

// Reconciler reconciles one engine with its plan. The exported fields must be set, except Now.
type Reconciler struct {
	Engine        provider.Engine
	Origin        provider.Origin
	EngineAddress netip.AddrPort
	Copies        *swarm.Copies
	// Plan returns the plan for an engine that serves the given version, 0 for none. It
	// reports false while the configuration or the declared versions are not known.
	Plan func(loaded int) (Plan, bool)
	// Self is the address of this loader, and RankLoaders returns all loaders of the service in
	// the order in which they query the origin for a version's manifest.
	Self        netip.AddrPort
	RankLoaders func(Goal) []netip.AddrPort
	// NewFetch prepares the fetch of a copy without running it.
	NewFetch func(plan Plan, c *swarm.Copy) *swarm.Fetch
	// PeerManifest requests a manifest from one peer.
	PeerManifest func(ctx context.Context, peer netip.AddrPort, version int) (provider.Manifest, error)
	// Now is the clock that orders are scheduled by; nil means clock.Now.
	Now func() time.Time
	// Stopped returns for how long this process has not run; nil means clock.Stopped.
	Stopped func() time.Duration
	// OnReport is called with each report of the engine.
	OnReport func(report provider.EngineReport, err error)
	// OnStep is called with the outcome of each step.
	OnStep func(step Step)

	// fetches holds the fetch of each version that this host should have. Only run uses the fields
	// from here on.
	fetches map[int]*versionFetch
	// decideVersions replaces rollout.Decide in tests of the rule before it, and closeAhead rollout.Close.
	decideVersions func([]rollout.Version, rollout.Rates, time.Time) []rollout.Choice
	closeAhead     func([]rollout.Load, time.Duration, time.Time) rollout.Closing
	// idle is set while the version that the engine has loaded is below the lowest that may be served.
	// Fetches read it too.
	idle atomic.Bool
	// chosen describes the last choice between versions, empty while there is one only.
	chosen string
	// lastLoaded is the version in the engine's last report.
	lastLoaded int
	staging    staging
	unanswered unanswered
	orderedAt  time.Time
	// orderedVersion is the version of the last order until the engine has loaded it, otherwise 0, and
	// stoppedAtOrder for how long this process had not run when it was sent. loadTook is the time from an order
	// to the load when that was measured last.
	orderedVersion int
	stoppedAtOrder time.Duration
	loadTook       time.Duration
	// drainStarted is when routers were notified to send no more requests, zero while the
	// engine is not draining. It is a time of runningNow.
	drainStarted time.Time
	// stoppedAtReport is for how long this process had not run when the engine was asked for its last report.
	stoppedAtReport time.Duration
	// engineStarted is the start time in the engine's last report.
	engineStarted time.Time
	// closesAt is the scheduled load time if the engine closes ahead of it, otherwise zero. staysOpenFor is the
	// newest version for which it did not close because its copy was not expected in time, 0 for none.
	closesAt     time.Time
	staysOpenFor int
	// expected is the version that the engine is expected to serve next, zero if there is no estimate.
	expected rollout.Expected
	tomb     tomb.Tomb
}

// The names of steps.
const (
	StepManifest = "manifest"
	StepFetch    = "fetch"
	StepCorrect  = "correct"
	StepStage    = "stage"
	StepVerify   = "check"
	StepOrder    = "order"
	StepChoose   = "choose"
	StepClose    = "close"
)

// Step is the outcome of one step towards a version.
type Step struct {
	Name    string
	Version int
	// Reason explains the step, and Err is set if it failed.
	Reason string
	Err    error
	Took   time.Duration
	// Running is the number of requests that ran when an order was sent, Planned the scheduled load time
	// and Due the end of the version's apply time.
	Running      int
	Planned, Due time.Time
}

// Start runs the reconciliation loop until Stop.
func (r *Reconciler) Start() { r.tomb.Go(r.run) }

// Stop ends the loop and waits for it.
func (r *Reconciler) Stop() {
	r.tomb.Kill(nil)
	_ = r.tomb.Wait()
}

func (r *Reconciler) run() error {
	ctx := r.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	pause := roundInterval
	for helpers.Pause(pause, r.tomb.Dying()) {
		pause = roundInterval
		if r.round(ctx) {
			pause = BusyInterval
		}
	}
	r.stopFetches()
	return nil
}

// round reads the engine's report, takes the steps that are due, and reports whether the
// engine is busy.
func (r *Reconciler) round(ctx context.Context) (busy bool) {
	r.stoppedAtReport = r.stopped()
	report, err := r.report(ctx)
	r.OnReport(report, err)
	plan, ok := r.Plan(loadedVersion(report))
	if !ok {
		return false
	}
	if err == nil {
		r.lastLoaded = loadedVersion(report)
	}
	r.idle.Store(plan.minVersion(r.now()) > r.lastLoaded)
	r.ensureFetches(ctx, plan, r.lastLoaded)
	if err != nil {
		return false
	}
	r.resetOnRestart(report.Started)
	r.unanswered.reportReceived(r.now())
	r.advance(ctx, plan, report)
	return isBusy(report, plan.Places)
}

// resetOnRestart clears the state of orders to an earlier engine process: the new process
// has received none of them, and an empty engine must not wait for one to take effect.
func (r *Reconciler) resetOnRestart(started time.Time) {
	if started.Equal(r.engineStarted) {
		return
	}
	r.engineStarted = started
	r.orderedAt, r.drainStarted, r.orderedVersion = time.Time{}, time.Time{}, 0
	r.staging.verification, r.unanswered = verification{}, unanswered{}
}

// isBusy reports whether so many of an engine's places are in use that routers need
// frequent load reports.
func isBusy(report provider.EngineReport, places int) bool {
	return places > 0 && float64(report.Running+report.Waiting) >= busyThreshold*float64(places)
}

// advance takes the next step towards the version that the engine should load.
func (r *Reconciler) advance(ctx context.Context, plan Plan, report provider.EngineReport) {
	r.updateForecast(plan, report)
	goal, c := r.next(plan, report)
	if c == nil || report.Loading || report.Leaving {
		r.drainStarted = time.Time{}
		return
	}
	if r.unanswered.mayOverwrite(goal.Version, r.now()) {
		return
	}
	if r.staging.written != goal.Version {
		r.stage(ctx, goal, c)
	}
	if r.now().Sub(r.orderedAt) < orderRetryInterval {
		return
	}
	if (loadedVersion(report) == 0 || r.drained(ctx, goal, c, report)) && r.ensureVerified(ctx, goal, c) && r.ranSinceReport() {
		r.order(ctx, goal, report)
	}
}

// ranSinceReport reports whether this process has run since it asked the engine for its last report. Otherwise the
// report may be old, and requests may wait at the engine by now.
func (r *Reconciler) ranSinceReport() bool { return r.stopped() == r.stoppedAtReport }

// drained reports whether a serving engine has been drained for a load: its load time has come,
// routers were notified to send no more requests, and the engine's queue is empty. A request
// that is queued at the order may start on the old version much later if the engine stalls in
// between. Running requests are not waited for: the engine accepts nothing new, lets them end,
// and then loads. The drain begins only once the staged chunks are verified, since no request
// may start at the engine meanwhile. It may end for a newer version than it began for, so it
// says nothing about the chunks that are staged then. It lasts only while this process runs: routers that are
// told nothing send requests again.
func (r *Reconciler) drained(ctx context.Context, goal Goal, c *swarm.Copy, report provider.EngineReport) bool {
	if r.now().Before(goal.LoadAt) {
		r.drainStarted = time.Time{}
		return false
	}
	if r.drainStarted.IsZero() {
		if !r.ensureVerified(ctx, goal, c) {
			return false
		}
		if report.Running+report.Waiting == 0 {
			return true // for example once routers send nothing to old versions
		}
		r.drainStarted = r.runningNow()
		return false
	}
	waited := r.runningNow().Sub(r.drainStarted)
	return waited > maxDrain || waited > minDrain && report.Waiting == 0
}

func (r *Reconciler) now() time.Time { return helpers.Now(r.Now) }

// runningNow returns a time that stands still while this process does not run.
func (r *Reconciler) runningNow() time.Time { return r.now().Add(-r.stopped()) }

// stopped returns for how long this process has not run.
func (r *Reconciler) stopped() time.Duration { return helpers.Stopped(r.Stopped) }

// Draining reports whether the engine is draining: it accepts no new requests because an
// order is imminent. Only OnReport may call it.
func (r *Reconciler) Draining() bool { return !r.drainStarted.IsZero() }

// ClosesAt returns the scheduled load time if the engine closes ahead of it, otherwise zero. Only
// OnReport may call it.
func (r *Reconciler) ClosesAt() time.Time { return r.closesAt }

// Expected returns the version that the engine is expected to serve next, zero if there is no estimate. Only
// OnReport may call it.
func (r *Reconciler) Expected() rollout.Expected { return r.expected }

func (r *Reconciler) decide(versions []rollout.Version, rates rollout.Rates, now time.Time) []rollout.Choice {
	if r.decideVersions != nil {
		return r.decideVersions(versions, rates, now)
	}
	return rollout.Decide(versions, rates, now)
}

func (r *Reconciler) closing(loads []rollout.Load, now time.Time) rollout.Closing {
	if r.closeAhead != nil {
		return r.closeAhead(loads, CloseLeadTime, now)
	}
	return rollout.Close(loads, CloseLeadTime, now)
}

// next returns the version to load and its copy: the newest complete one whose load time
// has come, otherwise the one that is scheduled first. The copy is nil if there is
// nothing to load.
func (r *Reconciler) next(plan Plan, report provider.EngineReport) (Goal, *swarm.Copy) {
	loaded := loadedVersion(report)
	var best Goal
	var bestCopy *swarm.Copy
	for _, goal := range plan.goals() {
		c := r.Copies.Get(goal.Version)
		if goal.Version <= loaded || c == nil || !c.Complete() {
			continue
		}
		if bestCopy == nil || r.now().Before(best.LoadAt) {
			best, bestCopy = goal, c
		}
		if loaded == 0 {
			break // an empty engine loads the newest version at once
		}
	}
	return best, bestCopy
}

func (r *Reconciler) report(ctx context.Context) (provider.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Engine.Report(ctx, r.EngineAddress)
}

// loadedVersion returns the version that an engine has loaded, or 0. An engine serves one
// model.
func loadedVersion(report provider.EngineReport) int {
	if len(report.Models) == 0 {
		return 0
	}
	return report.Models[0].Version
}

// order sends the engine the order to load the staged version.
func (r *Reconciler) order(ctx context.Context, goal Goal, report provider.EngineReport) {
	started := r.now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := r.Engine.Start(ctx, r.EngineAddress, provider.Order{
		Model: goal.Model, Version: goal.Version, FencingToken: goal.FencingToken, Sequence: report.Sequence,
	})
	if result == provider.OrderUnknown {
		r.unanswered = unanswered{version: goal.Version}
	}
	reason := fmt.Sprintf("version %d loaded, %d requests running, chunks verified %s ago, order %s",
		loadedVersion(report), report.Running, started.Sub(r.staging.verification.started).Round(time.Millisecond), result)
	r.staging.verification = verification{} // the next order needs its own
	r.orderedAt, r.orderedVersion, r.stoppedAtOrder = r.now(), goal.Version, r.stopped()
	r.drainStarted = time.Time{}
	r.OnStep(Step{Name: StepOrder, Version: goal.Version, Reason: reason, Err: err, Took: r.now().Sub(started), Running: report.Running, Planned: goal.LoadAt, Due: goal.Due})
}
