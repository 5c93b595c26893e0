package loadfeed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestReadersHearChanges until they are told to follow the host no longer.
func TestReadersHearChanges(t *testing.T) {
	feed := NewFeed()
	mux := http.NewServeMux()
	mux.Handle(Path, feed)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	host := netip.MustParseAddrPort(server.Listener.Addr().String())
	heard := make(chan Line, 64)
	reader := &Reader{Client: server.Client(), OnLine: func(from netip.AddrPort, line Line) {
		assert.Equal(t, host, from)
		heard <- line
	}}
	reader.Follow([]netip.AddrPort{host})
	want := Line{Running: 3, Waiting: 1, Models: []provider.LoadedModel{{Model: "m", Version: 2}}}
	feed.Publish(want)
	assert.Equal(t, want, <-heard)
	feed.Publish(Line{Running: 4})
	for line := range heard { // the first may be told again
		if line.Running == 4 {
			break
		}
	}
	reader.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.Eventually(t, func() bool { return feed.readers.Load() == 0 || ctx.Err() != nil }, 10*time.Second, time.Millisecond)
	assert.Zero(t, feed.readers.Load())
}

// TestManyReadersHearLessOften, so that a feed costs no more.
func TestManyReadersHearLessOften(t *testing.T) {
	feed := NewFeed()
	feed.readers.Store(2)
	assert.Equal(t, leastPause, feed.pause())
	feed.readers.Store(400)
	assert.Equal(t, 500*time.Millisecond, feed.pause())
}
