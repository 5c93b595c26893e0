package peering

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
)

const (
	// PullInterval is the time between calls while the store is unreachable.
	PullInterval = 300 * time.Millisecond
	// maxRetryPause bounds the additional random pause after a failed call for the complete
	// replica. It spreads the calls of a hall whose routers all start at once and share a
	// narrow link.
	maxRetryPause = 3 * time.Second
)

// Puller fetches updates from peers while the store is unreachable.
type Puller struct {
	Client *http.Client
	// Follower is the follower whose replica is updated.
	Follower *replica.Follower
	// Peer returns the peer to call, or false if there is none.
	Peer func() (netip.AddrPort, bool)
	// FirstPrefix is a prefix that is fetched first while the replica is empty: that of the
	// routers of the same hall, from which the complete replica is then fetched. It may be
	// empty.
	FirstPrefix string
	// Needed reports whether the store has been unreachable for too long.
	Needed func() bool
	// OnPull is called after each call with the number of new entries. It may be nil.
	OnPull func(peer netip.AddrPort, newEntries int, err error)

	// hasFirst is set once the entries under FirstPrefix were fetched.
	hasFirst bool
	tomb     tomb.Tomb
}

// Start starts the puller.
func (p *Puller) Start() { p.tomb.Go(p.run) }

// Stop stops the puller and waits for it.
func (p *Puller) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}

func (p *Puller) run() error {
	ctx := p.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	pause := PullInterval
	for helpers.Pause(pause, p.tomb.Dying()) {
		pause = PullInterval
		if !p.Needed() {
			continue
		}
		peer, ok := p.Peer()
		if !ok {
			continue
		}
		if err := p.pullNext(ctx, peer); err != nil && p.Follower.Revision() == 0 {
			pause += rand.N(maxRetryPause)
		}
	}
	return nil
}

// pullNext fetches the entries under FirstPrefix from a peer if they are missing, and otherwise
// an update of the replica.
func (p *Puller) pullNext(ctx context.Context, peer netip.AddrPort) error {
	if p.FirstPrefix != "" && !p.hasFirst && p.Follower.Revision() == 0 {
		return p.pullFirst(ctx, peer)
	}
	return p.pull(ctx, peer)
}

// pullFirst fetches the entries under FirstPrefix from a peer. It leaves the follower's revision
// as it is, because the replica is not complete.
func (p *Puller) pullFirst(ctx context.Context, peer netip.AddrPort) error {
	update, err := fetch(ctx, p.Client, peer, request{prefix: p.FirstPrefix, packed: true})
	newEntries := 0
	if err == nil {
		newEntries = p.Follower.Table.Apply(update.Entries)
		p.hasFirst = update.Revision > 0
	}
	p.notify(peer, newEntries, err)
	return err
}

// pull fetches from a peer the entries above the revision up to which the replica is complete.
// The highest revision in the table is no substitute, since older entries may be missing below
// it.
func (p *Puller) pull(ctx context.Context, peer netip.AddrPort) error {
	update, err := fetch(ctx, p.Client, peer, request{prefix: p.Follower.Prefix, after: p.Follower.Revision(), packed: true})
	newEntries := 0
	if err == nil {
		newEntries = p.Follower.ApplyUpdate(update)
	}
	p.notify(peer, newEntries, err)
	return err
}

func (p *Puller) notify(peer netip.AddrPort, newEntries int, err error) {
	if p.OnPull != nil {
		p.OnPull(peer, newEntries, err)
	}
}

// ChoosePeer returns a random peer, or false if there is none. It is one of the others in one of
// otherOneIn cases on average, and otherwise a preferred one.
func ChoosePeer(preferred, others []netip.AddrPort, otherOneIn int) (netip.AddrPort, bool) {
	peers := others
	if len(preferred) > 0 && (len(others) == 0 || rand.IntN(otherOneIn) > 0) {
		peers = preferred
	}
	if len(peers) == 0 {
		return netip.AddrPort{}, false
	}
	return peers[rand.IntN(len(peers))], true
}
