package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
)

// This file finds the upstream at which a stream resumes. A stalled upstream is read until the
// second one responds, because it may only have paused, and there may be no place elsewhere.

const (
	// stallTimeout is the longest pause between events before a second upstream is searched
	// for.
	stallTimeout = 1200 * time.Millisecond
	// maxResumeGap is how long after its last event a broken stream may resume. Callers give
	// up after two seconds without an event.
	maxResumeGap = 1800 * time.Millisecond
	// minResumeSearch is the minimum time of the search for a place.
	minResumeSearch = 300 * time.Millisecond
)

// resumption is a stream that resumes at an upstream.
type resumption struct {
	choice   balance.Choice
	response *http.Response
}

// findResumption searches for an upstream at which the stream resumes. It returns nil once
// searchCtx or the stream's own context is done, or once no further send is allowed.
func (s *stream) findResumption(ctx, searchCtx context.Context) *resumption {
	for searchCtx.Err() == nil && s.mayHedge() {
		send := s.startHedge(ctx, searchCtx, s.lastEvent())
		if send == nil {
			helpers.Pause(searchInterval, searchCtx.Done())
			continue
		}
		choice, result := s.awaitHead(ctx, searchCtx, send, s.lastEvent())
		if isSuccess(result) {
			return &resumption{choice, result.Response}
		}
		if result.Response != nil {
			_ = result.Response.Body.Close()
			choice.Done(balance.Failed)
		}
	}
	return nil
}

// lastEvent returns the ID of the event after which the stream resumes, "" for its start.
func (s *stream) lastEvent() string {
	if !s.hasLastID {
		return ""
	}
	return strconv.FormatInt(s.lastID, 10)
}

// resume searches for another upstream after the stream broke.
func (s *stream) resume(ctx context.Context) *resumption {
	searchCtx, cancel := context.WithTimeout(ctx, s.remainingGap())
	defer cancel()
	return s.findResumption(ctx, searchCtx)
}

// remainingGap returns how long a broken stream may still take to resume.
func (s *stream) remainingGap() time.Duration {
	return max(clock.Until(s.lastWrite.Add(maxResumeGap)), minResumeSearch)
}

// discard closes a stream that is not needed.
func (r *resumption) discard() {
	if r != nil {
		_ = r.response.Body.Close()
		r.choice.Done(balance.Canceled)
	}
}

// stallWatch searches for a second upstream once the first has sent no event for a while.
type stallWatch struct {
	stream *stream
	ctx    context.Context //nolint:containedctx // the stream's, while one upstream is read
	first  *http.Response
	timer  *time.Timer

	// searchCtx ends the search, and found is its result once done is closed. The goroutine
	// that reads the first upstream uses the request only while no search runs, so that the
	// two do not race.
	searchCtx context.Context //nolint:containedctx // created with each search
	cancel    context.CancelFunc
	done      chan struct{}
	found     *resumption
	// closedFirst is set if run closed the first upstream because the second had responded.
	closedFirst bool
}

func (s *stream) watchStall(ctx context.Context, first *http.Response) *stallWatch {
	w := &stallWatch{stream: s, ctx: ctx, first: first}
	w.arm()
	return w
}

func (w *stallWatch) arm() {
	w.searchCtx, w.cancel = context.WithCancel(w.ctx)
	w.done = make(chan struct{})
	w.timer = time.AfterFunc(stallTimeout, w.run)
}

// run searches, and if the stream resumes, closes the first upstream so that its reader
// returns.
func (w *stallWatch) run() {
	defer close(w.done)
	if w.found = w.stream.findResumption(w.ctx, w.searchCtx); w.found != nil {
		w.closedFirst = true
		_ = w.first.Body.Close()
	}
}

// stop ends a search after the first upstream has sent an event or ended. It returns the second
// upstream's stream if that has responded.
func (w *stallWatch) stop() *resumption { return w.stopAfter(0) }

// stopAfter ends a search after the connection to the first upstream broke. It lets a running
// search continue for the grace time, because canceling it would waste a send.
func (w *stallWatch) stopAfter(grace time.Duration) *resumption {
	if w.timer.Stop() {
		return nil
	}
	helpers.Pause(grace, w.done)
	w.cancel()
	<-w.done
	return w.found
}

// rearm waits for the next stall.
func (w *stallWatch) rearm() {
	select {
	case <-w.done:
		w.cancel()
		w.arm()
	default:
		w.timer.Reset(stallTimeout)
	}
}
