// Package tables keeps an entry's copy of the configuration: the resources,
// the placement documents and the leases.
//
// The revision of the key-value service is the only order. A change is taken
// only when its revision is above the one held for its key, so a table never
// goes back, whatever order its sources answer in: the watch, a list, a write
// that this entry made itself, or another entry's snapshot.
//
// Readers take an immutable View. A change builds a new one, which costs a
// copy of the maps; at some thousand changes a day and a few hundred keys that
// is cheaper than locks on the path of every request.
package tables

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

// historyLimit is the number of resource events kept for operators' watches.
const historyLimit = 8192

// Table is the configuration of one entry. The zero value is empty.
//
// Lock order: mu is the only lock; it is not held while callers run.
type Table struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// items holds the newest value of each present key.
	items map[string]platform.Item
	// tombs holds the revision at which a key was deleted, for keys deleted
	// above the cursor. Below it no older value can arrive any more.
	tombs map[string]uint64
	// cursor is the revision up to which every change has been taken. It only
	// grows.
	cursor uint64
	// events are the newest resource changes in order of revision.
	events []api.Event
	// compacted is the highest revision whose event is not kept.
	compacted uint64
	changed   chan struct{}
}

// setUp makes the maps; the caller holds mu.
func (t *Table) setUp() {
	if t.items == nil {
		t.items = map[string]platform.Item{}
		t.tombs = map[string]uint64{}
		t.changed = make(chan struct{})
	}
}

// View returns the configuration as of now. It is read-only.
func (t *Table) View() *View {
	if view := t.view.Load(); view != nil {
		return view
	}
	return emptyView
}

// Changed returns a channel that closes at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	return t.changed
}

// Apply takes the changes of a watch, which reach up to a revision.
func (t *Table) Apply(changes []platform.Change, upTo uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	if upTo <= t.cursor {
		return
	}
	taken := false
	for _, change := range changes {
		taken = t.take(change) || taken
	}
	t.advance(upTo)
	t.publish(taken)
}

// ApplyWrite takes a single change that this entry wrote itself. The cursor
// stays, because changes of others may lie below.
func (t *Table) ApplyWrite(change platform.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	if change.Revision <= t.cursor {
		return // the watch brought it, and perhaps what came after
	}
	t.publish(t.take(change))
}

// Replace takes a complete listing as of a revision. It reports false where
// the table is already ahead, which leaves the table as it is.
func (t *Table) Replace(items []platform.Item, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	if revision < t.cursor {
		return false
	}
	listed := make(map[string]bool, len(items))
	taken := false
	for _, item := range items {
		listed[item.Key] = true
		taken = t.take(platform.Change{Item: item}) || taken
	}
	for key, held := range t.items {
		if !listed[key] && held.Revision <= revision {
			taken = t.take(platform.Change{Item: platform.Item{Key: key, Revision: revision}, Deleted: true}) || taken
		}
	}
	// Deletes learned from a listing have no revision of their own, so a
	// watcher from before cannot be served a faithful history.
	t.events = nil
	t.compacted = max(t.compacted, revision)
	t.advance(revision)
	t.publish(taken)
	return true
}

// take applies one change if it is newer than what is held; the caller holds mu.
func (t *Table) take(change platform.Change) bool {
	held, present := t.items[change.Key]
	if change.Revision <= max(held.Revision, t.tombs[change.Key]) {
		return false
	}
	if change.Deleted {
		delete(t.items, change.Key)
		t.tombs[change.Key] = change.Revision
		if !present {
			return false
		}
	} else {
		t.items[change.Key] = change.Item
		delete(t.tombs, change.Key)
	}
	t.remember(change)
	return true
}

// remember keeps a resource's change for watches; the caller holds mu.
func (t *Table) remember(change platform.Change) {
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
	// An own write may come before older changes of others; keep the order.
	at := len(t.events)
	for at > 0 && t.events[at-1].Revision > event.Revision {
		at--
	}
	t.events = append(t.events, api.Event{})
	copy(t.events[at+1:], t.events[at:])
	t.events[at] = event
	if extra := len(t.events) - historyLimit; extra > 0 {
		t.compacted = t.events[extra-1].Revision
		t.events = append([]api.Event(nil), t.events[extra:]...)
	}
}

// advance moves the cursor up; the caller holds mu.
func (t *Table) advance(upTo uint64) {
	t.cursor = max(t.cursor, upTo)
	for key, revision := range t.tombs {
		if revision <= t.cursor {
			delete(t.tombs, key)
		}
	}
}

// publish builds a new view and wakes waiters; the caller holds mu.
func (t *Table) publish(taken bool) {
	if view := t.view.Load(); view != nil && !taken {
		moved := *view
		moved.Revision = t.cursor
		t.view.Store(&moved)
	} else {
		t.view.Store(buildView(t.items, t.cursor))
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// Events returns the kept resource changes after a revision up to the cursor,
// the revision to go on from, and false where they are no longer all kept.
func (t *Table) Events(after uint64) ([]api.Event, uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.compacted {
		return nil, 0, false
	}
	var events []api.Event
	for _, event := range t.events {
		// Above the cursor there may be gaps that the watch has yet to fill.
		if event.Revision > after && event.Revision <= t.cursor {
			events = append(events, event)
		}
	}
	return events, max(after, t.cursor), true
}

// Snapshot returns every item and the cursor.
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
