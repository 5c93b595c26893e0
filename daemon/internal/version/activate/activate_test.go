package activate

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/standin/engine"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// startEngine runs an engine and a weights server that returns the request path.
// It returns the fence and a function that creates orders.
func startEngine(t *testing.T, e *engine.Server) (*Fence, func(name string, token uint64) Order) {
	t.Helper()
	server, err := serve.Loopback(e)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	weights := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
	t.Cleanup(weights.Close)
	return &Fence{Engine: NewEngine(server.Address, http.DefaultClient)}, func(name string, token uint64) Order {
		return Order{Manifest: name, Weights: weights.URL + "/" + name, Size: int64(len(name) + 1), Token: token}
	}
}

func digestOf(name string) manifest.Digest { return manifest.Sum([]byte("/" + name)) }

func TestLoadIsFencedByHighestToken(t *testing.T) {
	e := &engine.Server{}
	fence, order := startEngine(t, e)
	require.NoError(t, fence.Load(t.Context(), order("v1", 3), digestOf("v1")))
	require.ErrorIs(t, fence.Load(t.Context(), order("v0", 2), digestOf("v0")), ErrFenced, "the agent enforces the fence")
	assert.Len(t, e.History(), 1, "the engine does not receive the older order")

	successor := &Fence{Engine: fence.Engine}
	require.NoError(t, successor.Load(t.Context(), order("v2", 5), digestOf("v2")))
	err := fence.Load(t.Context(), order("v1", 4), digestOf("v1"))
	require.ErrorIs(t, err, ErrFenced, "an agent that resumes cannot revert its successor's order")
	require.ErrorIs(t, err, ErrRefused)
	assert.Equal(t, "v2", e.State().Manifest)
}

func TestLoadFailsOnWrongDigest(t *testing.T) {
	fence, order := startEngine(t, &engine.Server{})
	err := fence.Load(t.Context(), order("v1", 1), digestOf("v2"))
	require.ErrorContains(t, err, "holds version")
}

// An order without a response may still take effect at an engine that checks no
// tokens, so the next order must wait.
func TestLoadWaitsOutUnansweredOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var loads atomic.Int64
		loadErr := io.ErrUnexpectedEOF
		e := &Engine{Address: netip.MustParseAddrPort("127.0.0.1:1"), Load: func(_ context.Context, o Order) (State, error) {
			loads.Add(1)
			if loadErr != nil {
				return State{}, loadErr
			}
			return State{Manifest: o.Manifest, Digest: digestOf(o.Manifest).String()}, nil
		}}
		started := time.Now()
		fence := &Fence{Engine: e, OrderHold: 3 * time.Second, NotBefore: started.Add(3 * time.Second)}
		require.Error(t, fence.Load(t.Context(), Order{Manifest: "v1", Token: 1}, digestOf("v1")))
		assert.Equal(t, 3*time.Second, time.Since(started), "a new agent waits for its predecessor's order")
		loadErr = nil
		require.NoError(t, fence.Load(t.Context(), Order{Manifest: "v1", Token: 1}, digestOf("v1")))
		assert.Equal(t, 6*time.Second, time.Since(started), "the next order waits after one without a response")
		require.NoError(t, fence.Load(t.Context(), Order{Manifest: "v2", Token: 2}, digestOf("v2")))
		assert.Equal(t, 6*time.Second, time.Since(started))
		assert.Equal(t, int64(3), loads.Load())
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		fence.NotBefore = time.Now().Add(time.Hour)
		require.ErrorIs(t, fence.Load(canceled, Order{Token: 3}, digestOf("v3")), context.Canceled)
	})
}
