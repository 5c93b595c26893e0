package balance_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

func upstreams(count int) []*provider.Upstream {
	var result []*provider.Upstream
	for i := range count {
		result = append(result, &provider.Upstream{
			ID: fmt.Sprintf("u%d", i), Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", i+1)), Places: 16,
			Models: []provider.LoadedModel{{Model: "m", Version: 1}},
		})
	}
	return result
}

// shares counts how many of some requests each upstream gets, while a few are
// always in flight.
func shares(t *testing.T, pool *balance.Pool, candidates []*provider.Upstream, requests int, outcome func(id string) balance.Outcome) map[string]int {
	t.Helper()
	const inFlight = 12
	counts := map[string]int{}
	var flying []balance.Choice
	for range requests {
		choice, ok := pool.Choose(candidates, balance.Query{})
		require.True(t, ok)
		counts[choice.Upstream.ID]++
		if flying = append(flying, choice); len(flying) > inFlight {
			flying[0].Done(outcome(flying[0].Upstream.ID))
			flying = flying[1:]
		}
	}
	for _, choice := range flying {
		choice.Done(outcome(choice.Upstream.ID))
	}
	return counts
}

func served(string) balance.Outcome { return balance.Served }

func TestRequestsInFlightSpread(t *testing.T) {
	pool := &balance.Pool{}
	candidates := upstreams(4)
	counts := map[string]int{}
	for range 40 {
		choice, ok := pool.Choose(candidates, balance.Query{})
		require.True(t, ok)
		counts[choice.Upstream.ID]++
	}
	for id, count := range counts {
		assert.InDelta(t, 10, count, 1, id)
	}
}

func TestLeavingTriedAndOutdatedAreNotChosen(t *testing.T) {
	pool := &balance.Pool{}
	candidates := upstreams(3)
	candidates[0].Leaving = true
	candidates[1].Models = nil
	choice, ok := pool.Choose(candidates, balance.Query{Model: "m"})
	require.True(t, ok)
	assert.Equal(t, "u2", choice.Upstream.ID)
	assert.Equal(t, 1, choice.Version)
	_, ok = pool.Choose(candidates, balance.Query{Model: "m", Tried: []string{"u2"}})
	assert.False(t, ok)
	_, ok = pool.Choose(candidates, balance.Query{Model: "m", Version: 2})
	assert.False(t, ok)
}

func TestFailingUpstreamIsLeftAndComesBack(t *testing.T) {
	pool := &balance.Pool{}
	candidates := upstreams(4)
	counts := shares(t, pool, candidates, 400, func(id string) balance.Outcome {
		if id == "u0" {
			return balance.Failed
		}
		return balance.Served
	})
	assert.Less(t, counts["u0"], 50, "an upstream that fails is left soon")
	counts = shares(t, pool, candidates, 400, served)
	assert.Positive(t, counts["u1"])
}

// TestUsualFailuresAreNoReason: one service's sound upstreams fail one request
// in seven.
func TestUsualFailuresAreNoReason(t *testing.T) {
	pool := &balance.Pool{}
	candidates := upstreams(4)
	calls := 0
	counts := shares(t, pool, candidates, 700, func(string) balance.Outcome {
		if calls++; calls%7 == 0 {
			return balance.Failed
		}
		return balance.Served
	})
	for id, count := range counts {
		assert.Greater(t, count, 50, id)
	}
}

// TestRoutersDoNotFollowOneAnother: many routers are told the same, that some
// upstreams run more than others, and must not all choose the same one until
// the next news.
func TestRoutersDoNotFollowOneAnother(t *testing.T) {
	const routers, upstreamCount = 200, 20
	candidates := upstreams(upstreamCount)
	counts := map[string]int{}
	for range routers {
		pool := &balance.Pool{}
		for i, candidate := range candidates {
			pool.Tell(candidate.ID, balance.Told{Running: i % 8, Models: candidate.Models})
		}
		choice, ok := pool.Choose(candidates, balance.Query{Model: "m"})
		require.True(t, ok)
		counts[choice.Upstream.ID]++
	}
	const fair = routers / upstreamCount
	for id, count := range counts {
		assert.Less(t, count, 4*fair, id)
	}
}

// TestLoadingIsToldForAWhile: what breaks off at an upstream that loads is no
// fault of it.
func TestLoadingIsToldForAWhile(t *testing.T) {
	pool := &balance.Pool{}
	assert.False(t, pool.Loading("u0"), "unknown")
	pool.Tell("u0", balance.Told{})
	assert.False(t, pool.Loading("u0"))
	pool.Tell("u0", balance.Told{Loading: true})
	assert.True(t, pool.Loading("u0"))
}

