package command

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/cli/internal/bench"
	"github.com/wheelcleat/wheelcleat/daemon/simulation"
)

// runTableAndJSON runs a benchmark twice: once with table output, and once with JSON output and a
// plot. It checks the number of results in both and returns those of the JSON output.
func runTableAndJSON[R any](t *testing.T, args []string, results int) []R {
	t.Helper()
	table := run(t.Context(), args...)
	require.NoError(t, table.err)
	assert.Len(t, splitLines(table.stdout), 1+results)
	plotted := run(t.Context(), append(args, "--json", "--plot", filepath.Join(t.TempDir(), "bench.png"))...)
	require.NoError(t, plotted.err)
	var all []R
	for _, line := range splitLines(plotted.stdout) {
		var result R
		require.NoError(t, json.Unmarshal([]byte(line), &result))
		all = append(all, result)
	}
	assert.Len(t, all, results)
	return all
}

// checkFlagErrors checks that the errors of a benchmark name the flag whose value is invalid.
func checkFlagErrors(t *testing.T, bench string, flags map[string]string) {
	t.Helper()
	for flag, value := range flags {
		got := run(t.Context(), "bench", bench, flag, value)
		assert.Equal(t, ExitUsage, got.code, flag)
		assert.ErrorContains(t, got.err, flag)
	}
}

func splitLines(text string) []string { return strings.Split(strings.TrimSpace(text), "\n") }

func TestBenchLoadPrintsResultOfEachPatternAndPolicy(t *testing.T) {
	args := []string{
		"bench", "load", "--engines", "6", "--routers", "3", "--rate", "50", "--length", "6s",
		"--pattern", "steady:0.5,burst", "--policy", "now,look-5", "--seeds", "1,2",
	}
	for _, result := range runTableAndJSON[bench.LoadResult](t, args, 4) {
		assert.Equal(t, 2, result.Seeds)
		assert.Len(t, result.WindowWorth, 3)
	}
}

func TestBenchLoadNamesInvalidFlag(t *testing.T) {
	checkFlagErrors(t, "load", map[string]string{"--pattern": "steady:x", "--policy": "best", "--seed": "one"})
	assert.ErrorContains(t, run(t.Context(), "bench", "load", "--engines", "0").err, "at least one engine")
}

// TestBenchLimitPrintsResultOfEachRun also checks that errors name the invalid flag.
func TestBenchLimitPrintsResultOfEachRun(t *testing.T) {
	args := []string{"bench", "limit", "--routers", "3,5", "--limit", "1,2", "--fault", "none,plain", "--rate", "30"}
	for _, result := range runTableAndJSON[simulation.LimitResult](t, args, 2*2*2) {
		assert.Positive(t, result.ServedShare)
	}
	checkFlagErrors(t, "limit", map[string]string{"--routers": "x", "--limit": "-1", "--fault": "flood", "--seed": "one"})
	assert.ErrorContains(t, run(t.Context(), "bench", "limit", "--routers", "0").err, "at least one router")
}
