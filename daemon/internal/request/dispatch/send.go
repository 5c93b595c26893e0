package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

// This file sends a request to an upstream and waits for the head of the response. If the
// head is late, the request is hedged: it goes to a second upstream, and the first send
// continues until the second has responded, since a slow upstream may still respond and the
// second one may refuse.

const (
	// headTimeout is how long a response head may take before the request is hedged, and
	// unresponsiveTimeout the same if the upstream's host has stopped reporting.
	headTimeout         = 1500 * time.Millisecond
	unresponsiveTimeout = 300 * time.Millisecond
	// checkInterval is the interval of checks on pending sends, and searchInterval that of
	// searches for a place where there was none.
	checkInterval  = 100 * time.Millisecond
	searchInterval = 200 * time.Millisecond
	// maxUpstreams bounds the upstreams that a request is tried at. It includes those that
	// cannot be connected to, which do not count as sends but take time.
	maxUpstreams = 4
)

// pendingSend is a send that is in progress.
type pendingSend struct {
	choice balance.Choice
	// versions is what decided on which versions the request might run when the send started.
	versions VersionState
	started  time.Time
	cancel   context.CancelCauseFunc
	result   chan exchange.Result
	// settled is set once, by the response head or by the cancellation of the send. Without
	// it, a head that arrives during the cancellation would be read under a canceled context.
	settled atomic.Bool
}

// startSend sends the request to an upstream.
func (q *request) startSend(ctx context.Context, choice balance.Choice, lastEvent string) *pendingSend {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &pendingSend{choice: choice, started: clock.Now(), cancel: cancel, result: make(chan exchange.Result, 1)}
	s.versions = q.versionState(q.upstreamQuery().MinVersion)
	expected := 0
	if s.versions.MinVersion > 0 {
		expected = choice.Version // an engine with another version refuses
	}
	send := exchange.Attempt{
		Incoming: q.Request, Body: q.body, Upstream: choice.Upstream, Account: q.accountName(),
		Timeout: clock.Until(q.deadline), Priority: q.priority, Version: expected, LastEventID: lastEvent,
		NewConn: !q.repeatable(),
	}
	q.tried = append(q.tried, choice.Upstream.ID)
	q.sent++
	go func() {
		result := q.Client.Do(ctx, send)
		if q.OnAnnouncement != nil {
			q.OnAnnouncement(AnnouncementReport{Request: q.trace.ID, Upstream: choice.Upstream, Sent: s.started, Announcement: result.Announcement})
		}
		if !s.settled.CompareAndSwap(false, true) && result.Kind == exchange.Answered {
			_ = result.Response.Body.Close()
			result = exchange.Result{Kind: exchange.Unknown, Err: context.Cause(ctx)}
		}
		s.result <- result
	}()
	return s
}

// cancelUnsettled cancels a send whose response head has not arrived.
func (s *pendingSend) cancelUnsettled(cause error) {
	if s.settled.CompareAndSwap(false, true) {
		s.cancel(cause)
	}
}

// endSend records the result of a send and, unless it has a response, reports it to the load
// balancing.
func (q *request) endSend(s *pendingSend, result exchange.Result) {
	q.recordSend(s, result)
	switch {
	case errors.Is(result.Err, errSuperseded) || errors.Is(result.Err, errQuarantined) || errors.Is(result.Err, errStopping):
		s.choice.Done(balance.Canceled)
	case result.Kind != exchange.Answered:
		s.choice.Done(q.balanceOutcome(result.Kind))
	}
}

func (q *request) recordSend(s *pendingSend, result exchange.Result) {
	if result.Kind == exchange.Unsent {
		q.sent--
	}
	q.recordAttempt(s, result)
}

// supersede cancels a send after another upstream has responded, and reports the given outcome
// for the send's upstream.
func (q *request) supersede(s *pendingSend, outcome balance.Outcome) {
	if s == nil {
		return
	}
	s.cancelUnsettled(errSuperseded)
	result := <-s.result
	if result.Kind == exchange.Answered {
		_ = result.Response.Body.Close()
		result = exchange.Result{Kind: exchange.Unknown, Err: errSuperseded}
	}
	q.recordSend(s, result)
	s.choice.Done(outcome)
}

