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

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/evidence"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/readers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// Engines in need say in their answers how many requests a second they take from all routers
// together. No router read it: an engine that named 1 a second got 12 requests in 4 s, one
// that named 2.3 got 26, as many as before they named it and as all others get. And a router
// that keeps to it by itself is not enough, because each of the others does so too: in the
// lines of that time two and three routers sent to them, 7 and 4, and 11, 7 and 1, with places
// that the loader beside the engine had given to all of them (19 given, 6 not).

// limitWindow is the time over which a limit counts. Upstreams allow limitSlack times what
// they named in it, and limitExtra requests more.
const (
	limitWindow            = 4 * time.Second
	limitSlack, limitExtra = 1.5, 5.0
)

// needy is an upstream that names a limit in each answer.
type needy struct {
	*upstream
	mu       sync.Mutex
	arrivals []time.Time
	// limit is what it names, "" for none.
	limit string
}

func startNeedy(t *testing.T, id, limit string) *needy {
	t.Helper()
	n := &needy{limit: limit}
	n.upstream = startUpstream(t, id, func(request *http.Request, connection net.Conn) {
		n.mu.Lock()
		n.arrivals = append(n.arrivals, time.Now())
		named := n.limit
		n.mu.Unlock()
		if named == "" {
			good(request, connection)
			return
		}
		answerNaming(request, connection, named)
	})
	return n
}

// name has the upstream name another limit, "" for none.
func (n *needy) name(limit string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limit = limit
}

func (n *needy) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.arrivals)
}

// answerNaming answers well and names a limit.
func answerNaming(request *http.Request, connection net.Conn, limit string) {
	body := "answer to " + request.Header.Get("Request-Id")
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: sig\r\nLimit: %s\r\nContent-Length: %d\r\n\r\n%s",
		request.Header.Get("Request-Id"), limit, len(body), body)
}

// forget forgets what came so far.
func (n *needy) forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arrivals = nil
}

// worst is the most requests that came in any window.
func (n *needy) worst() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	worst := 0
	for first, from := range n.arrivals {
		until := first
		for until < len(n.arrivals) && n.arrivals[until].Sub(from) < limitWindow {
			until++
		}
		worst = max(worst, until-first)
	}
	return worst
}

// limitFleet is three routers and two upstreams, of which one names a limit.
type limitFleet struct {
	surroundings *surroundings
	routers      []settings.Router
	needy        *needy
	other        *upstream
}

// fleetOf starts routers that know each other. Their upstreams are engines where there is a
// port to look for loaders at.
func fleetOf(t *testing.T, limit string, loaderPort uint16) *limitFleet {
	t.Helper()
	s := &surroundings{}
	configuration := basic(1)
	f := &limitFleet{surroundings: s, needy: startNeedy(t, "u1", limit), other: startUpstream(t, "u2", good)}
	records := []provider.Upstream{f.needy.record(), f.other.record()}
	for _, record := range records {
		record.Places = 16
		if loaderPort != 0 {
			configuration.Services[0].Engine = &provider.EngineSpec{Model: "m", Places: record.Places}
			record.Models = []provider.Loaded{{Model: "m", Version: 1}}
		}
		s.list(record)
	}
	s.configure(configuration)
	names := []string{"r1", "r2", "r3"}
	for _, name := range names {
		p, set := newRouter(t, s, settings.Router{Name: name, Hall: "hall", LoaderPort: loaderPort})
		require.NoError(t, p.Start())
		t.Cleanup(func() { _ = p.Stop(t.Context()) })
		f.routers = append(f.routers, set)
	}
	for _, set := range f.routers {
		await(t, "ready, and all routers known", func() bool {
			known := copyOf(set)
			return ready(set) && !slices.ContainsFunc(names, func(name string) bool {
				return !strings.Contains(known, `"`+membersOf("hall", readers.Shard(name))+name+`"`)
			})
		})
	}
	return f
}

// press has each router send the same number of requests, with a pause before each, and
// returns how many were served.
func (f *limitFleet) press(t *testing.T, each int, pause time.Duration) (served int) {
	t.Helper()
	for i := range each {
		for _, set := range f.routers {
			<-time.After(pause)
			if call(t, set, fmt.Sprint(set.Name, "-", i), "GET", "/safe/x", "").status == http.StatusOK {
				served++
			}
		}
	}
	return served
}

// TestALimitBoundsAllRouters: however a router comes to its upstreams, all of them together
// send to one that names a limit what that allows, and callers are served elsewhere.
func TestALimitBoundsAllRouters(t *testing.T) {
	// A place that was given counts as taken for as long as a report takes to show it.
	const shown = 30 * time.Millisecond
	ways := map[string]struct {
		loader func(t *testing.T) uint16
		pause  time.Duration
	}{
		"upstreams without loaders": {loader: func(*testing.T) uint16 { return 0 }},
		"places given by a loader":  {loader: startLoader, pause: shown},
		"a loader that is silent":   {loader: func(t *testing.T) uint16 { return freePorts(t, 1)[0].Port() }},
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			const limit, each = 2.0, 20
			f := fleetOf(t, fmt.Sprint(limit), way.loader(t))
			f.press(t, 4, way.pause) // all are told
			f.needy.forget()
			assert.Equal(t, each*len(f.routers), f.press(t, each, way.pause), "all callers are served: the other upstream has room")
			assert.LessOrEqual(t, f.needy.worst(), int(limitSlack*limit*limitWindow.Seconds()+limitExtra))
		})
	}
}

