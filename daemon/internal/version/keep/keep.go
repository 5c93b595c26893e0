// Package keep keeps an engine at the declared version of its model: it has the
// version fetched, lays it beside the engine, checks it there, and orders the
// engine to take it when its turn has come.
//
// Nothing it does depends on having seen an order's answer. Each round begins
// with the engine's own report, so a lost answer, a restarted engine and a
// restarted loader all lead to the same question: what does it hold, and what
// is declared?
package keep

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// roundEvery is the interval of rounds.
	roundEvery = 50 * time.Millisecond
	// BusyEvery is the one while the engine is busy: routers then need its report the
	// fresher, and each report costs processor time on this host and on theirs.
	BusyEvery = 20 * time.Millisecond
	// busyShare is the part of an engine's places from which it is busy.
	busyShare = 0.6
	// callTimeout bounds a call to the engine on this host.
	callTimeout = time.Second
	// retryPause bounds the pause after a failed fetch, drawn at random.
	retryPause = 400 * time.Millisecond
	// clearLeast is the time in which routers hear that nothing more is to be
	// sent, and clearMost the longest that an order waits for what waits.
	clearLeast = 200 * time.Millisecond
	clearMost  = 2 * time.Second
	// CloseAhead is how long before its turn an engine takes only requests that are
	// likely to be done by then, about as long as most streams run. An order cuts nothing,
	// and what runs at it keeps the engine from all else until the longest has ended: 2.0 s
	// from the order to the new version without this, 1.1 s with it (means of 358 orders on
	// quiet days of three small fleets).
	CloseAhead = 1600 * time.Millisecond
	// fetchMost is the longest that a fetch is not given up for a newer version.
	fetchMost = 6 * time.Second
	// orderAgain is the time after an order in which its effect must show in
	// the engine's report before it is given again.
	orderAgain = 500 * time.Millisecond
)

// Goal is what the engine should hold.
type Goal struct {
	Model   string
	Version int
	// Fence goes with the order, so that an older order is refused.
	Fence provider.Revision
	// Turn is when an engine that serves an older version may be ordered.
	Turn time.Time
}

// Plan is what a loader knows of its part of the fleet.
type Plan struct {
	// Goal is the newest declared version, the one to fetch, and Earlier the
	// ones declared before it, newest first.
	Goal    Goal
	Earlier []Goal
	// Origin is where the weights come from.
	Origin netip.AddrPort
	// Places is how many requests the engine runs at once.
	Places int
	// Chunks and ChunkBytes are the declared sizes of a version.
	Chunks, ChunkBytes int
	// OriginTime is how long the origin takes to send one copy.
	OriginTime time.Duration
}

// goals are all declared versions, newest first.
func (p Plan) goals() []Goal { return append([]Goal{p.Goal}, p.Earlier...) }

// Keeper keeps one engine. The exported fields must be set.
type Keeper struct {
	Engine  provider.Engine
	Origin  provider.Origin
	Address netip.AddrPort // of the engine
	Held    *swarm.Held
	// Plan returns what is to be done for an engine that holds some version, 0
	// for none, or false while that is not known.
	Plan func(held int) (Plan, bool)
	// Own is this loader, and Ranked all loaders of the service in the order in which
	// it falls to them to ask the origin for a version's manifest.
	Own    netip.AddrPort
	Ranked func(Goal) []netip.AddrPort
	// NewFetch prepares a fetch of a copy; the keeper runs it.
	NewFetch func(plan Plan, c *swarm.Copy) *swarm.Fetch
	// AskPeer asks one peer for a manifest.
	AskPeer func(ctx context.Context, peer netip.AddrPort, version int) (provider.Manifest, error)
	// Now is the clock by which orders are given; nil means clock.Now.
	Now func() time.Time
	// OnReport is called with each report of the engine.
	OnReport func(report provider.EngineReport, err error)
	// OnStep is called for each decision and its outcome.
	OnStep func(step Step)

	// fetching is the version under way, with what ends it; only run uses them.
	fetching   int
	fetchSince time.Time
	cancel     context.CancelFunc
	fetched    chan struct{}
	// prepared is the version that was laid beside the engine.
	prepared int
	ordered  time.Time
	// clearing is when routers were told to send nothing more, zero if not.
	clearing time.Time
	// started is when the engine that was last asked had started.
	started time.Time
	// closes is the turn that the engine's next version has soon, zero if it has none.
	closes time.Time
	tomb   tomb.Tomb
}

// The names of steps.
const (
	StepManifest = "manifest"
	StepFetch    = "fetch"
	StepStage    = "stage"
	StepCheck    = "check"
	StepOrder    = "order"
)

// Step is one decision about weights.
type Step struct {
	Name    string
	Version int
	// Reason says why, Err what went wrong.
	Reason string
	Err    error
	Took   time.Duration
	// Running is how many requests ran at an order.
	Running int
}

// Start begins to keep the engine; Stop ends it.
func (k *Keeper) Start() { k.tomb.Go(k.run) }

// Stop ends the keeper and waits for it.
func (k *Keeper) Stop() {
	k.tomb.Kill(nil)
	_ = k.tomb.Wait()
}

func (k *Keeper) run() error {
	ctx := k.tomb.Context(nil) //nolint:staticcheck // nil asks the tomb for its own context
	pause := roundEvery
	for helpers.Pause(pause, k.tomb.Dying()) {
		pause = roundEvery
		if k.round(ctx) {
			pause = BusyEvery
		}
	}
	k.stopFetch()
	return nil
}