// TestOwnHallGoesFirst while its upstreams are not busier.
func TestOwnHallGoesFirst(t *testing.T) {
	candidates := upstreams(4)
	candidates[0].Hall, candidates[1].Hall = "own", "own"
	candidates[2].Hall, candidates[3].Hall = "other", "other"
	chosen := func(tell func(*balance.Pool)) (own int) {
		for range 200 {
			pool := &balance.Pool{Hall: "own"}
			for _, candidate := range candidates {
				pool.Tell(candidate.ID, balance.Told{Models: candidate.Models})
			}
			tell(pool)
			choice, ok := pool.Choose(candidates, balance.Query{Model: "m"})
			require.True(t, ok)
			if choice.Upstream.Hall == "own" {
				own++
			}
		}
		return own
	}
	assert.Greater(t, chosen(func(*balance.Pool) {}), 150)
	assert.Less(t, chosen(func(pool *balance.Pool) {
		pool.Tell("u0", balance.Told{Waiting: 3, Models: candidates[0].Models})
		pool.Tell("u1", balance.Told{Waiting: 3, Models: candidates[1].Models})
	}), 50)
}

// TestChoiceSaysWhatIsAhead, by what was told of late and the own sends since.
func TestChoiceSaysWhatIsAhead(t *testing.T) {
	candidates := upstreams(1)
	pool := &balance.Pool{}
	choice, ok := pool.Choose(candidates, balance.Query{Model: "m"})
	require.True(t, ok)
	assert.Zero(t, choice.Waiting+choice.Beyond, "nothing was told")
	pool.Tell("u0", balance.Told{Running: 15, Waiting: 1, Models: candidates[0].Models})
	first, _ := pool.Choose(candidates, balance.Query{Model: "m"})
	second, _ := pool.Choose(candidates, balance.Query{Model: "m"})
	assert.Equal(t, []int{1, 2}, []int{first.Waiting, second.Waiting})
	assert.Equal(t, first.Beyond+1, second.Beyond)
	assert.Equal(t, 15, first.Running)
	pool.Tell("u0", balance.Told{Running: 12, Models: candidates[0].Models})
	urgent, _ := pool.Choose(candidates, balance.Query{Model: "m"})
	urgent.Done(balance.Served)
	pool.Tell("u0", balance.Told{Running: 12, Models: candidates[0].Models})
	less, _ := pool.Choose(candidates, balance.Query{Model: "m", Reserve: 4})
	assert.Equal(t, []int{0, 1}, []int{urgent.Beyond, less.Beyond}, "places are left to more urgent requests")
}

func TestToldLoadCounts(t *testing.T) {
	pool := &balance.Pool{}
	candidates := upstreams(3)
	pool.Tell("u0", balance.Told{Waiting: 3, Models: candidates[0].Models})
	pool.Tell("u1", balance.Told{Running: 4, Models: candidates[1].Models})
	pool.Tell("u2", balance.Told{Loading: true, Models: candidates[2].Models})
	choice, ok := pool.Choose(candidates, balance.Query{Model: "m"})
	require.True(t, ok)
	assert.Equal(t, "u1", choice.Upstream.ID, "what runs counts less than what waits, and a loading one comes last")
}

// TestToldVersionGoesBeforeTheRecord: the record in the store is older.
func TestToldVersionGoesBeforeTheRecord(t *testing.T) {
	pool := &balance.Pool{}
	candidates := upstreams(2)
	pool.Tell("u1", balance.Told{Models: []provider.LoadedModel{{Model: "m", Version: 2}}})
	choice, ok := pool.Choose(candidates, balance.Query{Model: "m", Version: 2})
	require.True(t, ok)
	assert.Equal(t, "u1", choice.Upstream.ID)
	choice.Done(balance.Served)
	counts := map[string]int{}
	for range 20 {
		pool.Tell("u1", balance.Told{Models: []provider.LoadedModel{{Model: "m", Version: 2}}})
		preferred, ok := pool.Choose(candidates, balance.Query{Model: "m", Preferred: 2, Avoid: 1})
		require.True(t, ok)
		counts[preferred.Upstream.ID]++
		preferred.Done(balance.Served)
	}
	assert.Equal(t, 20, counts["u1"], "the preferred version as long as there is room")
}

func TestUnreachableIsLastChoice(t *testing.T) {
	pool := &balance.Pool{}
	candidates := upstreams(2)
	for {
		choice, ok := pool.Choose(candidates, balance.Query{})
		require.True(t, ok)
		if choice.Upstream.ID == "u0" {
			choice.Done(balance.Unreachable)
			break
		}
		choice.Done(balance.Served)
	}
	assert.Equal(t, map[string]int{"u1": 20}, shares(t, pool, candidates, 20, served))
	_, ok := pool.Choose(candidates[:1], balance.Query{})
	assert.True(t, ok, "one that is blocked is better than none")
}

// TestOldNewsDoesNotCount: a request is not refused, nor an upstream avoided, for
// a load that was told long ago.
func TestOldNewsDoesNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	candidates := upstreams(1)
	pool := &balance.Pool{Now: func() time.Time { return now }}
	pool.Tell("u0", balance.Told{Running: 16, Waiting: 5, Models: candidates[0].Models})
	fresh, _ := pool.Choose(candidates, balance.Query{Model: "m"})
	assert.Equal(t, []int{16, 5}, []int{fresh.Running, fresh.Waiting})
	now = now.Add(time.Minute)
	old, _ := pool.Choose(candidates, balance.Query{Model: "m"})
	assert.Equal(t, []int{0, 0, 0}, []int{old.Running, old.Waiting, old.Beyond})
	assert.Equal(t, time.Minute, old.Age)
}

