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
	received := make(chan State, 64)
	reader := &Reader{Client: server.Client(), OnState: func(from netip.AddrPort, state State) {
		assert.Equal(t, host, from)
		received <- state
	}}
	reader.Follow([]netip.AddrPort{host})
	want := State{Running: 3, Waiting: 1, Models: []provider.LoadedModel{{Model: "m", Version: 2}}}
	feed.Publish(want)
	assert.Equal(t, want, <-received)
	feed.Publish(State{Running: 4})
	for state := range received { // the first state may be repeated as a keep-alive
		if state.Running == 4 {
			break
		}
	}
	reader.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.Eventually(t, func() bool { return feed.readers.Load() == 0 || ctx.Err() != nil }, 10*time.Second, time.Millisecond)
	assert.Zero(t, feed.readers.Load())
}

// TestBatchDelayGrowsWithReaders guards against a cost of a feed that grows with its readers.
func TestBatchDelayGrowsWithReaders(t *testing.T) {
	feed := NewFeed()
	feed.readers.Store(2)
	assert.Equal(t, minBatchDelay, feed.batchDelay())
	feed.readers.Store(400)
	assert.Equal(t, 500*time.Millisecond, feed.batchDelay())
}
