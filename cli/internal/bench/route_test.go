package bench

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRouteUnderFaults guards against repeated executions, false not-run outcomes, mixed answers
// and requests that are lost in a drain or a version change.
func TestRouteUnderFaults(t *testing.T) {
	for _, fault := range RouteFaults() {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			run := &Route{
				Halls: 2, EntriesPerHall: 1, Hosts: 4, Rate: 100, Duration: 1500 * time.Millisecond, Tokens: 4,
				Prefill: 10 * time.Millisecond, PerToken: 5 * time.Millisecond, Fault: fault, Seed: 1,
				Timeout: time.Minute, LogOutput: io.Discard,
			}
			result, err := run.Run(t.Context())
			require.NoError(t, err)
			assert.Zero(t, result.RepeatedExecutions)
			assert.Zero(t, result.FalseNotRun)
			assert.Zero(t, result.MixedAnswers)
			assert.Zero(t, result.TruncatedInDrain)
			assert.Equal(t, result.Requests, result.Done+result.NotRun+result.Unknown+result.Truncated)
			assert.Greater(t, result.Done, result.Requests/2)
			if fault != "host-dies" {
				assert.Equal(t, result.Requests, result.Done, "%+v", *result)
			}
			assert.GreaterOrEqual(t, result.FirstTokenP50US, run.Prefill.Microseconds())
		})
	}
}
