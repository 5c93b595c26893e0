package broadcast_test

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

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/broadcast"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

var crashing = content.Request{Body: []byte("deadly")}.Digest()

// noteOf returns a note that the content crashed some upstreams.
func noteOf(upstreams ...string) quarantine.Report {
	note := quarantine.Report{Content: crashing}
	for _, upstream := range upstreams {
		depth := map[string]int{"a": 1, "b": 2, "c": 3}[upstream]
		note.Crashes = append(note.Crashes, quarantine.Crash{Upstream: upstream, Depth: depth})
	}
	return note
}

// peer is a router that stores the notes that it receives.
type peer struct {
	address netip.AddrPort
	mu      sync.Mutex
	table   quarantine.Table
	// failures is the number of further messages that fail.
	failures int
}

func startPeer(t *testing.T) *peer {
	t.Helper()
	p := &peer{}
	receiver := &broadcast.Receiver[quarantine.Report]{
		All:     p.notes,
		Related: func([]quarantine.Report) []quarantine.Report { return p.notes() },
		Merge:   p.merge,
	}
	routes := bunrouter.New()
	routes.Compat().GET(broadcast.SuspectsPath, receiver.ServeAll)
	routes.Compat().POST(broadcast.SuspectsPath, func(w http.ResponseWriter, r *http.Request) {
		if p.failing() {
			http.Error(w, "injected failure", http.StatusServiceUnavailable)
			return
		}
		receiver.ServeNotes(w, r)
	})
	server := httptest.NewServer(routes)
	t.Cleanup(server.Close)
	p.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return p
}

func (p *peer) failing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures--
	return p.failures >= 0
}

func (p *peer) notes() []quarantine.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Reports()
}

func (p *peer) merge(notes []quarantine.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, note := range notes {
		p.table.Merge(note, time.Now())
	}
}

func (p *peer) judge() quarantine.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Verdict(crashing, time.Now())
}

func startSender(t *testing.T, own *peer, others ...netip.AddrPort) *broadcast.Sender[quarantine.Report] {
	t.Helper()
	sender := &broadcast.Sender[quarantine.Report]{
		Path:   broadcast.SuspectsPath,
		Client: http.DefaultClient, Peers: func() []netip.AddrPort { return others },
		OnNotes: func(notes []quarantine.Report, _ netip.AddrPort) { own.merge(notes) },
	}
	sender.Start()
	t.Cleanup(sender.Stop)
	return sender
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, time.Millisecond, what)
}

// TestNotesReachAllRouters guards against a note that is lost at a router whose first
// responses are errors, or because another router is unreachable.
func TestNotesReachAllRouters(t *testing.T) {
	own, second, third := &peer{}, startPeer(t), startPeer(t)
	third.failures = 2
	unreachable := startPeer(t).address
	unreachable = netip.AddrPortFrom(unreachable.Addr(), 1)
	sender := startSender(t, own, unreachable, second.address, third.address)
	require.True(t, sender.Send(noteOf("a")))
	require.True(t, sender.Send(noteOf("b", "c")))
	for _, p := range []*peer{second, third} {
		waitFor(t, "the content is quarantined", func() bool { return p.judge() == quarantine.Quarantined })
	}
}

// TestMissedNotesArriveInResponse checks that a router which missed notes receives them in the
// response to its own note about the same content.
func TestMissedNotesArriveInResponse(t *testing.T) {
	own, other := &peer{}, startPeer(t)
	other.merge([]quarantine.Report{noteOf("b", "c")})
	sender := startSender(t, own, other.address)
	own.merge([]quarantine.Report{noteOf("a")})
	require.True(t, sender.Send(noteOf("a")))
	waitFor(t, "the content is quarantined", func() bool { return own.judge() == quarantine.Quarantined })
}

// TestStartingRouterFetchesNotes checks that a starting router has the notes of another one,
// although no router sends it any.
func TestStartingRouterFetchesNotes(t *testing.T) {
	own, other := &peer{}, startPeer(t)
	other.merge([]quarantine.Report{noteOf("a", "b", "c")})
	sender := &broadcast.Sender[quarantine.Report]{
		Path:   broadcast.SuspectsPath,
		Client: http.DefaultClient, Peers: func() []netip.AddrPort { return nil },
		CatchUpPeer: func() (netip.AddrPort, bool) { return other.address, true },
		OnNotes:     func(notes []quarantine.Report, _ netip.AddrPort) { own.merge(notes) },
	}
	sender.Start()
	t.Cleanup(sender.Stop)
	waitFor(t, "the content is quarantined", func() bool { return own.judge() == quarantine.Quarantined })
}

// TestStopDoesNotWaitForUnresponsiveRouter also checks that a full queue drops notes instead
// of blocking.
func TestStopDoesNotWaitForUnresponsiveRouter(t *testing.T) {
	requested := make(chan struct{}, 1)
	client := &http.Client{Transport: unresponsive{requested}}
	failed := make(chan error, 1)
	sender := &broadcast.Sender[quarantine.Report]{
		Path:   broadcast.SuspectsPath,
		Client: client, Peers: func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")} },
		OnNotes: func([]quarantine.Report, netip.AddrPort) {}, OnFailed: func(_ netip.AddrPort, err error) { failed <- err },
	}
	assert.False(t, sender.Send(noteOf("a")), "the sender is not started")
	sender.Start()
	require.True(t, sender.Send(noteOf("a")))
	<-requested
	sender.Stop()
	select {
	case err := <-failed:
		assert.Fail(t, "OnFailed was called because of Stop", err)
	default:
	}
	queued := 0
	for sender.Send(noteOf("a")) {
		queued++
	}
	assert.Positive(t, queued)
}

var errCanceled = errors.New("call canceled")

// unresponsive is a transport whose calls block until their context ends.
type unresponsive struct{ requested chan<- struct{} }

func (u unresponsive) RoundTrip(r *http.Request) (*http.Response, error) {
	u.requested <- struct{}{}
	<-r.Context().Done()
	return nil, errors.Join(errCanceled, context.Cause(r.Context()))
}
