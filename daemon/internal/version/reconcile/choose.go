package reconcile

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/rollout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file collects the inputs of package rollout and applies its decisions.

// maxOlderFetches is the number of older versions that are fetched or suspended at once, as many as a
// host keeps beside the newest one.
const maxOlderFetches = 2

// forVersion returns the plan with a declared version as its goal, or the given one if the version is no
// longer declared.
func (p Plan) forVersion(version int, otherwise Plan) Plan {
	for _, goal := range p.goals() {
		if goal.Version == version {
			p.Goal, p.Earlier = goal, nil
			return p
		}
	}
	return otherwise
}

// minVersion returns the lowest version that engines may serve at a time. An engine that has
// loaded none is below it.
func (p Plan) minVersion(now time.Time) int {
	lowest := 1
	for _, goal := range p.goals() {
		if !goal.Due.IsZero() && !now.Before(goal.Due) {
			lowest = max(lowest, goal.Version)
		}
	}
	return lowest
}

// fetchable returns the declared versions that this host should fetch, newest first: the newest one,
// and older ones that are not complete and newer than each version that the engine serves or could load.
func (r *Reconciler) fetchable(plan Plan, loaded int) []Goal {
	goals := []Goal{plan.Goal}
	if c := r.Copies.Get(plan.Goal.Version); c != nil && c.Complete() {
		return goals
	}
	for _, goal := range plan.Earlier {
		c := r.Copies.Get(goal.Version)
		if goal.Version <= loaded || c != nil && c.Complete() || len(goals) > maxOlderFetches {
			break
		}
		goals = append(goals, goal)
	}
	return goals
}

// ensureFetches starts the fetches of the versions that this host should have, cancels those of all others,
// and applies the decision which of them use which sources.
func (r *Reconciler) ensureFetches(ctx context.Context, plan Plan, loaded int) {
	goals := r.fetchable(plan, loaded)
	for version, f := range r.fetches {
		wanted := slices.ContainsFunc(goals, func(goal Goal) bool { return goal.Version == version })
		becameOlder := f.newest.Load() && version != plan.Goal.Version
		if becameOlder {
			f.newest.Store(false)
		}
		if !wanted || becameOlder && f.swarm.Load() == nil { // a lookup goes on without the origin
			f.stop()
			delete(r.fetches, version)
		}
	}
	if r.fetches == nil {
		r.fetches = map[int]*versionFetch{}
	}
	for i, goal := range goals {
		if r.fetches[goal.Version] == nil {
			r.fetches[goal.Version] = r.startFetch(ctx, plan.forVersion(goal.Version, plan), i == 0)
		}
	}
	r.applyChoices(goals, plan)
}

// applyChoices decides which of the versions use which sources, and logs each change while there are several.
func (r *Reconciler) applyChoices(goals []Goal, plan Plan) {
	if len(goals) == 1 && r.chosen == "" {
		r.fetches[plan.Goal.Version].setSources(rollout.All)
		return
	}
	versions := make([]rollout.Version, len(goals))
	for i, goal := range goals {
		versions[i] = r.describe(goal, plan)
	}
	choices := r.decide(versions, plan.rates(), r.now())
	var chosen, reasons []string
	for i, choice := range choices {
		f := r.fetches[goals[i].Version]
		f.setSources(choice.Sources)
		f.preferred = choice.Preferred
		part := fmt.Sprintf("version %d %s", f.version, choice.Sources)
		chosen, reasons = append(chosen, part), append(reasons, part+": "+choice.Reason)
	}
	if all := strings.Join(chosen, "; "); all != r.chosen {
		r.chosen = all
		r.OnStep(Step{Name: StepChoose, Version: plan.Goal.Version, Reason: strings.Join(reasons, "; ")})
	}
	if len(goals) == 1 {
		r.chosen = ""
	}
}

// describe returns the state of a version's fetch.
func (r *Reconciler) describe(goal Goal, plan Plan) rollout.Version {
	f := r.fetches[goal.Version]
	v := rollout.Version{
		Number: goal.Version, Due: goal.Due, Chunks: plan.Chunks, Missing: plan.Chunks,
		Fetched: clock.Since(f.started), Preferred: f.preferred, OriginGone: f.originGone.Load(),
	}
	if running := f.swarm.Load(); running != nil {
		p := running.Progress()
		v.HasManifest = true
		v.Missing, v.Offered, v.Quiet, v.OriginFails = p.Missing, p.Offered, p.Quiet, p.OriginFails
	}
	return v
}

func (p Plan) rates() rollout.Rates {
	return rollout.Rates{OriginChunk: p.CopyTime / time.Duration(max(p.Chunks, 1)), LinkChunk: p.ChunkTime}
}

// updateForecast decides whether the engine closes ahead of a load, and estimates which version it serves
// next and when.
func (r *Reconciler) updateForecast(plan Plan, report provider.EngineReport) {
	loaded, now := loadedVersion(report), r.now()
	loads := r.loads(plan, loaded)
	closing := rollout.Closing{}
	if loaded > 0 {
		closing = r.closing(loads, now)
	}
	if closing.StaysOpenFor > r.staysOpenFor { // logged once for a version, since the estimate varies
		r.staysOpenFor = closing.StaysOpenFor
		r.OnStep(Step{Name: StepClose, Version: closing.StaysOpenFor, Reason: closing.Reason})
	}
	r.closesAt = closing.At
	r.expected, _ = rollout.Next(r.updateEngineState(report, loaded), loads, now)
	if report.Leaving {
		r.expected = rollout.Expected{}
	}
}

// loads returns the declared versions that the engine has not loaded.
func (r *Reconciler) loads(plan Plan, loaded int) []rollout.Load {
	var loads []rollout.Load
	for _, goal := range plan.goals() {
		if goal.Version <= loaded {
			continue
		}
		load := rollout.Load{Version: goal.Version, At: goal.LoadAt}
		if c := r.Copies.Get(goal.Version); c != nil {
			count, _ := c.Count()
			load.HasCopy, load.Missing = true, len(c.Manifest.Digests)-count
			load.PerSecond = c.PerSecond(rollout.RateWindow, clock.Now())
		}
		loads = append(loads, load)
	}
	return loads
}

// updateEngineState measures how long a load takes, and returns the state of the engine and of its order. A process
// that did not run meanwhile cannot tell when the load ended.
func (r *Reconciler) updateEngineState(report provider.EngineReport, loaded int) rollout.Engine {
	if r.orderedVersion > 0 && loaded >= r.orderedVersion && !report.Loading {
		if r.stopped() == r.stoppedAtOrder {
			r.loadTook = r.now().Sub(r.orderedAt)
		}
		r.orderedVersion = 0
	}
	e := rollout.Engine{Loaded: loaded, LoadTime: r.loadTook, DrainTime: minDrain}
	if e.LoadTime <= 0 {
		e.LoadTime = defaultLoadTime
	}
	if r.orderedVersion > 0 && (report.Loading || r.now().Sub(r.orderedAt) < orderRetryInterval) {
		e.Ordered, e.OrderedAt = r.orderedVersion, r.orderedAt
	}
	return e
}