// round looks at the engine, does what is due, and reports whether the engine is
// busy.
func (k *Keeper) round(ctx context.Context) (busy bool) {
	report, err := k.report(ctx)
	k.OnReport(report, err)
	plan, ok := k.Plan(holds(report))
	if !ok {
		return false
	}
	k.keepFetching(ctx, plan)
	if err != nil {
		return false
	}
	k.noteStart(report.Started)
	k.bringUp(ctx, plan, report)
	return isBusy(report, plan.Places)
}

// noteStart forgets what was begun with the engine's process before this one: it knows of
// no order, and an empty engine is not to wait for the effect of one.
func (k *Keeper) noteStart(started time.Time) {
	if started.Equal(k.started) {
		return
	}
	k.started = started
	k.ordered, k.clearing = time.Time{}, time.Time{}
}

// isBusy reports whether an engine's places are taken so far that routers need
// to know soon which are free.
func isBusy(report provider.EngineReport, places int) bool {
	return places > 0 && float64(report.Running+report.Waiting) >= busyShare*float64(places)
}

// bringUp brings the engine nearer to the version that it should hold.
func (k *Keeper) bringUp(ctx context.Context, plan Plan, report provider.EngineReport) {
	k.closes = closing(plan, holds(report), k.now())
	goal, c := k.next(plan, report)
	if c == nil || report.Loading {
		k.clearing = time.Time{}
		return
	}
	if k.prepared != goal.Version {
		k.prepare(ctx, goal, c)
	}
	held := holds(report)
	if k.now().Sub(k.ordered) < orderAgain {
		return
	}
	if held == 0 && k.check(ctx, goal, c) || held > 0 && k.cleared(ctx, goal, c, report) {
		k.order(ctx, goal, report)
	}
}

// cleared reports whether an engine that serves may be ordered: its turn has
// come, what lies beside it was checked, the routers were told to send nothing
// more, and what waited has begun. What waits at an order may begin on the old
// version much later, when the engine stands still meanwhile. What runs is not waited
// for: the engine takes nothing new until it has ended, and then loads.
func (k *Keeper) cleared(ctx context.Context, goal Goal, c *swarm.Copy, report provider.EngineReport) bool {
	now := k.now()
	if now.Before(goal.Turn) {
		k.clearing = time.Time{}
		return false
	}
	if k.clearing.IsZero() {
		if !k.check(ctx, goal, c) {
			return false
		}
		if report.Running+report.Waiting == 0 {
			return true // as when routers send nothing to old versions any more
		}
		k.clearing = now
		return false
	}
	waited := now.Sub(k.clearing)
	return waited > clearMost || waited > clearLeast && report.Waiting == 0
}

func (k *Keeper) now() time.Time { return helpers.Now(k.Now) }

// Clearing reports whether the engine is to get no new requests because an
// order is about to be given. Only OnReport may call it.
func (k *Keeper) Clearing() bool { return !k.clearing.IsZero() }

// Closes is when the engine is to be ordered, zero where that is not soon. Only OnReport
// may call it.
func (k *Keeper) Closes() time.Time { return k.closes }

// closing returns the turn that an engine has soon, zero if it has none. Whether its copy
// is whole by then does not matter: that shows too late for what runs.
func closing(plan Plan, held int, now time.Time) time.Time {
	var next time.Time
	for _, goal := range plan.goals() {
		soon := now.Before(goal.Turn) && !now.Before(goal.Turn.Add(-CloseAhead))
		if held > 0 && goal.Version > held && soon && (next.IsZero() || goal.Turn.Before(next)) {
			next = goal.Turn
		}
	}
	return next
}

// next chooses the version to order: the newest that is here whole and whose
// turn has come, else the one whose turn comes first. It returns no copy where
// there is nothing to order.
func (k *Keeper) next(plan Plan, report provider.EngineReport) (Goal, *swarm.Copy) {
	held := holds(report)
	var best Goal
	var copied *swarm.Copy
	for _, goal := range plan.goals() {
		c := k.Held.Get(goal.Version)
		if goal.Version <= held || c == nil || !c.Complete() {
			continue
		}
		if copied == nil || k.now().Before(best.Turn) {
			best, copied = goal, c
		}
		if held == 0 {
			break // an empty engine takes the newest
		}
	}
	return best, copied
}

func (k *Keeper) report(ctx context.Context) (provider.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Engine.Report(ctx, k.Address)
}

// holds is the version that an engine holds whole, or 0. An engine serves one
// model.
func holds(report provider.EngineReport) int {
	if len(report.Models) == 0 {
		return 0
	}
	return report.Models[0].Version
}

// order has the engine take what lies beside it.
func (k *Keeper) order(ctx context.Context, goal Goal, report provider.EngineReport) {
	started := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := k.Engine.Start(ctx, k.Address, provider.Order{
		Model: goal.Model, Version: goal.Version, FencingToken: goal.Fence, Sequence: report.Sequence,
	})
	k.ordered = k.now()
	k.clearing = time.Time{}
	reason := fmt.Sprintf("holds version %d, %d requests run, order %s", holds(report), report.Running, result)
	k.OnStep(Step{Name: StepOrder, Version: goal.Version, Reason: reason, Err: err, Took: clock.Since(started), Running: report.Running})
}
