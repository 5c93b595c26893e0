package router_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/broadcast"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/fanout"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// limitWindow is the time over which requests count against a limit. Upstreams accept limitSlack
// times the limit in it, plus limitExtra requests.
const (
	limitWindow            = 4 * time.Second
	limitSlack, limitExtra = 1.5, 5.0
)

// limitedUpstream is an upstream that announces a limit in each answer.
type limitedUpstream struct {
	*upstream
	mu       sync.Mutex
	arrivals []time.Time
	// limit is the announced limit, or "" for none.
	limit string
}

func startLimitedUpstream(t *testing.T, id, limit string) *limitedUpstream {
	t.Helper()
	u := &limitedUpstream{limit: limit}
	u.upstream = startUpstream(t, id, func(req *http.Request, conn net.Conn) {
		u.mu.Lock()
		u.arrivals = append(u.arrivals, time.Now())
		announced := u.limit
		u.mu.Unlock()
		if announced == "" {
			answerOK(req, conn)
			return
		}
		answerWithLimit(req, conn, announced)
	})
	return u
}

// setLimit changes the announced limit; "" means none.
func (u *limitedUpstream) setLimit(limit string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = limit
}

func (u *limitedUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

// answerWithLimit answers with status 200 and a limit.
func answerWithLimit(req *http.Request, conn net.Conn, limit string) {
	body := "answer to " + req.Header.Get("Request-Id")
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: sig\r\nLimit: %s\r\nContent-Length: %d\r\n\r\n%s",
		req.Header.Get("Request-Id"), limit, len(body), body)
}

// resetArrivals discards the arrivals so far.
func (u *limitedUpstream) resetArrivals() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals = nil
}

// maxPerWindow returns the largest number of arrivals in any window.
func (u *limitedUpstream) maxPerWindow() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	largest := 0
	for first, from := range u.arrivals {
		end := first
		for end < len(u.arrivals) && u.arrivals[end].Sub(from) < limitWindow {
			end++
		}
		largest = max(largest, end-first)
	}
	return largest
}

// limitFleet is three routers and two upstreams, one of which announces a limit.
type limitFleet struct {
	store   *testStore
	routers []settings.Router
	limited *limitedUpstream
	other   *upstream
}

// startLimitFleet starts routers and waits until they list each other. With a loader port their
// upstreams are engines.
func startLimitFleet(t *testing.T, limit string, loaderPort uint16) *limitFleet {
	t.Helper()
	s := &testStore{}
	configuration := baseConfiguration(1)
	f := &limitFleet{store: s, limited: startLimitedUpstream(t, "u1", limit), other: startUpstream(t, "u2", answerOK)}
	records := []provider.Upstream{f.limited.record(), f.other.record()}
	for _, record := range records {
		record.Places = 16
		if loaderPort != 0 {
			configuration.Services[0].Engine = &provider.EngineSpec{Model: "m", Places: record.Places}
			record.Models = []provider.LoadedModel{{Model: "m", Version: 1}}
		}
		s.register(record)
	}
	s.configure(configuration)
	names := []string{"r1", "r2", "r3"}
	for _, name := range names {
		p, cfg := newRouter(t, s, settings.Router{Name: name, Hall: "hall", LoaderPort: loaderPort})
		require.NoError(t, p.Start())
		t.Cleanup(func() { _ = p.Stop(t.Context()) })
		f.routers = append(f.routers, cfg)
	}
	for _, cfg := range f.routers {
		await(t, "ready, and all routers listed", func() bool {
			replica := replicaOf(cfg)
			return ready(cfg) && !slices.ContainsFunc(names, func(name string) bool {
				return !strings.Contains(replica, `"`+membersOf("hall", fanout.Shard(name))+name+`"`)
			})
		})
	}
	return f
}

// sendFromEach sends count requests to each router, at an interval, and returns how many were
// served.
func (f *limitFleet) sendFromEach(t *testing.T, count int, interval time.Duration) (served int) {
	t.Helper()
	for i := range count {
		for _, cfg := range f.routers {
			<-time.After(interval)
			if call(t, cfg, fmt.Sprint(cfg.Name, "-", i), "GET", "/safe/x", "").status == http.StatusOK {
				served++
			}
		}
	}
	return served
}

// TestLimitHoldsAcrossRouters guards against routers that each use the full limit of an upstream:
// together they must stay within it on every admission path, while callers are served elsewhere.
func TestLimitHoldsAcrossRouters(t *testing.T) {
	// A granted place counts as in use until the next report shows otherwise.
	const reportInterval = 30 * time.Millisecond
	paths := map[string]struct {
		loader   func(t *testing.T) uint16
		interval time.Duration
	}{
		"upstreams without loaders":  {loader: func(*testing.T) uint16 { return 0 }},
		"places granted by a loader": {loader: startLoader, interval: reportInterval},
		"an unreachable loader":      {loader: func(t *testing.T) uint16 { return freePorts(t, 1)[0].Port() }},
	}
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			const limit, each = 2.0, 20
			f := startLimitFleet(t, fmt.Sprint(limit), path.loader(t))
			f.sendFromEach(t, 4, path.interval) // each router learns the limit
			f.limited.resetArrivals()
			assert.Equal(t, each*len(f.routers), f.sendFromEach(t, each, path.interval), "all callers are served by the other upstream")
			assert.LessOrEqual(t, f.limited.maxPerWindow(), int(limitSlack*limit*limitWindow.Seconds()+limitExtra))
		})
	}
}