// awaitHead waits for the response head of a send. If it is late, the request is hedged, and
// the first response wins. Without a response, all sends are canceled once searchCtx is
// done. The response body is read under ctx.
func (q *request) awaitHead(ctx, searchCtx context.Context, first *pendingSend, lastEvent string) (balance.Choice, exchange.Result) {
	var second *pendingSend
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	nextSearch, searchDone, stopping := time.Time{}, searchCtx.Done(), q.Drain.Expired().Done()
	for {
		select {
		case <-searchDone:
			cancelAll(errSuperseded, first, second)
			searchDone = nil
		case <-stopping:
			cancelAll(errStopping, first, second)
			stopping = nil
		case result := <-first.result:
			if result.Kind != exchange.Answered && second != nil {
				q.endSend(first, result)
				first, second = second, nil
				continue
			}
			q.supersede(second, balance.Canceled)
			q.endSend(first, result)
			return first.choice, result
		case result := <-resultOf(second):
			if result.Kind != exchange.Answered {
				q.endSend(second, result)
				second = nil
				continue
			}
			q.supersede(first, balance.Failed)
			q.endSend(second, result)
			return second.choice, result
		case now := <-ticker.C:
			q.cancelOutdated(first, second)
			q.cancelQuarantined(first, second)
			q.cancelExpired(first, second)
			if second == nil && q.slow(first) && now.After(nextSearch) {
				second = q.startHedge(ctx, searchCtx, lastEvent)
				nextSearch = now.Add(searchInterval)
			}
		}
	}
}

// resultOf returns the channel of a send's result, nil if there is no send.
func resultOf(s *pendingSend) <-chan exchange.Result {
	if s == nil {
		return nil
	}
	return s.result
}

// cancelAll cancels sends whose response heads have not arrived.
func cancelAll(cause error, sends ...*pendingSend) {
	for _, s := range sends {
		if s != nil {
			s.cancelUnsettled(cause)
		}
	}
}

// cancelOutdated cancels sends without a response head whose upstream's version is
// below the minimum version.
func (q *request) cancelOutdated(sends ...*pendingSend) {
	for _, s := range sends {
		if s != nil && q.outdated(s.choice) {
			s.cancelUnsettled(errOutdated)
		}
	}
}

// cancelExpired cancels sends without a response head once the request's time is over.
func (q *request) cancelExpired(sends ...*pendingSend) {
	if q.expired() {
		cancelAll(context.DeadlineExceeded, sends...)
	}
}

func (q *request) slow(s *pendingSend) bool {
	waited := clock.Since(s.started)
	return waited > headTimeout || waited > unresponsiveTimeout && q.Pool.Unresponsive(s.choice.Upstream.ID)
}

// mayHedge reports whether a request with a pending send may go to another upstream too.
func (q *request) mayHedge() bool {
	return q.repeatable() && q.endsInDrain() && q.sent < q.route.MaxAttempts && len(q.tried) < maxUpstreams && q.verdict() == quarantine.Unrestricted
}

// startHedge sends the request to another upstream, if one has a place before searchCtx is
// done and the budget allows it. Otherwise it returns nil.
func (q *request) startHedge(ctx, searchCtx context.Context, lastEvent string) *pendingSend {
	if !q.mayHedge() || q.RetryBudget.Remaining(q.service.Name) < 1 {
		return nil
	}
	choice, err := q.choosePlace(searchCtx)
	if err != nil {
		return nil
	}
	if !q.RetryBudget.Allow(q.service.Name) {
		choice.Done(balance.Canceled)
		return nil
	}
	return q.startSend(ctx, choice, lastEvent)
}

// attempt chooses an upstream and sends the request there. If no upstream can respond in
// time, it sends nothing and returns why. A stream resumes after lastEvent.
func (q *request) attempt(ctx context.Context, lastEvent string) (balance.Choice, exchange.Result, error) {
	choice, err := q.choosePlace(ctx)
	if err != nil {
		return choice, exchange.Result{}, err
	}
	choice, result := q.awaitHead(ctx, ctx, q.startSend(ctx, choice, lastEvent), lastEvent)
	return choice, result, nil
}

// isSuccess reports whether a stream may resume with this response.
func isSuccess(result exchange.Result) bool {
	return result.Kind == exchange.Answered && result.Response.StatusCode/100 == http.StatusOK/100
}
