package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// TestStoppingRouterEndsGracePeriods guards against a stopping router that sends to an upstream without a record until
// it has stopped.
func TestStoppingRouterEndsGracePeriods(t *testing.T) {
	const period = time.Second
	synctest.Test(t, func(t *testing.T) {
		p := &Process{table: &replica.Table{}, done: make(chan struct{})}
		p.current.Store(&settings.Router{})
		p.compiler = &replica.Compiler{Decode: func(provider.Entry) (provider.Record, error) {
			return provider.Record{Upstream: &provider.Upstream{ID: "u", Service: "s"}}, nil
		}, Recompile: p.recheckExpired}
		p.table.OnChange = p.applyChanges
		p.table.Apply([]provider.Entry{{Key: "u", Revision: 1}})
		p.draining.Store(true)
		p.table.Apply([]provider.Entry{{Key: "u", Revision: 2, Deleted: true, Grace: provider.Grace{For: period, Reason: provider.GraceOutage}}})
		assert.Len(t, p.compiler.View().Upstreams["s"], 1)
		helpers.Pause(period, nil)
		synctest.Wait()
		assert.Empty(t, p.compiler.View().Upstreams["s"])
	})
}
