package replica

import (
	"strings"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file decides for how long an upstream stays in use whose entry is removed although it may still run.
//
// Upstreams keep their entries under leases. An entry that is removed means that the upstream has left, unless its
// lease expired because the upstream could not reach the store, or a restored copy of the store lacks it. In both
// cases the upstream writes it again within a known time of the store's return. So only the follower that reads a
// removal from the store decides, by what it knows of the store, and the decision is passed on to peers with the
// entry. A grace period ends at a time after the store's return, not after the removal became known here. What a
// process does not hear while it does not run itself is no outage, and what it finds when it goes on may be as
// old as that.
//
// Rejected: to keep upstreams while this replica is stale. That says nothing about the store, and the delay by which
// the removal became known and the grace period would add up.

const (
	// minExpiryOutage is the shortest outage of the store in which an entry may expire: upstreams renew theirs
	// several times in the time of a lease.
	minExpiryOutage = 2 * time.Second
	// reregisterTime is the time after the store's return within which upstreams whose entries expired in its
	// outage have written them again.
	reregisterTime = 2 * time.Second
	// rewriteTime is the same for entries that were lost when the store was restored from a copy, and
	// restoredListPeriod how long after the restore was noticed listings may lack them.
	rewriteTime        = 4 * time.Second
	restoredListPeriod = 3 * time.Second
)

// knownAnswer is the last answer of the store to this daemon or another one.
type knownAnswer struct {
	mu sync.Mutex
	// at is when the store gave it, and stopped for how long this process had not run when it learned of it.
	at, stopped time.Duration
}

// recordKnownAnswer records that the store answered this daemon or another one, age ago. It reports whether no
// answer was known for so long that entries may have expired, and until when that may have lasted.
func (f *Follower) recordKnownAnswer(age time.Duration) (end time.Duration, silent bool) {
	at, stopped := f.elapsed()-age, f.stopped()
	f.lastKnown.mu.Lock()
	defer f.lastKnown.mu.Unlock()
	before := f.lastKnown.at
	if at <= before {
		return 0, false
	}
	end = f.beforeStop(at, stopped)
	f.lastKnown.at, f.lastKnown.stopped = at, stopped
	if end-before < minExpiryOutage {
		return 0, false
	}
	f.silenceEnd.Store(int64(end))
	return end, true
}

// beforeStop returns the earliest time of an event that this daemon learned of at a time, since the event may
// have been at any time while the process did not run. The caller holds lastKnown.mu.
func (f *Follower) beforeStop(at, stopped time.Duration) time.Duration {
	return max(at-(stopped-f.lastKnown.stopped), f.lastKnown.at)
}

// sinceLastKnown returns the earliest time at which what this daemon learns now may have happened, as far as the
// process did not run since the last known answer.
func (f *Follower) sinceLastKnown() time.Duration {
	at, stopped := f.elapsed(), f.stopped()
	f.lastKnown.mu.Lock()
	defer f.lastKnown.mu.Unlock()
	return f.beforeStop(at, stopped)
}

// stopped returns for how long this process has not run.
func (f *Follower) stopped() time.Duration {
	if f.Stopped != nil {
		return f.Stopped()
	}
	return clock.Stopped()
}

// expiryGrace returns the grace of an entry whose removal the store reports now.
func (f *Follower) expiryGrace() provider.Grace {
	return f.graceAfter(f.outageEnd.Load(), reregisterTime, provider.GraceOutage)
}

// restoreGrace returns the grace of an entry that a listing of a restored store lacks.
func (f *Follower) restoreGrace() provider.Grace {
	at := f.restoredAt.Load()
	if f.elapsed()-time.Duration(at) >= restoredListPeriod {
		return provider.Grace{}
	}
	return f.graceAfter(at, rewriteTime, provider.GraceRestore)
}

// listingGrace returns the grace of an entry that a listing of the store lacks.
func (f *Follower) listingGrace() provider.Grace {
	if grace := f.restoreGrace(); grace.For > 0 {
		return grace
	}
	return f.expiryGrace()
}

// copyGrace returns the grace of an entry that the complete replica of a peer lacks. A peer that restarted in an
// outage has no removal to pass on, so what this daemon has known of the store decides.
func (f *Follower) copyGrace() provider.Grace {
	if grace := f.restoreGrace(); grace.For > 0 {
		return grace
	}
	return f.graceAfter(f.silenceEnd.Load(), reregisterTime, provider.GraceOutage)
}

// graceAfter returns the grace of an entry that is written again within a time of an event, 0 for none.
func (f *Follower) graceAfter(event int64, within time.Duration, reason provider.GraceReason) provider.Grace {
	remaining := time.Duration(event) + within - f.elapsed()
	if event == 0 || remaining <= 0 {
		return provider.Grace{}
	}
	return provider.Grace{For: remaining, Reason: reason}
}

// withGrace returns entries with the grace of those that are deleted.
func withGrace(entries []provider.Entry, grace provider.Grace) []provider.Entry {
	for i := range entries {
		if entries[i].Deleted {
			entries[i].Grace = grace
		}
	}
	return entries
}

// Graces returns what remains of the grace periods of deleted entries under a prefix, by key.
func (t *Table) Graces(prefix string) map[string]provider.Grace {
	t.mu.Lock()
	defer t.mu.Unlock()
	var graces map[string]provider.Grace
	for key, until := range t.graces {
		remaining := until.Sub(clock.Now())
		if remaining <= 0 || !strings.HasPrefix(key, prefix) {
			continue
		}
		if graces == nil {
			graces = map[string]provider.Grace{}
		}
		graces[key] = provider.Grace{For: remaining, Reason: t.entries[key].Grace.Reason}
	}
	return graces
}

// recordGrace records the end of a new entry's grace period, and drops those that are over. The caller holds mu.
func (t *Table) recordGrace(entry provider.Entry, now time.Time) {
	for key, until := range t.graces {
		if key == entry.Key || !now.Before(until) {
			delete(t.graces, key)
		}
	}
	if entry.Grace.For <= 0 {
		return
	}
	if t.graces == nil {
		t.graces = map[string]time.Time{}
	}
	t.graces[entry.Key] = now.Add(entry.Grace.For)
}
