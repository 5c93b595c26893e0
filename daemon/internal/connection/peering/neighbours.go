package peering

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/backoff"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/fanout"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// LongPollWait is the wait of a long poll to a neighbour. It bounds how long a frozen
// neighbour stays undetected.
const LongPollWait = replica.HopWait

const (
	// replicaWait is the wait of a call for the complete replica, whose neighbour may
	// just be starting.
	replicaWait = time.Second
	// defaultBackoff is the backoff of a neighbour that did not respond or whose replica
	// is stale.
	defaultBackoff = 2 * time.Second
	// startingBackoff is the backoff of a neighbour that is starting. It is short, because
	// such a neighbour refuses at once, and because all daemons of a hall start together
	// after a power failure.
	startingBackoff = 250 * time.Millisecond
)

// errStarting reports that the replica of a neighbour is still empty.
var errStarting = fmt.Errorf("replica still empty: %w", replica.ErrStale)

// Neighbours fetches updates from daemons of the same hall in place of the store, for one
// follower. Client and Choose must be set.
type Neighbours struct {
	Client *http.Client
	// Choose returns the usable daemon to call, or false if the store is to be read.
	Choose func(usable func(netip.AddrPort) bool) (netip.AddrPort, bool)
	// DeferStoreRead reports whether not to read the store yet after Choose has returned
	// false. Nil means never.
	DeferStoreRead func() bool
	// MinEra returns the era of the store below which the replica of a neighbour is stale. Nil means
	// that none is.
	MinEra func() uint64
	// OnBackoff is called when a neighbour enters backoff. It may be nil.
	OnBackoff func(neighbour netip.AddrPort, reason error)
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	// failed holds the neighbours in backoff, and stale those of them that responded with
	// a stale replica.
	failed, stale backoff.List
	// followed is the neighbour whose complete replica was loaded last, and generation
	// that of the replica. Only FetchUpdate uses them, which one follower calls.
	followed   netip.AddrPort
	generation uint64
	// introduced is the neighbour that introduce called last with success.
	introduced netip.AddrPort
}

// FetchUpdate fetches the entries of a neighbour's replica under a prefix above a revision. It
// fetches all entries under the prefix if the revision is 0, in the second call to a neighbour that is
// not the one followed before, or if its replica has a new generation: that replica may then have
// entries below the revision that this daemon missed.
func (n *Neighbours) FetchUpdate(ctx context.Context, prefix string, after provider.Revision) (replica.Update, error) {
	neighbour, ok := n.Choose(n.usable)
	switch {
	case ok:
	case n.DeferStoreRead != nil && n.DeferStoreRead():
		return replica.Update{}, replica.ErrWait
	default:
		return replica.Update{}, replica.ErrNoPeer
	}
	if neighbour != n.followed {
		if after > 0 && neighbour != n.introduced {
			return n.introduce(ctx, neighbour, prefix, after)
		}
		after = 0
	}
	update, err := n.fetch(ctx, neighbour, prefix, after, waitFor(after))
	if err == nil && after > 0 && update.Generation != n.generation {
		update, err = n.fetch(ctx, neighbour, prefix, 0, waitFor(0))
	}
	if err == nil && update.After == 0 {
		n.followed, n.generation = neighbour, update.Generation
	}
	return update, n.checkError(ctx, neighbour, err)
}

// introduce fetches what is new from a neighbour whose complete replica is to be fetched next. It
// does not wait for changes: this daemon is late by the time that the neighbour before took to be
// given up, and another one that does not respond must not add as much again.
func (n *Neighbours) introduce(ctx context.Context, neighbour netip.AddrPort, prefix string, after provider.Revision) (replica.Update, error) {
	update, err := n.fetch(ctx, neighbour, prefix, after, 0)
	if err == nil {
		n.introduced = neighbour
	}
	return update, n.checkError(ctx, neighbour, err)
}

// waitFor returns how long a neighbour may wait for changes after a revision.
func waitFor(after provider.Revision) time.Duration {
	if after == 0 {
		return replicaWait
	}
	return LongPollWait
}

func (n *Neighbours) fetch(ctx context.Context, neighbour netip.AddrPort, prefix string, after provider.Revision, wait time.Duration) (replica.Update, error) {
	update, err := fetch(ctx, n.Client, neighbour, request{prefix: prefix, after: after, wait: wait, packed: true})
	if err == nil && update.Revision == 0 {
		return update, fmt.Errorf("fetch update from neighbour %s: %w", neighbour, errStarting)
	}
	if minEra := n.minEra(); err == nil && update.Revision.Era() < minEra {
		return update, fmt.Errorf("fetch update from neighbour %s: era %d of the store, now %d: %w", neighbour, update.Revision.Era(), minEra, replica.ErrStale)
	}
	if err == nil && update.Stale() {
		err = fmt.Errorf("fetch update from neighbour %s: last data from the store %s ago, disconnected %t: %w",
			neighbour, update.SinceData.Round(time.Millisecond), update.Disconnected, replica.ErrStale)
	}
	return update, err
}

func (n *Neighbours) minEra() uint64 {
	if n.MinEra == nil {
		return 0
	}
	return n.MinEra()
}

// FetchEngine fetches the part of the configuration for an engine's service from a neighbour.
func (n *Neighbours) FetchEngine(ctx context.Context, service string) (VersionedEngineConfig, error) {
	neighbour, ok := n.Choose(n.usable)
	if !ok {
		return VersionedEngineConfig{}, replica.ErrNoPeer
	}
	resp, err := fetchEngine(ctx, n.Client, neighbour, service)
	return resp, n.checkError(ctx, neighbour, err)
}

// checkError puts a neighbour whose call failed in backoff, unless the caller canceled. It
// returns err.
func (n *Neighbours) checkError(ctx context.Context, neighbour netip.AddrPort, err error) error {
	if err == nil || ctx.Err() != nil {
		return err
	}
	n.failed.Add(neighbour, backoffFor(err), n.Now)
	if errors.Is(err, replica.ErrStale) {
		n.stale.Add(neighbour, backoffFor(err), n.Now)
	}
	if n.OnBackoff != nil {
		n.OnBackoff(neighbour, err)
	}
	return err
}

// backoffFor returns the backoff of a neighbour after an error.
func backoffFor(err error) time.Duration {
	var status *call.StatusError
	unavailable := errors.As(err, &status) && status.Status == http.StatusServiceUnavailable
	if unavailable || errors.Is(err, errStarting) || errors.Is(err, syscall.ECONNREFUSED) {
		return startingBackoff
	}
	return defaultBackoff
}

// State returns the state of a neighbour by the last call to it.
func (n *Neighbours) State(neighbour netip.AddrPort) fanout.State {
	switch {
	case !n.failed.Has(neighbour, n.Now):
		return fanout.Usable
	case n.stale.Has(neighbour, n.Now):
		return fanout.Stale
	default:
		return fanout.Unreachable
	}
}

// usable reports whether a neighbour is not in backoff.
func (n *Neighbours) usable(neighbour netip.AddrPort) bool { return !n.failed.Has(neighbour, n.Now) }
