package places_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
)

// clock is set by hand.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

// question asks for a place within a limit.
func question(limit places.Limit) places.Question { return places.Question{Limit: limit} }

// settled is longer than a place that was given takes to show in a report.
const settled = 100 * time.Millisecond

// TestNoPlaceIsGivenTwice: however questions and reports come, an engine whose
// requests all asked first never has more of them than its places, and what was
// given and not used is given again.
func TestNoPlaceIsGivenTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{now: time.Unix(1000, 0)}
		ledger := &places.Ledger{Now: c.read}
		count := rapid.IntRange(1, 16).Draw(t, "places")
		running, coming := 0, 0
		observe := func() {
			running += coming
			coming = 0
			ledger.Observe(places.Load{Running: running}, true)
		}
		observe()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if _, given := ledger.Take(question(places.Limit{Waiting: count, Taken: count - 1})); given {
					coming++
				}
			case 2: // given places show, or their routers died
				if rapid.Bool().Draw(t, "router died") {
					coming = 0
				}
				c.now = c.now.Add(settled)
				observe()
			default:
				running -= rapid.IntRange(0, running).Draw(t, "ended")
			}
			assert.LessOrEqual(t, running+coming, count)
		}
		running, coming = 0, 0
		c.now = c.now.Add(settled)
		observe()
		load, given := ledger.Take(question(places.Limit{Taken: count - 1}))
		assert.True(t, given, "places that nobody used are free again: %+v", load)
	})
}

// TestLimits: what waits and what runs count as the limit says.
func TestLimits(t *testing.T) {
	ledger := &places.Ledger{}
	_, given := ledger.Take(question(places.Limit{Waiting: 9, Taken: 99}))
	assert.False(t, given, "nothing is known yet")

	ledger.Observe(places.Load{Running: 3, Waiting: 1}, true)
	_, given = ledger.Take(question(places.Limit{Waiting: 0, Taken: 99}))
	assert.False(t, given, "one waits")
	_, given = ledger.Take(question(places.Limit{Waiting: 1, Taken: 3}))
	assert.False(t, given, "four are taken")
	load, given := ledger.Take(question(places.Limit{Waiting: 1, Taken: 4}))
	assert.True(t, given)
	assert.Equal(t, places.Load{Running: 3, Waiting: 1}, load)
	load, given = ledger.Take(question(places.Limit{Waiting: 1, Taken: 99}))
	assert.False(t, given, "the place given before counts as waiting")
	assert.Equal(t, 2, load.Waiting)

	ledger.Observe(places.Load{Loading: true}, true)
	_, given = ledger.Take(question(places.Limit{Waiting: 99, Taken: 99}))
	assert.False(t, given, "the engine loads")
	ledger.Observe(places.Load{}, false)
	_, given = ledger.Take(question(places.Limit{Waiting: 99, Taken: 99}))
	assert.False(t, given, "the engine does not answer")
}

func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestAskOverHTTP: limits and loads arrive as they were sent.
func TestAskOverHTTP(t *testing.T) {
	ledger := &places.Ledger{}
	ledger.Observe(places.Load{Running: 2, Waiting: 1}, true)
	var answers []bool
	address := serve(t, places.Handler(ledger, func(answer places.Answer) { answers = append(answers, answer.Given) }))
	client := &places.Client{Client: http.DefaultClient}

	answer, err := client.Ask(context.Background(), address, question(places.Limit{Waiting: 1, Taken: 3}))
	require.NoError(t, err)
	assert.Equal(t, places.Answer{Load: places.Load{Running: 2, Waiting: 1}, Given: true}, answer)
	answer, err = client.Ask(context.Background(), address, question(places.Limit{Waiting: 1, Taken: 3}))
	require.NoError(t, err)
	assert.False(t, answer.Given)
	assert.Equal(t, []bool{true, false}, answers)

	response, err := http.Get("http://" + address.String() + places.Path + "?waiting=x&taken=1")
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
}

// TestSilentLoadersAreLeftAlone: one that fails is not asked again for a moment, and
// a caller that left is no failure of the loader's.
func TestSilentLoadersAreLeftAlone(t *testing.T) {
	asked := 0
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked++
		w.WriteHeader(http.StatusNotFound)
	}))
	c := &clock{now: time.Unix(1000, 0)}
	client := &places.Client{Client: http.DefaultClient, Now: c.read}
	ask := func(ctx context.Context) error {
		_, err := client.Ask(ctx, address, places.Question{})
		return err
	}
	left, leave := context.WithCancel(context.Background())
	leave()
	require.Error(t, ask(left))
	assert.Zero(t, asked)

	require.Error(t, ask(context.Background()))
	require.ErrorIs(t, ask(context.Background()), places.ErrMuted)
	assert.Equal(t, 1, asked)
	c.now = c.now.Add(time.Second)
	err := ask(context.Background())
	assert.False(t, errors.Is(err, places.ErrMuted))
	assert.Equal(t, 2, asked)
}

