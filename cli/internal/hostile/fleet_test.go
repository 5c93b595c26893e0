package hostile

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/platform/standin"
	"github.com/wheelcleat/wheelcleat/standin/engine"
	"github.com/wheelcleat/wheelcleat/standin/hostlist"
	"github.com/wheelcleat/wheelcleat/standin/kv"
	"github.com/wheelcleat/wheelcleat/standin/serve"
	"github.com/wheelcleat/wheelcleat/standin/weights"
)

const (
	callersHost, callersKey = "hostile.example", "key-1"
	plainService            = "ledger"
	engineService           = "assistant"
	model                   = "model"
)

func free(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := serve.FreeAddress()
	require.NoError(t, err)
	return address
}

// serveStandin serves a stand-in on which the process under test depends, under a name for the faults.
func (f *faults) serveStandin(t *testing.T, name string, handler http.Handler) netip.AddrPort {
	t.Helper()
	server, err := serve.Loopback(f.wrap(name, handler))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address
}

// startPlatform starts the store and the origin, with a configuration, and upstreams with addresses in the store.
func startPlatform(t *testing.T, f *faults) (store netip.AddrPort, engineAddress netip.AddrPort) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	s := &standin.Store{}
	f.store = s
	store = f.serveStandin(t, "store", s.Handler(done))
	origin := &standin.Origin{Model: model, Chunks: 4, ChunkBytes: 4 << 10}
	originAddress := f.serveStandin(t, "origin", origin.Handler())
	const timeout = 10 * time.Second
	route := func(name, prefix, service string, mode provider.Mode) provider.Route {
		return provider.Route{
			Name: name, Host: callersHost, Prefix: prefix, Mode: mode, Timeout: timeout, Objective: time.Second,
			MaxAttempts: 2, Shares: []provider.Share{{Service: service, Weight: 1}},
		}
	}
	s.Declare(provider.Configuration{
		Version:  1,
		Routes:   []provider.Route{route("safe", "/safe/", plainService, provider.ModeSafe), route("unsafe", "/unsafe/", plainService, provider.ModeUnsafe), route("stream", "/stream/", plainService, provider.ModeStream)},
		Services: []provider.Service{{Name: plainService}, {Name: "weights", Origin: originAddress}, {Name: engineService, Engine: engineSpec()}},
		Accounts: []provider.Account{{Name: "account", Keys: []string{callersKey}}},
		Limits:   provider.Limits{MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: maxHeaderBytes},
	})
	s.DeclareTarget(provider.Target{Model: model, Version: 1})
	for name, service := range map[string]string{"plain": plainService, "engine": engineService} {
		u := &standin.Upstream{
			Record: provider.Upstream{ID: name, Started: time.Now(), Service: service, Hall: "hall-1", Places: 64}, Store: s,
			OnRun: func(standin.Run) {}, OnReceive: func(string, string) {}, OnChunkMismatch: func(string) {},
		}
		if service == engineService {
			u.Origin = origin
		}
		u.Record.Address = f.serveStandin(t, name, u.Handler())
		if service == plainService {
			f.plain = u.Record.Address
		}
		if service == engineService {
			engineAddress = u.Record.Address
		}
		u.Announce()
	}
	return store, engineAddress
}

func engineSpec() *provider.EngineSpec {
	return &provider.EngineSpec{Model: model, Places: 64, Chunks: 4, ChunkBytes: 4 << 10, StepTime: time.Millisecond, MeanPromptTokens: 100, MeanAnswerTokens: 10}
}

// processes are the kinds of processes under test. Each starts one with all that it depends on.
var processes = map[string]func(t *testing.T, f *faults) *daemon{
	"router": startRouter, "loader": startLoader, "entry": startEntry, "agent": startAgent,
}

func startRouter(t *testing.T, f *faults) *daemon {
	t.Helper()
	router := settings.ExampleRouter()
	router.Store, _ = startPlatform(t, f)
	router.Seeds, router.LoaderPort = []netip.AddrPort{f.serveStandin(t, "peer", http.NotFoundHandler())}, 0
	router.Listen = settings.RouterListen{Callers: free(t), Ready: free(t), Peers: free(t), Metrics: free(t)}
	router.Bounds.MemoryMB, router.Bounds.MaxDescriptors = memoryMB, descriptors
	return start(t, router, []target{
		{"callers", router.Listen.Callers, "/safe/x", http.StatusOK},
		{"ready", router.Listen.Ready, "/readyz", http.StatusOK},
		{"peers", router.Listen.Peers, "/unknown", http.StatusNotFound},
		{"metrics", router.Listen.Metrics, "/healthz", http.StatusOK},
	})
}

func startLoader(t *testing.T, f *faults) *daemon {
	t.Helper()
	loader := settings.ExampleLoader()
	loader.Store, loader.Engine = startPlatform(t, f)
	loader.Service = engineService
	loader.Listen = settings.LoaderListen{Peers: free(t), Metrics: free(t)}
	loader.Bounds.MemoryMB = memoryMB
	return start(t, loader, []target{
		{"peers", loader.Listen.Peers, "/unknown", http.StatusNotFound},
		{"metrics", loader.Listen.Metrics, "/healthz", http.StatusOK},
	})
}

func startEntry(t *testing.T, f *faults) *daemon {
	t.Helper()
	entry := settings.ExampleEntry()
	list := &hostlist.Server{}
	entry.Listen = settings.EntryListen{Callers: free(t), Operators: free(t), Peers: free(t)}
	entry.Platform = settings.EntryPlatform{KeyValue: f.serveStandin(t, "key-value", &kv.Server{}), HostList: f.serveStandin(t, "host list", list)}
	list.Set(hostlist.Host{Name: entry.Name, Role: hostlist.RoleEntry, Hall: entry.Hall, Address: entry.Listen.Peers})
	list.Set(hostlist.Host{Name: "entry-2", Role: hostlist.RoleEntry, Hall: entry.Hall, Address: f.serveStandin(t, "peer", http.NotFoundHandler())})
	return start(t, entry, []target{
		{"callers", entry.Listen.Callers, "/healthz", http.StatusOK},
		{"operators", entry.Listen.Operators, "/healthz", http.StatusOK},
		{"peers", entry.Listen.Peers, "/unknown", http.StatusNotFound},
	})
}

func startAgent(t *testing.T, f *faults) *daemon {
	t.Helper()
	agent := settings.ExampleAgent()
	list := &hostlist.Server{}
	agent.Listen.Peers = free(t)
	agent.Platform.HostList = f.serveStandin(t, "host list", list)
	agent.Weights.Origin = f.serveStandin(t, "origin", &weights.Server{})
	agent.Upstream.Address = f.serveStandin(t, "engine", &engine.Server{})
	list.Set(hostlist.Host{Name: agent.Name, Role: hostlist.RoleAgent, Hall: agent.Hall, Address: agent.Listen.Peers})
	list.Set(hostlist.Host{Name: "entry-1", Role: hostlist.RoleEntry, Hall: agent.Hall, Address: f.serveStandin(t, "entry", http.NotFoundHandler())})
	return start(t, agent, []target{{"peers", agent.Listen.Peers, "/healthz", http.StatusOK}})
}
