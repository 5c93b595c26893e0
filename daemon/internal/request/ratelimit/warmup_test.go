package ratelimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
)

// maxPerSecond returns the highest number of the given times within one second.
func maxPerSecond(times []time.Time) int {
	result := 0
	for i, first := range times {
		count := 0
		for _, at := range times[i:] {
			if at.Sub(first) < time.Second {
				count++
			}
		}
		result = max(result, count)
	}
	return result
}

// TestWarmupRateIsKeptAndUsed guards against overloading a cold upstream when a hall recovers and
// all routers send at once. In a second 1.5 times the sustained rate plus five requests are
// tolerated.
func TestWarmupRateIsKeptAndUsed(t *testing.T) {
	const sustained, allowed = 26, 44
	engine := ratelimit.Upstream{ID: "e"}
	for _, routers := range []int{40, 80, 546, 1092} {
		table := &ratelimit.WarmupTable{}
		start := time.Unix(1000, 0)
		table.Merge(engine, ratelimit.Warmup{PerSecond: sustained, Remaining: 3 * time.Second}, start)
		var sent []time.Time
		for step := range 3000 {
			now := start.Add(time.Duration(step) * time.Millisecond)
			for range routers / 20 {
				if _, ok := table.Allow(engine, ratelimit.LoaderShare, now); ok {
					sent = append(sent, now)
				}
			}
		}
		assert.LessOrEqual(t, maxPerSecond(sent), allowed, "%d routers", routers)
		assert.GreaterOrEqual(t, len(sent), int(3*sustained)*95/100, "%d routers: the rate is used", routers)
	}
}

// TestWarmUpstreamIsUnlimited also checks that the warm-up of one run does not limit another.
func TestWarmUpstreamIsUnlimited(t *testing.T) {
	engine := ratelimit.Upstream{ID: "e"}
	start := time.Unix(1000, 0)
	table := &ratelimit.WarmupTable{}
	table.Merge(engine, ratelimit.Warmup{PerSecond: 1, Remaining: time.Second}, start)
	denied := 0
	for range 10 {
		if _, ok := table.Allow(engine, ratelimit.LoaderShare, start); !ok {
			denied++
		}
	}
	assert.Positive(t, denied)
	restarted := ratelimit.Upstream{ID: "e", Started: start}
	for range 10 {
		_, ok := table.Allow(restarted, ratelimit.LoaderShare, start)
		assert.True(t, ok)
		_, ok = table.Allow(engine, ratelimit.LoaderShare, start.Add(time.Second))
		assert.True(t, ok)
	}
}

// TestSlotsAndLoaderTogetherKeepWarmupRate guards against routers with an unreachable loader
// exceeding the rate together with the requests that the loader grants.
func TestSlotsAndLoaderTogetherKeepWarmupRate(t *testing.T) {
	const sustained, allowed = 26, 44
	engine := ratelimit.Upstream{ID: "e"}
	for _, routers := range []int{40, 80, 400} {
		start := time.Unix(1000, 0)
		loader := &ratelimit.WarmupTable{}
		loader.Merge(engine, ratelimit.Warmup{PerSecond: sustained, Remaining: 3 * time.Second}, start)
		routerTables := make([]*ratelimit.WarmupTable, routers)
		for i := range routerTables {
			routerTables[i] = &ratelimit.WarmupTable{}
			routerTables[i].Merge(engine, ratelimit.Warmup{PerSecond: sustained, Remaining: 3 * time.Second}, start)
		}
		var sent []time.Time
		for step := range 600 {
			now := start.Add(time.Duration(step) * 5 * time.Millisecond)
			if _, ok := loader.Allow(engine, ratelimit.LoaderShare, now); ok {
				sent = append(sent, now)
			}
			for _, router := range routerTables {
				if _, ok := router.Allow(engine, ratelimit.LoaderUnreachableShare.Among(routers), now); ok {
					sent = append(sent, now)
				}
			}
		}
		assert.LessOrEqual(t, maxPerSecond(sent), allowed, "%d routers", routers)
	}
}
