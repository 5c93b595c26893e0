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

// TestReaderReceivesChangesUntilStopped also guards against a stream that the feed keeps
// open after its reader has stopped.
func TestReaderReceivesChangesUntilStopped(t *testing.T) {
	feed := NewFeed()
	mux := http.NewServeMux()
	mux.Handle(Path, feed)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	host := netip.MustParseAddrPort(server.Listener.Addr().String())
	received := make(chan Line, 64)
	reader := &Reader{Client: server.Client(), OnLine: func(from netip.AddrPort, line Line) {
		assert.Equal(t, host, from)
		received <- line
	}}
	reader.Follow([]netip.AddrPort{host})
	want := Line{Running: 3, Waiting: 1, Models: []provider.LoadedModel{{Model: "m", Version: 2}}}
	feed.Publish(want)
	assert.Equal(t, want, <-received)
	feed.Publish(Line{Running: 4})
	for line := range received { // the first line may be repeated as a keep-alive
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

// TestFeedPauseGrowsWithReaders guards against a cost of a feed that grows with its readers.
func TestFeedPauseGrowsWithReaders(t *testing.T) {
	feed := NewFeed()
	feed.readers.Store(2)
	assert.Equal(t, minPause, feed.pause())
	feed.readers.Store(400)
	assert.Equal(t, 500*time.Millisecond, feed.pause())
}
