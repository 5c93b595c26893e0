package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Disconnect is a send whose connection broke before the response was complete. Its upstream
// may have crashed, and the request may be the cause.
type Disconnect struct {
	Request  string
	Content  content.Digest
	Parts    []content.Digest
	Upstream *provider.Upstream
	// After is the time from the send to the break.
	After time.Duration
	// State is the state of the upstream if it was probed when the connection broke.
	State livenessprobe.State
}

// InterruptReason is why a send has no complete response. It distinguishes a connection that
// the upstream closed from a send that this router canceled.
type InterruptReason string

// Interrupt reasons.
const (
	InterruptUpstream   InterruptReason = "upstream"
	InterruptTimeout    InterruptReason = "silence"  // no response head or event arrived in time
	InterruptVersion    InterruptReason = "version"  // the upstream's version is below the minimum version
	InterruptDeadline   InterruptReason = "deadline" // the caller's or the route's
	InterruptCaller     InterruptReason = "caller"   // the caller disconnected
	InterruptShutdown   InterruptReason = "stop"     // this router is stopping
	InterruptQuarantine InterruptReason = "hold"     // the content was quarantined before the response began
)

// Causes of sends that this router canceled.
var (
	errSuperseded  = errors.New("no response head yet, and another upstream responded or the time to resume was over")
	errOutdated    = errors.New("no response head yet, and the upstream's version is outdated")
	errStalled     = fmt.Errorf("no event within %s, and another upstream responded", stallTimeout)
	errStopping    = errors.New("no response head yet, and this router is stopping")
	errQuarantined = errors.New("the content or a part of the prompt is quarantined: too many upstreams crashed while they ran it")
)

// interruptReason returns why a send was interrupted, from its error.
func (q *request) interruptReason(err error) InterruptReason {
	switch {
	case q.Context().Err() != nil:
		return InterruptCaller
	case errors.Is(err, errSuperseded) || errors.Is(err, errStalled):
		return InterruptTimeout
	case errors.Is(err, errOutdated):
		return InterruptVersion
	case errors.Is(err, errStopping):
		return InterruptShutdown
	case errors.Is(err, errQuarantined):
		return InterruptQuarantine
	case errors.Is(err, context.DeadlineExceeded):
		return InterruptDeadline
	default:
		return InterruptUpstream
	}
}

// recordInterrupt records on an attempt why it has no complete response, and whether the
// upstream was loading a version then.
func (q *request) recordInterrupt(attempt *Attempt, err error) {
	attempt.Cause, attempt.Interrupt, attempt.Loading = err.Error(), q.interruptReason(err), q.Pool.Loading(attempt.Upstream)
}

// reportDisconnect reports a send whose connection broke, unless this router canceled it.
func (q *request) reportDisconnect(choice balance.Choice, attempt Attempt, err error) {
	if q.OnDisconnect == nil || attempt.Interrupt != InterruptUpstream || !isDisconnect(err) {
		return
	}
	q.OnDisconnect(Disconnect{
		Request: q.trace.ID, Content: q.trace.Content, Parts: q.trace.Parts, Upstream: choice.Upstream,
		After: clock.Since(q.trace.Started) - attempt.Offset, State: attempt.AfterClose,
	})
}

// isDisconnect reports whether an error means that a connection closed early, not that a response
// was invalid.
func isDisconnect(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, exchange.ErrPartialEvent, livenessprobe.ErrClosedByCrash} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// finish reports the request's trace, also if the handler panics: the connection is then
// closed without a response, and nothing else would record it.
func (q *request) finish() {
	failure := recover()
	if failure != nil && q.trace.Outcome == "" {
		q.setOutcome(OutcomePanicked, 0, fmt.Sprint(failure))
	}
	q.Report(q.trace)
	q.abandonTrial()
	if q.bodyReader != nil {
		q.bodyReader.Release()
	}
	q.BufferBudget.Release(q.reserved)
	if failure != nil {
		panic(failure)
	}
}
