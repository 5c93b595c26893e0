package kv

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// Op names a call, for faults.
type Op string

// The calls.
const (
	OpGet       Op = "get"
	OpList      Op = "list"
	OpPut       Op = "put"
	OpDelete    Op = "delete"
	OpWatch     Op = "watch"
	OpGrant     Op = "grant"
	OpKeepAlive Op = "keepalive"
	OpRevoke    Op = "revoke"
)

func (o Op) writes() bool {
	switch o {
	case OpGet, OpList, OpWatch:
		return false
	default:
		return true
	}
}

// Fault says what goes wrong with one call.
type Fault struct {
	// Down cuts the connection before the call takes effect.
	Down bool
	// LoseAnswer cuts the connection after the call has taken effect.
	LoseAnswer bool
	// Delay comes before the call.
	Delay time.Duration
}

// Server answers the service's HTTP calls:
//
//	GET    /kv/{key}                       one item
//	GET    /kv?prefix=P                    {revision, items}
//	PUT    /kv/{key}?ifRevision=N&lease=L  body is the value; {revision} or 409 {revision}
//	DELETE /kv/{key}?ifRevision=N
//	GET    /watch?prefix=P&after=N&wait=D  {revision, events}, or 410
//	POST   /leases?ttl=D                   {id}
//	POST   /leases/{id}/keepalive          404 when it has lapsed
//	DELETE /leases/{id}
//
// The zero value answers from an empty store at the brief's rates.
type Server struct {
	Store Store
	// Fault is asked at each call; nil means no faults.
	Fault func(op Op, key string) Fault
	// WritesPerSecond and ReadsPerSecond bound the rates; 0 means the brief's.
	WritesPerSecond, ReadsPerSecond float64

	once    sync.Once
	reads   *rate.Limiter
	writes  *rate.Limiter
	handler http.Handler

	// mu guards counts.
	mu     sync.Mutex
	counts Counts
}

// Counts returns the calls taken so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func limiter(perSecond, fallback float64) *rate.Limiter {
	if perSecond == 0 {
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

func (s *Server) setUp() {
	s.reads = limiter(s.ReadsPerSecond, DefaultReadsPerSecond)
	s.writes = limiter(s.WritesPerSecond, DefaultWritesPerSecond)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv", s.call(OpList, s.list))
	mux.HandleFunc("GET /kv/{key...}", s.call(OpGet, s.get))
	mux.HandleFunc("PUT /kv/{key...}", s.call(OpPut, s.put))
	mux.HandleFunc("DELETE /kv/{key...}", s.call(OpDelete, s.delete))
	mux.HandleFunc("GET /watch", s.call(OpWatch, s.watch))
	mux.HandleFunc("POST /leases", s.call(OpGrant, s.grant))
	mux.HandleFunc("POST /leases/{id}/keepalive", s.call(OpKeepAlive, s.keepAlive))
	mux.HandleFunc("DELETE /leases/{id}", s.call(OpRevoke, s.revoke))
	s.handler = mux
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.setUp)
	s.handler.ServeHTTP(w, r)
}

// answer is what a call returns before the faults act on it.
type answer struct {
	status int
	body   any
}

// call wraps one operation with counting, rate limits and faults.
func (s *Server) call(op Op, operate func(r *http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.count(op) {
			w.Header().Set("Retry-After", "1")
			serve.JSON(w, http.StatusTooManyRequests, revisionBody{})
			return
		}
		var fault Fault
		if s.Fault != nil {
			fault = s.Fault(op, r.PathValue("key"))
		}
		if fault.Delay > 0 {
			timer := time.NewTimer(fault.Delay)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		if fault.Down {
			panic(http.ErrAbortHandler)
		}
		result := operate(r)
		if fault.LoseAnswer {
			panic(http.ErrAbortHandler)
		}
		serve.JSON(w, result.status, result.body)
	}
}

// count adds a call and reports whether the rate allows it.
func (s *Server) count(op Op) bool {
	limit := s.reads
	if op.writes() {
		limit = s.writes
	}
	allowed := limit.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !allowed:
		s.counts.Refused++
	case op.writes():
		s.counts.Writes++
	default:
		s.counts.Reads++
	}
	if allowed && op == OpWatch {
		s.counts.Watches++
	}
	return allowed
}

