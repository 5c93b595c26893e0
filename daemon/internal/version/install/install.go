// Package install applies the orders that an agent receives: it fetches and
// verifies the named versions, has the engine load the version to serve by a
// fenced order, and only then opens the gate for requests.
//
// The version to serve and the next version are fetched concurrently. A fetch
// continues across orders that name its version. A fetch whose version is no
// longer named is stopped; its chunks stay staged while the budget allows, since
// the next version may share them.
package install

import (
	"net/netip"
	"sync"
	"time"

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
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Status is the state of the host's versions, as reported to the entries.
type Status struct {
	ReadyService  string
	ReadyManifest string
	FetchManifest string
	ChunksHeld    int
	ChunksTotal   int
	// FailedManifest is the version whose activation failed most recently.
	FailedManifest string
	Failure        string
}

// Installer applies the orders for one engine. Set the fields before Start.
type Installer struct {
	Stage     *stage.Stage
	Fetcher   *fetch.Fetcher
	Fence     *activate.Fence
	Gate      *gate.Gate
	Telemetry *telemetry.Telemetry
	// WeightsAddress is the address at which the engine reads complete versions.
	WeightsAddress netip.AddrPort
	// OnChange, if set, is called when Status has changed.
	OnChange func()

	tomb tomb.Tomb

	// mu guards the fields below. Lock order: mu before the locks of Gate and Stage.
	mu    sync.Mutex
	order *wire.Order
	// orderChanged is closed and replaced with each order.
	orderChanged chan struct{}
	// fetches holds the versions being fetched or complete, by digest.
	fetches map[manifest.Digest]*fetchState
	// loaded is the version that the engine last confirmed; zero while unknown.
	loaded  manifest.Digest
	failed  manifest.Digest
	failure string
	// wake triggers the next pass of run.
	wake chan struct{}
}

// Start starts to apply orders.
func (i *Installer) Start() {
	i.mu.Lock()
	i.initialize()
	i.mu.Unlock()
	i.tomb.Go(i.run)
}

// Stop cancels the fetches and waits for them. The gate stays open for the
// version that is served.
func (i *Installer) Stop() {
	i.tomb.Kill(nil)
	_ = i.tomb.Wait()
}

// Done returns a channel that is closed when the installer has stopped.
func (i *Installer) Done() <-chan struct{} { return i.tomb.Dead() }

func (i *Installer) initialize() {
	if i.wake == nil {
		i.wake = make(chan struct{}, 1)
		i.orderChanged = make(chan struct{})
		i.fetches = map[manifest.Digest]*fetchState{}
	}
}

// SetOrder sets the newest order; nil means that the host has none. An order with a
// token below the highest one is ignored.
func (i *Installer) SetOrder(order *wire.Order) {
	i.mu.Lock()
	i.initialize()
	if order != nil && !i.Fence.Raise(order.GetToken()) {
		i.mu.Unlock()
		return
	}
	i.order = order
	close(i.orderChanged)
	i.orderChanged = make(chan struct{})
	i.mu.Unlock()
	i.wakeLoop()
}

func (i *Installer) wakeLoop() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

func (i *Installer) notifyChange() {
	if i.OnChange != nil {
		i.OnChange()
	}
}

// Status returns the current state of the host's versions.
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
	newest := i.newestVersion()
	if newest == nil {
		return status
	}
	status.FetchManifest = newest.GetManifest()
	id, _ := versionID(newest)
	if f := i.fetches[id]; f != nil && f.version != nil {
		status.ChunksHeld, status.ChunksTotal = f.version.Progress()
	}
	return status
}

// newestVersion returns the newest version that the order names; the caller holds
// mu.
func (i *Installer) newestVersion() *wire.Version {
	if next := i.order.GetNext(); next != nil {
		return next
	}
	return i.order.GetServe()
}

// run applies the current order at each wake-up, and retries after errors.
func (i *Installer) run() error {
	ctx := i.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	retryBackoff := helpers.NewBackoff(minRetryDelay, maxRetryDelay)
	for {
		i.startFetches(ctx)
		var retry <-chan time.Time
		if err := i.serve(ctx); err != nil {
			retry = time.After(retryBackoff.NextBackOff())
		} else {
			retryBackoff.Reset()
		}
		select {
		case <-i.wake:
		case <-retry:
		case <-i.tomb.Dying():
			return nil
		}
	}
}

// recordFailure records why a version cannot be activated.
func (i *Installer) recordFailure(id manifest.Digest, err error) {
	i.mu.Lock()
	i.failed, i.failure = id, err.Error()
	i.mu.Unlock()
	i.notifyChange()
}
