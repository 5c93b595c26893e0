package dispatch

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
)

// timeLimits returns the times within which the request must be served. There are none for services
// without slow engines whose routes all have the same priority: their loaders decide by the
// number of requests alone.
//
// A request whose objective has passed, like most retries of callers, must get its first byte within
// the whole objective from now on, and a deadline that has passed counts as one millisecond: a time
// of 0 means unknown, with which a slow engine would accept any queue.
func (q *request) timeLimits() enginetime.Limits {
	name := q.service.Name
	if !q.view.Divided(name) && !q.Pool.AnySlow(q.view.Upstreams[name]) {
		return enginetime.Limits{}
	}
	now := clock.Now()
	limits := enginetime.Limits{First: q.route.Objective, Gap: q.view.EventGap(name), Left: max(time.Millisecond, q.deadline.Sub(now))}
	if remaining := q.trace.Started.Add(q.route.Objective).Sub(now); remaining > 0 {
		limits.First = remaining
	}
	return limits
}
