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

// This file looks for the upstream at which a stream goes on. Silence alone ends nothing:
// the first upstream is read on until the second has begun, because one that only paused
// has the whole answer, and there may be no place elsewhere.

const (
	// stallTime is the longest pause between events before a stream is looked for elsewhere
	// too.
	stallTime = 1200 * time.Millisecond
	// gapMost is how long after its last event a stream that broke off may go on. Callers
	// give one up after two seconds without an event.
	gapMost = 1800 * time.Millisecond
	// seekLeast is how long a place is looked for in any case.
	seekLeast = 300 * time.Millisecond
)

// begun is a stream that goes on at an upstream.
type begun struct {
	choice   balance.Choice
	response *http.Response
}

// seek looks for an upstream until the stream goes on there, or until the time of seeking
// or the stream's own is over, or no send is left. It returns nil where it does not go on.
func (s *stream) seek(ctx, seeking context.Context) *begun {
	for seeking.Err() == nil && s.mayHaveSecond() {
		send := s.beginSecond(ctx, seeking, s.lastEvent())
		if send == nil {
			helpers.Pause(seekAgain, seeking.Done())
			continue
		}
		choice, result := s.await(ctx, seeking, send, s.lastEvent())
		if good(result) {
			return &begun{choice, result.Response}
		}
		if result.Response != nil {
			_ = result.Response.Body.Close()
			choice.Done(balance.Failed)
		}
	}
	return nil
}

// lastEvent is the event after which the stream goes on, "" for its begin.
func (s *stream) lastEvent() string {
	if !s.hasLast {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}

// goOn looks for another upstream after the stream broke off.
func (s *stream) goOn(ctx context.Context) *begun {
	seeking, cancel := context.WithTimeout(ctx, s.gapLeft())
	defer cancel()
	return s.seek(ctx, seeking)
}

// gapLeft is how long a stream that has broken off may take to go on.
func (s *stream) gapLeft() time.Duration {
	return max(clock.Until(s.passed.Add(gapMost)), seekLeast)
}

// drop ends a stream that is not needed.
func (b *begun) drop() {
	if b != nil {
		_ = b.response.Body.Close()
		b.choice.Done(balance.Canceled)
	}
}

// stall looks for a second upstream once the first has sent no event for a while.
type stall struct {
	stream *stream
	ctx    context.Context //nolint:containedctx // the stream's, for as long as one copy of it
	first  *http.Response
	timer  *time.Timer

	// seeking is what ends the search, and found its outcome once done is closed. The
	// goroutine that reads the first upstream touches the request only while none is
	// under way.
	seeking context.Context //nolint:containedctx // made anew with each search
	cancel  context.CancelFunc
	done    chan struct{}
	found   *begun
	// closedFirst says that the first upstream was silent until the second had begun.
	closedFirst bool
}

// watch begins to wait for a stall.
func (s *stream) watch(ctx context.Context, first *http.Response) *stall {
	w := &stall{stream: s, ctx: ctx, first: first}
	w.arm()
	return w
}

func (w *stall) arm() {
	w.seeking, w.cancel = context.WithCancel(w.ctx)
	w.done = make(chan struct{})
	w.timer = time.AfterFunc(stallTime, w.run)
}

// run seeks, and has the reader of the first upstream return where the stream goes on.
func (w *stall) run() {
	defer close(w.done)
	if w.found = w.stream.seek(w.ctx, w.seeking); w.found != nil {
		w.closedFirst = true
		_ = w.first.Body.Close()
	}
}

// rest is called when the first upstream has sent an event or ended. It ends a search and
// returns the second upstream where that has begun.
func (w *stall) rest() *begun { return w.outcome(0) }

// outcome is called when the first upstream has broken off. It gives a search that is under
// way some time more: ended, it would have taken a send for nothing, maybe the last.
func (w *stall) outcome(left time.Duration) *begun {
	if w.timer.Stop() {
		return nil
	}
	helpers.Pause(left, w.done)
	w.cancel()
	<-w.done
	return w.found
}

// again waits for the next stall.
func (w *stall) again() {
	select {
	case <-w.done:
		w.cancel()
		w.arm()
	default:
		w.timer.Reset(stallTime)
	}
}
