// Package follow keeps an agent's order in step with the entries of its hall.
//
// An agent follows two entries at a time, chosen by rendezvous hashing so that
// the hall's agents spread evenly. The first one tells of every change. The
// second is there for when the first hangs or lags: from it only changes of the
// assignment itself are taken, because two entries may see the list of peers
// differently for a moment and the agent would swing between them.
//
// An order is taken only from a revision at or above the one held, so that an
// entry that lags cannot bring back an older one.
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
	// lanes is the number of entries followed at a time.
	lanes = 2
	// pollWait is the wait of one long poll.
	pollWait   = pollWaitMs * time.Millisecond
	pollWaitMs = 5000
	// pollGrace is what a poll may take beyond its wait.
	pollGrace = time.Second
	retryMin  = 50 * time.Millisecond
	retryMax  = time.Second
)

// Follower follows the orders of one host. Set the fields before Start.
type Follower struct {
	Host, Hall string
	// Entries returns the entries of the hall.
	Entries func() []platform.Host
	Client  *http.Client
	// OnOrder takes each newer order; nil for none.
	OnOrder func(order *wire.Order, revision uint64)

	tomb tomb.Tomb

	// mu guards the rest, and is held while OnOrder runs, so that orders are
	// taken one by one.
	mu       sync.Mutex
	held     *wire.Order
	revision uint64
}

// Start begins to follow.
func (f *Follower) Start() {
	for lane := range lanes {
		f.tomb.Go(func() error { f.follow(lane); return nil })
	}
}

// Stop ends the following and waits for it.
func (f *Follower) Stop() {
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}

// Done is closed when the follower has ended.
func (f *Follower) Done() <-chan struct{} { return f.tomb.Dead() }

// Revision returns the configuration revision of the order held, 0 for none.
func (f *Follower) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// Ranked returns a hall's entries in the order in which a host turns to them.
func Ranked(host string, entries []platform.Host) []platform.Host {
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

// follow runs one lane: it polls an entry and moves on to the next by rank
// when that fails.
func (f *Follower) follow(lane int) {
	ctx := f.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	failures := 0
	for f.tomb.Alive() {
		ranked := Ranked(f.Host, f.Entries())
		if len(ranked) == 0 {
			helpers.Pause(retryMin, f.tomb.Dying())
			continue
		}
		entry := ranked[(lane+failures)%len(ranked)]
		if err := f.poll(ctx, lane, entry); err != nil {
			failures++
			wait := min(retryMin<<min(failures, 5), retryMax)
			helpers.Pause(wait/2+rand.N(wait), f.tomb.Dying())
			continue
		}
		if failures > 0 && failures%len(ranked) == 0 {
			failures = 0 // back at the first choice
		}
	}
}

// poll asks one entry for a change.
func (f *Follower) poll(ctx context.Context, lane int, entry platform.Host) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollGrace)
	defer cancel()
	request := &wire.FollowRequest{Host: f.Host, Hall: f.Hall, WaitMs: pollWaitMs}
	f.mu.Lock()
	request.HeldRevision = f.revision
	request.HeldAssignment = orders.AssignmentDigest(f.held)
	if lane == 0 {
		request.HeldOrder = orders.Digest(f.held)
	}
	f.mu.Unlock()
	control := wire.NewControlProtobufClient("http://"+entry.Address.String(), f.Client)
	response, err := control.Follow(ctx, request)
	if err != nil {
		return err
	}
	f.take(response, lane)
	return nil
}

// take keeps an answer if it is not older than what is held.
func (f *Follower) take(response *wire.FollowResponse, lane int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if response.GetRevision() < f.revision {
		return
	}
	order := response.GetOrder()
	newer := response.GetRevision() > f.revision || lane == 0 || f.revision == 0
	f.revision = max(f.revision, response.GetRevision())
	if !response.GetChanged() || !newer || order != nil && order.GetToken() < f.held.GetToken() {
		return
	}
	f.held = order
	if f.OnOrder != nil {
		f.OnOrder(order, f.revision)
	}
}
