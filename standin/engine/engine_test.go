package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// harness is an engine with a server for its weights.
type harness struct {
	*testing.T
	engine     *Server
	engineURL  string
	weightsURL string
}

func start(t *testing.T, s *Server) *harness {
	t.Helper()
	server, err := serve.Loopback(s)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	weights, err := serve.Loopback(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	require.NoError(t, err)
	t.Cleanup(weights.Close)
	return &harness{t, s, server.URL(), weights.URL()}
}

func (h *harness) load(name string, token uint64) int {
	h.Helper()
	path := "/" + name
	body, err := json.Marshal(Order{Manifest: name, Weights: h.weightsURL + path, Size: int64(len(path)), Token: token})
	require.NoError(h, err)
	response, err := http.Post(h.engineURL+"/admin/load", "application/json", bytes.NewReader(body))
	require.NoError(h, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func (h *harness) complete(ctx context.Context, id string, request Completion) (*http.Response, string, error) {
	body, err := json.Marshal(request)
	require.NoError(h, err)
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, h.engineURL+"/v1/completions", bytes.NewReader(body))
	require.NoError(h, err)
	call.Header.Set(api.HeaderRequestID, id)
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// awaitRun waits until the engine has started to run a request.
func (h *harness) awaitRun() {
	for len(h.engine.Runs()) == 0 {
		runtime.Gosched()
	}
}

func TestOrderWithOutdatedFencingTokenIsRejected(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		h := start(t, &Server{IgnoreFence: ignore})
		assert.Equal(t, http.StatusOK, h.load("v2", 7))
		want := http.StatusConflict
		if ignore {
			want = http.StatusOK
		}
		assert.Equal(t, want, h.load("v1", 6))
		assert.Equal(t, ignore, h.engine.State().Manifest == "v1")
		assert.Equal(t, http.StatusOK, h.load("v2", 7), "a repeated order is accepted")
	}
}

func TestServesOnlyLoadedVersion(t *testing.T) {
	h := start(t, &Server{})
	response, _, err := h.complete(t.Context(), "early", Completion{MaxTokens: 1})
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Empty(t, h.engine.Runs(), "a rejected request did not run")
	h.load("v1", 1)
	assert.Equal(t, manifest.Sum([]byte("/v1")).String(), h.engine.State().Digest, "the digest of the downloaded bytes")
	_, body, err := h.complete(t.Context(), "one", Completion{Prompt: "p", MaxTokens: 2})
	require.NoError(t, err)
	var decoded Response
	require.NoError(t, json.Unmarshal([]byte(body), &decoded))
	assert.Equal(t, Response{"one", "v1", []string{TokenText("v1", "p", 0), TokenText("v1", "p", 1)}}, decoded)
	_, body, err = h.complete(t.Context(), "two", Completion{Prompt: "p", MaxTokens: 2, Stream: true})
	require.NoError(t, err)
	assert.Equal(t, 3, strings.Count(body, "data: "))
	assert.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
	assert.Equal(t, map[string]Run{"one": {Count: 1, Manifest: "v1"}, "two": {Count: 1, Manifest: "v1"}}, h.engine.Runs())
}

func TestFailedLoadKeepsVersion(t *testing.T) {
	errLoad := errors.New("out of memory")
	s := &Server{FailLoad: func(o Order) error {
		if o.Manifest == "bad" {
			return errLoad
		}
		return nil
	}}
	h := start(t, s)
	assert.Equal(t, http.StatusInternalServerError, h.load("bad", 1))
	assert.Empty(t, s.State().Manifest)
	assert.Equal(t, http.StatusOK, h.load("v1", 2))
	body, _ := json.Marshal(Order{Manifest: "v2", Weights: h.weightsURL + "/v2", Size: 99, Token: 3})
	response, err := http.Post(h.engineURL+"/admin/load", "", bytes.NewReader(body))
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusBadGateway, response.StatusCode, "a truncated download is rejected")
	assert.Equal(t, "v1", s.State().Manifest)
}

func TestLoadAbortsRunningRequests(t *testing.T) {
	h := start(t, &Server{PerToken: time.Hour})
	h.load("v1", 1)
	done := make(chan error)
	go func() {
		_, _, err := h.complete(context.Background(), "long", Completion{MaxTokens: 9, Stream: true})
		done <- err
	}()
	h.awaitRun()
	h.load("v2", 2)
	require.Error(t, <-done)
	assert.Equal(t, 1, h.engine.AbortedByLoad(), "the aborted request is counted")
}

func TestCancellationIsRecorded(t *testing.T) {
	h := start(t, &Server{PerToken: time.Hour})
	h.load("v1", 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		h.awaitRun()
		cancel()
	}()
	_, _, err := h.complete(ctx, "left", Completion{MaxTokens: 9})
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return h.engine.Runs()["left"].Cancelled }, 5*time.Second, time.Millisecond)
}

// TestFaultsBreakConnections checks that a request cut before the engine read it does not count as
// run, and that one cut midway does.
func TestFaultsBreakConnections(t *testing.T) {
	var fault atomic.Value
	s := &Server{Fault: func(string) Fault { return fault.Load().(Fault) }}
	h := start(t, s)
	h.load("v1", 1)
	fault.Store(Fault{CutBefore: true})
	_, _, err := h.complete(t.Context(), "before", Completion{MaxTokens: 3, Stream: true})
	require.Error(t, err)
	assert.NotContains(t, s.Runs(), "before")
	fault.Store(Fault{CutAfterTokens: 2})
	_, body, err := h.complete(t.Context(), "midway", Completion{MaxTokens: 3, Stream: true})
	require.Error(t, err)
	assert.Equal(t, 2, strings.Count(body, "data: "))
	assert.Equal(t, 1, s.Runs()["midway"].Count)
}

func TestLoadReportsAreDelayed(t *testing.T) {
	var reports loadReports
	at := time.Unix(1000, 0)
	reports.add(at, 1)
	reports.add(at.Add(time.Second), 1)
	reports.add(at.Add(2*time.Second), -1)
	assert.Equal(t, 0, reports.asOf(at.Add(-time.Second)).Running)
	assert.Equal(t, 2, reports.asOf(at.Add(time.Second)).Running)
	assert.Equal(t, 1, reports.asOf(at.Add(time.Hour)).Running)
}

func TestPrefixCacheAndItsEventsAreBounded(t *testing.T) {
	var cache prefixCache
	at := time.Now().Add(-time.Hour)
	assert.False(t, cache.use("a prompt", at))
	assert.True(t, cache.use("a prompt", at))
	for i := range cachePrefixes {
		cache.use(fmt.Sprint("x", i), at)
	}
	assert.False(t, cache.use("a prompt", at), "the least recently used prefix is evicted")
	for i := range 2 * maxEvents {
		cache.use(fmt.Sprint("y", i), at)
	}
	assert.Len(t, cache.events, maxEvents)
	assert.Greater(t, cache.events[0].Sequence, uint64(1), "a lagging reader sees a gap")
}
