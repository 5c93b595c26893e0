package kv

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/standin/serve"
)

func start(t *testing.T, s *Server) string {
	t.Helper()
	server, err := serve.Loopback(s)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.URL()
}

func do(t *testing.T, method, url, body string) (int, map[string]any, error) {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	decoded := map[string]any{}
	require.NoError(t, json.Unmarshal(data, &decoded), "%s", data)
	return resp.StatusCode, decoded, nil
}

func TestWritesCheckTheExpectedRevision(t *testing.T) {
	url := start(t, &Server{})
	steps := []struct {
		method, path, body string
		status             int
		revision           float64
	}{
		{"PUT", "/kv/a/b?ifRevision=0", "one", 200, 1},
		{"PUT", "/kv/a/b?ifRevision=0", "two", 409, 1},
		{"PUT", "/kv/a/b?ifRevision=1", "two", 200, 2},
		{"PUT", "/kv/a/b", "three", 200, 3},
		{"PUT", "/kv/a/b?ifRevision=x", "four", 400, 0},
		{"DELETE", "/kv/a/b?ifRevision=2", "", 409, 3},
		{"DELETE", "/kv/a/b?ifRevision=3", "", 200, 4},
		{"DELETE", "/kv/a/b", "", 409, 0},
		{"PUT", "/kv/a/b?ifRevision=3", "five", 409, 0},
		{"PUT", "/kv/a/b?ifRevision=0", "five", 200, 5},
		{"GET", "/kv/a/b", "", 200, 5},
		{"GET", "/kv/a/c", "", 404, 0},
	}
	for i, step := range steps {
		status, body, err := do(t, step.method, url+step.path, step.body)
		require.NoError(t, err)
		assert.Equal(t, step.status, status, "step %d", i)
		assert.InDelta(t, step.revision, body["revision"], 0, "step %d", i)
	}
	status, _, err := do(t, "PUT", url+"/kv/big", string(make([]byte, MaxValueBytes+1)))
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestEntityTooLarge, status)
}

func TestWatchReturnsEventsUnderPrefix(t *testing.T) {
	s := &Server{Store: Store{History: 4}}
	url := start(t, s)
	s.Store.Put("p/a", []byte("1"), AnyRevision, 0)
	s.Store.Put("q/a", []byte("1"), AnyRevision, 0)
	s.Store.Delete("p/a", AnyRevision)
	_, body, err := do(t, "GET", url+"/watch?prefix=p/&after=0&wait=1m", "")
	require.NoError(t, err)
	assert.InDelta(t, 3, body["revision"], 0)
	assert.Len(t, body["events"], 2, "only events under the prefix")

	woken := make(chan map[string]any)
	go func() {
		_, body, _ := do(t, "GET", url+"/watch?prefix=p/&after=3&wait=1m", "")
		woken <- body
	}()
	for s.Counts().Watches < 2 {
		runtime.Gosched()
	}
	s.Store.Put("q/b", []byte("no"), AnyRevision, 0)
	s.Store.Put("p/b", []byte("yes"), AnyRevision, 0)
	assert.InDelta(t, 5, (<-woken)["revision"], 0)

	for i := range 10 {
		s.Store.Put(fmt.Sprint("p/", i), nil, AnyRevision, 0)
	}
	status, _, err := do(t, "GET", url+"/watch?prefix=p/&after=5&wait=1m", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusGone, status, "compacted")
	status, _, err = do(t, "GET", url+"/watch?prefix=p/&after=99&wait=1m", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusGone, status, "revision in the future")
	_, body, err = do(t, "GET", url+"/watch?prefix=none/&after=15&wait=1ms", "")
	require.NoError(t, err)
	assert.Nil(t, body["events"], "the wait elapsed without an event")
}

func TestLeaseKeepsKeysUntilExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Store{Now: func() time.Time { return now }}
	id := s.Grant(5 * time.Second)
	_, ok := s.Put("k", []byte("held"), 0, id)
	require.True(t, ok)
	now = now.Add(4 * time.Second)
	require.True(t, s.KeepAlive(id))
	now = now.Add(4 * time.Second)
	_, present := s.Get("k")
	require.True(t, present, "kept alive")
	now = now.Add(2 * time.Second)
	_, present = s.Get("k")
	require.False(t, present, "expired")
	require.False(t, s.KeepAlive(id))
	_, ok = s.Put("k", []byte("late"), 0, id)
	require.False(t, ok, "an expired lease accepts no keys")

	other := s.Grant(5 * time.Second)
	s.Put("k", []byte("other"), 0, other)
	s.Put("k", []byte("taken over"), AnyRevision, 0)
	s.Revoke(other)
	_, present = s.Get("k")
	require.True(t, present, "a key overwritten without the lease is kept")
}

func TestLeaseExpiryWakesWatch(t *testing.T) {
	s := &Server{}
	url := start(t, s)
	id := s.Store.Grant(20 * time.Millisecond)
	s.Store.Put("p/k", nil, 0, id)
	_, body, err := do(t, "GET", url+"/watch?prefix=p/&after=1&wait=1m", "")
	require.NoError(t, err)
	assert.Len(t, body["events"], 1)
}

func TestFaultsLoseRequestsOrResponses(t *testing.T) {
	var fault atomic.Value
	fault.Store(Fault{})
	s := &Server{Fault: func(Op, string) Fault { return fault.Load().(Fault) }}
	url := start(t, s)
	fault.Store(Fault{Down: true})
	_, _, err := do(t, "PUT", url+"/kv/a", "lost before")
	require.Error(t, err)
	_, present := s.Store.Get("a")
	assert.False(t, present, "the write took no effect")
	fault.Store(Fault{DropResponse: true})
	_, _, err = do(t, "PUT", url+"/kv/a", "lost after")
	require.Error(t, err)
	item, present := s.Store.Get("a")
	assert.True(t, present, "the write took effect although its response was lost")
	assert.Equal(t, "lost after", string(item.Value))
}

// TestRateLimitsRefuseReadsAndWrites checks that requests beyond the limits get 429 and are counted as refused only.
func TestRateLimitsRefuseReadsAndWrites(t *testing.T) {
	s := &Server{WritesPerSecond: 0.001, ReadsPerSecond: 0.001}
	url := start(t, s)
	for _, method := range []string{"PUT", "GET"} {
		status, _, err := do(t, method, url+"/kv/a", "")
		require.NoError(t, err)
		assert.Equal(t, http.StatusTooManyRequests, status)
	}
	assert.Equal(t, Counts{Refused: 2}, s.Counts())
}
