package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Break is a send whose connection broke before the answer was whole. Its upstream may
// have ended, and the request may be the cause.
type Break struct {
	Request  string
	Content  content.Digest
	Upstream *provider.Upstream
	// After is the time since the request was sent there.
	After time.Duration
}

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
	BrokenByStop     Breaker = "stop"     // this router ends
	BrokenByHold     Breaker = "hold"     // its content was held back before it had begun
)

// Errors of sends that this router ended itself.
var (
	errOvertaken = errors.New("no head of an answer in time, and another upstream answered")
	errOutdated  = errors.New("it had not begun, and its version is not to be used any more")
	errStalled   = errors.New("no event came in time")
	errStopping  = errors.New("this router stops, and the upstream has not begun to answer")
	errHeld      = errors.New("too many upstreams ended under the same content")
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
	case errors.Is(err, errStopping):
		return BrokenByStop
	case errors.Is(err, errHeld):
		return BrokenByHold
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

// tellBroken tells of a send whose connection broke, unless this router ended it.
func (q *request) tellBroken(choice balance.Choice, try Try, err error) {
	if q.Broke == nil || try.BrokenBy != BrokenByUpstream || !connectionBroke(err) {
		return
	}
	q.Broke(Break{
		Request: q.story.ID, Content: q.story.Content, Upstream: choice.Upstream,
		After: clock.Since(q.story.Started) - try.At,
	})
}

// connectionBroke reports whether an error says that a connection ended early, and not that
// an answer was wrong.
func connectionBroke(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, exchange.ErrPartialEvent} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// ended reports the request's story, also where its handler panics: the connection then
// ends without an answer, and nothing else would say so.
func (q *request) ended() {
	failure := recover()
	if failure != nil && q.story.Outcome == "" {
		q.end(EndPanicked, 0, fmt.Sprint(failure))
	}
	q.Report(q.story)
	if q.reading != nil {
		q.reading.Release()
	}
	if failure != nil {
		panic(failure)
	}
}
