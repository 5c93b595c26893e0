package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/keep"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// TestAnEngineThatHoldsNothingGivesNoPlace: as after its start, it would refuse what is sent.
func TestAnEngineThatHoldsNothingGivesNoPlace(t *testing.T) {
	told, output, err := telemetry.NewWithBounded(telemetry.Options{Role: "loader", Name: "l", Level: "error"})
	require.NoError(t, err)
	t.Cleanup(output.Close)
	p := &Process{telemetry: told, feed: loadfeed.NewFeed(), ledger: &places.Ledger{}, keeper: &keep.Keeper{}}
	anywhere := places.Question{Limit: places.Limit{Waiting: 9, Taken: 9}}

	p.noteReport(provider.EngineReport{}, nil)
	_, given := p.ledger.Take(anywhere)
	assert.False(t, given)
	p.noteReport(provider.EngineReport{Models: []provider.LoadedModel{{Model: "m", Version: 1}}}, nil)
	_, given = p.ledger.Take(anywhere)
	assert.True(t, given)
}

// TestTheOriginIsAsFastAsItsLink, and as this host's where that is not declared.
func TestTheOriginIsAsFastAsItsLink(t *testing.T) {
	p := &Process{}
	p.current.Store(&settings.Loader{Bounds: settings.LoaderBounds{LinkMbps: 8}})
	needs := &replica.EngineConfig{Engine: provider.EngineSpec{Chunks: 100, ChunkBytes: 20000}}
	assert.Equal(t, 2*time.Second, p.originTime(needs))
	needs.OriginRate = 5e5
	assert.Equal(t, 4*time.Second, p.originTime(needs))
}
