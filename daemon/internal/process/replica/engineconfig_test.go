package replica_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestEngineConfigIsThatOfTheService checks that a loader gets its own engine and the
// origin from a configuration with several services, or an error if either is missing.
func TestEngineConfigIsThatOfTheService(t *testing.T) {
	origin := netip.MustParseAddrPort("10.0.0.1:80")
	engine := provider.Service{Name: "s", Engine: &provider.EngineSpec{Model: "m", Places: 4}}
	other := provider.Service{Name: "t", Engine: &provider.EngineSpec{Model: "n"}}
	weights := provider.Service{Name: "o", Origin: origin, OriginRate: 5e5}
	config, err := replica.EngineConfigFor(&provider.Configuration{Services: []provider.Service{other, engine, weights}}, "s")
	require.NoError(t, err)
	assert.Equal(t, replica.EngineConfig{Engine: *engine.Engine, Origin: origin, OriginRate: 5e5}, config)
	for _, services := range [][]provider.Service{{other, weights}, {engine}, nil} {
		_, err := replica.EngineConfigFor(&provider.Configuration{Services: services}, "s")
		require.ErrorIs(t, err, replica.ErrNoEngine)
	}
}
