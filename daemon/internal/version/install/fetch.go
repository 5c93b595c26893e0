package install

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/fetch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/stage"
)

// fetchState is the fetch of one version.
type fetchState struct {
	cancel context.CancelFunc
	// done is set once the version is staged and verified.
	done bool
	// version is set once the manifest has been fetched.
	version *stage.Version
}

// startFetches starts fetches of the versions that the order names and cancels all
// others.
func (i *Installer) startFetches(ctx context.Context) {
	i.mu.Lock()
	defer i.mu.Unlock()
	wanted := i.wanted()
	for id, f := range i.fetches {
		if !slices.Contains(wanted, id) {
			f.cancel()
			delete(i.fetches, id)
		}
	}
	for _, id := range wanted {
		if i.fetches[id] == nil {
			fetchCtx, cancel := context.WithCancel(ctx)
			f := &fetchState{cancel: cancel}
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
		if id, ok := versionID(v); ok && !slices.Contains(wanted, id) {
			wanted = append(wanted, id)
		}
	}
	return wanted
}

// versionID returns a version's digest, or false if there is none.
func versionID(v *wire.Version) (manifest.Digest, bool) {
	id, err := manifest.ParseDigest(v.GetManifest())
	return id, err == nil
}

// fetch fetches one version and retries until it succeeds or ctx is done.
func (i *Installer) fetch(ctx context.Context, id manifest.Digest, f *fetchState) {
	retryBackoff := helpers.NewBackoff(minRetryDelay, maxRetryDelay)
	started := time.Now()
	for ctx.Err() == nil {
		err := i.fetchOnce(ctx, id, f)
		if err == nil {
			i.Telemetry.LogDecision(telemetry.Decision{
				Step: "stage", Choice: id.Short(), Reason: "all chunks and the file digest are verified",
				Details: map[string]any{"seconds": time.Since(started).Seconds()},
			})
			i.mu.Lock()
			f.done = true
			i.mu.Unlock()
			i.wakeLoop()
			i.notifyChange()
			return
		}
		if ctx.Err() != nil {
			return
		}
		i.Telemetry.Log.WithError(err).WithField("version", id.Short()).Warn("fetch failed; retrying")
		helpers.Pause(retryBackoff.NextBackOff(), ctx.Done())
	}
}

func (i *Installer) fetchOnce(ctx context.Context, id manifest.Digest, f *fetchState) error {
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
		i.recordFailure(id, err)
		return err
	}
	i.mu.Lock()
	f.version = version
	i.mu.Unlock()
	i.notifyChange()
	err = i.Fetcher.Fetch(ctx, version, func() (fetch.Swarm, <-chan struct{}) { return i.swarm(id) })
	if err != nil && ctx.Err() == nil && !errors.Is(err, stage.ErrDropped) {
		if stored, total := version.Progress(); stored == total {
			// All chunks match the manifest but the file digest does not, so
			// the manifest is inconsistent and another source cannot help.
			i.Stage.Drop(id)
			i.recordFailure(id, err)
		}
	}
	return err
}

// swarm returns the hosts of a version for its fetch, and a channel that is closed
// at the next order.
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
