package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const step = 10 * time.Millisecond

// TestNoBurstWhenPauseEnds guards against all waiting requests at an idle upstream at the moment at
// which its pause ends.
func TestNoBurstWhenPauseEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := &balance.Pool{Now: func() time.Time { return now }}
	candidates := upstreams(1)
	until, ok := pool.Pause(candidates[0], 3*time.Second)
	require.True(t, ok)
	assert.False(t, until.Before(now.Add(3*time.Second)))
	for ; now.Before(until); now = now.Add(step) {
		_, ok := pool.Choose(candidates, balance.Query{})
		require.False(t, ok)
	}
	probe, ok := pool.Choose(candidates, balance.Query{})
	require.True(t, ok)
	sent := now
	for range 10 {
		_, ok := pool.Choose(candidates, balance.Query{})
		assert.False(t, ok, "one request finds out")
		now = now.Add(step)
	}
	assert.True(t, pool.EndPause(candidates[0], sent))
	for range 10 {
		_, ok := pool.Choose(candidates, balance.Query{})
		assert.True(t, ok)
	}
	probe.Done(balance.Served)
}

// TestProbeWithoutResponseFreesUpstream guards against an upstream that stays shut out because the
// request that was to end its pause was never sent or never answered.
func TestProbeWithoutResponseFreesUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := &balance.Pool{Now: func() time.Time { return now }}
	candidates := upstreams(1)
	now, _ = pool.Pause(candidates[0], time.Second)
	unsent, ok := pool.Choose(candidates, balance.Query{})
	require.True(t, ok)
	unsent.Done(balance.Canceled)
	_, ok = pool.Choose(candidates, balance.Query{})
	require.True(t, ok, "the first request was not sent")
	_, ok = pool.Choose(candidates, balance.Query{})
	require.False(t, ok)
	now = now.Add(2 * time.Second)
	_, ok = pool.Choose(candidates, balance.Query{})
	assert.True(t, ok, "the second request got no response")
}

// TestCrossingResponsesKeepLongestPause guards against a response that was sent before the refusal
// and arrives after it.
func TestCrossingResponsesKeepLongestPause(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := &balance.Pool{Now: func() time.Time { return now }}
	candidates := upstreams(1)
	sent := now
	now = now.Add(step)
	until, ok := pool.Pause(candidates[0], 3*time.Second)
	require.True(t, ok)
	_, ok = pool.Pause(candidates[0], time.Second)
	assert.False(t, ok)
	assert.False(t, pool.EndPause(candidates[0], sent))
	now = until.Add(-step)
	_, ok = pool.Choose(candidates, balance.Query{})
	assert.False(t, ok)
}

// TestRefusingUpstreamGetsOneRequestPerPause guards, for random pauses, loads and response times,
// against more requests in a pause than those in flight, and for routers that return together.
func TestRefusingUpstreamGetsOneRequestPerPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		pool := &balance.Pool{Now: func() time.Time { return now }}
		candidates := upstreams(2)
		wait := time.Duration(rapid.IntRange(100, 5000).Draw(t, "pause ms")) * time.Millisecond
		probes := 0
		pool.Pause(candidates[0], wait)
		end := now.Add(20 * time.Second)
		for ; now.Before(end); now = now.Add(step) {
			choice, ok := pool.Choose(candidates, balance.Query{})
			if !ok {
				continue
			}
			if choice.Upstream != candidates[0] {
				choice.Done(balance.Served)
				continue
			}
			probes++
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "response ms")) * time.Millisecond)
			pool.Pause(candidates[0], wait)
			choice.Done(balance.Full)
		}
		if most := int(20*time.Second/wait) + 1; probes > most {
			t.Fatalf("%d requests in 20 s with pauses of %s", probes, wait)
		}
	})
}

// TestRoutersReturnApart guards against many routers that were refused together and send to the
// upstream again at the same moment.
func TestRoutersReturnApart(t *testing.T) {
	const routers, wait, window = 40, 3 * time.Second, 20 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	perWindow := map[time.Duration]int{}
	for range routers {
		now := time.Unix(1000, 0)
		pool := &balance.Pool{Now: func() time.Time { return now }, Rand: random.Float64}
		until, _ := pool.Pause(upstreams(1)[0], wait)
		perWindow[until.Sub(now)/window]++
	}
	for at, count := range perWindow {
		assert.LessOrEqual(t, count, routers/5, at)
	}
}

// TestRestartEndsPause guards against a new process that is shut out for what the earlier one asked.
func TestRestartEndsPause(t *testing.T) {
	pool := &balance.Pool{}
	upstream := upstreams(1)[0]
	upstream.Started = time.Unix(1000, 0)
	pool.Pause(upstream, time.Hour)
	_, all := pool.PausedFor(upstreams(1))
	assert.True(t, all)
	restarted := *upstream
	restarted.Started = time.Unix(2000, 0)
	_, ok := pool.Choose([]*provider.Upstream{&restarted}, balance.Query{})
	assert.True(t, ok)
	_, ok = pool.Pause(upstream, time.Hour)
	assert.False(t, ok, "a late response of the earlier process")
}
