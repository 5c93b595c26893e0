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

// Op is the kind of a request, for injecting faults.
type Op string

// Kinds of requests.
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

func (o Op) isWrite() bool {
	switch o {
	case OpGet, OpList, OpWatch:
		return false
	default:
		return true
	}
}

// Fault describes the faults injected into one request.
type Fault struct {
	// Down closes the connection before the request takes effect.
	Down bool
	// DropResponse closes the connection after the request has taken effect.
	DropResponse bool
	// Delay is added before the request is processed.
	Delay time.Duration
}

// Server serves the HTTP API of the service:
//
//	GET    /kv/{key}                       one item
//	GET    /kv?prefix=P                    {revision, items}
//	PUT    /kv/{key}?ifRevision=N&lease=L  body is the value; {revision} or 409 {revision}
//	DELETE /kv/{key}?ifRevision=N
//	GET    /watch?prefix=P&after=N&wait=D  {revision, events}, or 410
//	POST   /leases?ttl=D                   {id}
//	POST   /leases/{id}/keepalive          404 if it has expired
//	DELETE /leases/{id}
//
// The zero value serves an empty store at the default rates.
type Server struct {
	Store Store
	// Fault returns the faults for a request; nil means no faults.
	Fault func(op Op, key string) Fault
	// WritesPerSecond and ReadsPerSecond are the rate limits; 0 means the defaults.
	WritesPerSecond, ReadsPerSecond float64

	once    sync.Once
	reads   *rate.Limiter
	writes  *rate.Limiter
	handler http.Handler

	// mu guards counts.
	mu     sync.Mutex
	counts Counts
}

// Counts returns the numbers of requests so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func newLimiter(perSecond, fallback float64) *rate.Limiter {
	if perSecond == 0 {
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

func (s *Server) setUp() {
	s.reads = newLimiter(s.ReadsPerSecond, DefaultReadsPerSecond)
	s.writes = newLimiter(s.WritesPerSecond, DefaultWritesPerSecond)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv", s.handle(OpList, s.list))
	mux.HandleFunc("GET /kv/{key...}", s.handle(OpGet, s.get))
	mux.HandleFunc("PUT /kv/{key...}", s.handle(OpPut, s.put))
	mux.HandleFunc("DELETE /kv/{key...}", s.handle(OpDelete, s.delete))
	mux.HandleFunc("GET /watch", s.handle(OpWatch, s.watch))
	mux.HandleFunc("POST /leases", s.handle(OpGrant, s.grant))
	mux.HandleFunc("POST /leases/{id}/keepalive", s.handle(OpKeepAlive, s.keepAlive))
	mux.HandleFunc("DELETE /leases/{id}", s.handle(OpRevoke, s.revoke))
	s.handler = mux
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.setUp)
	s.handler.ServeHTTP(w, r)
}

// response is the result of an operation before faults are applied.
type response struct {
	status int
	body   any
}

// handle wraps an operation with request counting, rate limits and faults.
func (s *Server) handle(op Op, operate func(r *http.Request) response) http.HandlerFunc {
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
		if fault.DropResponse {
			panic(http.ErrAbortHandler)
		}
		serve.JSON(w, result.status, result.body)
	}
}

// count counts a request and reports whether the rate limit admits it.
func (s *Server) count(op Op) bool {
	limit := s.reads
	if op.isWrite() {
		limit = s.writes
	}
	allowed := limit.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !allowed:
		s.counts.Refused++
	case op.isWrite():
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

// parseNumber parses a numeric parameter and returns fallback if it is absent.
func parseNumber(text string, fallback uint64) (uint64, bool) {
	if text == "" {
		return fallback, true
	}
	value, err := strconv.ParseUint(text, 10, 64)
	return value, err == nil
}

var badRequest = response{http.StatusBadRequest, revisionBody{}}

func (s *Server) get(r *http.Request) response {
	item, ok := s.Store.Get(r.PathValue("key"))
	if !ok {
		return response{http.StatusNotFound, revisionBody{}}
	}
	return response{http.StatusOK, item}
}

func (s *Server) list(r *http.Request) response {
	items, revision := s.Store.List(r.URL.Query().Get("prefix"))
	return response{http.StatusOK, listBody{Revision: revision, Items: items}}
}

// writeResponse returns the response to a put or delete.
func writeResponse(revision uint64, ok bool) response {
	if !ok {
		return response{http.StatusConflict, revisionBody{revision}}
	}
	return response{http.StatusOK, revisionBody{revision}}
}

func (s *Server) put(r *http.Request) response {
	ifRevision, okRevision := parseNumber(r.URL.Query().Get("ifRevision"), AnyRevision)
	leaseID, okLease := parseNumber(r.URL.Query().Get("lease"), 0)
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if !okRevision || !okLease || err != nil {
		return badRequest
	}
	if len(value) > MaxValueBytes {
		return response{http.StatusRequestEntityTooLarge, revisionBody{}}
	}
	return writeResponse(s.Store.Put(r.PathValue("key"), value, ifRevision, leaseID))
}

func (s *Server) delete(r *http.Request) response {
	ifRevision, ok := parseNumber(r.URL.Query().Get("ifRevision"), AnyRevision)
	if !ok {
		return badRequest
	}
	return writeResponse(s.Store.Delete(r.PathValue("key"), ifRevision))
}

func (s *Server) watch(r *http.Request) response {
	query := r.URL.Query()
	after, ok := parseNumber(query.Get("after"), 0)
	wait, err := time.ParseDuration(query.Get("wait"))
	if !ok || err != nil {
		return badRequest
	}
	deadline := time.Now().Add(wait)
	prefix := query.Get("prefix")
	for {
		events, revision, changed, ok := s.Store.EventsAfter(prefix, after)
		if !ok {
			return response{http.StatusGone, revisionBody{revision}}
		}
		if len(events) > 0 {
			return response{http.StatusOK, watchBody{Revision: revision, Events: events}}
		}
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return response{http.StatusOK, watchBody{Revision: revision}}
		}
		// Leases expire lazily, in the next call to the store, so the watch has to wake up
		// when the next lease expires.
		timer := time.NewTimer(s.Store.NextExpiry(remaining) + time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return badRequest // not received, since the client has disconnected
		}
		timer.Stop()
	}
}

func (s *Server) grant(r *http.Request) response {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		return badRequest
	}
	return response{http.StatusOK, leaseBody{ID: s.Store.Grant(ttl)}}
}

func (s *Server) keepAlive(r *http.Request) response {
	id, ok := parseNumber(r.PathValue("id"), 0)
	if !ok || !s.Store.KeepAlive(id) {
		return response{http.StatusNotFound, leaseBody{ID: id}}
	}
	return response{http.StatusOK, leaseBody{ID: id}}
}

func (s *Server) revoke(r *http.Request) response {
	id, ok := parseNumber(r.PathValue("id"), 0)
	if !ok {
		return badRequest
	}
	s.Store.Revoke(id)
	return response{http.StatusOK, leaseBody{ID: id}}
}
