package balance_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// choicesDigest plays a fixed sequence of reports, choices and outcomes, and returns a digest of all
// choices with their scores.
func choicesDigest(pool *balance.Pool, pace float64) string {
	random := rand.New(rand.NewPCG(7, 7))
	now := time.Unix(1000, 0)
	pool.Hall, pool.Now, pool.Rand = "h0", func() time.Time { return now }, random.Float64
	candidates := upstreams(9)
	for i, candidate := range candidates {
		candidate.Hall, candidate.Service = fmt.Sprintf("h%d", i%3), "s"
	}
	digest := fnv.New64a()
	for range 4000 {
		now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
		id := candidates[random.IntN(8)].ID
		report := balance.LoadReport{
			Running: random.IntN(17), Waiting: random.IntN(4), Loading: random.IntN(40) == 0, Leaving: random.IntN(60) == 0,
			Models: []provider.LoadedModel{{Model: "m", Version: 1 + random.IntN(2)}}, Pace: pace,
		}
		if random.IntN(9) == 0 {
			report.ClosesIn = time.Duration(random.IntN(1500)) * time.Millisecond
		}
		if random.IntN(3) == 0 {
			pool.Report(id, report)
		} else {
			pool.ReportLoad(id, report)
		}
		query := balance.Query{Model: "m", Duration: time.Duration(random.IntN(900)) * time.Millisecond, ReservedPlaces: random.IntN(3)}
		if random.IntN(2) == 0 {
			query.Exclude = []string{candidates[random.IntN(9)].ID}
		}
		if random.IntN(3) == 0 {
			query.PreferredVersion, query.AvoidWeight = 2, random.Float64()
		}
		choice, ok := pool.Choose(candidates, query)
		if !ok {
			_, _ = fmt.Fprintln(digest, "none")
			continue
		}
		_, _ = fmt.Fprintln(digest, choice.Upstream.ID, math.Float64bits(choice.Score), choice.InFlight, choice.Candidates, choice.Waiting, choice.Excess, choice.Running, choice.ReportAge, choice.Version)
		outcome := balance.Outcome(random.IntN(6))
		if random.IntN(3) == 0 {
			outcome = balance.Served
		}
		choice.Done(outcome)
		if random.IntN(50) == 0 {
			pool.Throttle(id, 100*time.Millisecond)
		}
	}
	return fmt.Sprintf("%x", digest.Sum(nil))
}

// TestChoiceByReportIsUnchanged guards against any change of the choice for services to which the
// expected load does not apply. The digest is that of commit 35f692c, which had no other choice.
func TestChoiceByReportIsUnchanged(t *testing.T) {
	const before = "239648ee228604ff"
	for name, pool := range map[string]*balance.Pool{
		"not configured":    {},
		"never":             {ExpectedLoad: always(balance.ExpectedLoadNever)},
		"no slow upstreams": {ExpectedLoad: always(balance.ExpectedLoadIfSlow), OtherRouters: func(string) int { return 30 }},
	} {
		assert.Equal(t, before, choicesDigest(pool, 0), name)
	}
	assert.Equal(t, before, choicesDigest(&balance.Pool{ExpectedLoad: always(balance.ExpectedLoadNever)}, 2.5), "a pace does not count")
	assert.NotEqual(t, before, choicesDigest(&balance.Pool{ExpectedLoad: always(balance.ExpectedLoadAlways)}, 0))
	assert.NotEqual(t, before, choicesDigest(&balance.Pool{ExpectedLoad: always(balance.ExpectedLoadIfSlow)}, 2.5))
}

func always(value balance.ExpectedLoad) func(string) balance.ExpectedLoad {
	return func(string) balance.ExpectedLoad { return value }
}

// evenPool returns a pool that sends by expected load, and its clock.
func evenPool() (pool *balance.Pool, now *time.Time) {
	now = new(time.Time)
	*now = time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	return &balance.Pool{
		Hall: "h0", ExpectedLoad: always(balance.ExpectedLoadAlways), Now: func() time.Time { return *now }, Rand: random.Float64,
	}, now
}

// fleetOf returns upstreams of 12 places in halls of equal size.
func fleetOf(count, halls int) []*provider.Upstream {
	candidates := upstreams(count)
	for i, candidate := range candidates {
		candidate.Hall, candidate.Service, candidate.Places = fmt.Sprintf("h%d", i%halls), "s", 12
	}
	return candidates
}