// TestLimitHoldsForRetries guards against retries that exceed the limit of an upstream: all requests
// fail at the other one, so that all are retried there.
func TestLimitHoldsForRetries(t *testing.T) {
	const limit, each = 1.0, 20
	f := startLimitFleet(t, fmt.Sprint(limit), 0)
	failing := upstreamFunc(func(req *http.Request, conn net.Conn) {
		writeAnswer(req, conn, http.StatusInternalServerError, "failed", "")
	})
	f.other.answer.Store(&failing)
	f.sendFromEach(t, 4, 0)
	f.limited.resetArrivals()
	f.sendFromEach(t, each, 0)
	assert.LessOrEqual(t, f.limited.maxPerWindow(), int(limitSlack*limit*limitWindow.Seconds()+limitExtra))
}

// knownLimits returns the limits that a router holds, as its peers receive them.
func knownLimits(t *testing.T, cfg settings.Router) []ratelimit.UpstreamReport {
	t.Helper()
	all, err := broadcast.FetchAll[ratelimit.UpstreamReport](t.Context(), http.DefaultClient, cfg.Listen.Peers, broadcast.LimitsPath)
	require.NoError(t, err)
	return all
}

// TestLimitPropagatesToAllRouters expects routers to hold a limit, and later its end, that
// another router received, including a router that starts later.
func TestLimitPropagatesToAllRouters(t *testing.T) {
	f := startLimitFleet(t, "1.5", 0)
	holdsLimit := func(cfg settings.Router, ended bool) bool {
		all := knownLimits(t, cfg)
		return len(all) == 1 && all[0].Upstream.ID == "u1" && all[0].Lifted == ended && (ended || all[0].PerSecond == 1.5)
	}
	for i := 0; f.limited.count() == 0; i++ {
		call(t, f.routers[0], fmt.Sprint("first-", i), "GET", "/safe/x", "")
	}
	for _, cfg := range f.routers {
		await(t, "the limit is received", func() bool { return holdsLimit(cfg, false) })
	}
	started := startRouter(t, f.store, "r4")
	await(t, "a router that starts receives the limit", func() bool { return holdsLimit(started, false) })

	f.limited.setLimit("")
	calls := 0
	for _, cfg := range append(f.routers, started) {
		await(t, "the end of the limit is received", func() bool {
			calls++
			call(t, f.routers[calls%len(f.routers)], fmt.Sprint("last-", calls), "GET", "/safe/x", "")
			return holdsLimit(cfg, true)
		})
	}
	f.limited.resetArrivals()
	const each = 20
	assert.Equal(t, each*len(f.routers), f.sendFromEach(t, each, 0))
	assert.Greater(t, f.limited.count(), each/2, "the upstream gets its usual share again")
}

// TestInvalidLimitsAreIgnored expects that an unparsable limit leaves callers served and the last
// valid limit in force, and that a limit in a caller's own headers has no effect.
func TestInvalidLimitsAreIgnored(t *testing.T) {
	f := startLimitFleet(t, "1", 0)
	f.sendFromEach(t, 4, 0)
	for _, bad := range []string{"x", "-1", "nan", "inf", "1e999", "5,x"} {
		f.limited.setLimit(bad)
		for _, cfg := range f.routers {
			answer := call(t, cfg, "bad"+cfg.Name, "GET", "/safe/x", "", "Limit", "0.1")
			assert.Equal(t, http.StatusOK, answer.status, bad)
		}
	}
	all := knownLimits(t, f.routers[0])
	require.Len(t, all, 1)
	assert.False(t, all[0].Lifted)
	assert.GreaterOrEqual(t, all[0].PerSecond, 1.0)
	assert.Equal(t, "u1", all[0].Upstream.ID)
}

// startLoader serves requests for places at all engines of this host, which are idle, and returns
// its port.
func startLoader(t *testing.T) uint16 {
	t.Helper()
	ledger := &places.Ledger{}
	ledger.Observe(places.EngineLoad{}, true)
	mux := http.NewServeMux()
	feed := loadfeed.NewFeed()
	feed.Publish(loadfeed.State{Models: []provider.LoadedModel{{Model: "m", Version: 1}}})
	mux.Handle(loadfeed.Path, feed)
	answer := places.Handler(ledger, func(places.Response) {})
	mux.HandleFunc(places.Path, func(w http.ResponseWriter, r *http.Request) {
		ledger.Observe(places.EngineLoad{}, true)
		answer(w, r)
	})
	return serveAt(t, freePorts(t, 1)[0], mux)
}

// serveAt serves a handler until the end of the test, and returns its port.
func serveAt(t *testing.T, address netip.AddrPort, handler http.Handler) uint16 {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address.String())
	require.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return address.Port()
}
