package dispatch

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
)

// This file handles the requests of a stopping process. What would be cut at its end does not begin: other
// processes can serve it.

// durationMargin is the factor by which requests may take longer than expected.
const durationMargin = 2

// expectedDuration returns how long a send of the request is likely to take. A stream that has begun needs less
// than a new one.
func (q *request) expectedDuration() time.Duration {
	remaining := max(0, clock.Until(q.deadline))
	if q.service.Engine == nil {
		if q.route.Objective <= 0 {
			return remaining
		}
		return min(remaining, durationMargin*q.route.Objective)
	}
	expected := durationMargin * (q.readTime() + q.expectedHoldTime())
	if !q.trace.FirstByte.IsZero() {
		expected -= clock.Since(q.trace.FirstByte)
	}
	return min(remaining, max(expected, q.readTime()))
}

// endsInDrain reports whether a further send of the request is expected to end before a stopping process does.
func (q *request) endsInDrain() bool { return q.Drain.Fits(q.expectedDuration()) }

// refuseStopping refuses a request because this process is stopping. Its caller may return at once, on a new
// connection, which leads to another process.
func (q *request) refuseStopping(cause string) {
	q.writer.Header().Set("Connection", "close")
	q.refuseFor(RetryRuleStopping, 0, "this router is stopping: "+cause)
}
