package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the platform's store. Gone marks a removal.
type item struct {
	Key      string `json:"privateKey"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// lease is a lease and when it runs out.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's store without disruptions: its answers are complete and in order.
type store struct {
	mux      *http.ServeMux
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	granted  uint64
	changed  chan struct{}
}

func newStore() *store {
	s := &store{mux: http.NewServeMux(), items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	s.mux.HandleFunc("GET /kv-key", s.read)
	s.mux.HandleFunc("GET /kv-range", s.list)
	s.mux.HandleFunc("GET /kv-watch", s.watch)
	s.mux.HandleFunc("POST /kv-txn", s.write)
	s.mux.HandleFunc("POST /kv-lease", s.grant)
	s.mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	s.mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// ServeHTTP answers each call 4 ms later, as the sheets say.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mux.ServeHTTP(w, r)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// change stores a new state of a key; the caller holds mu.
func (s *store) change(next item) {
	s.revision++
	next.Revision, next.Made = s.revision, s.revision
	if before, ok := s.items[next.Key]; ok {
		next.Made = before.Made
	}
	if next.Gone {
		delete(s.items, next.Key)
	} else {
		s.items[next.Key] = next
	}
	s.history = append(s.history, next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a runner.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: data})
}

// remove removes a key, if it is there.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.change(item{Key: key, Gone: true})
	}
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.drop(id)
		}
	}
}

// drop ends a lease and removes its keys; the caller holds mu.
func (s *store) drop(id uint64) {
	delete(s.leases, id)
	for key, stored := range s.items {
		if stored.Lease == id {
			s.change(item{Key: key, Gone: true})
		}
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("privateKey")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{found, at})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	entries, at := []item{}, s.revision
	for key, stored := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, stored)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(entries) > page
	answer(w, http.StatusOK, map[string]any{"entries": entries[:min(len(entries), page)], "more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events, at, changed := []item{}, s.revision, s.changed
		for _, past := range s.history {
			if past.Revision > after && strings.HasPrefix(past.Key, prefix) {
				events = append(events, past)
			}
		}
		s.mu.Unlock()
		if over || len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ExpectedRevision []item   `json:"expectedRevision"`
		Put              []item   `json:"put"`
		Remove           []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		answer(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range call.ExpectedRevision {
		if s.items[expected.Key].Revision != expected.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"entries": []item{s.items[expected.Key]}})
			return
		}
	}
	for _, put := range call.Put {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			answer(w, http.StatusForbidden, "not yours")
			return
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			answer(w, http.StatusNotFound, "no such lease")
			return
		}
	}
	for _, put := range call.Put {
		s.change(item{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	for _, key := range call.Remove {
		if _, ok := s.items[key]; ok {
			s.change(item{Key: key, Gone: true})
		}
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		answer(w, http.StatusBadRequest, err.Error())
		return
	}
	ttl := time.Duration(max(call.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	id := s.granted
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, "no such lease")
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	w.WriteHeader(http.StatusOK)
}
