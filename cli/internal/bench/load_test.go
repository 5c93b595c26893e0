package bench_test

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/cli/internal/bench"
	"github.com/wheelcleat/wheelcleat/daemon/simulation"
)

// TestLoadRunsAllPatternsAndPolicies checks the number of results, table lines and progress
// calls, and that a canceled run stops.
func TestLoadRunsAllPatternsAndPolicies(t *testing.T) {
	setup := simulation.Default()
	setup.Engines, setup.Rate, setup.Duration = 6, 50, 6*time.Second
	var patterns []simulation.Pattern
	for _, name := range []string{"steady:0.5", "steady:1.2"} {
		pattern, err := simulation.ParsePattern(name)
		require.NoError(t, err)
		patterns = append(patterns, pattern)
	}
	done := 0
	load := bench.Load{
		Setup: setup, Patterns: patterns, Policies: simulation.Policies()[:2], Seeds: []uint64{1, 2},
		Progress: func(now, all int) { done = now; assert.Equal(t, 8, all) },
	}
	results, err := load.Run(context.Background())
	require.NoError(t, err)
	require.Len(t, results, 4)
	assert.Equal(t, 8, done)
	assert.Greater(t, results[0].Worth, results[2].Worth, "half load yields more worth than overload")
	var table bytes.Buffer
	require.NoError(t, bench.WriteLoadTable(&table, results))
	assert.Len(t, strings.Split(strings.TrimSpace(table.String()), "\n"), 5)
	require.NoError(t, bench.PlotLoad(filepath.Join(t.TempDir(), "load.png"), results))

	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = load.Run(stopped)
	require.ErrorIs(t, err, context.Canceled)
}
