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

func TestGapsOfASlowLink(t *testing.T) {
	var g gaps
	assert.Equal(t, time.Second, g.allowed("p", time.Second))
	g.stalled("p", time.Second)
	assert.Equal(t, 2*time.Second, g.allowed("p", time.Second), "a second try is allowed twice the time")
	g.stalled("p", 2*time.Second)
	assert.Equal(t, 4*time.Second, g.allowed("p", time.Second))
	for range 1000 {
		g.saw("p", time.Millisecond)
	}
	assert.Equal(t, time.Second, g.allowed("p", time.Second), "a link that moves again is judged as such")
	assert.Equal(t, time.Second, g.allowed("q", time.Second), "each peer by itself")
	g.saw("p", time.Hour)
	assert.Equal(t, maxStallAfter, g.allowed("p", time.Second))
}

func TestStalledTransfer(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer server.Close()
	defer close(release)
	link := &Link{Client: http.DefaultClient, StallAfter: 20 * time.Millisecond}
	peer := netip.MustParseAddrPort(server.Listener.Addr().String())
	_, err := link.FetchChunk(t.Context(), ChunkRequest{Peer: peer, Length: 100})
	require.ErrorIs(t, err, ErrStalled)
	require.ErrorContains(t, err, peer.String())
}

func TestAnswers(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   error
		text   string
	}{
		{"whole", 200, "four", nil, ""},
		{"absent", 404, "", ErrAbsent, ""},
		{"busy", 503, "", ErrBusy, ""},
		{"too short", 200, "fou", io.ErrUnexpectedEOF, ""},
		{"too long", 200, "fours", nil, "more than the 4 asked for"},
		{"broken", 500, "", nil, "status 500"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			link := &Link{Client: http.DefaultClient}
			data, err := link.FetchChunk(t.Context(), ChunkRequest{Peer: netip.MustParseAddrPort(server.Listener.Addr().String()), Digest: manifest.Digest{1}, Length: 4})
			switch {
			case test.want != nil:
				require.ErrorIs(t, err, test.want)
			case test.text != "":
				require.ErrorContains(t, err, test.text)
			default:
				require.NoError(t, err)
				assert.Equal(t, test.body, string(data))
			}
		})
	}
}
