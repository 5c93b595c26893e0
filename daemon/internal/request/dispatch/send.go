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

// This file sends a request to an upstream and waits for the head of its answer. Where that
// is late, a second upstream is asked, and the first is kept until the second has begun:
// one that is only slow answers in the end, and a second may refuse.

const (
	// headPatience is how long the head of an answer may take before the request is sent
	// elsewhere too, and silentPatience the same where the upstream's host has fallen
	// silent.
	headPatience   = 1500 * time.Millisecond
	silentPatience = 300 * time.Millisecond
	// patienceStep is the interval in which that is looked at, and seekAgain the one in
	// which a place is looked for again where there was none.
	patienceStep = 100 * time.Millisecond
	seekAgain    = 200 * time.Millisecond
	// maxTried bounds the upstreams that a request is meant for: connections that fail are
	// no sends, but take time.
	maxTried = 4
)

// sending is one send under way.
type sending struct {
	choice  balance.Choice
	started time.Time
	cancel  context.CancelCauseFunc
	result  chan exchange.Result
	// settled is taken once, by the head of the answer or by what ends the send before: a
	// head that arrives as it is ended must not be read under a context that is over.
	settled atomic.Bool
}

// begin sends the request to an upstream.
func (q *request) begin(ctx context.Context, choice balance.Choice, lastEvent string) *sending {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &sending{choice: choice, started: clock.Now(), cancel: cancel, result: make(chan exchange.Result, 1)}
	expected := 0
	if q.query().Version > 0 {
		expected = choice.Version // an engine that is not what it seems refuses
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
		if q.Heard != nil {
			q.Heard(Heard{Request: q.story.ID, Upstream: choice.Upstream, Sent: s.started, Said: result.Limit})
		}
		if !s.settled.CompareAndSwap(false, true) && result.Kind == exchange.Answered {
			_ = result.Response.Body.Close()
			result = exchange.Result{Kind: exchange.Unknown, Err: context.Cause(ctx)}
		}
		s.result <- result
	}()
	return s
}

// end ends a send whose head has not come.
func (s *sending) end(cause error) {
	if s.settled.CompareAndSwap(false, true) {
		s.cancel(cause)
	}
}

// settle notes what became of a send.
func (q *request) settle(s *sending, result exchange.Result) {
	q.note(s, result)
	switch {
	case errors.Is(result.Err, errOvertaken) || errors.Is(result.Err, errHeld) || errors.Is(result.Err, errStopping):
		s.choice.Done(balance.Abandoned)
	case result.Kind != exchange.Answered:
		s.choice.Done(q.outcomeOf(result.Kind))
	}
}

func (q *request) note(s *sending, result exchange.Result) {
	if result.Kind == exchange.Unsent {
		q.sent--
	}
	q.noteTry(s.choice, result, s.started)
}

// overtaken ends a send whose request another upstream has answered first, and says what
// that tells of its own.
func (q *request) overtaken(s *sending, outcome balance.Outcome) {
	if s == nil {
		return
	}
	s.end(errOvertaken)
	result := <-s.result
	if result.Kind == exchange.Answered {
		_ = result.Response.Body.Close()
		result = exchange.Result{Kind: exchange.Unknown, Err: errOvertaken}
	}
	q.note(s, result)
	s.choice.Done(outcome)
}

// await waits for the head of the answer to a send. Where it is late it sends the request
// elsewhere too, and returns whichever answers first. All sends end with the time of
// seeking, if none has answered by then; the answer's body is read under ctx.
func (q *request) await(ctx, seeking context.Context, first *sending, lastEvent string) (balance.Choice, exchange.Result) {
	var second *sending
	look := time.NewTicker(patienceStep)
	defer look.Stop()
	seekAt, over, stopping := time.Time{}, seeking.Done(), q.Over
	for {
		select {
		case <-over:
			endAll(errOvertaken, first, second)
			over = nil
		case <-stopping:
			endAll(errStopping, first, second)
			stopping = nil
		case result := <-first.result:
			if result.Kind != exchange.Answered && second != nil {
				q.settle(first, result)
				first, second = second, nil
				continue
			}
			q.overtaken(second, balance.Abandoned)
			q.settle(first, result)
			return first.choice, result
		case result := <-resultOf(second):
			if result.Kind != exchange.Answered {
				q.settle(second, result)
				second = nil
				continue
			}
			q.overtaken(first, balance.Failed)
			q.settle(second, result)
			return second.choice, result
		case now := <-look.C:
			q.endOutdated(first, second)
			q.endHeld(first, second)
			q.endOverdue(first, second)
			if second == nil && q.slow(first) && now.After(seekAt) {
				second = q.beginSecond(ctx, seeking, lastEvent)
				seekAt = now.Add(seekAgain)
			}
		}
	}
}

// resultOf is where a send's result comes, never where there is no send.
func resultOf(s *sending) <-chan exchange.Result {
	if s == nil {
		return nil
	}
	return s.result
}

// endAll ends sends whose heads have not come.
func endAll(cause error, sends ...*sending) {
	for _, s := range sends {
		if s != nil {
			s.end(cause)
		}
	}
}

// endOutdated ends sends that have not begun and must not begin any more on the version
// that their upstream held.
func (q *request) endOutdated(sends ...*sending) {
	for _, s := range sends {
		if s != nil && s.choice.Version > 0 && s.choice.Version < q.query().Version {
			s.end(errOutdated)
		}
	}
}

// endOverdue ends sends that have not begun once the request's time is over.
func (q *request) endOverdue(sends ...*sending) {
	if q.overdue() {
		endAll(context.DeadlineExceeded, sends...)
	}
}

func (q *request) slow(s *sending) bool {
	waited := clock.Since(s.started)
	return waited > headPatience || waited > silentPatience && q.Pool.Silent(s.choice.Upstream.ID)
}

// mayHaveSecond reports whether the request, which is under way, may go to another
// upstream too.
func (q *request) mayHaveSecond() bool {
	return q.repeatable() && q.sent < q.route.MaxAttempts && len(q.tried) < maxTried && q.verdict() == quarantine.Unrestricted
}

// beginSecond sends the request to another upstream if one has a place, which is asked for
// as long as the time of seeking lasts, and the budget allows it. Else it returns nil.
func (q *request) beginSecond(ctx, seeking context.Context, lastEvent string) *sending {
	if !q.mayHaveSecond() || q.Budget.Left(q.service.Name) < 1 {
		return nil
	}
	choice, err := q.place(seeking)
	if err != nil {
		return nil
	}
	if !q.Budget.Take(q.service.Name) {
		choice.Done(balance.Abandoned)
		return nil
	}
	return q.begin(ctx, choice, lastEvent)
}

// try chooses an upstream and sends the request there. Where there is none, or
// none that could begin in time, it sends nothing and returns why. lastEvent is
// the event after which a stream goes on.
func (q *request) try(ctx context.Context, lastEvent string) (balance.Choice, exchange.Result, error) {
	choice, err := q.place(ctx)
	if err != nil {
		return choice, exchange.Result{}, err
	}
	choice, result := q.await(ctx, ctx, q.begin(ctx, choice, lastEvent), lastEvent)
	return choice, result, nil
}

// good reports whether a stream may go on with an answer.
func good(result exchange.Result) bool {
	return result.Kind == exchange.Answered && result.Response.StatusCode/100 == http.StatusOK/100
}
