package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// retryWait is the wait that is returned for an upstream whose rate limit is used up.
const retryWait = 300 * time.Millisecond

// limitAllExcept makes all loaders except one answer that the engine's rate limit is used up.
func (f *fleet) limitAllExcept(q *request, except string) {
	q.RequestPlace = func(_ context.Context, engine *provider.Upstream, _ places.Request) (places.EngineLoad, bool, error) {
		if engine.ID == except {
			return places.EngineLoad{}, true, nil
		}
		return places.EngineLoad{RetryAfter: retryWait}, false, nil
	}
}

// TestUsedUpLimitDoesNotCountAsQuery: an engine whose limit is used up must not reduce the
// number of engines that a request queries, and is not queried again before its wait is over.
func TestUsedUpLimitDoesNotCountAsQuery(t *testing.T) {
	engines := 2 * admission.DefaultPolicy().MaxQueries
	f := newFleet(t, engines, nil)
	// The free engine is the most loaded one, so that the limited ones are queried before it.
	now := clock.Now()
	f.pool.Now = func() time.Time { return now }
	f.pool.ReportLoad("u3", balance.LoadReport{Waiting: 2})
	q := f.request("short-objective", 0)
	f.limitAllExcept(q, "u3")
	choice, err := q.choosePlace(context.Background())
	require.NoError(t, err)
	assert.Equal(t, "u3", choice.Upstream.ID)
	queried := len(q.trace.PlaceRequests)

	second := f.request("short-objective", 0)
	f.limitAllExcept(second, "u3")
	for range engines {
		choice, err = second.choosePlace(context.Background())
		require.NoError(t, err)
		assert.Equal(t, "u3", choice.Upstream.ID)
	}
	assert.LessOrEqual(t, queried+len(second.trace.PlaceRequests), 2*engines, "each engine but the free one is queried once")
	assert.Positive(t, q.trace.PlaceRequests[0].RetryAfter+q.trace.PlaceRequests[queried-1].RetryAfter+second.trace.PlaceRequests[0].RetryAfter, "the wait is recorded")
}

// TestRefusesWhenAllLimitsAreUsedUp: nothing is sent past the limits.
func TestRefusesWhenAllLimitsAreUsedUp(t *testing.T) {
	f := newFleet(t, 5, nil)
	q := f.request("long-objective", 1)
	f.limitAllExcept(q, "")
	_, err := q.choosePlace(context.Background())
	require.ErrorIs(t, err, errLimitsUsedUp)
	assert.Equal(t, admission.EnginesFull, unplacedReason(err), "the caller gets the backoff for full engines")
	for _, upstream := range f.view.Upstreams["s"] {
		assert.True(t, f.pool.Throttled(upstream.ID))
	}
}

// TestManyUsedUpLimitsEndSearch: a request must not query hundreds of engines that are all at
// their limits.
func TestManyUsedUpLimitsEndSearch(t *testing.T) {
	const engines, maxQueries = 200, 20
	f := newFleet(t, engines, nil)
	q := f.request("long-objective", 0)
	f.limitAllExcept(q, "")
	_, err := q.choosePlace(context.Background())
	require.ErrorIs(t, err, errLimitsUsedUp)
	assert.LessOrEqual(t, len(q.trace.PlaceRequests), maxQueries)
}

// TestDenyingEngineIsQueriedAgain: if the engine that was to be queried last, with the
// loosest limit, is at its rate limit, the one that denied a place before is queried again.
func TestDenyingEngineIsQueriedAgain(t *testing.T) {
	f := newFleet(t, 2, nil)
	q := f.request("short-objective", 0)
	queried := map[string]int{}
	first := ""
	q.RequestPlace = func(_ context.Context, engine *provider.Upstream, request places.Request) (places.EngineLoad, bool, error) {
		if first == "" {
			first = engine.ID
		}
		queried[engine.ID]++
		if engine.ID == first {
			return places.EngineLoad{Waiting: 1}, request.Waiting > 0, nil
		}
		return places.EngineLoad{RetryAfter: retryWait}, false, nil
	}
	choice, err := q.choosePlace(context.Background())
	require.NoError(t, err)
	assert.Equal(t, first, choice.Upstream.ID)
	assert.Equal(t, 2, queried[first])
}

// TestEveryAdmissionPathChecksLimit: without a response of a loader, and without a loader,
// this router's share of the limit is checked, also for a request that was sent before.
func TestEveryAdmissionPathChecksLimit(t *testing.T) {
	errNoAnswer := errors.New("no answer")
	for name, c := range map[string]struct {
		prepare func(q *request)
		path    AdmissionPath
	}{
		"no loader answers, recent report": {func(q *request) {
			for _, upstream := range q.view.Upstreams["s"] {
				q.Pool.Report(upstream.ID, balance.LoadReport{Models: upstream.Models})
			}
		}, PathLoadReport},
		"no loader answers, stale report": {func(q *request) { q.Pool = &balance.Pool{} }, PathLoadReport},
		"there is no loader":              {func(q *request) { q.RequestPlace = nil }, PathNoLoader},
	} {
		for sent := range 2 {
			f := newFleet(t, 4, func(int) (bool, error) { return false, errNoAnswer })
			q := f.request("long-objective", sent)
			c.prepare(q)
			var paths []AdmissionPath
			q.AllowSend = func(upstream *provider.Upstream, path AdmissionPath) (time.Duration, bool) {
				paths = append(paths, path)
				return retryWait, upstream.ID == "u2"
			}
			choice, err := q.choosePlace(context.Background())
			require.NoError(t, err, name)
			assert.Equal(t, "u2", choice.Upstream.ID, name)
			assert.Equal(t, c.path, q.paths["u2"], name)
			assert.Subset(t, []AdmissionPath{c.path}, paths, name)

			q.AllowSend = func(*provider.Upstream, AdmissionPath) (time.Duration, bool) { return retryWait, false }
			_, err = q.choosePlace(context.Background())
			require.ErrorIs(t, err, errLimitsUsedUp, name)
		}
	}
}
