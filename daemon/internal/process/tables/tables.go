// Package tables holds an entry's replica of the configuration: resources, placement documents
// and leases.
//
// The revision of the key-value service is the only order. A change is applied only if its
// revision is above that of the key in the table. So a table never reverts to older state,
// in whatever order its sources deliver: the watch, a list, a write of this entry, or the
// snapshot of another entry.
//
// Readers use an immutable View, so the path of requests takes no locks. Each change builds a
// new view from all items, which is affordable because changes are rare.
package tables

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

// historyLimit is the number of resource events that are kept for watches of the resource API.
const historyLimit = 8192

// Table is the configuration of one entry. The zero value is empty and ready to use.
//
// Lock order: mu is the only lock.
type Table struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// items holds the newest value of each present key.
	items map[string]platform.Item
	// tombstones holds the revisions of deletions above the cursor, by key. They prevent an older
	// value from restoring a deleted key; below the cursor no older value can arrive.
	tombstones map[string]uint64
	// cursor is the revision up to which all changes have been applied. It never decreases.
	cursor uint64
	// events holds the newest changes of resources in order of revision.
	events []api.Event
	// compacted is the highest revision whose event is no longer kept.
	compacted uint64
	// changed is closed at the next change.
	changed chan struct{}
}

// init creates the maps; the caller holds mu.
func (t *Table) init() {
	if t.items == nil {
		t.items = map[string]platform.Item{}
		t.tombstones = map[string]uint64{}
		t.changed = make(chan struct{})
	}
}

// View returns a snapshot of the configuration, which callers must not modify.
func (t *Table) View() *View {
	if view := t.view.Load(); view != nil {
		return view
	}
	return emptyView
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	return t.changed
}

// Apply applies the changes of a watch up to the revision upTo.
func (t *Table) Apply(changes []platform.Change, upTo uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	if upTo <= t.cursor {
		return
	}
	applied := false
	for _, change := range changes {
		applied = t.applyChange(change) || applied
	}
	t.advance(upTo)
	t.publish(applied)
}

// ApplyWrite applies a change that this entry wrote. It does not advance the cursor, because
// the watch may not yet have delivered changes with lower revisions.
func (t *Table) ApplyWrite(change platform.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	if change.Revision <= t.cursor {
		return // the watch has delivered it, and possibly later changes
	}
	t.publish(t.applyChange(change))
}

// Replace applies a complete listing as of a revision. It returns false, and leaves the table
// unchanged, if the table is newer.
func (t *Table) Replace(items []platform.Item, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	if revision < t.cursor {
		return false
	}
	listed := make(map[string]bool, len(items))
	applied := false
	for _, item := range items {
		listed[item.Key] = true
		applied = t.applyChange(platform.Change{Item: item}) || applied
	}
	for key, current := range t.items {
		if !listed[key] && current.Revision <= revision {
			applied = t.applyChange(platform.Change{Item: platform.Item{Key: key, Revision: revision}, Deleted: true}) || applied
		}
	}
	// A listing does not contain the revisions of deletions, so watches cannot resume from a
	// revision before it.
	t.events = nil
	t.compacted = max(t.compacted, revision)
	t.advance(revision)
	t.publish(applied)
	return true
}

// applyChange applies a change if it is newer than the table's state of the key, and reports
// whether it changed the table; the caller holds mu.
func (t *Table) applyChange(change platform.Change) bool {
	current, present := t.items[change.Key]
	if change.Revision <= max(current.Revision, t.tombstones[change.Key]) {
		return false
	}
	if change.Deleted {
		delete(t.items, change.Key)
		t.tombstones[change.Key] = change.Revision
		if !present {
			return false
		}
	} else {
		t.items[change.Key] = change.Item
		delete(t.tombstones, change.Key)
	}
	t.addEvent(change)
	return true
}

// addEvent adds a change of a resource to the events; the caller holds mu.
func (t *Table) addEvent(change platform.Change) {
	if !strings.HasPrefix(change.Key, resourcePrefix) {
		return
	}
	event := api.Event{Type: api.EventPut, Revision: change.Revision}
	if change.Deleted {
		kind, name, err := parseResourceKey(change.Key)
		if err != nil {
			return
		}
		event.Type = api.EventDelete
		event.Resource = &api.Resource{Kind: kind, Name: name, Revision: change.Revision}
	} else {
		resource, err := DecodeResource(change.Item)
		if err != nil {
			return
		}
		event.Resource = resource
	}
	// A write of this entry may be applied before changes with lower revisions, so events
	// are inserted in order of revision.
	i := len(t.events)
	for i > 0 && t.events[i-1].Revision > event.Revision {
		i--
	}
	t.events = append(t.events, api.Event{})
	copy(t.events[i+1:], t.events[i:])
	t.events[i] = event
	if excess := len(t.events) - historyLimit; excess > 0 {
		t.compacted = t.events[excess-1].Revision
		t.events = append([]api.Event(nil), t.events[excess:]...)
	}
}

// advance advances the cursor and drops the tombstones below it; the caller holds mu.
func (t *Table) advance(upTo uint64) {
	t.cursor = max(t.cursor, upTo)
	for key, revision := range t.tombstones {
		if revision <= t.cursor {
			delete(t.tombstones, key)
		}
	}
}

// publish replaces the view and wakes the waiters on Changed. If no item changed, only the
// view's revision does. The caller holds mu.
func (t *Table) publish(applied bool) {
	if view := t.view.Load(); view != nil && !applied {
		updated := *view
		updated.Revision = t.cursor
		t.view.Store(&updated)
	} else {
		t.view.Store(buildView(t.items, t.cursor))
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// EventsAfter returns the changes of resources after a revision up to the cursor, the revision to
// resume from, and false if some of them are no longer kept.
func (t *Table) EventsAfter(after uint64) ([]api.Event, uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.compacted {
		return nil, 0, false
	}
	var events []api.Event
	for _, event := range t.events {
		// Above the cursor, changes that the watch has not delivered yet may be missing.
		if event.Revision > after && event.Revision <= t.cursor {
			events = append(events, event)
		}
	}
	return events, max(after, t.cursor), true
}

// Snapshot returns all items up to the cursor, and the cursor.
func (t *Table) Snapshot() ([]platform.Item, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	items := make([]platform.Item, 0, len(t.items))
	for _, item := range t.items {
		if item.Revision <= t.cursor {
			items = append(items, item)
		}
	}
	return items, t.cursor
}
