package simulation

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// simulateFleet simulates the default fleet, scaled by a factor.
func simulateFleet(t *testing.T, factor int, change func(*FleetSetup)) *FleetResult {
	t.Helper()
	setup := DefaultFleet()
	setup.Routers, setup.Loaders = setup.Routers*factor, setup.Loaders*factor
	change(&setup)
	result, err := RunFleet(setup)
	require.NoError(t, err)
	return result
}

// TestFleetIsReadyWithin10Seconds guards the start-up time of the default fleet and of twice its
// size, with an empty store and with stale records. The flat strategy must exceed it, which shows
// that the test can fail.
func TestFleetIsReadyWithin10Seconds(t *testing.T) {
	for _, fault := range []FleetFault{FleetStart, FleetPowerCycle} {
		for _, factor := range []int{1, 2} {
			result := simulateFleet(t, factor, func(f *FleetSetup) { f.Fault = fault })
			assert.Positive(t, result.LastSeconds, "%s, %d times", fault, factor)
			assert.LessOrEqual(t, result.LastSeconds, 10.0, "%s, %d times: %+v", fault, factor, result)
		}
	}
	flat := simulateFleet(t, 1, func(f *FleetSetup) { f.Strategy = StrategyFlat })
	assert.True(t, flat.LastSeconds < 0 || flat.LastSeconds > 10, "%+v", flat)
}

// TestChangesAreInForceWithin5Seconds guards the required propagation time of changes, also while
// readers or a tenth of the routers crash.
func TestChangesAreInForceWithin5Seconds(t *testing.T) {
	for _, fault := range []FleetFault{FleetChange, FleetStorm, FleetReaderCrash, FleetTenthCrash} {
		for _, factor := range []int{1, 2} {
			result := simulateFleet(t, factor, func(f *FleetSetup) { f.Fault = fault })
			elapsed := result.LastSeconds
			if fault == FleetStorm {
				elapsed -= (stormLength - 1) * stormInterval.Seconds() // time of the last write
			}
			assert.Positive(t, result.LastSeconds, "%s, %d times: %+v", fault, factor, result)
			assert.LessOrEqual(t, elapsed, 5.0, "%s, %d times: %+v", fault, factor, result)
		}
	}
}

// TestSenderBytesStayBoundedAsHallsGrow guards against a router whose uplink traffic grows with
// the size of its hall.
func TestSenderBytesStayBoundedAsHallsGrow(t *testing.T) {
	change := func(f *FleetSetup) { f.Fault, f.WideShare = FleetChange, 0 }
	once, twice := simulateFleet(t, 1, change), simulateFleet(t, 2, change)
	assert.Less(t, float64(twice.SenderBytes), 1.3*float64(once.SenderBytes), "%+v, %+v", once, twice)
}

// TestRunFleetRejectsInvalidSizes checks that the error names the invalid field.
func TestRunFleetRejectsInvalidSizes(t *testing.T) {
	for name, change := range map[string]func(*FleetSetup){
		"routers": func(f *FleetSetup) { f.Routers = 0 },
		"halls":   func(f *FleetSetup) { f.Halls = f.Routers + 1 },
		"loaders": func(f *FleetSetup) { f.Loaders = -1 },
		"links":   func(f *FleetSetup) { f.RegionMbps = 0 },
	} {
		setup := DefaultFleet()
		change(&setup)
		_, err := RunFleet(setup)
		require.ErrorContains(t, err, name)
	}
}
