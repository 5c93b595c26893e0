package ratelimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
)

// most returns the most of some times that fall within one second.
func most(times []time.Time) int {
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

// TestColdUpstreamGetsWhatItCarries replays the return of a hall: all routers want to send to
// an idle upstream at once, at one size of the fleet and at twice that. The rules allow 1.5
// times what it carries and five more in a second.
func TestColdUpstreamGetsWhatItCarries(t *testing.T) {
	const carries, allowed = 26, 44
	engine := ratelimit.Upstream{ID: "e"}
	for _, routers := range []int{40, 80, 546, 1092} {
		warming := &ratelimit.Warming{}
		start := time.Unix(1000, 0)
		warming.Told(engine, ratelimit.Cold{PerSecond: carries, Left: 3 * time.Second}, start)
		var sent []time.Time
		for step := range 3000 {
			now := start.Add(time.Duration(step) * time.Millisecond)
			for range routers / 20 {
				if _, ok := warming.Allow(engine, ratelimit.Whole, now); ok {
					sent = append(sent, now)
				}
			}
		}
		assert.LessOrEqual(t, most(sent), allowed, "%d routers", routers)
		assert.GreaterOrEqual(t, len(sent), int(3*carries)*95/100, "%d routers: it is used", routers)
	}
}

// TestWarmUpstreamHasNoBound: once the time is over nothing is counted, and a new start under
// another name is cold by itself.
func TestWarmUpstreamHasNoBound(t *testing.T) {
	engine := ratelimit.Upstream{ID: "e"}
	start := time.Unix(1000, 0)
	warming := &ratelimit.Warming{}
	warming.Told(engine, ratelimit.Cold{PerSecond: 1, Left: time.Second}, start)
	refused := 0
	for range 10 {
		if _, ok := warming.Allow(engine, ratelimit.Whole, start); !ok {
			refused++
		}
	}
	assert.Positive(t, refused)
	other := ratelimit.Upstream{ID: "e", Started: start}
	for range 10 {
		_, ok := warming.Allow(other, ratelimit.Whole, start)
		assert.True(t, ok)
		_, ok = warming.Allow(engine, ratelimit.Whole, start.Add(time.Second))
		assert.True(t, ok)
	}
}

// TestTurnsAtColdUpstreamAddUp: routers whose loader does not answer stay within the bound
// together with those that it answers.
func TestTurnsAtColdUpstreamAddUp(t *testing.T) {
	const carries, allowed = 26, 44
	engine := ratelimit.Upstream{ID: "e"}
	for _, routers := range []int{40, 80, 400} {
		start := time.Unix(1000, 0)
		loader := &ratelimit.Warming{}
		loader.Told(engine, ratelimit.Cold{PerSecond: carries, Left: 3 * time.Second}, start)
		alone := make([]*ratelimit.Warming, routers)
		for i := range alone {
			alone[i] = &ratelimit.Warming{}
			alone[i].Told(engine, ratelimit.Cold{PerSecond: carries, Left: 3 * time.Second}, start)
		}
		var sent []time.Time
		for step := range 600 {
			now := start.Add(time.Duration(step) * 5 * time.Millisecond)
			if _, ok := loader.Allow(engine, ratelimit.Whole, now); ok {
				sent = append(sent, now)
			}
			for _, router := range alone {
				if _, ok := router.Allow(engine, ratelimit.PastLoader.Among(routers), now); ok {
					sent = append(sent, now)
				}
			}
		}
		assert.LessOrEqual(t, most(sent), allowed, "%d routers", routers)
	}
}
