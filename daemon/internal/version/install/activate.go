package install

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/gate"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/activate"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/stage"
)

// serve loads the version to serve and opens the gate for it, if it is staged.
// The caller retries after an error.
func (i *Installer) serve(ctx context.Context) error {
	i.mu.Lock()
	order := i.order
	id, ok := versionID(order.GetServe())
	staged := false
	if f := i.fetches[id]; f != nil {
		staged = f.done
	}
	loaded := i.loaded
	i.mu.Unlock()
	i.Gate.SetLimit(int(order.GetInFlightLimit()))
	switch {
	case !ok:
		i.stopServing(order)
		return nil
	case loaded == id:
		i.openGate(order, id)
		return nil
	case !staged:
		return nil
	default:
		return i.load(ctx, order, id)
	}
}

// stopServing closes the gate of a host without a version to serve.
func (i *Installer) stopServing(order *wire.Order) {
	if len(i.Gate.Serving().Services) == 0 {
		return
	}
	i.Gate.Open(gate.Serving{})
	i.Telemetry.LogDecision(telemetry.Decision{Step: "activate", Choice: "serve nothing", Reason: "the host has no version to serve", Revision: order.GetToken()})
	i.notifyChange()
}

// openGate admits requests for a version that the engine holds.
func (i *Installer) openGate(order *wire.Order, id manifest.Digest) {
	serving := i.Gate.Serving()
	if serving.Manifest == id.String() && len(serving.Services) == 1 && serving.Services[0] == order.GetService() {
		return
	}
	i.Gate.Open(gate.Serving{Services: []string{order.GetService()}, Manifest: id.String()})
	i.Telemetry.LogDecision(telemetry.Decision{
		Step: "activate", Choice: "serve " + id.Short(), Reason: "the engine has loaded the version", Revision: order.GetToken(),
		Details: map[string]any{"service": order.GetService(), "version": order.GetServe().GetVersion()},
	})
	i.notifyChange()
}

// load waits until no request runs on the old version, orders the engine to load
// the new one and opens the gate for it.
func (i *Installer) load(ctx context.Context, order *wire.Order, id manifest.Digest) error {
	ctx, cancel := i.withOrder(ctx, order)
	defer cancel()
	version := i.Stage.Find(id)
	if version == nil || !version.Verified() {
		return fmt.Errorf("version %s: %w", id.Short(), stage.ErrDropped)
	}
	if err := i.Gate.Close(ctx); err != nil {
		return err
	}
	// From here until a response arrives, the state of the engine is unknown.
	i.mu.Lock()
	previous := i.loaded
	i.loaded = manifest.Digest{}
	i.mu.Unlock()
	serve := order.GetServe()
	err := i.Fence.Load(ctx, activate.Order{
		Model: serve.GetModel(), Adapter: serve.GetAdapter(), Version: serve.GetVersion(), Manifest: id.String(),
		Weights: "http://" + i.WeightsAddress.String() + "/versions/" + id.String() + "/weights",
		Size:    version.Manifest.Size, Token: order.GetToken(),
	}, version.Manifest.FileDigest)
	if err != nil {
		i.handleLoadFailure(ctx, order, id, previous, err)
		return err
	}
	i.mu.Lock()
	i.loaded = id
	i.failed, i.failure = manifest.Digest{}, ""
	i.mu.Unlock()
	i.openGate(order, id)
	return nil
}

// withOrder returns a context that is cancelled when an order with another token
// replaces this one.
func (i *Installer) withOrder(ctx context.Context, order *wire.Order) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	i.mu.Lock()
	changed := i.orderChanged
	i.mu.Unlock()
	go func() {
		for {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			i.mu.Lock()
			replaced := i.order.GetToken() != order.GetToken()
			changed = i.orderChanged
			i.mu.Unlock()
			if replaced {
				cancel()
				return
			}
		}
	}()
	return ctx, cancel
}

// handleLoadFailure reopens the gate for the previous version if the engine
// reports that it still holds it, and closes the gate otherwise.
func (i *Installer) handleLoadFailure(ctx context.Context, order *wire.Order, id, previous manifest.Digest, err error) {
	i.Telemetry.LogDecision(telemetry.Decision{Step: "activate", Choice: "not serve " + id.Short(), Reason: err.Error(), Revision: order.GetToken()})
	if ctx.Err() == nil {
		i.recordFailure(id, err)
	}
	serving := gate.Serving{}
	// Unless the engine rejected the order, it may still be in progress and the engine may
	// switch to the new version at any moment, so no request may be routed to it.
	if errors.Is(err, activate.ErrRefused) && i.engineHolds(ctx, previous) {
		i.mu.Lock()
		i.loaded = previous
		i.mu.Unlock()
		serving = gate.Serving{Services: []string{order.GetService()}, Manifest: previous.String()}
	}
	i.Gate.Open(serving)
	i.notifyChange()
}

// stateTimeout bounds the query of the engine's state after a failed load.
const stateTimeout = 2 * time.Second

// engineHolds asks the engine whether it holds a version that is staged here.
func (i *Installer) engineHolds(ctx context.Context, id manifest.Digest) bool {
	stateCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stateTimeout)
	defer cancel()
	state, err := i.Fence.Engine.QueryState(stateCtx)
	version := i.Stage.Find(id)
	if err != nil || id.IsZero() || version == nil {
		return false
	}
	return state.Manifest == id.String() && state.Digest == version.Manifest.FileDigest.String()
}
