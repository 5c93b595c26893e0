package simulation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/simulation"
)

// simulate runs a third of the default fleet and returns the mean of two seeds.
func simulate(t *testing.T, pattern, policy string) simulation.Result {
	t.Helper()
	const seeds = 2
	var runs []*simulation.Result
	for seed := range uint64(seeds) {
		setup := simulation.Default()
		setup.Engines, setup.Routers, setup.Rate = setup.Engines/3, setup.Routers/3, setup.Rate/3
		setup.Duration = 20 * time.Second
		var err error
		setup.Pattern, err = simulation.ParsePattern(pattern)
		require.NoError(t, err)
		setup.Seed = seed + 1
		chosen, err := simulation.FindPolicy(policy)
		require.NoError(t, err)
		result, err := simulation.Run(setup, chosen)
		require.NoError(t, err)
		runs = append(runs, result)
	}
	mean := simulation.Mean(runs)
	t.Logf("%s, %s: worth %.3f (best %.3f), in time %.3f, late %.3f, refused %.3f, refused twice %.3f",
		pattern, policy, mean.Worth, mean.OracleWorth, mean.InTime, mean.Late, mean.Refused, mean.RefusedTwice)
	return mean
}

// TestRetryDetectionGivesPlacesToFirstAttempts guards against an overload in which retries, which
// are late already, take places from callers that can still be served in time.
func TestRetryDetectionGivesPlacesToFirstAttempts(t *testing.T) {
	for pattern, gain := range map[string]float64{"steady:1.25": 0.1, "burst": 0.05, "all-back": 0.05} {
		current, baseline := simulate(t, pattern, "now"), simulate(t, pattern, "back-same-time")
		assert.Greater(t, current.Worth, baseline.Worth+gain, pattern)
		assert.Greater(t, current.DetectedRetries, 0.95, pattern)
		assert.Less(t, current.MisdetectedRetries, 0.01, pattern)
	}
}

// TestWiderSearchReducesRefusals guards against refusals while other engines have free places, at
// capacity and near it.
func TestWiderSearchReducesRefusals(t *testing.T) {
	for pattern, gain := range map[string]float64{"steady:0.9": 0.005, "steady:1": 0.005, "version": 0.005} {
		current, baseline := simulate(t, pattern, "now"), simulate(t, pattern, "look-5")
		assert.Greater(t, current.Worth, baseline.Worth+gain, pattern)
		assert.Less(t, current.RefusedTwice, baseline.RefusedTwice, pattern)
	}
}

// TestRunsAreDeterministic checks that a result depends on the setup, the policy and the seed
// alone.
func TestRunsAreDeterministic(t *testing.T) {
	for _, policy := range []string{"now", "back-sketch", "back-same-time"} {
		assert.Equal(t, simulate(t, "burst:0.9", policy), simulate(t, "burst:0.9", policy))
	}
}

// TestSharedRefusalsMatchExactDetection checks that a lossless exchange of refusals earns as much
// worth as a correct classification of each retry.
func TestSharedRefusalsMatchExactDetection(t *testing.T) {
	shared, exact := simulate(t, "steady:1.25", "back-sketch"), simulate(t, "steady:1.25", "back-known")
	assert.InDelta(t, exact.Worth, shared.Worth, 0.01)
	assert.Less(t, shared.MisdetectedRetries, 0.001)
}

// TestWorthStaysBelowOracle checks that no run exceeds the upper bound, that shares add up, and
// that half load is served in full.
func TestWorthStaysBelowOracle(t *testing.T) {
	for _, pattern := range simulation.PatternNames() {
		r := simulate(t, pattern, "now")
		assert.LessOrEqual(t, r.Worth, r.OracleWorth, pattern)
		assert.LessOrEqual(t, r.OracleInOrderWorth, r.OracleWorth+1e-9, pattern)
		assert.InDelta(t, 1, r.InTime+r.Late+r.Refused+r.Truncated, 0.01, pattern)
	}
	halfLoad := simulate(t, "steady:0.5", "now")
	assert.Greater(t, halfLoad.Worth, 0.99)
}

// TestInvalidSetupsAreRejected covers setups, patterns and policy names.
func TestInvalidSetupsAreRejected(t *testing.T) {
	changes := map[string]func(*simulation.Setup){
		"no engines":           func(s *simulation.Setup) { s.Engines = 0 },
		"no places":            func(s *simulation.Setup) { s.Engine.Places = 0 },
		"no callers":           func(s *simulation.Setup) { s.Rate = 0 },
		"only warm-up":         func(s *simulation.Setup) { s.Duration = time.Second },
		"deadline spread of 1": func(s *simulation.Setup) { s.DeadlineSpread = 1 },
	}
	for name, change := range changes {
		setup := simulation.Default()
		change(&setup)
		_, err := simulation.Run(setup, simulation.Policy{})
		require.ErrorIs(t, err, simulation.ErrSetup, name)
	}
	for _, text := range []string{"", "flat", "steady:", "steady:0", "steady:x", "steady:1000", "steady:NaN"} {
		_, err := simulation.ParsePattern(text)
		require.Error(t, err, text)
	}
	_, err := simulation.FindPolicy("best")
	require.Error(t, err)
}

// TestPausingEnginesGetNoRequests guards against idle engines that refuse everything and are the
// best choice of all routers by their load.
func TestPausingEnginesGetNoRequests(t *testing.T) {
	const allowed = 2
	for _, pattern := range []string{"some-pausing:0.5", "some-pausing:0.7"} {
		result := simulate(t, pattern, "now")
		assert.LessOrEqual(t, result.MostInPause, float64(allowed), pattern)
		assert.Greater(t, result.InTime, 0.9, pattern)
	}
}
