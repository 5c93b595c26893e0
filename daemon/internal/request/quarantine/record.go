package quarantine

import (
	"slices"
	"time"
)

// observedCrash is a crash with the time at which this router received it.
type observedCrash struct {
	Crash
	at time.Time
}

// record holds the crashes of one content or part.
type record struct {
	// part is set if the record is known to be that of a part.
	part bool
	// crashes are distinct and ordered from oldest to newest.
	crashes []observedCrash
	// lastAt is when the newest crash was received first by any router, as far as reports tell.
	lastAt time.Time
	// duration is the length of the quarantine after lastAt, 0 before the first one. expired
	// is set when it is over; one more crash then renews it.
	duration time.Duration
	expired  bool
	// trialAt is the time of the last trial at any router, zero before the first. earlyTrials is the
	// number of trials during the present quarantine.
	trialAt     time.Time
	earlyTrials int
	// explained is set while each crash is also one of another quarantined record with more crashes.
	explained bool
	// cleared holds the crashes dropped by the last clearing, at clearedAt.
	cleared   []observedCrash
	clearedAt time.Time
}

// depth returns the depth of the deepest crash. It is capped below quarantineDepth once the
// quarantine has expired, so that a trial is possible.
func (r *record) depth() int {
	if r.expired {
		return min(r.deepest(), singleAttemptDepth)
	}
	return r.deepest()
}

// deepest returns the depth of the deepest crash, also if the quarantine has expired.
func (r *record) deepest() int {
	deepest := 0
	for _, crash := range r.crashes {
		deepest = max(deepest, crash.Depth)
	}
	return deepest
}

// has reports whether a crash is recorded.
func (r *record) has(crash Crash) bool {
	return slices.ContainsFunc(r.crashes, func(c observedCrash) bool { return c.equal(crash) })
}

// hasAll reports whether all crashes of another record are recorded.
func (r *record) hasAll(other *record) bool {
	return !slices.ContainsFunc(other.crashes, func(c observedCrash) bool { return !r.has(c.Crash) })
}

// merge merges one crash and reports whether the record changed. A greater depth of a crash
// already recorded is a change, since the reporting router had received more crashes. A full record
// accepts only crashes deeper than all that it holds.
func (r *record) merge(crash Crash, now time.Time) bool {
	i := slices.IndexFunc(r.crashes, func(c observedCrash) bool { return c.equal(crash) })
	switch {
	case r.predatesClearing(crash, now):
		return false
	case i >= 0 && r.crashes[i].Depth >= crash.Depth:
		return false
	case i >= 0:
		r.crashes[i].Depth = crash.Depth
	case len(r.crashes) >= maxCrashes && crash.Depth <= r.depth():
		return false
	default:
		r.crashes = append(r.crashes, observedCrash{crash, now})
	}
	if r.expired && crash.Depth >= quarantineDepth {
		r.expired, r.earlyTrials = false, 0
	}
	return true
}

// predatesClearing reports whether a crash occurred before the last clearing.
func (r *record) predatesClearing(crash Crash, now time.Time) bool {
	if r.clearedAt.IsZero() || now.Sub(r.clearedAt) > clearedTTL {
		return false
	}
	dropped := slices.ContainsFunc(r.cleared, func(c observedCrash) bool { return c.equal(crash) })
	return dropped || crash.Depth > r.depth()+1
}

// adoptDuration lets a quarantine last as long as at the reporting router. Otherwise it would have its initial length
// again at each router that starts.
func (r *record) adoptDuration(report Report) {
	if r.duration > 0 && report.Duration > 0 {
		r.duration = min(max(r.duration, report.Duration), maxQuarantine)
	}
}

// ageOf returns the time since the newest crash of a report. Crashes that are received late, for example by a router
// that starts, count no longer than elsewhere.
func (r *record) ageOf(report Report) time.Duration {
	age := max(report.Age, 0)
	if r.duration > 0 {
		return min(age, r.duration)
	}
	return age
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expire ends the quarantine after its duration and drops crashes that no longer count.
func (r *record) expire(now time.Time) {
	age := now.Sub(r.lastAt)
	switch {
	case r.duration == 0 && age >= suspectTTL || age >= 2*maxQuarantine:
		*r = record{lastAt: r.lastAt, part: r.part}
	case r.duration > 0 && age >= r.duration:
		r.expired = true
	}
}
