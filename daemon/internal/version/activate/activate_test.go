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

// start runs an engine and a place to read weights named by their path.
func start(t *testing.T, e *engine.Server) (*Fence, func(name string, token uint64) Order) {
	t.Helper()
	beside, err := serve.Loopback(e)
	require.NoError(t, err)
	t.Cleanup(beside.Close)
	weights := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
	t.Cleanup(weights.Close)
	return &Fence{Engine: NewEngine(beside.Address, http.DefaultClient)}, func(name string, token uint64) Order {
		return Order{Manifest: name, Weights: weights.URL + "/" + name, Size: int64(len(name) + 1), Token: token}
	}
}

func whole(name string) manifest.Digest { return manifest.Sum([]byte("/" + name)) }

func TestLoad(t *testing.T) {
	e := &engine.Server{}
	fence, order := start(t, e)
	require.NoError(t, fence.Load(t.Context(), order("v1", 3), whole("v1")))
	require.ErrorIs(t, fence.Load(t.Context(), order("v0", 2), whole("v0")), ErrFenced, "the own fence")
	assert.Len(t, e.History(), 1, "the engine never saw the older order")

	successor := &Fence{Engine: fence.Engine}
	require.NoError(t, successor.Load(t.Context(), order("v2", 5), whole("v2")))
	err := fence.Load(t.Context(), order("v1", 4), whole("v1"))
	require.ErrorIs(t, err, ErrFenced, "a paused agent that wakes cannot undo its successor")
	require.ErrorIs(t, err, ErrRefused)
	assert.Equal(t, "v2", e.State().Manifest)
}

func TestWrongBytesAreNotReady(t *testing.T) {
	fence, order := start(t, &engine.Server{})
	err := fence.Load(t.Context(), order("v1", 1), whole("v2"))
	require.ErrorContains(t, err, "holds version")
}

// TestHoldTowardsEngineWithoutFence runs on a fake clock.
func TestHoldTowardsEngineWithoutFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var loads atomic.Int64
		answer := io.ErrUnexpectedEOF
		e := &Engine{Peer: netip.MustParseAddrPort("127.0.0.1:1"), Load: func(_ context.Context, o Order) (State, error) {
			loads.Add(1)
			if answer != nil {
				return State{}, answer
			}
			return State{Manifest: o.Manifest, Digest: whole(o.Manifest).String()}, nil
		}}
		started := time.Now()
		fence := &Fence{Engine: e, Hold: 3 * time.Second, NotBefore: started.Add(3 * time.Second)}
		require.Error(t, fence.Load(t.Context(), Order{Manifest: "v1", Token: 1}, whole("v1")))
		assert.Equal(t, 3*time.Second, time.Since(started), "a new agent waits out its predecessor's order")
		answer = nil
		require.NoError(t, fence.Load(t.Context(), Order{Manifest: "v1", Token: 1}, whole("v1")))
		assert.Equal(t, 6*time.Second, time.Since(started), "an order without an answer is waited out")
		require.NoError(t, fence.Load(t.Context(), Order{Manifest: "v2", Token: 2}, whole("v2")))
		assert.Equal(t, 6*time.Second, time.Since(started))
		assert.Equal(t, int64(3), loads.Load())
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		fence.NotBefore = time.Now().Add(time.Hour)
		require.ErrorIs(t, fence.Load(gone, Order{Token: 3}, whole("v3")), context.Canceled)
	})
}
