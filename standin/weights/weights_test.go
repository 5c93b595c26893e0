package weights

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

func fetch(ctx context.Context, url, byteRange string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	if byteRange != "" {
		req.Header.Set("Range", byteRange)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// TestRangesAreServedWithInjectedFaults checks that a range is served or rejected by its bounds, and that faults
// corrupt, truncate or stall only what is sent.
func TestRangesAreServedWithInjectedFaults(t *testing.T) {
	s := &Server{BytesPerSecond: 1 << 30}
	server, err := serve.Loopback(s)
	require.NoError(t, err)
	defer server.Close()
	data := Generate(7, 100_000)
	require.Equal(t, data, Generate(7, 100_000), "equal seeds give equal bytes")
	require.NotEqual(t, data, Generate(8, 100_000))
	id, err := s.Add(data, 30_000)
	require.NoError(t, err)
	ctx := t.Context()

	_, encoded, err := fetch(ctx, server.URL()+"/manifests/"+id.String(), "")
	require.NoError(t, err)
	m, err := manifest.Decode(encoded, id)
	require.NoError(t, err)
	require.Len(t, m.Chunks, 4)
	url := server.URL() + "/weights/" + id.String()
	status, part, err := fetch(ctx, url, "bytes=30000-59999")
	require.NoError(t, err)
	assert.Equal(t, http.StatusPartialContent, status)
	assert.Equal(t, m.Chunks[1], manifest.Sum(part))
	assert.Equal(t, int64(30_000), s.SentBytes(), "only weights are counted")

	for _, bad := range []string{"bytes=5-4", "bytes=0-100000", "bytes=-5", "lines=1-2"} {
		status, _, err = fetch(ctx, url, bad)
		require.NoError(t, err)
		assert.Equal(t, http.StatusRequestedRangeNotSatisfiable, status, bad)
	}
	status, _, _ = fetch(ctx, server.URL()+"/weights/"+manifest.Digest{}.String(), "")
	assert.Equal(t, http.StatusNotFound, status)

	s.Fault = func(manifest.Digest, int64, int64) Fault { return Fault{Corrupt: true} }
	_, part, err = fetch(ctx, url, "bytes=0-29999")
	require.NoError(t, err)
	assert.NotEqual(t, m.Chunks[0], manifest.Sum(part))
	assert.True(t, bytes.Equal(data, Generate(7, 100_000)), "corruption does not change the stored data")
	s.Fault = func(manifest.Digest, int64, int64) Fault { return Fault{CutAfter: 10_000} }
	_, part, err = fetch(ctx, url, "bytes=0-29999")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Len(t, part, 10_000)
	stalled, cancel := context.WithCancel(ctx)
	requested := make(chan struct{})
	s.Fault = func(manifest.Digest, int64, int64) Fault { close(requested); return Fault{Stall: true} }
	go func() { <-requested; cancel() }()
	_, _, err = fetch(stalled, url, "bytes=0-29999")
	require.ErrorIs(t, err, context.Canceled)
}

// countingWriter checks at each write that SentBytes already includes the written bytes.
type countingWriter struct {
	*httptest.ResponseRecorder
	t       *testing.T
	server  *Server
	written int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.written += int64(len(p))
	assert.GreaterOrEqual(w.t, w.server.SentBytes(), w.written, "bytes reached the client before they were counted")
	return w.ResponseRecorder.Write(p)
}

func TestSentBytesIncludesBytesBeforeTheyAreWritten(t *testing.T) {
	s := &Server{}
	id, err := s.Add(Generate(7, 100_000), 30_000)
	require.NoError(t, err)
	w := &countingWriter{ResponseRecorder: httptest.NewRecorder(), t: t, server: s}
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/weights/"+id.String(), nil))
	assert.Equal(t, int64(100_000), w.written)
}