// TestClosingUpstreamsAreForShortRequests: one that is to take a version before a request is
// likely to be done is chosen only where no other is better by far.
func TestClosingUpstreamsAreForShortRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	candidates := upstreams(2)
	pool := &balance.Pool{Now: func() time.Time { return now }}
	pool.Tell("u0", balance.Told{ClosesIn: time.Second, Models: candidates[0].Models})
	pool.Tell("u1", balance.Told{Waiting: 3, Models: candidates[1].Models})
	chosen := func(lasts time.Duration) string {
		choice, ok := pool.Choose(candidates, balance.Query{Model: "m", Lasts: lasts})
		require.True(t, ok)
		choice.Done(balance.Abandoned)
		pool.Tell("u1", balance.Told{Waiting: 3, Models: candidates[1].Models})
		return choice.Upstream.ID
	}
	assert.Equal(t, "u0", chosen(900*time.Millisecond))
	assert.Equal(t, "u0", chosen(0), "how long it runs does not matter")
	assert.Equal(t, "u1", chosen(2500*time.Millisecond))
	pool.Tell("u0", balance.Told{Models: candidates[0].Models})
	assert.Equal(t, "u0", chosen(2500*time.Millisecond), "it has taken the version")
}

// TestAnUpstreamThatStartsAgainIsUnknown: what it did before under its id does not count,
// and what is still in flight does.
func TestAnUpstreamThatStartsAgainIsUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := &balance.Pool{Now: func() time.Time { return now }}
	candidates := upstreams(1)
	candidates[0].Started = now
	const failures = 20
	for range failures {
		choice, ok := pool.Choose(candidates, balance.Query{})
		require.True(t, ok)
		choice.Done(balance.Unreachable)
	}
	flying, ok := pool.Choose(candidates, balance.Query{})
	require.True(t, ok)
	assert.Greater(t, flying.Score, 1e5, "it is blocked")

	again := *candidates[0]
	again.Started = now.Add(time.Second)
	choice, ok := pool.Choose([]*provider.Upstream{&again}, balance.Query{})
	require.True(t, ok)
	assert.Less(t, choice.Score, 20.0)
	assert.Equal(t, 1, choice.InFlight)
	flying.Done(balance.Served)
	choice.Done(balance.Served)
	choice, ok = pool.Choose(candidates, balance.Query{})
	require.True(t, ok)
	assert.Zero(t, choice.InFlight)
	assert.Less(t, choice.Score, 20.0, "an older entry, read late, brings nothing back")
}

// TestHeldUpstreamsGetNothing, also where no other is left, until their time or news ends it.
func TestHeldUpstreamsGetNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := &balance.Pool{Now: func() time.Time { return now }}
	list := []*provider.Upstream{{ID: "a"}, {ID: "b"}}
	pool.Hold("a", time.Second)
	for range 20 {
		choice, ok := pool.Choose(list, balance.Query{})
		require.True(t, ok)
		assert.Equal(t, "b", choice.Upstream.ID)
	}
	pool.Hold("b", 3*time.Second)
	_, ok := pool.Choose(list, balance.Query{})
	assert.False(t, ok)
	wait, held := pool.Held(list)
	assert.True(t, held)
	assert.Equal(t, time.Second, wait)
	pool.Hold("b", 0)
	_, ok = pool.Choose(list, balance.Query{})
	assert.True(t, ok)
	now = now.Add(time.Second)
	assert.False(t, pool.Holds("a"))
}

// TestAnAnswerForAPlaceHidesNoVersion: a router does not follow the load of each engine of a
// large fleet. One that it does not was asked for a place, its answer names no versions, and
// the engine was taken for one that holds none for 0.8 s.
func TestAnAnswerForAPlaceHidesNoVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := &balance.Pool{Now: func() time.Time { return now }}
	list := upstreams(1)
	query := balance.Query{Model: "m", Version: 1}
	pool.TellLoad(list[0].ID, 3, 0, false)
	choice, ok := pool.Choose(list, query)
	require.True(t, ok, "its entry says what it holds")
	assert.Equal(t, 1, choice.Version)
	assert.Equal(t, 3, choice.Running)

	pool.Tell(list[0].ID, balance.Told{Models: []provider.LoadedModel{{Model: "m", Version: 2}}})
	now = now.Add(500 * time.Millisecond)
	pool.TellLoad(list[0].ID, 3, 0, false)
	now = now.Add(500 * time.Millisecond)
	choice, ok = pool.Choose(list, query)
	require.True(t, ok)
	assert.Equal(t, 1, choice.Version, "what its host told of versions is old by now, and its entry counts")
}
