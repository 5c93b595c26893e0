// Package install brings a host to the versions that its order names: fetch,
// verify, load by fenced order, and only then serve.
//
// The version to serve and the one to come are fetched side by side. A fetch
// goes on across orders that still name its version; one that no order names
// any more is stopped, and its chunks stay staged while the budget allows,
// since the next version may share them.
package install

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/gate"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/activate"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/fetch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/stage"
)

const (
	retryMin = 200 * time.Millisecond
	retryMax = 5 * time.Second
)

// Status is what the host says of its versions.
type Status struct {
	ReadyService  string
	ReadyManifest string
	FetchManifest string
	ChunksHeld    int
	ChunksTotal   int
	// FailedManifest is the version whose activation failed last.
	FailedManifest string
	Failure        string
}

// Installer follows the orders of one engine. Set the fields before Start.
type Installer struct {
	Stage     *stage.Stage
	Fetcher   *fetch.Fetcher
	Fence     *activate.Fence
	Gate      *gate.Gate
	Telemetry *telemetry.Telemetry
	// Weights is the address at which the engine reads whole versions.
	Weights netip.AddrPort
	// OnChange is told when Status changed; nil means nobody is.
	OnChange func()

	tomb tomb.Tomb

	// mu guards all below. Lock order: mu before the locks of Gate and Stage.
	mu    sync.Mutex
	order *wire.Order
	// orderChanged is closed and replaced with each order.
	orderChanged chan struct{}
	// fetches holds the versions being fetched or complete, by name.
	fetches map[manifest.Digest]*fetching
	// loaded is the version that the engine was last seen to hold whole.
	loaded  manifest.Digest
	failed  manifest.Digest
	failure string
	// wake makes the loop look again.
	wake chan struct{}
}

// fetching is one version on its way.
type fetching struct {
	cancel context.CancelFunc
	// done is set once the version is staged and verified.
	done bool
	// version is set once its manifest is known.
	version *stage.Version
}

// Start begins to follow orders.
func (i *Installer) Start() {
	i.mu.Lock()
	i.setUp()
	i.mu.Unlock()
	i.tomb.Go(i.run)
}

// Stop ends fetches and waits for them. What is served stays served.
func (i *Installer) Stop() {
	i.tomb.Kill(nil)
	_ = i.tomb.Wait()
}

// Done is closed when the installer has ended.
func (i *Installer) Done() <-chan struct{} { return i.tomb.Dead() }

func (i *Installer) setUp() {
	if i.wake == nil {
		i.wake = make(chan struct{}, 1)
		i.orderChanged = make(chan struct{})
		i.fetches = map[manifest.Digest]*fetching{}
	}
}

// Order takes the newest order; nil means that the host has none.
func (i *Installer) Order(order *wire.Order) {
	i.mu.Lock()
	i.setUp()
	if order != nil && !i.Fence.Raise(order.GetToken()) {
		i.mu.Unlock()
		return
	}
	i.order = order
	close(i.orderChanged)
	i.orderChanged = make(chan struct{})
	i.mu.Unlock()
	i.poke()
}

func (i *Installer) poke() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

func (i *Installer) changed() {
	if i.OnChange != nil {
		i.OnChange()
	}
}

// Status returns what the host says of its versions now.
func (i *Installer) Status() Status {
	serving := i.Gate.Serving()
	i.mu.Lock()
	defer i.mu.Unlock()
	status := Status{ReadyManifest: serving.Manifest, Failure: i.failure}
	if len(serving.Services) > 0 {
		status.ReadyService = serving.Services[0]
	}
	if !i.failed.IsZero() {
		status.FailedManifest = i.failed.String()
	}
	target := i.target()
	if target == nil {
		return status
	}
	status.FetchManifest = target.GetManifest()
	id, _ := idOf(target)
	if f := i.fetches[id]; f != nil && f.version != nil {
		status.ChunksHeld, status.ChunksTotal = f.version.Progress()
	}
	return status
}

// target returns the newest version that the order names; the caller holds mu.
func (i *Installer) target() *wire.Version {
	if next := i.order.GetNext(); next != nil {
		return next
	}
	return i.order.GetServe()
}

// swarm returns the present hosts of a version, for its fetch.
func (i *Installer) swarm(id manifest.Digest) (fetch.Swarm, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, v := range []*wire.Version{i.order.GetServe(), i.order.GetNext()} {
		if v.GetManifest() == id.String() {
			return fetch.Swarm{HallHosts: peersOf(v.GetHallHosts()), Gateways: peersOf(v.GetGateways()), Halls: v.GetHalls()}, i.orderChanged
		}
	}
	return fetch.Swarm{}, i.orderChanged
}