type revisionBody struct {
	Revision uint64 `json:"revision"`
}

type listBody struct {
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
}

type watchBody struct {
	Revision uint64  `json:"revision"`
	Events   []Event `json:"events"`
}

type leaseBody struct {
	ID uint64 `json:"id"`
}

// number reads a numeric parameter; an absent one gives fallback.
func number(text string, fallback uint64) (uint64, bool) {
	if text == "" {
		return fallback, true
	}
	value, err := strconv.ParseUint(text, 10, 64)
	return value, err == nil
}

var badRequest = answer{http.StatusBadRequest, revisionBody{}}

func (s *Server) get(r *http.Request) answer {
	item, ok := s.Store.Get(r.PathValue("key"))
	if !ok {
		return answer{http.StatusNotFound, revisionBody{}}
	}
	return answer{http.StatusOK, item}
}

func (s *Server) list(r *http.Request) answer {
	items, revision := s.Store.List(r.URL.Query().Get("prefix"))
	return answer{http.StatusOK, listBody{Revision: revision, Items: items}}
}

func written(revision uint64, ok bool) answer {
	if !ok {
		return answer{http.StatusConflict, revisionBody{revision}}
	}
	return answer{http.StatusOK, revisionBody{revision}}
}

func (s *Server) put(r *http.Request) answer {
	ifRevision, okRevision := number(r.URL.Query().Get("ifRevision"), Any)
	leaseID, okLease := number(r.URL.Query().Get("lease"), 0)
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if !okRevision || !okLease || err != nil {
		return badRequest
	}
	if len(value) > MaxValueBytes {
		return answer{http.StatusRequestEntityTooLarge, revisionBody{}}
	}
	return written(s.Store.Put(r.PathValue("key"), value, ifRevision, leaseID))
}

func (s *Server) delete(r *http.Request) answer {
	ifRevision, ok := number(r.URL.Query().Get("ifRevision"), Any)
	if !ok {
		return badRequest
	}
	return written(s.Store.Delete(r.PathValue("key"), ifRevision))
}

func (s *Server) watch(r *http.Request) answer {
	query := r.URL.Query()
	after, ok := number(query.Get("after"), 0)
	wait, err := time.ParseDuration(query.Get("wait"))
	if !ok || err != nil {
		return badRequest
	}
	deadline := time.Now().Add(wait)
	prefix := query.Get("prefix")
	for {
		events, revision, changed, kept := s.Store.Since(prefix, after)
		if !kept {
			return answer{http.StatusGone, revisionBody{revision}}
		}
		if len(events) > 0 {
			return answer{http.StatusOK, watchBody{Revision: revision, Events: events}}
		}
		left := time.Until(deadline)
		if left <= 0 {
			return answer{http.StatusOK, watchBody{Revision: revision}}
		}
		// A lapse of a lease is a change too, and no call announces it.
		timer := time.NewTimer(s.Store.NextExpiry(left) + time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return badRequest
		}
		timer.Stop()
	}
}

func (s *Server) grant(r *http.Request) answer {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		return badRequest
	}
	return answer{http.StatusOK, leaseBody{ID: s.Store.Grant(ttl)}}
}

func (s *Server) keepAlive(r *http.Request) answer {
	id, ok := number(r.PathValue("id"), 0)
	if !ok || !s.Store.KeepAlive(id) {
		return answer{http.StatusNotFound, leaseBody{ID: id}}
	}
	return answer{http.StatusOK, leaseBody{ID: id}}
}

func (s *Server) revoke(r *http.Request) answer {
	id, ok := number(r.PathValue("id"), 0)
	if !ok {
		return badRequest
	}
	s.Store.Revoke(id)
	return answer{http.StatusOK, leaseBody{ID: id}}
}
