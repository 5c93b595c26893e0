package evidence_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/evidence"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

var deadly = content.Request{Body: []byte("deadly")}.Digest()

func noted(upstreams ...string) quarantine.Report {
	note := quarantine.Report{Content: deadly}
	for _, upstream := range upstreams {
		depth := map[string]int{"a": 1, "b": 2, "c": 3}[upstream]
		note.Crashes = append(note.Crashes, quarantine.Crash{Upstream: upstream, Depth: depth})
	}
	return note
}

// peer is a router that keeps what it is told.
type peer struct {
	address netip.AddrPort
	mu      sync.Mutex
	table   quarantine.Table
	// fails is how many messages it answers with an error.
	fails int
}

func startPeer(t *testing.T) *peer {
	t.Helper()
	p := &peer{}
	known := &evidence.Known[quarantine.Report]{
		All:  p.notes,
		Of:   func([]quarantine.Report) []quarantine.Report { return p.notes() },
		Take: p.take,
	}
	pages := bunrouter.New()
	pages.Compat().GET(evidence.SuspectsPath, known.ServeAll)
	pages.Compat().POST(evidence.SuspectsPath, func(w http.ResponseWriter, r *http.Request) {
		if p.failing() {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		known.ServeTold(w, r)
	})
	server := httptest.NewServer(pages)
	t.Cleanup(server.Close)
	p.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return p
}

func (p *peer) failing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fails--
	return p.fails >= 0
}

func (p *peer) notes() []quarantine.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Reports()
}

func (p *peer) take(notes []quarantine.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, note := range notes {
		p.table.Merge(note, time.Now())
	}
}

func (p *peer) judge() quarantine.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Verdict(deadly, time.Now())
}

func startTeller(t *testing.T, own *peer, others ...netip.AddrPort) *evidence.Teller[quarantine.Report] {
	t.Helper()
	teller := &evidence.Teller[quarantine.Report]{
		Path:   evidence.SuspectsPath,
		Client: http.DefaultClient, Peers: func() []netip.AddrPort { return others },
		Take: func(notes []quarantine.Report, _ netip.AddrPort) { own.take(notes) },
	}
	teller.Start()
	t.Cleanup(teller.Stop)
	return teller
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, time.Millisecond, what)
}

// TestAllAreTold: each router hears of an end, also one that fails at first, and one that
// is gone keeps the others from nothing.
func TestAllAreTold(t *testing.T) {
	own, second, third := &peer{}, startPeer(t), startPeer(t)
	third.fails = 2
	gone := startPeer(t).address
	gone = netip.AddrPortFrom(gone.Addr(), 1)
	teller := startTeller(t, own, gone, second.address, third.address)
	require.True(t, teller.Tell(noted("a")))
	require.True(t, teller.Tell(noted("b", "c")))
	for _, p := range []*peer{second, third} {
		await(t, "it holds the content back", func() bool { return p.judge() == quarantine.Quarantined })
	}
}

// TestWhoMissedNewsHearsOfItInTheAnswer: a router that was cut off tells of one end, and
// learns of those before.
func TestWhoMissedNewsHearsOfItInTheAnswer(t *testing.T) {
	own, other := &peer{}, startPeer(t)
	other.take([]quarantine.Report{noted("b", "c")})
	teller := startTeller(t, own, other.address)
	own.take([]quarantine.Report{noted("a")})
	require.True(t, teller.Tell(noted("a")))
	await(t, "it holds the content back", func() bool { return own.judge() == quarantine.Quarantined })
}

// TestAStartingRouterAsks: it has all that another knows, although nobody tells it anything.
func TestAStartingRouterAsks(t *testing.T) {
	own, other := &peer{}, startPeer(t)
	other.take([]quarantine.Report{noted("a", "b", "c")})
	teller := &evidence.Teller[quarantine.Report]{
		Path:   evidence.SuspectsPath,
		Client: http.DefaultClient, Peers: func() []netip.AddrPort { return nil },
		Peer: func() (netip.AddrPort, bool) { return other.address, true },
		Take: func(notes []quarantine.Report, _ netip.AddrPort) { own.take(notes) },
	}
	teller.Start()
	t.Cleanup(teller.Stop)
	await(t, "it holds the content back", func() bool { return own.judge() == quarantine.Quarantined })
}

// TestAStopWaitsForNobody: a router that does not answer keeps no other from its stop, and
// what is told too much is left out.
func TestAStopWaitsForNobody(t *testing.T) {
	asked := make(chan struct{}, 1)
	client := &http.Client{Transport: silent{asked}}
	failed := make(chan error, 1)
	teller := &evidence.Teller[quarantine.Report]{
		Path:   evidence.SuspectsPath,
		Client: client, Peers: func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")} },
		Take: func([]quarantine.Report, netip.AddrPort) {}, OnFailed: func(_ netip.AddrPort, err error) { failed <- err },
	}
	assert.False(t, teller.Tell(noted("a")), "not started")
	teller.Start()
	require.True(t, teller.Tell(noted("a")))
	<-asked
	teller.Stop()
	select {
	case err := <-failed:
		assert.Fail(t, "a stop is no failure", err)
	default:
	}
	told := 0
	for teller.Tell(noted("a")) {
		told++
	}
	assert.Positive(t, told)
}

var errOver = errors.New("the call is over")

// silent never answers.
type silent struct{ asked chan<- struct{} }

func (s silent) RoundTrip(r *http.Request) (*http.Response, error) {
	s.asked <- struct{}{}
	<-r.Context().Done()
	return nil, errors.Join(errOver, context.Cause(r.Context()))
}
