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
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/buffer"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
)

var (
	errMissingEvent   = errors.New("event missing from the stream")
	errRepeatedEvents = errors.New("the stream repeats events without end")
)

// maxRepeated bounds the repeated events of a stream in bytes, which callers do not get.
const maxRepeated = 64 << 10

// maxReadAhead is how many bytes a stream is read ahead of its caller.
const maxReadAhead = 64 << 10

// forwardStream forwards complete events as they arrive. If the stream breaks, it resumes at
// another upstream after the last forwarded event; the head and its signature stay those of
// the first upstream.
func (q *request) forwardStream(ctx context.Context, choice balance.Choice, response *http.Response) bool {
	s := &stream{request: q, lastWrite: clock.Now()}
	s.lastID, s.hasLastID = q.callerLastEvent()
	for {
		index := q.answeredAttempt
		next, err := s.copyEvents(ctx, choice, response)
		if err == nil {
			choice.Done(balance.Served)
			if !s.headSent {
				s.writeHead(response)
			}
			s.LoadTracker.RecordServed(s.service.Name, clock.Since(s.trace.FirstByte))
			q.complete(index, http.StatusOK)
			return true
		}
		choice.Done(q.streamOutcome(choice))
		q.amendAttempt(choice, index, err)
		if next == nil {
			next = s.resume(ctx)
		}
		if next == nil {
			return s.failStream(ctx, err)
		}
		choice, response = next.choice, next.response
	}
}

// streamOutcome returns the outcome of a broken stream for the load balancing. It is no failure
// of the upstream if that is loading a version.
func (q *request) streamOutcome(choice balance.Choice) balance.Outcome {
	if q.Pool.Loading(choice.Upstream.ID) {
		return balance.Canceled
	}
	return q.balanceOutcome(exchange.Unknown)
}

// callerLastEvent returns the event after which the caller requests to resume.
func (q *request) callerLastEvent() (int64, bool) {
	id, err := strconv.ParseInt(q.Header.Get(q.Headers.LastEvent), 10, 64)
	return id, err == nil
}

// stream is one response made of the events of one or more upstreams.
type stream struct {
	*request
	headSent bool
	// lastID is the ID of the last forwarded event, if hasLastID.
	lastID    int64
	hasLastID bool
	// repeated is the size in bytes of the events that were not forwarded because they were before.
	repeated int
	// lastWrite is when the last event was forwarded, or the stream started.
	lastWrite time.Time
}

// copyEvents forwards one upstream's events until its stream ends; a nil error means a complete
// stream. If the stream has resumed at another upstream meanwhile, it returns the resumption.
func (s *stream) copyEvents(ctx context.Context, choice balance.Choice, response *http.Response) (*resumption, error) {
	end := watchEnd(response)
	response.Body = buffer.Prefetch(response.Body, &s.BufferBudget, maxReadAhead)
	defer func() { _ = response.Body.Close() }()
	watch := s.watchStall(ctx, response)
	defer func() { watch.cancel() }()
	attempt := s.answeredAttempt
	events := exchange.NewEvents(response, &s.BufferBudget)
	defer events.Release()
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			state := s.probeAfterClose(choice, end)
			if state != livenessprobe.Crashed {
				watch.stop().discard()
				s.trace.Attempts[attempt].AfterClose = state
				return nil, nil
			}
			err = livenessprobe.ErrClosedByCrash
		}
		if err != nil {
			next := watch.stopAfter(s.remainingGap())
			if errors.Is(err, livenessprobe.ErrClosedByCrash) {
				s.trace.Attempts[attempt].AfterClose = livenessprobe.Crashed
			}
			if watch.closedFirst {
				err = errStalled
			}
			return next, fmt.Errorf("stream from %s: %w", choice.Upstream.ID, err)
		}
		if next := watch.stop(); next != nil {
			return next, fmt.Errorf("stream from %s: %w", choice.Upstream.ID, errStalled)
		}
		if err := s.forwardEvent(response, event); err != nil {
			return nil, err
		}
		if !events.Buffered() {
			_ = http.NewResponseController(s.writer).Flush()
		}
		watch.rearm()
	}
}

// forwardEvent forwards one event, unless it was forwarded before.
func (s *stream) forwardEvent(response *http.Response, event exchange.Event) error {
	if event.HasID && s.hasLastID {
		if event.ID <= s.lastID {
			s.repeated += len(event.Bytes)
			if s.repeated > maxRepeated {
				return errRepeatedEvents
			}
			return nil
		}
		if event.ID != s.lastID+1 {
			return fmt.Errorf("%w: %d follows %d", errMissingEvent, event.ID, s.lastID)
		}
	}
	if !s.headSent {
		s.writeHead(response)
	}
	if _, err := s.writer.Write(event.Bytes); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	s.lastWrite = clock.Now()
	if event.HasID {
		s.lastID, s.hasLastID = event.ID, true
	}
	return nil
}

func (s *stream) writeHead(response *http.Response) {
	s.copyHeader(response)
	s.writer.WriteHeader(response.StatusCode)
	s.headSent = true
}

// failStream ends a stream that cannot resume, so that it does not look complete.
func (s *stream) failStream(ctx context.Context, cause error) bool {
	switch {
	case s.headSent || s.Context().Err() != nil:
		s.abort(cause)
	case ctx.Err() != nil:
		s.timeOut(exchange.Result{Err: cause})
	default:
		s.fail(http.StatusBadGateway, OutcomeUnknown, cause.Error())
	}
	return true
}
