package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestTimeLimitsOnlyWhereEnginesOrRoutesDiffer guards against changed decisions for services without
// slow engines whose routes have the same priority, and against limits that never end.
func TestTimeLimitsOnlyWhereEnginesOrRoutesDiffer(t *testing.T) {
	f := newFleet(t, 1, nil)
	now := time.Unix(1000, 0)
	f.pool.Now = func() time.Time { return now }
	limits := func() enginetime.Limits {
		q := f.request("short-objective", 0)
		q.trace.Started, q.deadline = clock.Now(), clock.Now().Add(6*time.Second)
		return q.timeLimits()
	}
	assert.Zero(t, limits())
	f.pool.Report("u0", balance.LoadReport{Pace: 1.05})
	f.pool.Report("engine-of-another-service", balance.LoadReport{Pace: 2.5})
	assert.Zero(t, limits(), "no engine of the service is slow")

	f.pool.ReportLoad("u0", balance.LoadReport{Pace: 2.5})
	found := limits()
	assert.InDelta(t, 6, found.Left.Seconds(), 0.1)
	assert.InDelta(t, 0.3, found.First.Seconds(), 0.1)
	now = now.Add(11 * time.Second)
	assert.Zero(t, limits(), "no slow engine was seen recently")
	f.pool.Report("u0", balance.LoadReport{Pace: 2.5})
	assert.NotZero(t, limits(), "a load feed reports a slow engine that was not queried")
	now = now.Add(11 * time.Second)

	configuration := *f.view.Configuration
	configuration.Routes[0].Priority++
	compiler := &replica.Compiler{Decode: func(provider.Entry) (provider.Record, error) {
		return provider.Record{Configuration: &configuration}, nil
	}}
	compiler.Apply([]provider.Entry{{Key: "c", Revision: 1}})
	f.view = compiler.View()
	assert.NotZero(t, limits(), "routes have different priorities")
}

// TestPassedTimesAreNotUnknown guards against a slow engine that accepts any queue because the
// objective or the deadline of the request has passed, since a time of 0 means unknown.
func TestPassedTimesAreNotUnknown(t *testing.T) {
	f := newFleet(t, 1, nil)
	limits := func(age, left time.Duration) enginetime.Limits {
		q := f.request("short-objective", 0)
		f.pool.Report("u0", balance.LoadReport{Pace: 2.5})
		q.trace.Started, q.deadline = clock.Now().Add(-age), clock.Now().Add(left)
		return q.timeLimits()
	}
	whole := f.request("short-objective", 0).route.Objective
	require.Positive(t, whole)
	assert.Equal(t, whole, limits(whole+time.Second, time.Second).First)
	assert.Equal(t, whole, limits(whole, time.Second).First, "the objective has just passed")
	assert.Less(t, limits(whole/2, time.Second).First, whole)
	assert.Equal(t, time.Millisecond, limits(0, -time.Second).Left)
}

// TestDenialForTimeGoesToAnotherEngine checks that a slow engine's denial leads to another engine,
// raises no saturation, and is recorded with its reason and estimate.
func TestDenialForTimeGoesToAnotherEngine(t *testing.T) {
	f := newFleet(t, 9, nil)
	var queries []places.Request
	denyAll := false
	query := func(_ context.Context, _ *provider.Upstream, request places.Request) (places.EngineLoad, bool, error) {
		queries = append(queries, request)
		load := places.EngineLoad{Running: 16, Pace: 2.5}
		if len(queries) > 1 && !denyAll {
			return load, true, nil
		}
		load.Late = enginetime.Denial{Reason: enginetime.End, Estimate: 7 * time.Second}
		return load, false, nil
	}
	q := f.request("short-objective", 0)
	q.RequestPlace, q.trace.Started, q.deadline = query, clock.Now(), clock.Now().Add(6*time.Second)
	_, err := q.choosePlace(context.Background())
	require.NoError(t, err)
	require.Len(t, q.trace.PlaceRequests, 2)
	first, second := q.trace.PlaceRequests[0], q.trace.PlaceRequests[1]
	assert.Equal(t, enginetime.End, first.Late)
	assert.Equal(t, 7*time.Second, first.Estimate)
	assert.Equal(t, 2.5, first.Pace)
	assert.Zero(t, first.Left, "no pace was known yet")
	assert.Positive(t, second.Left)
	assert.Empty(t, second.Late)

	queries, denyAll = nil, true
	q = f.request("short-objective", 0)
	now := time.Unix(1000, 0)
	q.LoadTracker = &LoadTracker{Now: func() time.Time { now = now.Add(time.Second); return now }}
	q.RequestPlace, q.trace.Started, q.deadline = query, clock.Now(), clock.Now().Add(6*time.Second)
	_, err = q.choosePlace(context.Background())
	require.ErrorIs(t, err, errOverloaded)
	assert.Zero(t, q.LoadTracker.Saturation("s"), "engines that are too slow are not full")
	last := queries[len(queries)-1].Times
	assert.Positive(t, last.First)
	assert.Zero(t, last.Left, "the last query decides by the first byte alone")
}
