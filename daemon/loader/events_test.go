package loader

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/fairshare"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/reconcile"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// TestEngineWithoutVersionGrantsNoPlace guards against places at an engine that has just started,
// which refuses every request.
func TestEngineWithoutVersionGrantsNoPlace(t *testing.T) {
	events, output, err := telemetry.NewWithBoundedWriter(telemetry.Options{Role: "loader", Name: "l", Level: "error"})
	require.NoError(t, err)
	t.Cleanup(output.Close)
	p := &Process{telemetry: events, feed: loadfeed.NewFeed(), ledger: &places.Ledger{}, reconciler: &reconcile.Reconciler{}}
	request := places.Request{Limit: places.Limit{Waiting: 9, InUse: 9}}

	p.publishReport(provider.EngineReport{}, nil)
	_, granted := p.ledger.Reserve(request)
	assert.False(t, granted)
	p.publishReport(provider.EngineReport{Models: []provider.LoadedModel{{Model: "m", Version: 1}}}, nil)
	_, granted = p.ledger.Reserve(request)
	assert.True(t, granted)
}

// TestLeavingEngineGrantsNoPlace guards against places at an engine that is about to end, and
// against a host that stays closed for the engine's successor.
func TestLeavingEngineGrantsNoPlace(t *testing.T) {
	events, output, err := telemetry.NewWithBoundedWriter(telemetry.Options{Role: "loader", Name: "l", Level: "error"})
	require.NoError(t, err)
	t.Cleanup(output.Close)
	p := &Process{telemetry: events, log: events.Log, feed: loadfeed.NewFeed(), ledger: &places.Ledger{}, reconciler: &reconcile.Reconciler{}}
	p.current.Store(&settings.Loader{})
	request := places.Request{Limit: places.Limit{Waiting: 9, InUse: 9}}
	report := provider.EngineReport{Models: []provider.LoadedModel{{Model: "m", Version: 1}}, Leaving: true}

	p.publishReport(report, nil)
	load, granted := p.ledger.Reserve(request)
	assert.False(t, granted)
	assert.True(t, load.Leaving)
	report.Leaving = false
	p.publishReport(report, nil)
	_, granted = p.ledger.Reserve(request)
	assert.True(t, granted)
}

// TestSlowEngineDeniesWhatItCannotServeInTime checks that the pace of the engine's report and its
// declared rates reach the decision on a place, and that an invalid pace counts as 1.
func TestSlowEngineDeniesWhatItCannotServeInTime(t *testing.T) {
	events, output, err := telemetry.NewWithBoundedWriter(telemetry.Options{Role: "loader", Name: "l", Level: "error"})
	require.NoError(t, err)
	t.Cleanup(output.Close)
	p := &Process{telemetry: events, feed: loadfeed.NewFeed(), ledger: &places.Ledger{}, reconciler: &reconcile.Reconciler{}}
	p.ledger.SetEngine(provider.EngineSpec{PromptRate: 20000, StepTime: 10 * time.Millisecond, StepsPerPass: 5, PromptTokensPerPass: 2048})
	request := places.Request{Limit: places.Limit{Waiting: 9, InUse: 9}, Times: enginetime.Limits{Left: time.Second}}
	report := provider.EngineReport{Models: []provider.LoadedModel{{Model: "m", Version: 1}}, Pace: 2.5}

	p.publishReport(report, nil)
	load, granted := p.ledger.Reserve(request)
	assert.False(t, granted)
	assert.Equal(t, 2.5, load.Pace)
	assert.Equal(t, enginetime.End, load.Late.Reason)
	report.Pace = math.NaN()
	p.publishReport(report, nil)
	load, granted = p.ledger.Reserve(request)
	assert.True(t, granted)
	assert.Zero(t, load.Pace)
}

// TestCopyTimeFollowsOriginRate also covers the fallback to the rate of this host's link.
func TestCopyTimeFollowsOriginRate(t *testing.T) {
	p := &Process{}
	p.current.Store(&settings.Loader{Bounds: settings.LoaderBounds{LinkMbps: 8}})
	config := &replica.EngineConfig{Engine: provider.EngineSpec{Chunks: 100, ChunkBytes: 20000}}
	assert.Equal(t, 2*time.Second, p.copyTime(config))
	config.OriginRate = 5e5
	assert.Equal(t, 4*time.Second, p.copyTime(config))
}

// TestPlacesAreCountedByRank guards against denials in favor of others that no metric shows, and
// against labels without bound.
func TestPlacesAreCountedByRank(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	p := &Process{telemetry: &telemetry.Telemetry{Scope: scope}}
	p.countResponse(places.Response{Granted: true})
	p.countResponse(places.Response{Granted: true, Caller: places.Caller{Rank: 2, Ranks: 6}})
	p.countResponse(places.Response{EngineLoad: places.EngineLoad{DeniedBy: fairshare.ByShare}, Caller: places.Caller{Rank: 1 << 40, Ranks: 1 << 41}})
	counted := map[string]int64{}
	for id, counter := range scope.Snapshot().Counters() {
		counted[id] = counter.Value()
	}
	assert.Equal(t, map[string]int64{
		"places_given+": 2, "places_given_by_rank+kept_for=,rank=2": 1,
		"places_denied+": 1, "places_denied_by_rank+kept_for=share,rank=15": 1,
	}, counted)
}
