// Package timeout bounds calls by the progress of their responses: it has
// separate timeouts for the first byte, for each further part and for the call.
//
// A single timeout cannot fit both a response of a few bytes and one of hundreds
// of kilobytes over a shared link. If it is too short, callers abort transfers
// halfway and start over, which wastes bandwidth and slows down the retries.
package timeout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Causes of the cancellation of a call. Each wraps context.DeadlineExceeded.
var (
	// ErrNoResponse reports that the first byte of a response did not arrive in time.
	ErrNoResponse = fmt.Errorf("timed out waiting for the first byte of the response: %w", context.DeadlineExceeded)
	// ErrStalled reports that a response stopped before its end.
	ErrStalled = fmt.Errorf("response stalled: %w", context.DeadlineExceeded)
	// ErrTooLong reports that a call exceeded its total timeout.
	ErrTooLong = fmt.Errorf("response exceeded its total timeout: %w", context.DeadlineExceeded)
)

// Explain adds the cause to the error of a call that a timeout canceled.
func Explain(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if err == nil || cause == nil || !errors.Is(cause, context.DeadlineExceeded) || errors.Is(err, cause) {
		return err
	}
	return fmt.Errorf("%w: %w", err, cause)
}

// Limit holds the timeouts of a call.
type Limit struct {
	// FirstByte bounds the time to the first byte of the response.
	FirstByte time.Duration
	// Stall bounds the time between two parts of the response.
	Stall time.Duration
	// Total bounds the time of the call.
	Total time.Duration
}

// Context returns the context of a call. Its cause is the timeout that expired. The
// call reports received bytes through provider.Progress.
func (l Limit) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	report := provider.Progress(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	c := &call{limit: l, cancel: cancel}
	c.idle = time.AfterFunc(l.FirstByte, c.timeOut)
	total := time.AfterFunc(l.Total, func() { cancel(ErrTooLong) })
	progress := func(bytes int) {
		c.progress()
		report(bytes)
	}
	end := func() {
		c.idle.Stop()
		total.Stop()
		cancel(nil)
	}
	return provider.WithProgress(ctx, progress), end
}

// call is a call in progress.
type call struct {
	limit  Limit
	cancel context.CancelCauseFunc
	// idle fires when the first byte or the next part of the response is overdue.
	idle *time.Timer

	mu sync.Mutex
	// started is set when the first part of the response has arrived.
	started bool
}

func (c *call) progress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = true
	c.idle.Reset(c.limit.Stall)
}

func (c *call) timeOut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started {
		c.cancel(ErrStalled)
		return
	}
	c.cancel(ErrNoResponse)
}