// TestAClosingEngineTakesWhatIsDoneByThen: a request that is likely to run when its engine is
// ordered to take a version gets no place there; one whose time does not matter does.
func TestAClosingEngineTakesWhatIsDoneByThen(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := &places.Ledger{Now: func() time.Time { return now }}
	ledger.Observe(places.Load{}, true)
	take := func(lasts time.Duration) bool {
		_, given := ledger.Take(question(places.Limit{Waiting: 99, Taken: 99, Lasts: lasts}))
		return given
	}
	assert.True(t, take(time.Hour), "it is not to be ordered soon")
	ledger.Close(now.Add(time.Second))
	assert.True(t, take(time.Second))
	assert.False(t, take(1001*time.Millisecond))
	assert.True(t, take(0))
	now = now.Add(600 * time.Millisecond)
	assert.False(t, take(500*time.Millisecond))
	ledger.Close(time.Time{})
	assert.True(t, take(time.Hour))
}

// TestAnEnginesLimitCountsForAllRouters: what one router read in an answer holds for every
// question, also of routers that know nothing of it; all hear of it, and when to ask again; and
// an engine that has started again begins without one.
func TestAnEnginesLimitCountsForAllRouters(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	ledger := &places.Ledger{Now: c.read}
	ledger.Observe(places.Load{}, true)
	address := serve(t, places.Handler(ledger, func(places.Answer) {}))
	client := &places.Client{Client: http.DefaultClient}
	ask := func(engine ratelimit.Upstream, known *ratelimit.Report) places.Answer {
		c.now = c.now.Add(settled)
		ledger.Observe(places.Load{}, true)
		answer, err := client.Ask(context.Background(), address, places.Question{Limit: places.Limit{Taken: 3}, Engine: engine, Known: known})
		require.NoError(t, err)
		return answer
	}
	engine := ratelimit.Upstream{ID: "u/1 &", Started: time.Unix(0, 12345)}
	assert.Nil(t, ask(engine, nil).Limit)
	assert.True(t, ask(engine, &ratelimit.Report{PerSecond: 0.5, Age: 20 * time.Millisecond}).Given)
	unaware := ask(engine, nil)
	assert.False(t, unaware.Given)
	assert.Equal(t, &ratelimit.Report{PerSecond: 0.5, Age: 20*time.Millisecond + settled}, unaware.Limit)
	assert.Positive(t, unaware.Wait)
	later := ask(engine, nil)
	assert.Greater(t, later.Wait, unaware.Wait, "whoever asks next is told to come after the one before")

	again := engine
	again.Started = time.Unix(0, 54321)
	assert.True(t, ask(again, nil).Given)
	assert.True(t, ask(engine, &ratelimit.Report{Lifted: true}).Given)
	assert.True(t, ask(engine, nil).Given)

	for _, query := range []string{"&limit=x&age=1", "&limit=-1&age=1", "&limit=1", "&limit=1&age=x"} {
		response, err := http.Get("http://" + address.String() + places.Path + "?waiting=1&taken=1&lasts=1&of=u" + query)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, http.StatusBadRequest, response.StatusCode, query)
	}
}

// TestColdEngineIsCountedOnceForAllRouters: the loader counts the places that it gives while
// some router says that the engine is cold, also to routers that do not know it yet.
func TestColdEngineIsCountedOnceForAllRouters(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	ledger := &places.Ledger{Now: c.read}
	given := 0
	for step := range 100 {
		ledger.Observe(places.Load{}, true)
		asked := question(places.Limit{Waiting: 100, Taken: 100})
		asked.Engine = ratelimit.Upstream{ID: "e"}
		if step%2 == 0 {
			asked.Cold = &ratelimit.Warmup{PerSecond: 10, Remaining: time.Second - time.Duration(step)*10*time.Millisecond}
		}
		if _, ok := ledger.Take(asked); ok {
			given++
		}
		c.now = c.now.Add(10 * time.Millisecond)
	}
	assert.InDelta(t, 10, given, 2)
	c.now = c.now.Add(settled)
	ledger.Observe(places.Load{}, true)
	for range 20 {
		asked := question(places.Limit{Waiting: 100, Taken: 100})
		asked.Engine = ratelimit.Upstream{ID: "e"}
		_, ok := ledger.Take(asked)
		assert.True(t, ok, "it is warm")
	}
}
