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

// TestBenchLoad prints a line for each pattern and policy, as a table and as JSON.
func TestBenchLoad(t *testing.T) {
	args := []string{
		"bench", "load", "--engines", "6", "--routers", "3", "--rate", "50", "--length", "6s",
		"--pattern", "steady:0.5,burst", "--policy", "now,look-5", "--seeds", "1,2",
	}
	table := run(t.Context(), args...)
	require.NoError(t, table.err)
	assert.Len(t, strings.Split(strings.TrimSpace(table.stdout), "\n"), 5)
	lines := run(t.Context(), append(args, "--json", "--plot", filepath.Join(t.TempDir(), "load.png"))...)
	require.NoError(t, lines.err)
	for _, line := range strings.Split(strings.TrimSpace(lines.stdout), "\n") {
		var result bench.LoadResult
		require.NoError(t, json.Unmarshal([]byte(line), &result))
		assert.Equal(t, 2, result.Seeds)
		assert.Len(t, result.Windows, 3)
	}
}

// TestBenchLoadSaysWhatIsWrong with its flags.
func TestBenchLoadSaysWhatIsWrong(t *testing.T) {
	for flag, value := range map[string]string{"--pattern": "steady:x", "--policy": "best", "--seed": "one"} {
		got := run(t.Context(), "bench", "load", flag, value)
		assert.Equal(t, ExitUsage, got.code, flag)
		assert.ErrorContains(t, got.err, flag)
	}
	assert.ErrorContains(t, run(t.Context(), "bench", "load", "--engines", "0").err, "at least one engine")
}

// TestBenchLimit prints a line for each play, as a table and as JSON, and says what is wrong
// with its flags.
func TestBenchLimit(t *testing.T) {
	args := []string{"bench", "limit", "--routers", "3,5", "--limit", "1,2", "--fault", "none,plain", "--rate", "30"}
	table := run(t.Context(), args...)
	require.NoError(t, table.err)
	assert.Len(t, strings.Split(strings.TrimSpace(table.stdout), "\n"), 1+2*2*2)
	lines := run(t.Context(), append(args, "--json", "--plot", filepath.Join(t.TempDir(), "limit.png"))...)
	require.NoError(t, lines.err)
	for _, line := range strings.Split(strings.TrimSpace(lines.stdout), "\n") {
		var result lab.LimitResult
		require.NoError(t, json.Unmarshal([]byte(line), &result))
		assert.Positive(t, result.Served)
	}
	for flag, value := range map[string]string{"--routers": "x", "--limit": "-1", "--fault": "flood", "--seed": "one"} {
		got := run(t.Context(), "bench", "limit", flag, value)
		assert.Equal(t, ExitUsage, got.code, flag)
		assert.ErrorContains(t, got.err, flag)
	}
	assert.ErrorContains(t, run(t.Context(), "bench", "limit", "--routers", "0").err, "it takes a router")
}
