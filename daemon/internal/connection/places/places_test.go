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

// clock is a clock that the test advances.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

// question returns a request for a place within a limit.
func question(limit places.Limit) places.Question { return places.Question{Limit: limit} }

// settled is longer than the time after which the load reflects a reservation.
const settled = 100 * time.Millisecond

// TestLedgerNeverOverbooks guards, for random orders of reservations and load reports, against
// more requests than places, and against unused reservations that stay.
func TestLedgerNeverOverbooks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{now: time.Unix(1000, 0)}
		ledger := &places.Ledger{Now: c.read}
		count := rapid.IntRange(1, 16).Draw(t, "places")
		running, reserved := 0, 0
		observe := func() {
			running += reserved
			reserved = 0
			ledger.Observe(places.Load{Running: running}, true)
		}
		observe()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if _, given := ledger.Take(question(places.Limit{Waiting: count, Taken: count - 1})); given {
					reserved++
				}
			case 2: // the requests of the reservations arrive, or their routers crashed
				if rapid.Bool().Draw(t, "router died") {
					reserved = 0
				}
				c.now = c.now.Add(settled)
				observe()
			default:
				running -= rapid.IntRange(0, running).Draw(t, "ended")
			}
			assert.LessOrEqual(t, running+reserved, count)
		}
		running, reserved = 0, 0
		c.now = c.now.Add(settled)
		observe()
		load, given := ledger.Take(question(places.Limit{Taken: count - 1}))
		assert.True(t, given, "unused reservations are free again: %+v", load)
	})
}

// TestLimitsBoundWaitingAndRunning covers each bound of a limit, and engines without a load.
func TestLimitsBoundWaitingAndRunning(t *testing.T) {
	ledger := &places.Ledger{}
	_, given := ledger.Take(question(places.Limit{Waiting: 9, Taken: 99}))
	assert.False(t, given, "no load was observed yet")

	ledger.Observe(places.Load{Running: 3, Waiting: 1}, true)
	_, given = ledger.Take(question(places.Limit{Waiting: 0, Taken: 99}))
	assert.False(t, given, "one request waits")
	_, given = ledger.Take(question(places.Limit{Waiting: 1, Taken: 3}))
	assert.False(t, given, "four places are in use")
	load, given := ledger.Take(question(places.Limit{Waiting: 1, Taken: 4}))
	assert.True(t, given)
	assert.Equal(t, places.Load{Running: 3, Waiting: 1}, load)
	load, given = ledger.Take(question(places.Limit{Waiting: 1, Taken: 99}))
	assert.False(t, given, "the previous reservation counts as waiting")
	assert.Equal(t, 2, load.Waiting)

	ledger.Observe(places.Load{Loading: true}, true)
	_, given = ledger.Take(question(places.Limit{Waiting: 99, Taken: 99}))
	assert.False(t, given, "the engine loads a version")
	ledger.Observe(places.Load{}, false)
	_, given = ledger.Take(question(places.Limit{Waiting: 99, Taken: 99}))
	assert.False(t, given, "the engine does not respond")
}

func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestAskOverHTTP checks that limits and loads survive encoding, and that an invalid query is
// rejected.
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

// TestFailedLoaderIsInBackoff guards against repeated calls to a failed loader, and against a
// backoff because the caller canceled.
func TestFailedLoaderIsInBackoff(t *testing.T) {
	calls := 0
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.WriteHeader(http.StatusNotFound)
	}))
	c := &clock{now: time.Unix(1000, 0)}
	client := &places.Client{Client: http.DefaultClient, Now: c.read}
	ask := func(ctx context.Context) error {
		_, err := client.Ask(ctx, address, places.Question{})
		return err
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	require.Error(t, ask(canceled))
	assert.Zero(t, calls)

	require.Error(t, ask(context.Background()))
	require.ErrorIs(t, ask(context.Background()), places.ErrMuted)
	assert.Equal(t, 1, calls)
	c.now = c.now.Add(time.Second)
	err := ask(context.Background())
	assert.False(t, errors.Is(err, places.ErrMuted))
	assert.Equal(t, 2, calls)
}