func peersOf(hosts []*wire.Host) []fetch.Peer {
	peers := make([]fetch.Peer, 0, len(hosts))
	for _, host := range hosts {
		address, err := netip.ParseAddrPort(host.GetAddress())
		if err == nil {
			peers = append(peers, fetch.Peer{Name: host.GetName(), Hall: host.GetHall(), Address: address})
		}
	}
	return peers
}

func (i *Installer) run() error {
	ctx := i.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval, waits.MaxInterval = retryMin, retryMax
	for {
		i.startFetches(ctx)
		var retry <-chan time.Time
		if err := i.serve(ctx); err != nil {
			retry = time.After(waits.NextBackOff())
		} else {
			waits.Reset()
		}
		select {
		case <-i.wake:
		case <-retry:
		case <-i.tomb.Dying():
			return nil
		}
	}
}

// startFetches starts what the order names and stops what it does not.
func (i *Installer) startFetches(ctx context.Context) {
	i.mu.Lock()
	defer i.mu.Unlock()
	wanted := i.wanted()
	for id, f := range i.fetches {
		if !contains(wanted, id) {
			f.cancel()
			delete(i.fetches, id)
		}
	}
	for _, id := range wanted {
		if i.fetches[id] == nil {
			fetchCtx, cancel := context.WithCancel(ctx)
			f := &fetching{cancel: cancel}
			i.fetches[id] = f
			i.tomb.Go(func() error { i.fetch(fetchCtx, id, f); return nil })
		}
	}
}

// wanted returns the versions that the order names, the one to serve first;
// the caller holds mu.
func (i *Installer) wanted() []manifest.Digest {
	var wanted []manifest.Digest
	for _, v := range []*wire.Version{i.order.GetServe(), i.order.GetNext()} {
		if id, named := idOf(v); named && !contains(wanted, id) {
			wanted = append(wanted, id)
		}
	}
	return wanted
}

// idOf returns a version's name, false where there is none.
func idOf(v *wire.Version) (manifest.Digest, bool) {
	id, err := manifest.ParseDigest(v.GetManifest())
	return id, err == nil
}

func contains(ids []manifest.Digest, id manifest.Digest) bool {
	for _, candidate := range ids {
		if candidate == id {
			return true
		}
	}
	return false
}

// fetch brings one version here, however often it takes.
func (i *Installer) fetch(ctx context.Context, id manifest.Digest, f *fetching) {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval, waits.MaxInterval = retryMin, retryMax
	started := time.Now()
	for ctx.Err() == nil {
		err := i.fetchOnce(ctx, id, f)
		if err == nil {
			i.Telemetry.Decide(telemetry.Decision{
				Step: "stage", Choice: id.Short(), Reason: "every chunk and the whole are verified",
				Details: map[string]any{"seconds": time.Since(started).Seconds()},
			})
			i.mu.Lock()
			f.done = true
			i.mu.Unlock()
			i.poke()
			i.changed()
			return
		}
		if ctx.Err() != nil {
			return
		}
		i.Telemetry.Log.WithError(err).WithField("version", id.Short()).Warn("fetch failed; trying again")
		helpers.Pause(waits.NextBackOff(), ctx.Done())
	}
}

func (i *Installer) fetchOnce(ctx context.Context, id manifest.Digest, f *fetching) error {
	swarm, _ := i.swarm(id)
	m, err := i.Fetcher.Manifest(ctx, id, swarm)
	if err != nil {
		return err
	}
	i.mu.Lock()
	keep := append(i.wanted(), i.loaded)
	i.mu.Unlock()
	version, err := i.Stage.Open(id, m, keep)
	if err != nil {
		i.fail(id, err)
		return err
	}
	i.mu.Lock()
	f.version = version
	i.mu.Unlock()
	i.changed()
	err = i.Fetcher.Fetch(ctx, version, func() (fetch.Swarm, <-chan struct{}) { return i.swarm(id) })
	if err != nil && ctx.Err() == nil && !errors.Is(err, stage.ErrDropped) {
		if held, total := version.Progress(); held == total {
			// All chunks are right and the whole is not: the manifest itself
			// contradicts itself, and no source can mend that.
			i.Stage.Drop(id)
			i.fail(id, err)
		}
	}
	return err
}

// fail notes why a version cannot be activated.
func (i *Installer) fail(id manifest.Digest, err error) {
	i.mu.Lock()
	i.failed, i.failure = id, err.Error()
	i.mu.Unlock()
	i.changed()
}

