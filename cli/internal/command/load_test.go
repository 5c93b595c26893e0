package command

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/cli/internal/bench"
	"github.com/wheelcleat/wheelcleat/daemon/lab"
)

// bothForms runs a bench that prints a line for each of some results, as a table and as JSON
// with a plot, and returns the results.
func bothForms[R any](t *testing.T, args []string, results int) []R {
	t.Helper()
	table := run(t.Context(), args...)
	require.NoError(t, table.err)
	assert.Len(t, linesOf(table.stdout), 1+results)
	plotted := run(t.Context(), append(args, "--json", "--plot", filepath.Join(t.TempDir(), "bench.png"))...)
	require.NoError(t, plotted.err)
	var all []R
	for _, line := range linesOf(plotted.stdout) {
		var result R
		require.NoError(t, json.Unmarshal([]byte(line), &result))
		all = append(all, result)
	}
	assert.Len(t, all, results)
	return all
}

// refusesFlags checks that a bench names the flag whose value is wrong.
func refusesFlags(t *testing.T, bench string, flags map[string]string) {
	t.Helper()
	for flag, value := range flags {
		got := run(t.Context(), "bench", bench, flag, value)
		assert.Equal(t, ExitUsage, got.code, flag)
		assert.ErrorContains(t, got.err, flag)
	}
}

func linesOf(text string) []string { return strings.Split(strings.TrimSpace(text), "\n") }

// TestBenchLoad prints a line for each pattern and policy, as a table and as JSON.
func TestBenchLoad(t *testing.T) {
	args := []string{
		"bench", "load", "--engines", "6", "--routers", "3", "--rate", "50", "--length", "6s",
		"--pattern", "steady:0.5,burst", "--policy", "now,look-5", "--seeds", "1,2",
	}
	for _, result := range bothForms[bench.LoadResult](t, args, 4) {
		assert.Equal(t, 2, result.Seeds)
		assert.Len(t, result.WindowWorth, 3)
	}
}

// TestBenchLoadSaysWhatIsWrong with its flags.
func TestBenchLoadSaysWhatIsWrong(t *testing.T) {
	refusesFlags(t, "load", map[string]string{"--pattern": "steady:x", "--policy": "best", "--seed": "one"})
	assert.ErrorContains(t, run(t.Context(), "bench", "load", "--engines", "0").err, "at least one engine")
}

// TestBenchLimit prints a line for each play, as a table and as JSON, and says what is wrong
// with its flags.
func TestBenchLimit(t *testing.T) {
	args := []string{"bench", "limit", "--routers", "3,5", "--limit", "1,2", "--fault", "none,plain", "--rate", "30"}
	for _, result := range bothForms[lab.LimitResult](t, args, 2*2*2) {
		assert.Positive(t, result.ServedShare)
	}
	refusesFlags(t, "limit", map[string]string{"--routers": "x", "--limit": "-1", "--fault": "flood", "--seed": "one"})
	assert.ErrorContains(t, run(t.Context(), "bench", "limit", "--routers", "0").err, "at least one router")
}