// chosenShares returns the shares in which upstreams are chosen by the last reports.
func chosenShares(t *testing.T, pool *balance.Pool, candidates []*provider.Upstream, report func(i int) balance.LoadReport) map[string]float64 {
	t.Helper()
	const draws = 4000
	counts := map[string]float64{}
	for range draws {
		for i, candidate := range candidates {
			load := report(i)
			load.Models = candidate.Models
			pool.Report(candidate.ID, load)
		}
		choice, ok := pool.Choose(candidates, balance.Query{Model: "m"})
		require.True(t, ok)
		choice.Done(balance.Canceled)
		counts[choice.Upstream.ID] += 1.0 / draws
	}
	return counts
}

// TestShareOfOtherHallsFollowsLoadSmoothly guards against a hall whose requests all change to
// another hall at one difference in load, and against requests that leave their hall in calm load.
func TestShareOfOtherHallsFollowsLoadSmoothly(t *testing.T) {
	pool, _ := evenPool()
	candidates := fleetOf(12, 2)
	last := 0.0
	for running := 2; running <= 11; running++ {
		shares := chosenShares(t, pool, candidates, func(i int) balance.LoadReport {
			if i%2 == 1 {
				return balance.LoadReport{Running: 1}
			}
			return balance.LoadReport{Running: running}
		})
		other := 0.0
		for i, candidate := range candidates {
			if i%2 == 1 {
				other += shares[candidate.ID]
			}
		}
		assert.InDelta(t, last, other, 0.25, "%d running here, 1 there", running)
		assert.GreaterOrEqual(t, other, last-0.02)
		if running <= 5 {
			assert.Zero(t, other, "the difference is below the cost of the link")
		}
		last = other
	}
	assert.Greater(t, last, 0.5)
}

// TestHallWithoutUpstreamsUsesOthersByLoad guards against a hall whose own upstreams are evacuated or
// all loading, and whose requests are spread over the others without regard to their load.
func TestHallWithoutUpstreamsUsesOthersByLoad(t *testing.T) {
	for _, loading := range []bool{false, true} {
		pool, _ := evenPool()
		all := fleetOf(12, 2)
		var candidates []*provider.Upstream
		for _, candidate := range all {
			if loading || candidate.Hall != pool.Hall {
				candidates = append(candidates, candidate)
			}
		}
		shares := chosenShares(t, pool, candidates, func(i int) balance.LoadReport {
			if candidates[i].Hall == pool.Hall {
				return balance.LoadReport{Loading: true}
			}
			if candidates[i].ID == "u1" {
				return balance.LoadReport{Running: 12, Waiting: 1}
			}
			return balance.LoadReport{Running: 5}
		})
		assert.Less(t, shares["u1"], 0.01, "a full engine is chosen only if no other is drawn")
		for _, candidate := range candidates {
			if candidate.Hall == pool.Hall {
				assert.Zero(t, shares[candidate.ID])
			}
		}
	}
}

// TestSlowUpstreamsGetLess guards against a slow engine that is chosen like the others.
func TestSlowUpstreamsGetLess(t *testing.T) {
	pool, _ := evenPool()
	pool.ExpectedLoad = always(balance.ExpectedLoadIfSlow)
	candidates := fleetOf(6, 1)
	shares := chosenShares(t, pool, candidates, func(i int) balance.LoadReport {
		if i == 0 {
			return balance.LoadReport{Running: 4, Pace: 2.5}
		}
		return balance.LoadReport{Running: 4}
	})
	assert.Less(t, shares["u0"], 0.04)
	assert.Greater(t, shares["u1"], 0.15)
}

// TestSlowReportsExpire guards against a choice that stays changed after the engines recovered.
func TestSlowReportsExpire(t *testing.T) {
	pool, now := evenPool()
	pool.ExpectedLoad = always(balance.ExpectedLoadIfSlow)
	candidates := fleetOf(3, 1)
	usesExpected := func() bool {
		for i, candidate := range candidates {
			pool.Report(candidate.ID, balance.LoadReport{Running: 3 + i, Models: candidate.Models})
		}
		choice, ok := pool.Choose(candidates, balance.Query{Model: "m"})
		require.True(t, ok)
		return choice.Expected != nil
	}
	assert.False(t, usesExpected())
	pool.ReportLoad("u2", balance.LoadReport{Pace: 1.5})
	assert.True(t, usesExpected())
	*now = now.Add(9 * time.Second)
	assert.True(t, usesExpected(), "for 10 s")
	*now = now.Add(2 * time.Second)
	assert.False(t, usesExpected())
	pool.ReportLoad("u2", balance.LoadReport{Pace: math.NaN()})
	assert.False(t, usesExpected(), "an invalid pace counts as missing")
	pool.ReportLoad("u2", balance.LoadReport{Pace: 1.05})
	assert.False(t, usesExpected(), "a variation of the report is no slow engine")
}

