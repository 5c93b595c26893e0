package intake

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/drain"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/account"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/gate"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/outcome"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/route"
)

const testKey = "secret"

// changedHost is an agent that serves another version than in its last heartbeat.
type changedHost struct {
	*httptest.Server
	gate *gate.Gate
	// requestedVersions lists the versions that requests were routed for.
	requestedVersions []string
}

func startChangedHost(t *testing.T, name string) *changedHost {
	t.Helper()
	h := &changedHost{gate: &gate.Gate{}}
	mux := http.NewServeMux()
	handler := &gate.Handler{Gate: h.gate, Name: name, Transport: &http.Transport{}, Telemetry: discardTelemetry(t)}
	handler.Register(mux)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	t.Cleanup(upstream.Close)
	handler.Upstream = address(t, upstream)
	h.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.requestedVersions = append(h.requestedVersions, r.Header.Get(gate.HeaderManifest))
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(h.Close)
	return h
}

// TestRetriesChangedHostWithItsVersion: a stale view of the version must not fail the request
// while the host names the version that it serves.
func TestRetriesChangedHostWithItsVersion(t *testing.T) {
	host := startChangedHost(t, "a")
	host.gate.Open(gate.Serving{Services: []string{"s"}, Manifest: "v2"})
	entry := startEntry(t, &wire.Member{Name: "a", Address: address(t, host.Server).String(), ReadyService: "s", ReadyManifest: "v1", Incarnation: 1})

	response := get(t, entry)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "v2", response.Header.Get(api.HeaderVersion))
	assert.Empty(t, response.Header.Get(gate.HeaderServes), "this header is for entries only")
	assert.Equal(t, []string{"v1", "v2"}, host.requestedVersions)
}

// TestDoesNotRetryClosedHost: a host that admits nothing names no version to retry with.
func TestDoesNotRetryClosedHost(t *testing.T) {
	host := startChangedHost(t, "a")
	host.gate.Open(gate.Serving{Services: []string{"s"}, Manifest: "v2"})
	require.NoError(t, host.gate.Close(t.Context()))
	entry := startEntry(t, &wire.Member{Name: "a", Address: address(t, host.Server).String(), ReadyService: "s", ReadyManifest: "v1", Incarnation: 1})

	response := get(t, entry)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Equal(t, string(api.OutcomeNotRun), response.Header.Get(api.HeaderOutcome))
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Equal(t, []string{"v1"}, host.requestedVersions)
}

// TestVersionMismatchIsNotChargedToBudget: a change of version causes more refusals than the
// retry budget allows to retry.
func TestVersionMismatchIsNotChargedToBudget(t *testing.T) {
	host := startChangedHost(t, "a")
	host.gate.Open(gate.Serving{Services: []string{"s"}, Manifest: "v2"})
	entry := startEntry(t, &wire.Member{Name: "a", Address: address(t, host.Server).String(), ReadyService: "s", ReadyManifest: "v1", Incarnation: 1})
	for range 3 * int(initialRetries) {
		assert.Equal(t, http.StatusOK, get(t, entry).StatusCode)
	}
}

// TestStoppingEntryRefusesRequestThatMayOutlastIt guards against cutting a request that arrives on a connection in
// use after the listener was closed.
func TestStoppingEntryRefusesRequestThatMayOutlastIt(t *testing.T) {
	host := startChangedHost(t, "b")
	host.gate.Open(gate.Serving{Services: []string{"s"}, Manifest: "v1"})
	d := &drain.Drain{}
	entry := startEntryWithDrain(t, d, &wire.Member{Name: "b", Address: address(t, host.Server).String(), ReadyService: "s", ReadyManifest: "v1", Incarnation: 1})
	ctx, cancel := context.WithTimeout(t.Context(), defaultTimeout/2)
	defer cancel()
	defer d.Begin(ctx)()
	assert.Equal(t, http.StatusOK, get(t, entry).StatusCode, "the load balancer still sends requests")
	d.CloseToNewCallers()
	response := get(t, entry)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Equal(t, string(api.OutcomeNotRun), response.Header.Get(api.HeaderOutcome))
	assert.Equal(t, string(outcome.ReasonStopping), response.Header.Get(outcome.HeaderReason))
	assert.True(t, response.Close)
	assert.Len(t, host.requestedVersions, 1, "the request was not sent")
}

// startEntry starts an entry whose member table holds the given hosts.
func startEntry(t *testing.T, hosts ...*wire.Member) *httptest.Server {
	t.Helper()
	return startEntryWithDrain(t, nil, hosts...)
}

func startEntryWithDrain(t *testing.T, d *drain.Drain, hosts ...*wire.Member) *httptest.Server {
	t.Helper()
	sum := sha256.Sum256([]byte(testKey))
	table := &tables.Table{}
	table.Replace([]platform.Item{
		item(t, &api.Resource{Kind: api.KindService, Name: "s", Service: &api.ServiceSpec{}}),
		item(t, &api.Resource{Kind: api.KindAccount, Name: "a", Account: &api.AccountSpec{KeyDigests: []string{hex.EncodeToString(sum[:])}}}),
	}, 1)
	memberTable := &members.Table{}
	memberTable.Merge(hosts)
	router := bunrouter.New()
	(&Handler{
		Table: table, Members: memberTable, Selector: &route.Selector{}, AccountLimiter: &account.Limiter{}, RetryBudgets: &RetryBudgets{},
		Transport: &http.Transport{}, Telemetry: discardTelemetry(t), MaxBodyBytes: 1 << 20, Drain: d,
	}).Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return server
}

func item(t *testing.T, declared *api.Resource) platform.Item {
	t.Helper()
	value, err := tables.EncodeResource(declared, 0)
	require.NoError(t, err)
	return platform.Item{Key: tables.ResourceKey(declared.Kind, declared.Name), Value: value, Revision: 1}
}

func get(t *testing.T, entry *httptest.Server) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.URL+pathPrefix+"s/", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := entry.Client().Do(request)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response
}

func address(t *testing.T, server *httptest.Server) netip.AddrPort {
	t.Helper()
	return server.Listener.Addr().(*net.TCPAddr).AddrPort()
}

func discardTelemetry(t *testing.T) *telemetry.Telemetry {
	t.Helper()
	discarding, err := telemetry.New(telemetry.Options{Level: "error", Output: io.Discard})
	require.NoError(t, err)
	return discarding
}