// TestALimitBoundsSecondSends: where the other upstream fails each request, all are to be sent
// a second time, to the one that names a limit.
func TestALimitBoundsSecondSends(t *testing.T) {
	const limit, each = 1.0, 20
	f := fleetOf(t, fmt.Sprint(limit), 0)
	failing := upstreamFunc(func(request *http.Request, connection net.Conn) {
		whole(request, connection, http.StatusInternalServerError, "failed", "")
	})
	f.other.answer.Store(&failing)
	f.press(t, 4, 0)
	f.needy.forget()
	f.press(t, each, 0)
	assert.LessOrEqual(t, f.needy.worst(), int(limitSlack*limit*limitWindow.Seconds()+limitExtra))
}

// limitsOf returns the limits that a router knows, as others see it.
func limitsOf(t *testing.T, set settings.Router) []ratelimit.UpstreamReport {
	t.Helper()
	all, err := evidence.All[ratelimit.UpstreamReport](t.Context(), http.DefaultClient, set.Listen.Peers, evidence.LimitsPath)
	require.NoError(t, err)
	return all
}

// TestOneAnswerTellsAllRouters: the others know a limit before an answer has told them, one
// that starts hears of it, and all know when it ends.
func TestOneAnswerTellsAllRouters(t *testing.T) {
	f := fleetOf(t, "1.5", 0)
	knows := func(set settings.Router, ended bool) bool {
		all := limitsOf(t, set)
		return len(all) == 1 && all[0].Upstream.ID == "u1" && all[0].Lifted == ended && (ended || all[0].PerSecond == 1.5)
	}
	for i := 0; f.needy.count() == 0; i++ {
		call(t, f.routers[0], fmt.Sprint("first-", i), "GET", "/safe/x", "")
	}
	for _, set := range f.routers {
		await(t, "the limit is known", func() bool { return knows(set, false) })
	}
	started := startRouter(t, f.surroundings, "r4")
	await(t, "who starts knows it", func() bool { return knows(started, false) })

	f.needy.name("")
	calls := 0
	for _, set := range append(f.routers, started) {
		await(t, "its end is known", func() bool {
			calls++
			call(t, f.routers[calls%len(f.routers)], fmt.Sprint("last-", calls), "GET", "/safe/x", "")
			return knows(set, true)
		})
	}
	f.needy.forget()
	const each = 20
	assert.Equal(t, each*len(f.routers), f.press(t, each, 0))
	assert.Greater(t, f.needy.count(), each/2, "it has its usual share again")
}

// TestBadLimitsHarmNothing: what cannot be read, in whatever answer, leaves callers served and
// the last good limit in force; a limit in a caller's own headers is nobody's.
func TestBadLimitsHarmNothing(t *testing.T) {
	f := fleetOf(t, "1", 0)
	f.press(t, 4, 0)
	for _, bad := range []string{"x", "-1", "nan", "inf", "1e999", "5,x"} {
		f.needy.name(bad)
		for _, set := range f.routers {
			answer := call(t, set, "bad"+set.Name, "GET", "/safe/x", "", "Limit", "0.1")
			assert.Equal(t, http.StatusOK, answer.status, bad)
		}
	}
	all := limitsOf(t, f.routers[0])
	require.Len(t, all, 1)
	assert.False(t, all[0].Lifted)
	assert.GreaterOrEqual(t, all[0].PerSecond, 1.0)
	assert.Equal(t, "u1", all[0].Upstream.ID)
}

// startLoader answers questions for places at all engines of this host, which are idle, and
// returns its port.
func startLoader(t *testing.T) uint16 {
	t.Helper()
	ledger := &places.Ledger{}
	ledger.Observe(places.Load{}, true)
	pages := http.NewServeMux()
	feed := loadfeed.NewFeed()
	feed.Publish(loadfeed.Line{Models: []provider.Loaded{{Model: "m", Version: 1}}})
	pages.Handle(loadfeed.Path, feed)
	answer := places.Handler(ledger, func(places.Answer) {})
	pages.HandleFunc(places.Path, func(w http.ResponseWriter, r *http.Request) {
		ledger.Observe(places.Load{}, true)
		answer(w, r)
	})
	return serveAt(t, freePorts(t, 1)[0], pages)
}

// serveAt serves pages until the end of the test, and returns their port.
func serveAt(t *testing.T, address netip.AddrPort, pages http.Handler) uint16 {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address.String())
	require.NoError(t, err)
	server := &http.Server{Handler: pages, ReadHeaderTimeout: time.Second}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return address.Port()
}