// TestDeniedAndGrantedUpstreamsAreKnown guards against an engine that is queried again at once after
// it denied a place, and one that looks as idle after a grant as before it.
func TestDeniedAndGrantedUpstreamsAreKnown(t *testing.T) {
	for _, granted := range []bool{false, true} {
		pool, now := evenPool()
		candidates := fleetOf(2, 1)
		for _, candidate := range candidates {
			pool.Report(candidate.ID, balance.LoadReport{Running: 5, Models: candidate.Models})
		}
		first, ok := pool.Choose(candidates, balance.Query{Model: "m"})
		require.True(t, ok)
		pool.ReportLoad(first.Upstream.ID, balance.LoadReport{Running: 5})
		first.RecordPlace(granted)
		for range 30 {
			next, ok := pool.Choose(candidates, balance.Query{Model: "m"})
			require.True(t, ok)
			assert.NotEqual(t, first.Upstream.ID, next.Upstream.ID, "granted: %v", granted)
			next.Done(balance.Canceled)
			pool.ReportLoad(next.Upstream.ID, balance.LoadReport{Running: 5})
		}
		*now = now.Add(60 * time.Millisecond)
		seen := map[string]bool{}
		for range 30 {
			for _, candidate := range candidates {
				pool.ReportLoad(candidate.ID, balance.LoadReport{Running: 5})
			}
			next, _ := pool.Choose(candidates, balance.Query{Model: "m"})
			next.Done(balance.Canceled)
			seen[next.Upstream.ID] = true
		}
		assert.Len(t, seen, 2, "both are in use again")
	}
}

// TestExpectedLoadKeepsExclusions guards against an upstream that other rules exclude or put last
// and that is chosen because of its low load.
func TestExpectedLoadKeepsExclusions(t *testing.T) {
	tests := map[string]func(pool *balance.Pool, idle *provider.Upstream){
		"leaving":   func(pool *balance.Pool, idle *provider.Upstream) { pool.MarkLeaving(idle) },
		"paused":    func(pool *balance.Pool, idle *provider.Upstream) { pool.Pause(idle, time.Second) },
		"throttled": func(pool *balance.Pool, idle *provider.Upstream) { pool.Throttle(idle.ID, time.Second) },
		"loading": func(pool *balance.Pool, idle *provider.Upstream) {
			pool.Report(idle.ID, balance.LoadReport{Loading: true, Models: idle.Models})
		},
		"closing": func(pool *balance.Pool, idle *provider.Upstream) {
			pool.Report(idle.ID, balance.LoadReport{ClosesIn: time.Millisecond, Models: idle.Models})
		},
		"other model": func(pool *balance.Pool, idle *provider.Upstream) { pool.Report(idle.ID, balance.LoadReport{}) },
	}
	for name, exclude := range tests {
		pool, _ := evenPool()
		candidates := fleetOf(4, 1)
		for i, candidate := range candidates {
			pool.Report(candidate.ID, balance.LoadReport{Running: min(i, 1) * 7, Models: candidate.Models})
		}
		exclude(pool, candidates[0])
		for range 200 {
			choice, ok := pool.Choose(candidates, balance.Query{Model: "m", Duration: 1200 * time.Millisecond})
			require.True(t, ok)
			assert.NotEqual(t, "u0", choice.Upstream.ID, name)
			choice.Done(balance.Canceled)
			for _, candidate := range candidates[1:] {
				pool.Report(candidate.ID, balance.LoadReport{Running: 7, Models: candidate.Models})
			}
		}
	}
}

// TestWithoutReportsOwnCountsDecide guards against a plain service, or one whose reports are too
// old, whose requests are drawn at random.
func TestWithoutReportsOwnCountsDecide(t *testing.T) {
	pool, _ := evenPool()
	candidates := fleetOf(4, 1)
	counts := map[string]int{}
	for range 40 {
		choice, ok := pool.Choose(candidates, balance.Query{})
		require.True(t, ok)
		assert.Nil(t, choice.Expected)
		counts[choice.Upstream.ID]++
	}
	for id, count := range counts {
		assert.InDelta(t, 10, count, 1, id)
	}
}
