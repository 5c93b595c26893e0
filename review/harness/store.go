// Package harness holds what the review's scripts share: stand-ins of the platform's store and of
// the origin of weights, the start of wheelcleat's daemons, a client, and a record of events.
package harness

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is an entry of the store.
type Item struct {
	Key      string `json:"privateKey"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// Store is a stand-in of the platform's store. It is always up and answers at once.
type Store struct {
	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision uint64
	leases   map[uint64]*lease
	changed  chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// Put writes a key for the operator or a server.
func (s *Store) Put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, data, 0)
}

// Remove removes a key for the operator or a server.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) put(key string, value []byte, leaseID uint64) uint64 {
	s.revision++
	item := Item{Key: key, Value: value, Revision: s.revision, Made: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		item.Made = old.Made
	}
	s.items[key] = item
	s.record(item)
	return s.revision
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(Item{Key: key, Revision: s.revision, Gone: true})
}

func (s *Store) record(item Item) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the store's API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return mux
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	entries, at := []Item{}, s.revision
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, item)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	const page = 500
	more := len(entries) > page
	if more {
		entries = entries[:page]
	}
	WriteJSON(w, http.StatusOK, map[string]any{"entries": entries, "more": more, "at": at})
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("privateKey")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	WriteJSON(w, http.StatusOK, item)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, at, changed := []Item{}, max(s.revision, after), s.changed
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
			case <-timer.C:
				done = true
			case <-r.Context().Done():
				return
			}
		}
		if done {
			WriteJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectedRevision []struct {
			Key      string `json:"privateKey"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRevision"`
		Put []struct {
			Key   string `json:"privateKey"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"put"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := []Item{}
	for _, condition := range txn.ExpectedRevision {
		if s.items[condition.Key].Revision != condition.Revision {
			failed = append(failed, s.items[condition.Key])
		}
	}
	if len(failed) > 0 {
		WriteJSON(w, http.StatusPreconditionFailed, map[string]any{"entries": failed})
		return
	}
	for _, put := range txn.Put {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range txn.Put {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	WriteJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uint64(len(s.leases) + 1)
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	WriteJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": request.TTLMs})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	WriteJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
	WriteJSON(w, http.StatusOK, map[string]any{})
}

// end ends a lease and removes its keys. The caller holds mu.
func (s *Store) end(id uint64) {
	if s.leases[id] == nil {
		return
	}
	s.leases[id] = nil
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if l != nil && time.Now().After(l.expires) {
			s.end(id)
		}
	}
}
