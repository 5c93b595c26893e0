// Package mirror keeps a copy of the parts of the store that a daemon follows,
// and the views that are compiled from it.
//
// The store's revision is the only order. For each key the highest revision
// wins, whoever brings it: the own watch, a fresh list, or another daemon that
// still hears the store while this one does not. So news may come late, twice
// and out of order, and nothing that was in force comes back.
//
// Removals stay as entries without a value, because a peer's older copy must
// not bring a removed entry back. They are dropped after removalsKept.
package mirror

import (
	"strings"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// removalsKept is how long a removal is remembered. News from peers is seconds
// old at most.
const removalsKept = 2 * time.Minute

// Table is the copy. The zero value is empty and ready to use.
type Table struct {
	// OnChange is called with the entries that were new, in no lock, one call
	// at a time. It is set before the first change.
	OnChange func([]provider.Entry)

	// applying orders calls of OnChange. It is taken before mu.
	applying sync.Mutex
	mu       sync.Mutex
	// entries holds the newest known state of each key, removals included.
	entries map[string]kept
	// newest is the highest revision of any entry taken.
	newest provider.Revision
	// changed is closed at the next change; nil while nobody waits for one.
	changed chan struct{}
	// changes counts the changes so far.
	changes uint64
}

type kept struct {
	provider.Entry
	since time.Time
}

// Apply takes news; entries that are not newer than what is known are ignored.
// It returns how many were new.
func (t *Table) Apply(entries []provider.Entry) int {
	t.applying.Lock()
	defer t.applying.Unlock()
	fresh := t.merge(entries)
	if len(fresh) > 0 && t.OnChange != nil {
		t.OnChange(fresh)
	}
	return len(fresh)
}

// Recompile calls OnChange without news, for what is worked out from the table
// and changes with time.
func (t *Table) Recompile() {
	t.applying.Lock()
	defer t.applying.Unlock()
	if t.OnChange != nil {
		t.OnChange(nil)
	}
}

// Replace takes a whole list of a prefix: what it lacks and was not changed
// after it is gone.
func (t *Table) Replace(prefix string, listing provider.Listing) int {
	present := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		present[entry.Key] = true
	}
	news := listing.Entries
	t.mu.Lock()
	for key, entry := range t.entries {
		if strings.HasPrefix(key, prefix) && !present[key] && !entry.Deleted && entry.Revision <= listing.Revision {
			news = append(news, provider.Entry{Key: key, Revision: listing.Revision, Deleted: true})
		}
	}
	t.mu.Unlock()
	return t.Apply(news)
}

func (t *Table) merge(entries []provider.Entry) []provider.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = map[string]kept{}
	}
	now := clock.Now()
	var fresh []provider.Entry
	for _, entry := range entries {
		known, ok := t.entries[entry.Key]
		if ok && entry.Revision <= known.Revision {
			continue
		}
		t.entries[entry.Key] = kept{entry, now}
		t.newest = max(t.newest, entry.Revision)
		fresh = append(fresh, entry)
	}
	for key, entry := range t.entries {
		if entry.Deleted && now.Sub(entry.since) > removalsKept {
			delete(t.entries, key)
		}
	}
	if len(fresh) > 0 {
		t.changes++
		if t.changed != nil {
			close(t.changed)
			t.changed = nil
		}
	}
	return fresh
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

// Changes returns how often the table changed.
func (t *Table) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Since returns every entry above a revision, removals included; 0 returns all.
func (t *Table) Since(after provider.Revision) provider.Listing { return t.SinceUnder("", after) }

// SinceUnder is Since for the keys under a prefix.
func (t *Table) SinceUnder(prefix string, after provider.Revision) provider.Listing {
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

// Newest returns the highest revision of any entry taken, or 0.
func (t *Table) Newest() provider.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}
