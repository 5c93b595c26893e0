package staleload_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/staleload"
)

// drawReport draws what a router knows of an engine.
func drawReport(t *rapid.T) staleload.Report {
	places := rapid.IntRange(1, 64).Draw(t, "places")
	return staleload.Report{
		Running: rapid.IntRange(0, places).Draw(t, "running"), Waiting: rapid.IntRange(0, 20).Draw(t, "waiting"),
		Age: time.Duration(rapid.IntRange(0, 800).Draw(t, "age")) * time.Millisecond, Sent: rapid.IntRange(0, 9).Draw(t, "sent"),
		Places: places, Pace: rapid.Float64Range(1, 100).Draw(t, "pace"), OthersPerSecond: rapid.Float64Range(0, 100).Draw(t, "others"),
	}
}

func cost(report staleload.Report) float64 {
	return report.Expected().Cost(report.Places, 0, report.Pace)
}

// TestMoreLoadCostsMore guards against an engine that is preferred for having more to do.
func TestMoreLoadCostsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := drawReport(t)
		for name, change := range map[string]func(*staleload.Report){
			"running": func(r *staleload.Report) { r.Running++ },
			"waiting": func(r *staleload.Report) { r.Waiting++ },
			"sent":    func(r *staleload.Report) { r.Sent++ },
		} {
			more := report
			change(&more)
			require.Greater(t, cost(more), cost(report), name)
		}
		more := report
		more.OthersPerSecond++
		require.GreaterOrEqual(t, cost(more), cost(report))
		slower := report
		slower.Waiting, slower.OthersPerSecond = 0, 0
		faster := slower
		faster.Pace = 1
		require.GreaterOrEqual(t, cost(slower), cost(faster))
	})
}

// TestFreshReportIsTakenAsItIs and the old limit guard against an estimate that ignores what is
// known, or that drifts without bound.
func TestExpectedLoadFollowsTheAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := drawReport(t)
		fresh := report
		fresh.Age = 0
		require.InDelta(t, report.Waiting+report.Sent, fresh.Expected().Waiting, 1e-9)
		require.InDelta(t, report.Running, fresh.Expected().Running, 1e-9)
		old := report
		old.Age = time.Hour
		require.InDelta(t, report.Running+report.Waiting, old.Expected().Running, 1e-9, "all that waited runs")
		steady := report.OthersPerSecond * 0.05
		require.InDelta(t, steady+float64(report.Sent), old.Expected().Waiting, 1e-9)
	})
}

// TestRateConverges guards against expected arrivals that are far off, with one request a second
// and with twenty.
func TestRateConverges(t *testing.T) {
	for _, perSecond := range []float64{1, 20} {
		var rate staleload.Rate
		now := time.Unix(1000, 0)
		assert.Zero(t, rate.PerSecond(now))
		for range int(30 * perSecond) {
			now = now.Add(time.Duration(float64(time.Second) / perSecond))
			rate.Add(now)
		}
		assert.InEpsilon(t, perSecond, rate.PerSecond(now), 0.2)
		assert.Less(t, rate.PerSecond(now.Add(20*time.Second)), 0.02*perSecond)
	}
}

// TestDrawIsFairAndRespectsPenalties guards against engines that are never drawn, or are drawn
// although others go before them.
func TestDrawIsFairAndRespectsPenalties(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	penalties := []float64{0, 0, math.Log(2.5), 1e6, 0}
	counts := make([]float64, len(penalties))
	const draws = 50_000
	for range draws {
		drawn := staleload.Draw(penalties, 1, random.Float64)
		require.Len(t, drawn, 1)
		counts[drawn[0]]++
	}
	assert.Zero(t, counts[3])
	assert.InEpsilon(t, counts[0], counts[1], 0.05)
	assert.InEpsilon(t, counts[0], counts[4], 0.05)
	assert.InEpsilon(t, counts[0]/2.5, counts[2], 0.05)
}

// TestDrawReturnsDistinctEngines also covers more engines asked for than there are, and a random
// source at its bounds.
func TestDrawReturnsDistinctEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		penalties := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 0, 20).Draw(t, "penalties")
		count := rapid.IntRange(0, 25).Draw(t, "count")
		random := rapid.SampledFrom([]func() float64{rand.Float64, func() float64 { return 0 }, func() float64 { return math.Nextafter(1, 0) }}).Draw(t, "random")
		drawn := staleload.Draw(penalties, count, random)
		require.Len(t, drawn, min(count, len(penalties)))
		seen := map[int]bool{}
		for _, index := range drawn {
			require.False(t, seen[index])
			seen[index] = true
		}
	})
}
