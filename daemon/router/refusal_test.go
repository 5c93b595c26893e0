package router_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
)

// TestRefusedCallersLearnWhenEnginesAreReady guards against an expected time that gets lost between the
// load feed and the response: all engines load a version, which their loaders expect to last 3 s.
func TestRefusedCallersLearnWhenEnginesAreReady(t *testing.T) {
	const expected = 3 * time.Second
	ledger := &places.Ledger{}
	ledger.Observe(places.EngineLoad{Loading: true}, true)
	feed := loadfeed.NewFeed()
	feed.Publish(loadfeed.State{Loading: true, Next: &loadfeed.NextVersion{Version: 2, In: expected.Milliseconds()}})
	mux := http.NewServeMux()
	mux.Handle(loadfeed.Path, feed)
	mux.Handle(places.Path, places.Handler(ledger, func(places.Response) {}))
	_, cfg, first, second := startPair(t, serveAt(t, freePorts(t, 1)[0], mux), answerOK, answerOK)
	// Until the feed is read, a refusal tells at most 1.9 s.
	const shortest, longest = 2000 * time.Millisecond, expected + time.Second
	await(t, "a time by the expected readiness", func() bool {
		got := call(t, cfg, "a", "GET", "/safe/x", "")
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		wait := time.Duration(seconds * float64(time.Second))
		assert.LessOrEqual(t, wait, longest)
		return wait > shortest
	})
	assert.Zero(t, first.received.Load()+second.received.Load())
}
