package dispatch

import (
	"context"
	"errors"
	"fmt"
)

// Breaker says who ended a send that has no whole answer. Without it a line cannot tell
// an upstream that ends its connection from one that this router gave up.
type Breaker string

// The breakers.
const (
	BrokenByUpstream Breaker = "upstream"
	BrokenBySilence  Breaker = "silence"  // this router waited no longer for a head or an event
	BrokenByVersion  Breaker = "version"  // the upstream's version must not begin it any more
	BrokenByDeadline Breaker = "deadline" // the caller's or the route's
	BrokenByCaller   Breaker = "caller"   // it left
)

// Errors of sends that this router ended itself.
var (
	errOvertaken = errors.New("no head of an answer in time, and another upstream answered")
	errOutdated  = errors.New("it had not begun, and its version is not to be used any more")
	errStalled   = errors.New("no event came in time")
)

// breakerOf tells from the error of a send who ended it.
func (q *request) breakerOf(err error) Breaker {
	switch {
	case q.Context().Err() != nil:
		return BrokenByCaller
	case errors.Is(err, errOvertaken) || errors.Is(err, errStalled):
		return BrokenBySilence
	case errors.Is(err, errOutdated):
		return BrokenByVersion
	case errors.Is(err, context.DeadlineExceeded):
		return BrokenByDeadline
	default:
		return BrokenByUpstream
	}
}

// broken notes on a try why it has no whole answer, who ended it, and whether the
// upstream was known to take a version then.
func (q *request) broken(try *Try, err error) {
	try.Cause, try.BrokenBy, try.Loading = err.Error(), q.breakerOf(err), q.Pool.Loading(try.Upstream)
}

// ended reports the request's story, also where its handler panics: the connection then
// ends without an answer, and nothing else would say so.
func (q *request) ended() {
	failure := recover()
	if failure != nil && q.story.Outcome == "" {
		q.end(EndPanicked, 0, fmt.Sprint(failure))
	}
	q.Report(q.story)
	if failure != nil {
		panic(failure)
	}
}