// TestClosingEngineAdmitsRequestsThatEndBefore checks that a request which is expected to run
// at the scheduled load time gets no place, unless its duration is given as 0.
func TestClosingEngineAdmitsRequestsThatEndBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := &places.Ledger{Now: func() time.Time { return now }}
	ledger.Observe(places.Load{}, true)
	take := func(duration time.Duration) bool {
		_, given := ledger.Take(question(places.Limit{Waiting: 99, Taken: 99, Lasts: duration}))
		return given
	}
	assert.True(t, take(time.Hour), "no load is scheduled")
	ledger.Close(now.Add(time.Second))
	assert.True(t, take(time.Second))
	assert.False(t, take(1001*time.Millisecond))
	assert.True(t, take(0))
	now = now.Add(600 * time.Millisecond)
	assert.False(t, take(500*time.Millisecond))
	ledger.Close(time.Time{})
	assert.True(t, take(time.Hour))
}

// TestRateLimitAppliesToAllRouters checks that a limit which one router reports bounds the
// requests of all routers, that the others receive it with a time to retry, and that it does
// not apply to the next start of the engine.
func TestRateLimitAppliesToAllRouters(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	ledger := &places.Ledger{Now: c.read}
	ledger.Observe(places.Load{}, true)
	address := serve(t, places.Handler(ledger, func(places.Answer) {}))
	client := &places.Client{Client: http.DefaultClient}
	ask := func(engine ratelimit.Upstream, known *ratelimit.Note) places.Answer {
		c.now = c.now.Add(settled)
		ledger.Observe(places.Load{}, true)
		answer, err := client.Ask(context.Background(), address, places.Question{Limit: places.Limit{Taken: 3}, Engine: engine, Known: known})
		require.NoError(t, err)
		return answer
	}
	engine := ratelimit.Upstream{ID: "u/1 &", Started: time.Unix(0, 12345)}
	assert.Nil(t, ask(engine, nil).Limit)
	assert.True(t, ask(engine, &ratelimit.Note{PerSecond: 0.5, Age: 20 * time.Millisecond}).Given)
	other := ask(engine, nil)
	assert.False(t, other.Given)
	assert.Equal(t, &ratelimit.Note{PerSecond: 0.5, Age: 20*time.Millisecond + settled}, other.Limit)
	assert.Positive(t, other.Wait)
	next := ask(engine, nil)
	assert.Greater(t, next.Wait, other.Wait, "each refused request has a later time to retry")

	restarted := engine
	restarted.Started = time.Unix(0, 54321)
	assert.True(t, ask(restarted, nil).Given)
	assert.True(t, ask(engine, &ratelimit.Note{Ended: true}).Given)
	assert.True(t, ask(engine, nil).Given)

	for _, query := range []string{"&limit=x&age=1", "&limit=-1&age=1", "&limit=1", "&limit=1&age=x"} {
		response, err := http.Get("http://" + address.String() + places.Path + "?waiting=1&taken=1&lasts=1&of=u" + query)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, http.StatusBadRequest, response.StatusCode, query)
	}
}

// TestWarmupRateAppliesToAllRouters checks that the rate of a cold engine also bounds routers
// that do not hold it for cold.
func TestWarmupRateAppliesToAllRouters(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	ledger := &places.Ledger{Now: c.read}
	given := 0
	for step := range 100 {
		ledger.Observe(places.Load{}, true)
		q := question(places.Limit{Waiting: 100, Taken: 100})
		q.Engine = ratelimit.Upstream{ID: "e"}
		if step%2 == 0 {
			q.Cold = &ratelimit.Cold{PerSecond: 10, Left: time.Second - time.Duration(step)*10*time.Millisecond}
		}
		if _, ok := ledger.Take(q); ok {
			given++
		}
		c.now = c.now.Add(10 * time.Millisecond)
	}
	assert.InDelta(t, 10, given, 2)
	c.now = c.now.Add(settled)
	ledger.Observe(places.Load{}, true)
	for range 20 {
		q := question(places.Limit{Waiting: 100, Taken: 100})
		q.Engine = ratelimit.Upstream{ID: "e"}
		_, ok := ledger.Take(q)
		assert.True(t, ok, "the engine is warm")
	}
}
