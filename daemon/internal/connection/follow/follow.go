// Package follow keeps an agent's order up to date with the entries of its hall.
//
// An agent long-polls two entries at a time, chosen by rendezvous hashing so
// that the agents of a hall spread evenly. The first poller accepts every
// change. The second covers a first entry that hangs or lags, and accepts only
// changes of the assignment: two entries may briefly hold different lists of
// peers, and the agent would alternate between them.
//
// An order is accepted only at or above the revision held, so that a stale
// entry cannot restore an older order.
package follow

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/orders"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

const (
	// pollers is the number of entries followed at a time.
	pollers = 2
	// pollWait is how long an entry may hold a long poll.
	pollWait   = pollWaitMs * time.Millisecond
	pollWaitMs = 5000
	// pollGrace is how long a poll may take beyond pollWait.
	pollGrace = time.Second
	// retryMin and retryMax bound the backoff after a failed poll.
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
)

// Follower follows the orders of one host. Set the fields before Start.
type Follower struct {
	Host, Hall string
	// Entries returns the entries of the hall.
	Entries func() []platform.Host
	Client  *http.Client
	// OnOrder is called with each accepted order. It may be nil.
	OnOrder func(order *wire.Order, revision uint64)

	tomb tomb.Tomb

	// mu guards the fields below. It is held while OnOrder runs, so that orders
	// are delivered one at a time.
	mu       sync.Mutex
	held     *wire.Order
	revision uint64
}

// Start starts the pollers.
func (f *Follower) Start() {
	for poller := range pollers {
		f.tomb.Go(func() error { f.follow(poller); return nil })
	}
}

// Stop stops the pollers and waits for them.
func (f *Follower) Stop() {
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}

// Done returns a channel that is closed when the follower has stopped.
func (f *Follower) Done() <-chan struct{} { return f.tomb.Dead() }

// Revision returns the configuration revision of the order held, 0 for none.
func (f *Follower) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// RankEntries returns the entries of a hall sorted by a host's preference.
func RankEntries(host string, entries []platform.Host) []platform.Host {
	byName := make(map[string]platform.Host, len(entries))
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name
		byName[entry.Name] = entry
	}
	ranked := make([]platform.Host, len(entries))
	for i, name := range rendezvous.Rank(host, names) {
		ranked[i] = byName[name]
	}
	return ranked
}

// follow runs one poller. It polls an entry and fails over to the next entry
// by rank when a poll fails.
func (f *Follower) follow(poller int) {
	ctx := f.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	failures := 0
	for f.tomb.Alive() {
		ranked := RankEntries(f.Host, f.Entries())
		if len(ranked) == 0 {
			helpers.Pause(retryMin, f.tomb.Dying())
			continue
		}
		entry := ranked[(poller+failures)%len(ranked)]
		if err := f.poll(ctx, poller, entry); err != nil {
			failures++
			wait := min(retryMin<<min(failures, 5), retryMax)
			helpers.Pause(wait/2+rand.N(wait), f.tomb.Dying())
			continue
		}
		if failures > 0 && failures%len(ranked) == 0 {
			failures = 0 // the poller is at its first choice again
		}
	}
}

// poll sends one long poll to an entry and applies its response.
func (f *Follower) poll(ctx context.Context, poller int, entry platform.Host) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollGrace)
	defer cancel()
	req := &wire.FollowRequest{Host: f.Host, Hall: f.Hall, WaitMs: pollWaitMs}
	f.mu.Lock()
	req.HeldRevision = f.revision
	req.HeldAssignment = orders.AssignmentDigest(f.held)
	if poller == 0 {
		req.HeldOrder = orders.Digest(f.held)
	}
	f.mu.Unlock()
	control := wire.NewControlProtobufClient("http://"+entry.Address.String(), f.Client)
	resp, err := control.Follow(ctx, req)
	if err != nil {
		return err
	}
	f.apply(resp, poller)
	return nil
}

// apply accepts a response unless it is older than the order held.
func (f *Follower) apply(resp *wire.FollowResponse, poller int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if resp.GetRevision() < f.revision {
		return
	}
	order := resp.GetOrder()
	accept := resp.GetRevision() > f.revision || poller == 0 || f.revision == 0
	f.revision = max(f.revision, resp.GetRevision())
	if !resp.GetChanged() || !accept || order != nil && order.GetToken() < f.held.GetToken() {
		return
	}
	f.held = order
	if f.OnOrder != nil {
		f.OnOrder(order, f.revision)
	}
}
