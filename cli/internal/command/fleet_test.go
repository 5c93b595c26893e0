package command

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/lab"
)

// TestBenchFleet prints a line for each play, as a table and as JSON, and says what is wrong
// with its flags.
func TestBenchFleet(t *testing.T) {
	args := []string{"bench", "fleet", "--routers", "10,20", "--data-halls", "2", "--fault", "start,change", "--spread", "now,flat"}
	for _, result := range bothForms[lab.FleetResult](t, args, 2*2*2) {
		assert.Positive(t, result.LastSeconds, "a small fleet is in force, whichever way")
	}
	refusesFlags(t, "fleet", map[string]string{
		"--routers": "x", "--fault": "flood", "--spread": "up", "--seed": "one", "--configuration-bytes": "80",
	})
	assert.ErrorContains(t, run(t.Context(), "bench", "fleet", "--routers", "0").err, "routers: 0")
}

// TestSeedAndSeedsAreOneFlag on the benches that play several.
func TestSeedAndSeedsAreOneFlag(t *testing.T) {
	for _, flag := range []string{"--seed", "--seeds"} {
		got := run(t.Context(), "bench", "fleet", "--routers", "4", "--data-halls", "1", "--fault", "change", flag, "1,2")
		require.NoError(t, got.err, flag)
		assert.Len(t, linesOf(got.stdout), 1+2, flag)
	}
}

// TestVersionIsTold in one line.
func TestVersionIsTold(t *testing.T) {
	got := run(t.Context(), "--version")
	require.NoError(t, got.err)
	assert.Contains(t, got.stdout, "wheelcleat version ")
}
