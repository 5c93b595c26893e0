package hostile

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/cli/internal/fleet"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/platform/standin"
)

// TestOddEntries guards against processes that end, stop following the store or send requests to an address that no
// upstream has, because another writer left an odd entry among those of the upstreams.
func TestOddEntries(t *testing.T) {
	for _, name := range []string{"router", "loader"} {
		t.Run(name, func(t *testing.T) {
			f := &faults{}
			d := processes[name](t, f)
			var called atomic.Int64
			trap := f.serveStandin(t, "trap", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				called.Add(1)
				w.WriteHeader(http.StatusInternalServerError)
			}))
			for what, value := range standin.OddUpstreamRecords(trap) {
				value = bytes.ReplaceAll(value, []byte(`"service":"s"`), []byte(`"service":"`+plainService+`"`))
				value = bytes.ReplaceAll(value, []byte(`"zone":"z"`), []byte(`"zone":"recife"`))
				f.store.PutRawUpstream("odd", value)
				d.requestOften(t, what)
			}
			f.store.PutRawUpstream("odd\r\nname: value", []byte(`{"service":"`+plainService+`","address":"`+trap.String()+`","zone":"recife","capacity":4,"state":"ready"}`))
			d.requestOften(t, "an id of two lines")
			f.store.PutRawUpstream("inventory", []byte(`{"service":"inventory","address":"`+f.plain.String()+`","zone":"recife","capacity":4,"state":"ready"}`))
			d.requestOften(t, "an entry of a service that is not named, at the address of an upstream")
			assert.Zero(t, called.Load(), "requests at the address of an odd entry")
			if name == "router" {
				f.replacePlain(t, d)
			}
		})
	}
}

// requestOften sends ordinary requests to each listener of the process while it reads an entry.
func (d *daemon) requestOften(t *testing.T, what string) {
	t.Helper()
	const requests, interval = 4, 15 * time.Millisecond
	for range requests {
		<-time.After(interval)
		for _, target := range d.targets {
			require.NoError(t, target.request(), "%s with %s", target.name, what)
		}
	}
	require.True(t, d.lives(), "the process ended with %s:\n%s", what, d.log())
}

// replacePlain replaces the upstream of ordinary requests, which a process that follows the store notices.
func (f *faults) replacePlain(t *testing.T, d *daemon) {
	t.Helper()
	var served atomic.Int64
	u := &standin.Upstream{
		Record: provider.Upstream{ID: "replacement", Started: time.Now(), Service: plainService, Hall: "hall-1", Places: 64}, Store: f.store,
		OnRun: func(standin.Run) { served.Add(1) }, OnReceive: func(string, string) {}, OnChunkMismatch: func(string) {},
	}
	u.Record.Address = f.serveStandin(t, "replacement", u.Handler())
	u.Announce()
	f.store.RemoveUpstream("plain")
	require.NoError(t, fleet.Await(t.Context(), "requests at the replacement", func() bool {
		return d.targets[0].request() == nil && served.Load() > 0
	}), "%s", d.log())
}
