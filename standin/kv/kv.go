// Package kv simulates the platform's key-value service: compare-and-swap,
// leases, prefix watches with revisions, request counts, rate limits, and
// injected faults.
//
// The protocol is plain JSON over HTTP; in the daemons a single adapter package
// depends on it. Revisions are global: each accepted write takes the next one.
package kv

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Defaults and limits of the service.
const (
	DefaultWritesPerSecond = 100
	DefaultReadsPerSecond  = 2000
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20
	// DefaultHistory is the number of events retained for watches.
	DefaultHistory = 4096
)

// Item is one key with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
}

// Event is one change of an item.
type Event struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
}

// lease is a set of keys that are deleted when it expires.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Counts holds the numbers of requests.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"` // also counted as reads
	Refused int64 `json:"refused"` // rejected by a rate limit
}

// Store is the state of the service. The zero value is empty and ready to use.
//
// mu is the only lock and is not held across calls to other packages, except Now.
type Store struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// History is the number of retained events; 0 means DefaultHistory.
	History int

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	leases   map[uint64]*lease
	// lastLease is the most recently granted lease id.
	lastLease uint64
	// events holds the most recent changes in order of revision.
	events []Event
	// compacted is the highest revision whose event was discarded.
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

// init makes the zero value usable. The caller holds mu.
func (s *Store) init() {
	if s.items == nil {
		s.items = map[string]Item{}
		s.leases = map[uint64]*lease{}
		s.changed = make(chan struct{})
	}
}

// record appends an event, trims the history and wakes the watches. The caller
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

// AnyRevision is the condition that accepts every current revision.
const AnyRevision = ^uint64(0)

// Put writes a key if its current revision equals ifRevision. An ifRevision of 0
// requires the key to be absent, and AnyRevision disables the check. It returns the key's
// revision after the call, and whether the write took effect.
func (s *Store) Put(key string, value []byte, ifRevision, leaseID uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.expire()
	current := s.items[key].Revision
	if ifRevision != AnyRevision && ifRevision != current {
		return current, false
	}
	if leaseID != 0 {
		l, ok := s.leases[leaseID]
		if !ok {
			return current, false
		}
		l.keys[key] = true
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
	s.init()
	s.expire()
	current := s.items[key].Revision
	if current == 0 || (ifRevision != AnyRevision && ifRevision != current) {
		return current, false
	}
	s.remove(key)
	return s.revision, true
}

// remove deletes an existing key. The caller holds mu.
func (s *Store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.record(Event{Item: Item{Key: key, Revision: s.revision}, Deleted: true})
}

// Get returns one key.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.expire()
	item, ok := s.items[key]
	return item, ok
}

// List returns the keys with a prefix, sorted, and the store's revision.
func (s *Store) List(prefix string) ([]Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
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

// EventsAfter returns the events under a prefix after a revision, the store's revision
// and a channel that closes at the next change. It reports false if the revision
// was compacted or lies in the future.
func (s *Store) EventsAfter(prefix string, after uint64) ([]Event, uint64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
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

// Grant creates a lease and returns its id.
func (s *Store) Grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: s.now().Add(ttl), keys: map[string]bool{}}
	return s.lastLease
}

// KeepAlive renews a lease and reports whether it still existed.
func (s *Store) KeepAlive(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.expire()
	l, ok := s.leases[id]
	if ok {
		l.expires = s.now().Add(l.ttl)
	}
	return ok
}

// Revoke ends a lease at once and deletes its keys.
func (s *Store) Revoke(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.revoke(id)
}

// Expire ends the expired leases, as calls that read or write keys or renew leases do first.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.expire()
}

// NextExpiry returns the time until the next lease expires, at most limit.
func (s *Store) NextExpiry(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, l := range s.leases {
		limit = min(limit, l.expires.Sub(now))
	}
	return max(limit, 0)
}

// expire ends the expired leases. The caller holds mu.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.revoke(id)
		}
	}
}

// revoke deletes a lease and the keys that still belong to it. The caller holds mu.
func (s *Store) revoke(id uint64) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	delete(s.leases, id)
	for key := range l.keys {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

// Compact discards the history, so that later watches from older revisions get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.compacted = s.revision
}
