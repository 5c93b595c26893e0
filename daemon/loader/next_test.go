package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/rollout"
)

// TestNextVersionIsRounded guards against a line of the load feed for each reading of the engine while a load is
// far away, and against a version without a time.
func TestNextVersionIsRounded(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Nil(t, nextVersion(rollout.Expected{}, now))
	for left, want := range map[time.Duration]int64{
		-time.Second: 250, 0: 250, 100 * time.Millisecond: 250, 1300 * time.Millisecond: 1500, 2 * time.Second: 2000,
		2001 * time.Millisecond: 3000, 5 * time.Second: 5000,
	} {
		assert.Equal(t, &loadfeed.NextVersion{Version: 3, In: want}, nextVersion(rollout.Expected{Version: 3, At: now.Add(left)}, now), left)
	}
}
