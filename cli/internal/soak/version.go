package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

// This file plans faults of processes around the publication of versions, and checks that requests stop to run on
// versions that newer ones have replaced.

const (
	// versionBound is how long requests may start on an older version.
	versionBound = 8 * time.Second
	// The second of two versions follows the first after minVersionGap to maxVersionGap. Processes are stopped or killed
	// up to maxVersionGap after a version, or frozen from up to maxFreezeLead before it until up to maxStepDuration after.
	minVersionGap, maxVersionGap = time.Second, 4 * time.Second
	maxFreezeLead                = 2 * time.Second
	// The store and the links have no faults from quietBefore a version that faults of processes surround until
	// quietAfter it: the time of the version would begin anew, and rarely end within a plan.
	quietBefore = maxStepDuration + contactTime + time.Second
	quietAfter  = versionBound + maxVersionGap
)

// addVersionSteps adds to every second plan a version, or two in close succession, with faults of a share of the
// processes around it.
func (p *Plan) addVersionSteps(random *rand.Rand) {
	latest := time.Duration(p.Length) - versionBound
	if latest <= maxFreezeLead || random.IntN(2) == 0 {
		return
	}
	at := between(random, maxFreezeLead, latest)
	p.Steps = slices.DeleteFunc(p.Steps, func(s Step) bool {
		return s.Kind.disturbsVersions() && time.Duration(s.At) > at-quietBefore && time.Duration(s.At) < at+quietAfter
	})
	p.Steps = append(p.Steps, Step{At: rounded(at), Kind: Version})
	if random.IntN(2) == 0 {
		p.Steps = append(p.Steps, Step{At: rounded(at + between(random, minVersionGap, maxVersionGap)), Kind: Version})
	}
	for range 1 + random.IntN(2) {
		p.Steps = append(p.Steps, drawShareFault(random, at))
	}
	p.sortSteps()
}

// drawShareFault draws a fault of a share of the processes around the time of a version.
func drawShareFault(random *rand.Rand, at time.Duration) Step {
	step := Step{Target: random.IntN(maxTarget), Strength: drawStrength(random)}
	switch step.Kind = [...]Kind{ProcessesFreeze, ProcessesKill, ProcessesStop}[random.IntN(3)]; step.Kind {
	case ProcessesFreeze:
		lead := between(random, 0, maxFreezeLead)
		step.At, step.For = rounded(at-lead), rounded(lead+between(random, minStepDuration, maxStepDuration))
	default:
		step.At = rounded(at + between(random, 0, maxVersionGap))
	}
	return step
}

// disturbsVersions reports whether the time of a version begins anew after a fault of the kind.
func (k Kind) disturbsVersions() bool { return k.affects("store") || k.affects("link") }

// RecordVersion records that a version was published as the target.
func (o *Oracle) RecordVersion(version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.published, version, time.Now())
	o.newestVersion = version
}

// checkVersion checks the version that a request started on. Each newer version has its own time, which begins anew after
// each fault of the store or a link. Faults of upstreams, loaders and the origin don't extend it: a router that finds no
// engine with the newer version must refuse. The bound applies to requests of routers in touch. It must be called with mu
// held.
func (o *Oracle) checkVersion(run standin.Run) {
	if run.Version == 0 || run.Version >= o.newestVersion || !o.inTouch(o.routerOf[run.ID], run.At) {
		return
	}
	for newer := run.Version + 1; newer <= o.newestVersion; newer++ {
		since, stable := o.stableSince(o.published[newer])
		if bound := versionBound + o.slack(since); stable && run.At.Sub(since) > bound {
			o.violatef(CheckVersion, run.ID, "%s started a request from %s on version %d, %s after version %d was published and %s after the store and the links were stable, %s are allowed",
				run.Upstream, o.routerOf[run.ID], run.Version, run.At.Sub(o.published[newer]).Round(time.Millisecond), newer,
				run.At.Sub(since).Round(time.Millisecond), bound.Round(time.Millisecond))
			return
		}
	}
}

// stableSince returns since when the store and all links have been stable, from at the earliest. They are stable
// contactTime after the last fault of any of them. It reports false if a fault is active. It must be called with mu held.
func (o *Oracle) stableSince(from time.Time) (since time.Time, stable bool) {
	since = from
	for _, s := range o.spans {
		if !s.kind.disturbsVersions() {
			continue
		}
		if s.to.IsZero() {
			return time.Time{}, false
		}
		if stableAgain := s.to.Add(contactTime); stableAgain.After(since) {
			since = stableAgain
		}
	}
	return since, true
}
