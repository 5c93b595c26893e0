// Package replica holds a daemon's replica of the store and the views that are compiled
// from it. Routers and loaders follow the store or a peer with a Follower, which applies
// updates to a Table, from which a Compiler builds immutable Views.
//
// The store's revision is the only order: for each key the highest revision wins, whether
// a watch, a list or a peer delivers it. So updates may arrive late, repeatedly and out of
// order, and no superseded state is restored. A revision includes the store's era, so that the
// order holds when the store is restored from a copy. The copy may be older than what is in force
// here: what only ever goes forward, the compiled View does not take back.
//
// Removals are kept as tombstones for tombstoneRetention, because a peer's older replica
// must not restore a removed entry.
package replica

import (
	"strings"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// tombstoneRetention is how long tombstones are kept. Updates from peers are seconds old
// at most.
const tombstoneRetention = 2 * time.Minute

// Table holds the newest received state of each key. The zero value is empty and ready
// to use.
type Table struct {
	// OnChange is called with new entries, one call at a time and without the table
	// locked. It is set before the first change.
	OnChange func([]provider.Entry)
	// OnDeclared is called with the declared versions that another daemon sent, before the entries of its
	// replica are applied, and reports whether the view changes by them. It may be nil.
	OnDeclared func([]DeclaredVersion) bool

	// notifyMu orders calls of OnChange. It is locked before mu.
	notifyMu sync.Mutex
	mu       sync.Mutex
	// entries holds the newest received state of each key, tombstones included.
	entries map[string]stored
	// graces holds the ends of the grace periods of deleted entries, by key.
	graces map[string]time.Time
	// newest is the highest revision of any entry.
	newest provider.Revision
	// newestEra is the newest era of any entry or listing, and eraBegan when it was first received,
	// zero during the first era.
	newestEra uint64
	eraBegan  time.Time
	// changed is closed at the next change; nil while no caller waits for one.
	changed chan struct{}
	// changes counts the changes.
	changes uint64
}

// stored is an entry and when it was received.
type stored struct {
	provider.Entry
	received time.Time
}

// Apply merges entries into the table and returns how many were new. Entries that are not
// newer than the table's are ignored.
func (t *Table) Apply(entries []provider.Entry) int {
	t.notifyMu.Lock()
	defer t.notifyMu.Unlock()
	applied := t.merge(entries)
	if len(applied) > 0 && t.OnChange != nil {
		t.OnChange(applied)
	}
	return len(applied)
}

// applyDeclared passes on the declared versions that another daemon sent, and reports whether the view changes
// by them.
func (t *Table) applyDeclared(versions []DeclaredVersion) bool {
	return len(versions) > 0 && t.OnDeclared != nil && t.OnDeclared(versions)
}

// AwaitApplied waits until OnChange was called for every entry that is in the table.
func (t *Table) AwaitApplied() {
	t.notifyMu.Lock()
	defer t.notifyMu.Unlock()
}

// Recompile calls OnChange without entries, for views that depend on the time.
func (t *Table) Recompile() {
	t.notifyMu.Lock()
	defer t.notifyMu.Unlock()
	if t.OnChange != nil {
		t.OnChange(nil)
	}
}

// Replace applies a complete list of a prefix. Entries that the list lacks are removed
// unless they changed after it.
func (t *Table) Replace(prefix string, listing provider.Listing) int {
	present := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		present[entry.Key] = true
	}
	update := listing.Entries
	t.mu.Lock()
	t.advanceEra(listing.Revision.Era())
	for key, entry := range t.entries {
		if strings.HasPrefix(key, prefix) && !present[key] && !entry.Deleted && entry.Revision <= listing.Revision {
			update = append(update, provider.Entry{Key: key, Revision: listing.Revision, Deleted: true, Grace: listing.Grace})
		}
	}
	t.mu.Unlock()
	return t.Apply(update)
}

// merge stores entries that are newer than the table's, drops old tombstones and returns
// the new entries. It ignores entries of an earlier era, since the store may have lost them and
// the table need not have a tombstone.
func (t *Table) merge(entries []provider.Entry) []provider.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = map[string]stored{}
	}
	now := clock.Now()
	var applied []provider.Entry
	for _, entry := range entries {
		current, ok := t.entries[entry.Key]
		if ok && entry.Revision <= current.Revision || entry.Revision.Era() < t.newestEra {
			continue
		}
		t.entries[entry.Key] = stored{entry, now}
		t.recordGrace(entry, now)
		t.advanceEra(entry.Revision.Era())
		t.newest = max(t.newest, entry.Revision)
		applied = append(applied, entry)
	}
	for key, entry := range t.entries {
		if entry.Deleted && now.Sub(entry.received) > tombstoneRetention {
			delete(t.entries, key)
		}
	}
	if len(applied) > 0 {
		t.changes++
		if t.changed != nil {
			close(t.changed)
			t.changed = nil
		}
	}
	return applied
}

// advanceEra records an era that was received. The caller holds mu.
func (t *Table) advanceEra(era uint64) {
	if era <= t.newestEra {
		return
	}
	if t.newest > 0 {
		t.eraBegan = clock.Now()
	}
	t.newestEra = era
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// ChangeCount returns the number of changes.
func (t *Table) ChangeCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// EntriesAfter returns the entries above a revision, tombstones included; 0 returns all.
func (t *Table) EntriesAfter(after provider.Revision) provider.Listing {
	return t.PrefixEntriesAfter("", after)
}

// PrefixEntriesAfter returns the entries under a prefix above a revision, tombstones
// included.
func (t *Table) PrefixEntriesAfter(prefix string, after provider.Revision) provider.Listing {
	t.mu.Lock()
	defer t.mu.Unlock()
	listing := provider.Listing{Revision: after}
	for key, entry := range t.entries {
		if entry.Revision <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		listing.Entries = append(listing.Entries, entry.Entry)
		listing.Revision = max(listing.Revision, entry.Revision)
	}
	return listing
}

// LatestRevision returns the highest revision of any entry, or 0.
func (t *Table) LatestRevision() provider.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}
