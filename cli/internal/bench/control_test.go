package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestControlUnderFaults guards against lost, reverted or misreported configuration while
// declarations are concurrent and the key-value service has a fault.
func TestControlUnderFaults(t *testing.T) {
	for fault := range controlFaults {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			run := &Control{Halls: 2, EntriesPerHall: 2, Hosts: 4, IdleDuration: time.Second, Changes: 12, Interval: 10 * time.Millisecond, Fault: fault, Timeout: time.Minute}
			result, err := run.Run(t.Context())
			require.NoError(t, err)
			assert.Zero(t, result.Reverts)
			assert.Zero(t, result.LostAccepted)
			assert.Zero(t, result.FalseFailures)
			assert.Positive(t, result.Accepted)
			assert.Equal(t, 8, result.Daemons)
			assert.Positive(t, result.InForceP99MS)
			assert.Positive(t, result.EntryBytesPerSecond)
		})
	}
	_, err := (&Control{Fault: "unknown", Timeout: time.Second}).Run(t.Context())
	require.ErrorContains(t, err, "unknown fault")
}
