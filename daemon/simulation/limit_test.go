package simulation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/simulation"
)

// TestLimitsAreKeptThroughFaults guards against limits being exceeded while loaders or routers
// fail, and against limits that stay in force after they end. The flapping fault is left out,
// because its upstreams announce no limit for half of each second.
func TestLimitsAreKeptThroughFaults(t *testing.T) {
	for _, fault := range simulation.LimitFaults() {
		if fault == simulation.LimitFlapping {
			continue
		}
		for _, perSecond := range []float64{0.2, 1, 5} {
			setup := simulation.DefaultLimit()
			setup.Fault, setup.PerSecond = fault, perSecond
			result, err := simulation.RunLimit(setup)
			require.NoError(t, err)
			assert.LessOrEqual(t, result.MaxUtilization, 1.0, "%s, %g", fault, perSecond)
			assert.LessOrEqual(t, result.MeanUtilization, 0.8, "%s, %g", fault, perSecond)
			assert.LessOrEqual(t, result.RecoveryTime, 2*time.Second, "%s, %g", fault, perSecond)
			if fault != simulation.LimitAllLimited && fault != simulation.LimitHallPartition {
				assert.Greater(t, result.ServedShare, 0.99, "%s, %g: unlimited upstreams have capacity", fault, perSecond)
			}
		}
	}
}

// TestRunLimitRejectsInvalidSetups checks the errors for invalid setups and fault names.
func TestRunLimitRejectsInvalidSetups(t *testing.T) {
	_, err := simulation.RunLimit(simulation.LimitSetup{})
	require.ErrorIs(t, err, simulation.ErrSetup)
	_, err = simulation.FindLimitFault("flood")
	require.ErrorContains(t, err, "hall-cut")
}
