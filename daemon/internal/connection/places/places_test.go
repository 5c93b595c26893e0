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

// request returns a request for a place within a limit.
func request(limit places.Limit) places.Request { return places.Request{Limit: limit} }

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
			ledger.Observe(places.EngineLoad{Running: running}, true)
		}
		observe()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if _, granted := ledger.Reserve(request(places.Limit{Waiting: count, InUse: count - 1})); granted {
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
		load, granted := ledger.Reserve(request(places.Limit{InUse: count - 1}))
		assert.True(t, granted, "unused reservations are free again: %+v", load)
	})
}

// TestLimitsBoundWaitingAndRunning covers each bound of a limit, and engines without a load.
func TestLimitsBoundWaitingAndRunning(t *testing.T) {
	ledger := &places.Ledger{}
	_, granted := ledger.Reserve(request(places.Limit{Waiting: 9, InUse: 99}))
	assert.False(t, granted, "no load was observed yet")

	ledger.Observe(places.EngineLoad{Running: 3, Waiting: 1}, true)
	_, granted = ledger.Reserve(request(places.Limit{Waiting: 0, InUse: 99}))
	assert.False(t, granted, "one request waits")
	_, granted = ledger.Reserve(request(places.Limit{Waiting: 1, InUse: 3}))
	assert.False(t, granted, "four places are in use")
	load, granted := ledger.Reserve(request(places.Limit{Waiting: 1, InUse: 4}))
	assert.True(t, granted)
	assert.Equal(t, places.EngineLoad{Running: 3, Waiting: 1}, load)
	load, granted = ledger.Reserve(request(places.Limit{Waiting: 1, InUse: 99}))
	assert.False(t, granted, "the previous reservation counts as waiting")
	assert.Equal(t, 2, load.Waiting)

	ledger.Observe(places.EngineLoad{Loading: true}, true)
	_, granted = ledger.Reserve(request(places.Limit{Waiting: 99, InUse: 99}))
	assert.False(t, granted, "the engine loads a version")
	ledger.Observe(places.EngineLoad{}, false)
	_, granted = ledger.Reserve(request(places.Limit{Waiting: 99, InUse: 99}))
	assert.False(t, granted, "the engine does not respond")
}

func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestReserveOverHTTP checks that limits and loads survive encoding, and that an invalid query is
// rejected.
func TestReserveOverHTTP(t *testing.T) {
	ledger := &places.Ledger{}
	ledger.Observe(places.EngineLoad{Running: 2, Waiting: 1}, true)
	var granted []bool
	address := serve(t, places.Handler(ledger, func(resp places.Response) { granted = append(granted, resp.Granted) }))
	client := &places.Client{Client: http.DefaultClient}

	resp, err := client.Reserve(context.Background(), address, request(places.Limit{Waiting: 1, InUse: 3}))
	require.NoError(t, err)
	assert.Equal(t, places.Response{EngineLoad: places.EngineLoad{Running: 2, Waiting: 1}, Granted: true}, resp)
	resp, err = client.Reserve(context.Background(), address, request(places.Limit{Waiting: 1, InUse: 3}))
	require.NoError(t, err)
	assert.False(t, resp.Granted)
	assert.Equal(t, []bool{true, false}, granted)

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
	reserve := func(ctx context.Context) error {
		_, err := client.Reserve(ctx, address, places.Request{})
		return err
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	require.Error(t, reserve(canceled))
	assert.Zero(t, calls)

	require.Error(t, reserve(context.Background()))
	require.ErrorIs(t, reserve(context.Background()), places.ErrBackoff)
	assert.Equal(t, 1, calls)
	c.now = c.now.Add(time.Second)
	err := reserve(context.Background())
	assert.False(t, errors.Is(err, places.ErrBackoff))
	assert.Equal(t, 2, calls)
}

// TestClosingEngineAdmitsRequestsThatEndBefore checks that a request which is expected to run
// when the engine closes gets no place, unless its duration is 0.
func TestClosingEngineAdmitsRequestsThatEndBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := &places.Ledger{Now: func() time.Time { return now }}
	ledger.Observe(places.EngineLoad{}, true)
	reserve := func(duration time.Duration) bool {
		_, granted := ledger.Reserve(request(places.Limit{Waiting: 99, InUse: 99, Duration: duration}))
		return granted
	}
	assert.True(t, reserve(time.Hour), "the engine does not close")
	ledger.CloseAt(now.Add(time.Second))
	assert.True(t, reserve(time.Second))
	assert.False(t, reserve(1001*time.Millisecond))
	assert.True(t, reserve(0))
	now = now.Add(600 * time.Millisecond)
	assert.False(t, reserve(500*time.Millisecond))
	ledger.CloseAt(time.Time{})
	assert.True(t, reserve(time.Hour))
}

