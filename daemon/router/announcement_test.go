package router_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// admissionPaths are the ways in which a request is admitted to an upstream, by the port of the
// loaders; 0 means that there are none.
var admissionPaths = map[string]func(t *testing.T) uint16{
	"upstreams without loaders":  func(*testing.T) uint16 { return 0 },
	"places granted by a loader": startLoader,
	"an unreachable loader":      func(t *testing.T) uint16 { return freePorts(t, 1)[0].Port() },
}

// answerLeaving answers with status 200 and states that the upstream is leaving.
func answerLeaving(req *http.Request, conn net.Conn) {
	body := "answer to " + req.Header.Get("Request-Id")
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: sig\r\nLeaving: 1\r\nContent-Length: %d\r\n\r\n%s",
		req.Header.Get("Request-Id"), len(body), body)
}

// firstStart is when the upstreams of startPair started.
var firstStart = time.Unix(1000, 0)

// startPair starts a router with two upstreams, which are engines if there is a loader port.
func startPair(t *testing.T, loaderPort uint16, first, second upstreamFunc) (*testStore, settings.Router, *upstream, *upstream) {
	t.Helper()
	s := &testStore{}
	configuration := baseConfiguration(1)
	upstreams := []*upstream{startUpstream(t, "first", first), startUpstream(t, "second", second)}
	for _, u := range upstreams {
		record := u.record()
		record.Places, record.Started = 16, firstStart
		if loaderPort != 0 {
			configuration.Services[0].Engine = &provider.EngineSpec{Model: "m", Places: record.Places}
			record.Models = []provider.LoadedModel{{Model: "m", Version: 1}}
		}
		s.register(record)
	}
	s.configure(configuration)
	p, cfg := newRouter(t, s, settings.Router{Name: "r1", Hall: "hall", LoaderPort: loaderPort})
	require.NoError(t, p.Start())
	t.Cleanup(func() { _ = p.Stop(t.Context()) })
	await(t, "ready", func() bool { return ready(cfg) })
	return s, cfg, upstreams[0], upstreams[1]
}

// callUntilReceived sends requests until the upstream has received one.
func callUntilReceived(t *testing.T, cfg settings.Router, u *upstream) {
	t.Helper()
	for i := 0; u.received.Load() == 0; i++ {
		require.Less(t, i, 1000, "the upstream gets no request")
		call(t, cfg, fmt.Sprint("until-", i), "GET", "/safe/x", "")
	}
}

// TestUpstreamGetsNoRequestsAfterStatingThatItLeaves guards against requests that would be cut when
// the upstream ends, while the store has not received its new record.
func TestUpstreamGetsNoRequestsAfterStatingThatItLeaves(t *testing.T) {
	for name, loaderPort := range admissionPaths {
		t.Run(name, func(t *testing.T) {
			_, cfg, leaving, _ := startPair(t, loaderPort(t), answerLeaving, answerOK)
			callUntilReceived(t, cfg, leaving)
			received := leaving.received.Load()
			for i := range 40 {
				assert.Equal(t, http.StatusOK, call(t, cfg, fmt.Sprint("id-", i), "GET", "/safe/x", "").status)
			}
			assert.Equal(t, received, leaving.received.Load())
		})
	}
}

// secondSend is a request that is sent to a second upstream, because of the first one's answer.
type secondSend struct {
	target string
	answer upstreamFunc
}

// secondSends returns a request for each reason for a second send.
func secondSends(t *testing.T) map[string]secondSend {
	t.Helper()
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	return map[string]secondSend{
		"retry after a refusal":  {"/safe/x", answerNotRun},
		"retry after a failure":  {"/safe/x", closeConnection},
		"unsafe after a refusal": {"/unsafe2/x", answerNotRun},
		"resumed stream":         {"/stream/x", events(2, false, "")},
		"hedge":                  {"/safe/x", func(*http.Request, net.Conn) { <-release }},
	}
}

// assertNoSecondSend sends each request for a second send, after an upstream has given the answer,
// and expects that none reaches that upstream.
func assertNoSecondSend(t *testing.T, answer upstreamFunc) {
	t.Helper()
	for name, c := range secondSends(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, cfg, withdrawn, other := startPair(t, 0, answer, answerOK)
			callUntilReceived(t, cfg, withdrawn)
			received := withdrawn.received.Load()
			other.answer.Store(&c.answer)
			call(t, cfg, "id", "POST", c.target, "body")
			assert.Equal(t, received, withdrawn.received.Load())
		})
	}
}

// TestNoSecondSendReachesLeavingUpstream guards against retries, resumed streams and hedges at an
// upstream that stated that it leaves.
func TestNoSecondSendReachesLeavingUpstream(t *testing.T) { assertNoSecondSend(t, answerLeaving) }

// TestLeavingIsNotUndoneByRecord guards against a record that was written before the upstream
// began to leave. Another upstream at the address, and a restart, are served.
func TestLeavingIsNotUndoneByRecord(t *testing.T) {
	s, cfg, leaving, _ := startPair(t, 0, answerLeaving, answerOK)
	callUntilReceived(t, cfg, leaving)
	received := leaving.received.Load()
	record := leaving.record()
	record.Places, record.Started = 8, firstStart
	s.register(record)
	awaitListed(s, cfg, "u/first")
	for i := range 20 {
		call(t, cfg, fmt.Sprint("older-", i), "GET", "/safe/x", "")
	}
	assert.Equal(t, received, leaving.received.Load(), "a record of the same start")

	ok := upstreamFunc(answerOK)
	leaving.answer.Store(&ok)
	record.Started = firstStart.Add(time.Hour)
	s.register(record)
	await(t, "requests after a restart under the same id", func() bool {
		call(t, cfg, "restarted", "GET", "/safe/x", "")
		return leaving.received.Load() > received
	})
}

// TestNewUpstreamAtAddressOfLeavingOneIsServed guards against an address that stays shut out.
func TestNewUpstreamAtAddressOfLeavingOneIsServed(t *testing.T) {
	s, cfg, leaving, _ := startPair(t, 0, answerLeaving, answerOK)
	callUntilReceived(t, cfg, leaving)
	ok := upstreamFunc(answerOK)
	leaving.answer.Store(&ok)
	received := leaving.received.Load()
	record := leaving.record()
	s.remove("u/" + record.ID)
	record.ID = "successor"
	s.register(record)
	await(t, "requests at the new upstream", func() bool {
		call(t, cfg, "successor", "GET", "/safe/x", "")
		return leaving.received.Load() > received
	})
}
