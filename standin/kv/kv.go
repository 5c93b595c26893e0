// Package kv is a stand-in for the platform's key-value service: compare and
// swap, leases, prefix watches with revisions, call counts, rate limits, and
// the faults that the brief names.
//
// The service's own format is not known yet, so the stand-in speaks plain
// JSON over HTTP and the daemon meets it in one adapter package. Revisions are
// global: each accepted write takes the next one.
package kv

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Defaults of the brief.
const (
	DefaultWritesPerSecond = 100
	DefaultReadsPerSecond  = 2000
	// MaxValueBytes bounds one value.
	MaxValueBytes = 1 << 20
	// DefaultHistory is the number of events kept for watches.
	DefaultHistory = 4096
)

// Item is one key with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
}

// Event is one change.
type Event struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
}

// lease is a set of keys that vanish when it is not kept alive.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Counts says how many calls the service has taken.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"` // waiting watches, also counted as reads
	Refused int64 `json:"refused"` // over the rate
}

// Store is the service's state. The zero value is empty and ready to use.
//
// Lock order: mu is the only lock and is held for no call outside the package.
type Store struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// History is the number of events kept; 0 means DefaultHistory.
	History int

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	leases   map[uint64]*lease
	// nextLease is the last lease id given out.
	nextLease uint64
	// events holds the newest changes in order of revision.
	events []Event
	// compacted is the highest revision whose event was dropped.
	compacted uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func (s *Store) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// setUp makes the maps; the caller holds mu.
func (s *Store) setUp() {
	if s.items == nil {
		s.items = map[string]Item{}
		s.leases = map[uint64]*lease{}
		s.changed = make(chan struct{})
	}
}

// record appends an event, bounds the history and wakes watches; the caller
// holds mu.
func (s *Store) record(event Event) {
	limit := s.History
	if limit == 0 {
		limit = DefaultHistory
	}
	s.events = append(s.events, event)
	if extra := len(s.events) - limit; extra > 0 {
		s.compacted = s.events[extra-1].Revision
		s.events = append([]Event(nil), s.events[extra:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Any is the condition that accepts any present revision.
const Any = ^uint64(0)

// Put writes a key if its present revision equals ifRevision, where 0 stands
// for "absent" and Any for "whatever". It returns the key's revision after the
// call, and whether the write took effect.
func (s *Store) Put(key string, value []byte, ifRevision, leaseID uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setUp()
	s.expire()
	present := s.items[key].Revision
	if ifRevision != Any && ifRevision != present {
		return present, false
	}
	if leaseID != 0 {
		held, ok := s.leases[leaseID]
		if !ok {
			return present, false
		}
		held.keys[key] = true
	}
	s.revision++
	item := Item{Key: key, Value: append([]byte(nil), value...), Revision: s.revision, Lease: leaseID}
	s.items[key] = item
	s.record(Event{Item: item})
	return s.revision, true
}

// Delete removes a key on the same condition as Put.
func (s *Store) Delete(key string, ifRevision uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setUp()
	s.expire()
	present := s.items[key].Revision
	if present == 0 || (ifRevision != Any && ifRevision != present) {
		return present, false
	}
	s.remove(key)
	return s.revision, true
}

// remove deletes a present key; the caller holds mu.
func (s *Store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.record(Event{Item: Item{Key: key, Revision: s.revision}, Deleted: true})
}

// Get returns one key.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setUp()
	s.expire()
	item, ok := s.items[key]
	return item, ok
}

// List returns the keys with a prefix, sorted, and the store's revision.
func (s *Store) List(prefix string) ([]Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setUp()
	s.expire()
	var items []Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, s.revision
}

// Since returns the events with a prefix after a revision, the store's
// revision, a channel that closes at the next change, and false where the
// history no longer reaches back that far.
func (s *Store) Since(prefix string, after uint64) ([]Event, uint64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setUp()
	s.expire()
	if after < s.compacted || after > s.revision {
		return nil, s.revision, s.changed, false
	}
	var events []Event
	for _, event := range s.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed, true
}

// Grant makes a lease.
func (s *Store) Grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setUp()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: s.now().Add(ttl), keys: map[string]bool{}}
	return s.nextLease
}

// KeepAlive renews a lease and reports whether it still stood.
func (s *Store) KeepAlive(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setUp()
	s.expire()
	held, ok := s.leases[id]
	if ok {
		held.expires = s.now().Add(held.ttl)
	}
	return ok
}

// Revoke ends a lease at once, as its holder's lapse would.
func (s *Store) Revoke(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setUp()
	s.drop(id)
}

// Expire ends the leases whose time has passed. Every call does so too.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setUp()
	s.expire()
}

// NextExpiry returns the time until the first lease lapses, at most limit.
func (s *Store) NextExpiry(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, held := range s.leases {
		limit = min(limit, held.expires.Sub(now))
	}
	return max(limit, 0)
}

func (s *Store) expire() {
	now := s.now()
	for id, held := range s.leases {
		if now.After(held.expires) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id uint64) {
	held, ok := s.leases[id]
	if !ok {
		return
	}
	delete(s.leases, id)
	for key := range held.keys {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

// Compact drops the whole history, so that older watches get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.compacted = s.revision
}
