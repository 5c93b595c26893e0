package command

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/simulation"
)

// TestBenchFleetPrintsResultOfEachRun also checks that errors name the invalid flag.
func TestBenchFleetPrintsResultOfEachRun(t *testing.T) {
	args := []string{"bench", "fleet", "--routers", "10,20", "--data-halls", "2", "--fault", "start,change", "--spread", "now,flat"}
	for _, result := range runTableAndJSON[simulation.FleetResult](t, args, 2*2*2) {
		assert.Positive(t, result.LastSeconds, "the configuration must reach all routers in each mode")
	}
	checkFlagErrors(t, "fleet", map[string]string{
		"--routers": "x", "--fault": "flood", "--spread": "up", "--seed": "one", "--configuration-bytes": "80",
	})
	assert.ErrorContains(t, run(t.Context(), "bench", "fleet", "--routers", "0").err, "routers: 0")
}

func TestSeedsIsAliasOfSeed(t *testing.T) {
	for _, flag := range []string{"--seed", "--seeds"} {
		got := run(t.Context(), "bench", "fleet", "--routers", "4", "--data-halls", "1", "--fault", "change", flag, "1,2")
		require.NoError(t, got.err, flag)
		assert.Len(t, splitLines(got.stdout), 1+2, flag)
	}
}

func TestVersionFlagPrintsVersion(t *testing.T) {
	got := run(t.Context(), "--version")
	require.NoError(t, got.err)
	assert.Contains(t, got.stdout, "wheelcleat version ")
}
