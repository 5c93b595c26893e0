package loadfeed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
)

// TestClosesInIsRoundedUpToSteps guards against a state that changes at each reading of the
// engine, and is then sent to every reader.
func TestClosesInIsRoundedUpToSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	for in, want := range map[time.Duration]int64{
		-time.Second: 0, 0: 0, time.Millisecond: 250, 250 * time.Millisecond: 250, 251 * time.Millisecond: 500, 1600 * time.Millisecond: 1750,
	} {
		assert.Equal(t, want, loadfeed.ClosesIn(now.Add(in), now), in)
	}
	assert.Zero(t, loadfeed.ClosesIn(time.Time{}, now))
}
