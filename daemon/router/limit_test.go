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

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
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
}

func startNeedy(t *testing.T, id, limit string) *needy {
	t.Helper()
	n := &needy{}
	n.upstream = startUpstream(t, id, func(request *http.Request, connection net.Conn) {
		n.mu.Lock()
		n.arrivals = append(n.arrivals, time.Now())
		n.mu.Unlock()
		answerNaming(request, connection, limit)
	})
	return n
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
	routers []settings.Router
	needy   *needy
	other   *upstream
}

// fleetOf starts routers that know each other. Their upstreams are engines where there is a
// port to look for loaders at.
func fleetOf(t *testing.T, limit string, loaderPort uint16) *limitFleet {
	t.Helper()
	s := &surroundings{}
	configuration := basic(1)
	f := &limitFleet{needy: startNeedy(t, "u1", limit), other: startUpstream(t, "u2", good)}
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
			return ready(set) && !slices.ContainsFunc(names, func(name string) bool { return !strings.Contains(known, `"m/`+name+`"`) })
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
	pages.Handle(places.Path, places.Handler(ledger, func(bool) { ledger.Observe(places.Load{}, true) }))
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
