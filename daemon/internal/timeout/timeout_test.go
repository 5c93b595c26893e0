package timeout_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/timeout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestTimeoutsFollowProgressOfResponse guards against a timeout that cancels a slow
// response that makes progress, or misses one that stalls.
func TestTimeoutsFollowProgressOfResponse(t *testing.T) {
	limit := timeout.Limit{FirstByte: time.Second, Stall: 300 * time.Millisecond, Total: 20 * time.Second}
	tests := []struct {
		name     string
		parts    int
		interval time.Duration
		elapsed  time.Duration
		cause    error
	}{
		{"no response", 0, 0, time.Second, timeout.ErrNoResponse},
		{"slow with progress", 50, 200 * time.Millisecond, 10300 * time.Millisecond, timeout.ErrStalled},
		{"stalls after two parts", 2, 200 * time.Millisecond, 700 * time.Millisecond, timeout.ErrStalled},
		{"exceeds the total timeout", 200, 200 * time.Millisecond, 20 * time.Second, timeout.ErrTooLong},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started, bytes := time.Now(), 0
				ctx, end := limit.Context(provider.WithProgress(t.Context(), func(n int) { bytes += n }))
				defer end()
				sent := 0
				for sent < test.parts && helpers.Pause(test.interval, ctx.Done()) {
					provider.Progress(ctx)(1)
					sent++
				}
				<-ctx.Done()
				assert.Equal(t, test.elapsed, time.Since(started))
				assert.ErrorIs(t, context.Cause(ctx), test.cause)
				assert.Equal(t, sent, bytes, "the progress function of the outer context is called too")
			})
		})
	}
}