// serve brings the engine and the gate to the version to serve, if it is
// staged. An error asks for another try later.
func (i *Installer) serve(ctx context.Context) error {
	i.mu.Lock()
	order := i.order
	id, named := idOf(order.GetServe())
	staged := false
	if f := i.fetches[id]; f != nil {
		staged = f.done
	}
	loaded := i.loaded
	i.mu.Unlock()
	i.Gate.SetLimit(int(order.GetInFlightLimit()))
	switch {
	case !named:
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

// stopServing closes the gate for a host without a version to serve.
func (i *Installer) stopServing(order *wire.Order) {
	if len(i.Gate.Serving().Services) == 0 {
		return
	}
	i.Gate.Open(gate.Serving{})
	i.Telemetry.Decide(telemetry.Decision{Step: "activate", Choice: "serve nothing", Reason: "the host has no version to serve", Revision: order.GetToken()})
	i.changed()
}

// openGate admits requests for a version that the engine holds.
func (i *Installer) openGate(order *wire.Order, id manifest.Digest) {
	serving := i.Gate.Serving()
	if serving.Manifest == id.String() && len(serving.Services) == 1 && serving.Services[0] == order.GetService() {
		return
	}
	i.Gate.Open(gate.Serving{Services: []string{order.GetService()}, Manifest: id.String()})
	i.Telemetry.Decide(telemetry.Decision{
		Step: "activate", Choice: "serve " + id.Short(), Reason: "the engine holds the version whole", Revision: order.GetToken(),
		Details: map[string]any{"service": order.GetService(), "version": order.GetServe().GetVersion()},
	})
	i.changed()
}

// load waits until no request runs on the old version, orders the new one and
// opens the gate for it.
func (i *Installer) load(ctx context.Context, order *wire.Order, id manifest.Digest) error {
	ctx, cancel := i.whileOrdered(ctx, order)
	defer cancel()
	version := i.Stage.Find(id)
	if version == nil || !version.Verified() {
		return fmt.Errorf("version %s: %w", id.Short(), stage.ErrDropped)
	}
	if err := i.Gate.Close(ctx); err != nil {
		return err
	}
	// From here on the engine may hold anything until it has answered.
	i.mu.Lock()
	before := i.loaded
	i.loaded = manifest.Digest{}
	i.mu.Unlock()
	serve := order.GetServe()
	err := i.Fence.Load(ctx, activate.Order{
		Model: serve.GetModel(), Adapter: serve.GetAdapter(), Version: serve.GetVersion(), Manifest: id.String(),
		Weights: "http://" + i.Weights.String() + "/versions/" + id.String() + "/weights",
		Size:    version.Manifest.Size, Token: order.GetToken(),
	}, version.Manifest.FileDigest)
	if err != nil {
		i.loadFailed(ctx, order, id, before, err)
		return err
	}
	i.mu.Lock()
	i.loaded = id
	i.failed, i.failure = manifest.Digest{}, ""
	i.mu.Unlock()
	i.openGate(order, id)
	return nil
}

// whileOrdered returns a context that ends when a newer order replaces this
// one's assignment.
func (i *Installer) whileOrdered(ctx context.Context, order *wire.Order) (context.Context, context.CancelFunc) {
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

// holdsTimeout bounds the question what the engine holds.
const holdsTimeout = 2 * time.Second

// loadFailed goes back to the version before, if the engine says that it still
// holds it.
func (i *Installer) loadFailed(ctx context.Context, order *wire.Order, id, before manifest.Digest, err error) {
	i.Telemetry.Decide(telemetry.Decision{Step: "activate", Choice: "not serve " + id.Short(), Reason: err.Error(), Revision: order.GetToken()})
	if ctx.Err() == nil {
		i.fail(id, err)
	}
	if !errors.Is(err, activate.ErrRefused) {
		// The order may still be under way: the engine may turn to the new
		// version at any moment, so nothing may be routed to it.
		i.Gate.Open(gate.Serving{})
		i.changed()
		return
	}
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdsTimeout)
	defer cancel()
	state, holdsErr := i.Fence.Engine.Holds(askCtx)
	version := i.Stage.Find(before)
	if holdsErr != nil || before.IsZero() || version == nil || state.Manifest != before.String() || state.Digest != version.Manifest.FileDigest.String() {
		i.Gate.Open(gate.Serving{})
		i.changed()
		return
	}
	i.mu.Lock()
	i.loaded = before
	i.mu.Unlock()
	i.Gate.Open(gate.Serving{Services: []string{order.GetService()}, Manifest: before.String()})
	i.changed()
}
