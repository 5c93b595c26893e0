package source

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api/manifest"
)

func TestStallTimeoutAdaptsToReadGaps(t *testing.T) {
	var g readGaps
	assert.Equal(t, time.Second, g.timeout("p", time.Second))
	g.recordStall("p", time.Second)
	assert.Equal(t, 2*time.Second, g.timeout("p", time.Second), "a stall doubles the timeout")
	g.recordStall("p", 2*time.Second)
	assert.Equal(t, 4*time.Second, g.timeout("p", time.Second))
	for range 1000 {
		g.record("p", time.Millisecond)
	}
	assert.Equal(t, time.Second, g.timeout("p", time.Second), "regular reads restore the minimum")
	assert.Equal(t, time.Second, g.timeout("q", time.Second), "peers are independent")
	g.record("p", time.Hour)
	assert.Equal(t, maxStallTimeout, g.timeout("p", time.Second))
}

func TestStalledTransferFails(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer server.Close()
	defer close(release)
	downloader := &Downloader{Client: http.DefaultClient, MinStallTimeout: 20 * time.Millisecond}
	peer := netip.MustParseAddrPort(server.Listener.Addr().String())
	_, err := downloader.FetchChunk(t.Context(), ChunkRequest{Peer: peer, Length: 100})
	require.ErrorIs(t, err, ErrStalled)
	require.ErrorContains(t, err, peer.String())
}

// A truncated or oversized chunk must not be accepted, and callers must be able to
// tell a busy peer from one that lacks the chunk.
func TestFetchChunkRejectsWrongStatusOrLength(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		body    string
		want    error
		message string
	}{
		{"complete", 200, "four", nil, ""},
		{"absent", 404, "", ErrAbsent, ""},
		{"busy", 503, "", ErrBusy, ""},
		{"too short", 200, "fou", io.ErrUnexpectedEOF, ""},
		{"too long", 200, "fours", nil, "more than the requested 4"},
		{"server error", 500, "", nil, "status 500"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			downloader := &Downloader{Client: http.DefaultClient}
			data, err := downloader.FetchChunk(t.Context(), ChunkRequest{Peer: netip.MustParseAddrPort(server.Listener.Addr().String()), Digest: manifest.Digest{1}, Length: 4})
			switch {
			case test.want != nil:
				require.ErrorIs(t, err, test.want)
			case test.message != "":
				require.ErrorContains(t, err, test.message)
			default:
				require.NoError(t, err)
				assert.Equal(t, test.body, string(data))
			}
		})
	}
}