// TestRateLimitAppliesToAllRouters checks that a limit which one router reports bounds the
// requests of all routers, that the others receive it with a time to retry, and that it does
// not apply to the next start of the engine.
func TestRateLimitAppliesToAllRouters(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	ledger := &places.Ledger{Now: c.read}
	ledger.Observe(places.EngineLoad{}, true)
	address := serve(t, places.Handler(ledger, func(places.Response) {}))
	client := &places.Client{Client: http.DefaultClient}
	reserve := func(engine ratelimit.Upstream, limit *ratelimit.Report) places.Response {
		c.now = c.now.Add(settled)
		ledger.Observe(places.EngineLoad{}, true)
		resp, err := client.Reserve(context.Background(), address, places.Request{Limit: places.Limit{InUse: 3}, Engine: engine, RateLimit: limit})
		require.NoError(t, err)
		return resp
	}
	engine := ratelimit.Upstream{ID: "u/1 &", Started: time.Unix(0, 12345)}
	assert.Nil(t, reserve(engine, nil).RateLimit)
	assert.True(t, reserve(engine, &ratelimit.Report{PerSecond: 0.5, Age: 20 * time.Millisecond}).Granted)
	other := reserve(engine, nil)
	assert.False(t, other.Granted)
	assert.Equal(t, &ratelimit.Report{PerSecond: 0.5, Age: 20*time.Millisecond + settled}, other.RateLimit)
	assert.Positive(t, other.RetryAfter)
	next := reserve(engine, nil)
	assert.Greater(t, next.RetryAfter, other.RetryAfter, "each refused request has a later time to retry")

	restarted := engine
	restarted.Started = time.Unix(0, 54321)
	assert.True(t, reserve(restarted, nil).Granted)
	assert.True(t, reserve(engine, &ratelimit.Report{Lifted: true}).Granted)
	assert.True(t, reserve(engine, nil).Granted)

	for _, query := range []string{"&limit=x&age=1", "&limit=-1&age=1", "&limit=1", "&limit=1&age=x"} {
		response, err := http.Get("http://" + address.String() + places.Path + "?waiting=1&taken=1&lasts=1&of=u" + query)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, http.StatusBadRequest, response.StatusCode, query)
	}
}

// TestWarmupRateAppliesToAllRouters checks that the rate of a cold engine also bounds routers
// that take it for warm.
func TestWarmupRateAppliesToAllRouters(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	ledger := &places.Ledger{Now: c.read}
	granted := 0
	for step := range 100 {
		ledger.Observe(places.EngineLoad{}, true)
		req := request(places.Limit{Waiting: 100, InUse: 100})
		req.Engine = ratelimit.Upstream{ID: "e"}
		if step%2 == 0 {
			req.Warmup = &ratelimit.Warmup{PerSecond: 10, Remaining: time.Second - time.Duration(step)*10*time.Millisecond}
		}
		if _, ok := ledger.Reserve(req); ok {
			granted++
		}
		c.now = c.now.Add(10 * time.Millisecond)
	}
	assert.InDelta(t, 10, granted, 2)
	c.now = c.now.Add(settled)
	ledger.Observe(places.EngineLoad{}, true)
	for range 20 {
		req := request(places.Limit{Waiting: 100, InUse: 100})
		req.Engine = ratelimit.Upstream{ID: "e"}
		_, ok := ledger.Reserve(req)
		assert.True(t, ok, "the engine is warm")
	}
}
