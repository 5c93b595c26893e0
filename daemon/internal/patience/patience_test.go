package patience_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/patience"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestCallsEndBySilenceNotByTime: a call lasts as long as parts of its answer come,
// and ends soon after the last one.
func TestCallsEndBySilenceNotByTime(t *testing.T) {
	limit := patience.Limit{First: time.Second, Stall: 300 * time.Millisecond, Whole: 20 * time.Second}
	tests := []struct {
		name  string
		parts int
		every time.Duration
		ends  time.Duration
		cause error
	}{
		{"silent", 0, 0, time.Second, patience.ErrSilent},
		{"slow and whole", 50, 200 * time.Millisecond, 10300 * time.Millisecond, patience.ErrStalled},
		{"stops halfway", 2, 200 * time.Millisecond, 700 * time.Millisecond, patience.ErrStalled},
		{"endless", 200, 200 * time.Millisecond, 20 * time.Second, patience.ErrEndless},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started, bytes := time.Now(), 0
				ctx, end := limit.Context(provider.WithProgress(t.Context(), func(n int) { bytes += n }))
				defer end()
				sent := 0
				for sent < test.parts && helpers.Pause(test.every, ctx.Done()) {
					provider.Progress(ctx)(1)
					sent++
				}
				<-ctx.Done()
				assert.Equal(t, test.ends, time.Since(started))
				assert.ErrorIs(t, context.Cause(ctx), test.cause)
				assert.Equal(t, sent, bytes, "what was there before hears of it too")
			})
		})
	}
}
