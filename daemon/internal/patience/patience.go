// Package patience bounds calls by what comes of their answers instead of by a
// fixed time.
//
// A fixed time cannot fit both an answer of a few bytes and one of hundreds of
// kilobytes over a link that many share. Where it is too short, callers give up
// halfway and begin anew, the link carries parts of answers that nobody uses, and
// each round takes longer than the one before.
package patience

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Causes for which a call ends. Each is a context.DeadlineExceeded too.
var (
	// ErrSilent says that an answer did not begin in time.
	ErrSilent = fmt.Errorf("no answer came in time: %w", context.DeadlineExceeded)
	// ErrStalled says that an answer stopped halfway.
	ErrStalled = fmt.Errorf("the answer stopped halfway: %w", context.DeadlineExceeded)
	// ErrEndless says that an answer went on for too long.
	ErrEndless = fmt.Errorf("the answer went on for too long: %w", context.DeadlineExceeded)
)

// Explain adds the cause to the error of a call that a limit ended.
func Explain(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if err == nil || cause == nil || !errors.Is(cause, context.DeadlineExceeded) || errors.Is(err, cause) {
		return err
	}
	return fmt.Errorf("%w: %w", err, cause)
}

// Limit says when a call is given up.
type Limit struct {
	// First is how long the first byte may take.
	First time.Duration
	// Stall is how long each part after the first may take.
	Stall time.Duration
	// Whole bounds the call.
	Whole time.Duration
}

// Context returns the context of one call. Its cause tells which bound was passed.
// The call reports what comes through provider.Progress.
func (l Limit) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	report := provider.Progress(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	c := &call{limit: l, cancel: cancel}
	c.quiet = time.AfterFunc(l.First, c.giveUp)
	endless := time.AfterFunc(l.Whole, func() { cancel(ErrEndless) })
	progress := func(bytes int) {
		c.progress()
		report(bytes)
	}
	end := func() {
		c.quiet.Stop()
		endless.Stop()
		cancel(nil)
	}
	return provider.WithProgress(ctx, progress), end
}

// call is one call under way.
type call struct {
	limit  Limit
	cancel context.CancelCauseFunc
	quiet  *time.Timer

	mu sync.Mutex
	// begun says that a part of the answer came.
	begun bool
}

func (c *call) progress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
	c.quiet.Reset(c.limit.Stall)
}

func (c *call) giveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun {
		c.cancel(ErrStalled)
		return
	}
	c.cancel(ErrSilent)
}
