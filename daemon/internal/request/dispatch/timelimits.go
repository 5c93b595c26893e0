package dispatch

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
)

// slowRetention is how long after a pace above 1 was reported a service counts as one with slow
// engines. It spans times in which this process queries none of them.
const slowRetention = 10 * time.Second

// RecordPace records the pace that an engine of a service reported.
func (t *LoadTracker) RecordPace(service string, pace float64) {
	if enginetime.NormalPace(pace) == 1 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(service).slowAt = t.now()
}

// Slow reports whether an engine of a service recently reported a pace above 1.
func (t *LoadTracker) Slow(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	slowAt := t.service(service).slowAt
	return !slowAt.IsZero() && t.now().Sub(slowAt) <= slowRetention
}

// timeLimits returns the times within which the request must be served. There are none for services
// without slow engines whose routes all have the same priority: their loaders decide by the
// number of requests alone.
//
// A request whose objective has passed, like most retries of callers, must get its first byte within
// the whole objective from now on, and a deadline that has passed counts as one millisecond: a time
// of 0 means unknown, with which a slow engine would accept any queue.
func (q *request) timeLimits() enginetime.Limits {
	name := q.service.Name
	if !q.view.PrioritiesDiffer(name) && !q.LoadTracker.Slow(name) {
		return enginetime.Limits{}
	}
	now := clock.Now()
	limits := enginetime.Limits{First: q.route.Objective, Gap: q.view.EventGap(name), Left: max(time.Millisecond, q.deadline.Sub(now))}
	if remaining := q.trace.Started.Add(q.route.Objective).Sub(now); remaining > 0 {
		limits.First = remaining
	}
	return limits
}
