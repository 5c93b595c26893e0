package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/holding"
)

var errGap = errors.New("an event is missing")

// aheadMost is how far a stream is read ahead of its caller, in bytes: most streams whole.
const aheadMost = 64 << 10

// stream passes events on as they come, whole ones only. Where an upstream
// breaks off, the stream goes on at another after the last event that went out;
// the head and its signature stay those of the first.
func (q *request) stream(ctx context.Context, choice balance.Choice, response *http.Response) bool {
	s := &stream{request: q, passed: clock.Now()}
	s.last, s.hasLast = q.callersLast()
	for {
		reading := q.answering
		next, err := s.copy(ctx, choice, response)
		if err == nil {
			choice.Done(balance.Served)
			if !s.headSent {
				s.sendHead(response)
			}
			s.Pace.Ended(s.service.Name, clock.Since(s.story.FirstByte))
			q.endWhole(http.StatusOK)
			return true
		}
		choice.Done(q.brokenOff(choice))
		q.amendTry(choice, reading, err)
		if next == nil {
			next = s.goOn(ctx)
		}
		if next == nil {
			return s.cut(ctx, err)
		}
		choice, response = next.choice, next.response
	}
}

// brokenOff is what a stream that broke off says of its upstream.
func (q *request) brokenOff(choice balance.Choice) balance.Outcome {
	if q.Pool.Loading(choice.Upstream.ID) {
		return balance.Abandoned
	}
	return q.outcomeOf(exchange.Unknown)
}

// callersLast is the event after which the caller asks to go on.
func (q *request) callersLast() (int64, bool) {
	id, err := strconv.ParseInt(q.Header.Get(q.Headers.LastEvent), 10, 64)
	return id, err == nil
}

// stream is one answer made of one or more upstreams' events.
type stream struct {
	*request
	headSent bool
	// last is the number of the last event that went out, if there was one.
	last    int64
	hasLast bool
	// passed is when the last event went out, or the stream began.
	passed time.Time
}

// copy passes one upstream's events on until its end; no error means a good one. Where the
// stream has begun at another upstream meanwhile, it returns that.
func (s *stream) copy(ctx context.Context, choice balance.Choice, response *http.Response) (*begun, error) {
	response.Body = holding.Prefetch(response.Body, &s.Holding, aheadMost)
	defer func() { _ = response.Body.Close() }()
	stalled := s.watch(ctx, response)
	defer func() { stalled.cancel() }()
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	events := exchange.NewEvents(response.Body, framed)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			stalled.rest().drop()
			return nil, nil
		}
		if err != nil {
			next := stalled.outcome(s.gapLeft())
			if stalled.closedFirst {
				err = errStalled
			}
			return next, fmt.Errorf("stream from %s: %w", choice.Upstream.ID, err)
		}
		if next := stalled.rest(); next != nil {
			return next, fmt.Errorf("stream from %s: %w", choice.Upstream.ID, errStalled)
		}
		if err := s.pass(response, event); err != nil {
			return nil, err
		}
		if !events.Buffered() {
			_ = http.NewResponseController(s.writer).Flush()
		}
		stalled.again()
	}
}

// pass sends one event on, unless it went out before.
func (s *stream) pass(response *http.Response, event exchange.Event) error {
	if event.HasID && s.hasLast {
		if event.ID <= s.last {
			return nil
		}
		if event.ID != s.last+1 {
			return fmt.Errorf("%w: %d follows %d", errGap, event.ID, s.last)
		}
	}
	if !s.headSent {
		s.sendHead(response)
	}
	if _, err := s.writer.Write(event.Bytes); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	s.passed = clock.Now()
	if event.HasID {
		s.last, s.hasLast = event.ID, true
	}
	return nil
}

func (s *stream) sendHead(response *http.Response) {
	s.passHead(response)
	s.writer.WriteHeader(response.StatusCode)
	s.headSent = true
}

// cut ends a stream that cannot go on, so that it does not look complete.
func (s *stream) cut(ctx context.Context, cause error) bool {
	switch {
	case s.headSent || s.Context().Err() != nil:
		s.breakOff(cause)
	case ctx.Err() != nil:
		s.timeOut(exchange.Result{Err: cause})
	default:
		s.fail(http.StatusBadGateway, EndUnknown, cause.Error())
	}
	return true
}
