package router_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// assertUnused asserts that a router, whose replica has the removal of an upstream's record, sends it nothing
// more.
func assertUnused(t *testing.T, cfg settings.Router, left *upstream) {
	t.Helper()
	before := left.received.Load()
	for i := range 20 {
		require.Equal(t, http.StatusOK, call(t, cfg, fmt.Sprintf("after-%d", i), "GET", "/safe/x", "").status)
	}
	assert.Equal(t, before, left.received.Load(), "the upstream gets no requests")
}

// TestRouterCutOffFromStoreKeepsNoUpstreamThatLeft guards against a router that learns late, from a peer with a
// current replica, that an upstream has left, and goes on sending there because it is late.
func TestRouterCutOffFromStoreKeepsNoUpstreamThatLeft(t *testing.T) {
	s := &testStore{}
	s.configure(baseConfiguration(1))
	left, staying := startUpstream(t, "left", answerOK), startUpstream(t, "staying", answerOK)
	s.register(left.record())
	s.register(staying.record())
	connected := startRouter(t, s, "connected")
	late := startRouterIn(t, s, "another hall", "late", connected.Listen.Peers)
	await(t, "ready", func() bool { return ready(connected) && ready(late) })
	awaitListed(s, late, "u/left")

	s.unreachable.Store("late", true)
	s.remove("u/left")
	awaitApplied(s, late, `"gone":true`, "after/left-gone")
	assertUnused(t, late, left)
}

// TestFailedCallKeepsNoUpstreamThatLeft guards against a router that goes on sending to an upstream that has left,
// because a single call to the store failed shortly before.
func TestFailedCallKeepsNoUpstreamThatLeft(t *testing.T) {
	s := &testStore{}
	s.configure(baseConfiguration(1))
	left, staying := startUpstream(t, "left", answerOK), startUpstream(t, "staying", answerOK)
	s.register(left.record())
	s.register(staying.record())
	cfg := startRouter(t, s, "r1")
	await(t, "ready", func() bool { return ready(cfg) })
	awaitListed(s, cfg, "u/staying")

	s.failures.Store(1)
	s.put("wakes-the-watch", []byte("{}"))
	await(t, "a call has failed", func() bool { return s.failures.Load() <= 0 })
	s.remove("u/left")
	awaitApplied(s, cfg, `"gone":true`, "after/left-gone")
	assertUnused(t, cfg, left)
}
