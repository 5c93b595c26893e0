package loadfeed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
)

// TestClosesInIsToldInSteps: a line that changed with each look at an engine would be
// written each 20 ms to all who follow it.
func TestClosesInIsToldInSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	for in, want := range map[time.Duration]int64{
		-time.Second: 0, 0: 0, time.Millisecond: 250, 250 * time.Millisecond: 250, 251 * time.Millisecond: 500, 1600 * time.Millisecond: 1750,
	} {
		assert.Equal(t, want, loadfeed.ClosesIn(now.Add(in), now), in)
	}
	assert.Zero(t, loadfeed.ClosesIn(time.Time{}, now))
}
