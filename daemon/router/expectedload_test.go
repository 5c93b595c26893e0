package router

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// TestExpectedLoadFollowsSettingsAndRoutes guards against a choice by expected load where the
// settings or the configuration do not call for it, and against a reload that has no effect.
func TestExpectedLoadFollowsSettingsAndRoutes(t *testing.T) {
	s := settings.ExampleRouter()
	s.Hall = "h0"
	p, err := New(s, Options{Provider: func(netip.AddrPort, *http.Client, *http.Client) provider.Provider {
		return provider.Provider{EncodeMember: func(provider.Member) provider.Put { return provider.Put{} }, Decode: func(entry provider.Entry) (record provider.Record, err error) {
			err = json.Unmarshal(entry.Value, &record)
			return record, err
		}}
	}})
	require.NoError(t, err)
	p.retryBudget = &dispatch.RetryBudget{}
	assert.Equal(t, balance.ExpectedLoadIfSlow, p.expectedLoad("urgent"), "without a configuration")
	assert.Zero(t, p.otherRoutersOf("h0"), "a router that knows no others counts itself alone")

	one := []provider.Share{{Service: "even", Weight: 1}}
	two := []provider.Share{{Service: "urgent", Weight: 1}}
	p.compiler.Apply([]provider.Entry{
		entryOf(t, "c", provider.Record{Configuration: &provider.Configuration{Version: 1, Routes: []provider.Route{
			{Name: "a", Priority: 1, Shares: one},
			{Name: "b", Priority: 1, Shares: one},
			{Name: "c", Priority: 0, Shares: two},
			{Name: "d", Priority: 2, Shares: two},
		}}}),
		entryOf(t, "m/1", provider.Record{Member: &provider.Member{Name: s.Name, Hall: "h0"}}),
		entryOf(t, "m/2", provider.Record{Member: &provider.Member{Name: "router-2", Hall: "h0"}}),
		entryOf(t, "m/3", provider.Record{Member: &provider.Member{Name: "router-3", Hall: "h1"}}),
	})
	assert.Equal(t, balance.ExpectedLoadAlways, p.expectedLoad("urgent"))
	assert.Equal(t, balance.ExpectedLoadIfSlow, p.expectedLoad("even"))
	assert.Equal(t, balance.ExpectedLoadIfSlow, p.expectedLoad("unknown"))
	assert.Equal(t, 1, p.otherRoutersOf("h0"), "this router is not among the others")
	assert.Equal(t, 1, p.otherRoutersOf("h1"))
	assert.Zero(t, p.otherRoutersOf("h2"))

	for value, expected := range map[settings.ExpectedLoad]balance.ExpectedLoad{
		settings.ExpectedLoadOn: balance.ExpectedLoadAlways, settings.ExpectedLoadOff: balance.ExpectedLoadNever, settings.ExpectedLoadAuto: balance.ExpectedLoadIfSlow,
	} {
		changed := *p.current.Load()
		changed.Balance.ExpectedLoad = value
		p.Reload(settings.File{Router: &changed})
		assert.Equal(t, expected, p.expectedLoad("even"), value)
	}
}

func entryOf(t *testing.T, key string, record provider.Record) provider.Entry {
	t.Helper()
	value, err := json.Marshal(record)
	require.NoError(t, err)
	return provider.Entry{Key: key, Value: value, Revision: 1}
}
