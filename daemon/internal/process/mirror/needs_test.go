package mirror_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestOrdersCutOnlyWhatMayGoOn: one route whose requests could be lost keeps all
// orders to the service from cutting.
func TestOrdersCutOnlyWhatMayGoOn(t *testing.T) {
	route := func(service string, mode provider.Mode, resumable bool, attempts int) provider.Route {
		return provider.Route{Mode: mode, Resumable: resumable, MaxAttempts: attempts, Shares: []provider.Share{{Service: service, Weight: 1}}}
	}
	tests := []struct {
		name   string
		routes []provider.Route
		want   bool
	}{
		{"resumable streams", []provider.Route{route("s", provider.ModeStream, true, 2)}, true},
		{"safe requests", []provider.Route{route("s", provider.ModeSafe, false, 2)}, true},
		{"streams that are not resumable", []provider.Route{route("s", provider.ModeStream, false, 2)}, false},
		{"unsafe requests", []provider.Route{route("s", provider.ModeUnsafe, false, 2)}, false},
		{"one attempt", []provider.Route{route("s", provider.ModeStream, true, 1)}, false},
		{"one of two", []provider.Route{route("s", provider.ModeStream, true, 2), route("s", provider.ModeUnsafe, false, 1)}, false},
		{"of another service", []provider.Route{route("s", provider.ModeStream, true, 2), route("t", provider.ModeUnsafe, false, 1)}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			configuration := &provider.Configuration{Routes: test.routes, Services: []provider.Service{
				{Name: "s", Engine: &provider.EngineSpec{Model: "m"}, Origin: netip.MustParseAddrPort("10.0.0.1:80")},
			}}
			needs, err := mirror.NeedsOf(configuration, "s")
			require.NoError(t, err)
			assert.Equal(t, test.want, needs.Resumable)
		})
	}
}
