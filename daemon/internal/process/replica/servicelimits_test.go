package replica_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestServiceLimitsFollowItsRoutes guards against limits of one service that apply to another, and
// against priorities of accounts that count as those of routes.
func TestServiceLimitsFollowItsRoutes(t *testing.T) {
	urgent := 0
	route := func(service string, priority int, gap time.Duration) provider.Route {
		return provider.Route{Priority: priority, EventGap: gap, Shares: []provider.Share{{Service: service, Weight: 1}}}
	}
	configuration := &provider.Configuration{
		Routes:   []provider.Route{route("s", 1, 0), route("s", 1, 500*time.Millisecond), route("s", 1, 400*time.Millisecond), route("t", 0, 0), route("t", 2, 0)},
		Accounts: []provider.Account{{Name: "a", Priority: &urgent}},
	}
	configuration.Routes[0].Objective, configuration.Routes[2].Objective = 500*time.Millisecond, 300*time.Millisecond
	compiler := &replica.Compiler{Decode: func(provider.Entry) (provider.Record, error) {
		return provider.Record{Configuration: configuration}, nil
	}}
	assert.False(t, compiler.View().Divided("s"), "no configuration is known")
	compiler.Apply([]provider.Entry{{Key: "configuration", Revision: 1}})
	view := compiler.View()
	assert.False(t, view.Divided("s"))
	assert.True(t, view.Divided("t"))
	assert.Equal(t, 400*time.Millisecond, view.EventGap("s"))
	assert.Zero(t, view.EventGap("t"))
	assert.Equal(t, 300*time.Millisecond, view.Objective("s"))
	assert.Zero(t, view.Objective("t"))
}
