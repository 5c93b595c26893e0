package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// ErrNoPeer is returned when there is no peer to query, so that the store must be read.
var ErrNoPeer = errors.New("no peer to query")

// ErrWait is returned when neither a peer nor the store should be called now: the peers
// that read the store for this daemon do not reach it, and another reader would not help.
var ErrWait = errors.New("the peers that read the store do not reach it; waiting")

// ErrStale is returned when a peer answers, but its replica is stale.
var ErrStale = errors.New("replica is stale")

// waitPause is the pause after ErrWait.
const waitPause = 100 * time.Millisecond

// maxIncrementalAge is the maximum age of a replica that is updated incrementally. An
// older one is read anew, because peers drop tombstones after tombstoneRetention.
const maxIncrementalAge = tombstoneRetention / 2

// defaultPeerAttempts is the default of Follower.PeerAttempts. Many daemons of a hall may be
// unreachable, and each attempt takes its time to fail.
const defaultPeerAttempts = 2

// disconnectFailures is the number of consecutive failed calls after which the store
// counts as disconnected. A single call may fail like any connection.
const disconnectFailures = 2

// peerDebounce is the pause after an update from a peer. It is short, because such a
// query costs the store nothing and the peer has batched its changes already.
const peerDebounce = 50 * time.Millisecond

// Status is how current a replica is.
type Status struct {
	// Revision is the revision up to which the replica is complete, or 0.
	Revision provider.Revision
	// SinceAnswer is the time since the store last answered completely, and SinceData the
	// time since a part of an answer last arrived, which is less while a long answer is in
	// progress.
	SinceAnswer, SinceData time.Duration
	// Disconnected is set while calls to the store fail repeatedly.
	Disconnected bool
	// Hops is the number of daemons that the updates passed, 0 for a daemon that reads
	// the store.
	Hops int
	// Generation changes when the replica was rebuilt because changes may have been
	// missed. The daemons that followed it may then lack entries below the revision up
	// to which they consider their replicas complete.
	Generation uint64
}

// ReaderMaxStaleness is the maximum time since a daemon that reads the store last received
// data from it, for its replica to count as current. Such a daemon probes the store each
// second, and pauses after a change.
const ReaderMaxStaleness = 2 * time.Second

// HopWait is how long a daemon holds its answer to a peer while it has no update. The
// state that it reports may be older by this at each hop.
const HopWait = 500 * time.Millisecond

// MaxStaleness returns the maximum time since data of the store last arrived, for the
// replica to count as current.
func (s Status) MaxStaleness() time.Duration {
	return ReaderMaxStaleness + time.Duration(s.Hops)*HopWait
}

// Stale reports whether the daemon receives nothing from the store, directly or through
// peers.
func (s Status) Stale() bool { return s.Disconnected || s.SinceData >= s.MaxStaleness() }

// Update holds the entries of a peer's replica above a revision, and the status of that
// replica.
type Update struct {
	Entries []provider.Entry
	// After is the revision; 0 means that Entries is the complete replica.
	After provider.Revision
	// Graces holds what remains of the grace periods of deleted entries, by key.
	Graces map[string]provider.Grace
	// Declared holds the declared versions that the peer knows, and when they were declared. Peers of
	// earlier builds send none.
	Declared []DeclaredVersion
	Status
}

// updateFromPeer queries a peer and applies its update. It returns false if the store
// must be read.
func (f *Follower) updateFromPeer(ctx context.Context) bool {
	if f.QueryPeer == nil {
		return false
	}
	after := f.Revision()
	if f.relist || f.Age() > maxIncrementalAge {
		after = 0
	}
	update, err := f.QueryPeer(ctx, f.Prefix, after)
	switch {
	case errors.Is(err, ErrNoPeer):
		return false
	case errors.Is(err, ErrWait):
		helpers.Pause(waitPause, f.tomb.Dying())
		return true
	case errors.Is(err, ErrStale):
		helpers.Pause(rand.N(minBackoff), f.tomb.Dying())
		return true
	case err != nil:
		f.peerFailures++
		helpers.Pause(rand.N(minBackoff), f.tomb.Dying())
		return f.peerFailures%helpers.OrDefault(f.PeerAttempts, defaultPeerAttempts) != 0
	}
	f.peerFailures = 0
	f.recordAnswer(update.SinceAnswer, update.SinceData)
	f.hops.Store(int64(update.Hops) + 1)
	f.ApplyUpdate(update)
	if update.After == 0 {
		f.generation.Add(1)
		f.relist = false
	}
	f.recordResult(nil)
	if len(update.Entries) > 0 {
		helpers.Pause(peerDebounce, f.tomb.Dying())
	}
	return true
}

// ApplyUpdate applies a peer's update, which holds the complete replica or what is above a
// revision up to which this replica is complete. It returns the number of new entries
// and may be called concurrently with a call to the store.
func (f *Follower) ApplyUpdate(update Update) int {
	f.observeEra(newestOf(update))
	f.recordKnownAnswer(update.SinceAnswer)
	entries := provider.Received(update.Entries, provider.SourcePeer, provider.Span{})
	for i := range entries {
		entries[i].Grace = update.Graces[entries[i].Key]
	}
	learned := f.Table.applyDeclared(update.Declared)
	applied := 0
	if update.After == 0 && update.Revision > 0 {
		applied = f.Table.Replace(f.Prefix, provider.Listing{Entries: entries, Revision: update.Revision, Grace: f.copyGrace()})
	} else {
		applied = f.Table.Apply(entries)
	}
	if learned && applied == 0 {
		f.Table.Recompile()
	}
	f.advance(update.Revision)
	return applied
}

// advance raises the revision up to which the replica is complete.
func (f *Follower) advance(to provider.Revision) {
	for {
		current := f.revision.Load()
		if uint64(to) <= current || f.revision.CompareAndSwap(current, uint64(to)) {
			return
		}
	}
}
