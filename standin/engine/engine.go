// Package engine is a stand-in for a model engine: it loads versions by fenced
// order, serves only a version it holds whole, streams tokens, and records
// each request that it ran, so that tests can hold the router to its word.
//
//	POST /admin/load       Order; answers State, or 409 for an order below the fence
//	GET  /admin/state      State
//	POST /v1/completions   Completion; answers Answer, or server-sent events
//	GET  /load             Load, as of some time ago
//	GET  /events?after=N   CacheEvents, late and with gaps
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/blake3"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// Order tells the engine to load a version.
type Order struct {
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
	// Weights is the URL that the engine reads the whole file from.
	Weights string `json:"weights"`
	Size    int64  `json:"size"`
	// Token is the fencing token: an engine that checks fences refuses an
	// order whose token is below the highest it has seen.
	Token uint64 `json:"token"`
}

// State says what the engine holds.
type State struct {
	// Manifest names the version as ordered; "" means none.
	Manifest string `json:"manifest"`
	// Digest is the BLAKE3 digest over the bytes that the engine read.
	Digest string `json:"digest"`
	Token  uint64 `json:"token"`
}

// Fault says what goes wrong with one completion.
type Fault struct {
	// CutBefore drops the connection before the request runs.
	CutBefore bool
	// CutAfterTokens drops it after that many tokens; 0 means never.
	CutAfterTokens int
	// Stall runs the request, sends its tokens and then hangs.
	Stall bool
}

// Run is the record of one request.
type Run struct {
	Count    int
	Manifest string
	// Cancelled is set when the caller left before the last token.
	Cancelled bool
}

// Server is one engine. The zero value holds no version, checks fences, and
// answers without delay.
type Server struct {
	// IgnoreFence takes any order, as some engines do.
	IgnoreFence bool
	// Prefill is the time before the first token, halved by a prefix hit;
	// PerToken the time between tokens.
	Prefill, PerToken time.Duration
	// Slots bounds the requests running together; 0 means no bound.
	Slots int
	// ReportLag is the age of what GET /load says.
	ReportLag time.Duration
	// Fault is asked at each completion; nil means no faults.
	Fault func(request string) Fault
	// FailLoad is asked at each order; a non-nil error fails it.
	FailLoad func(Order) error
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	once    sync.Once
	handler http.Handler
	slots   chan struct{}
	cache   prefixCache
	reports loadReports

	// mu guards all below.
	mu      sync.Mutex
	state   State
	highest uint64 // highest token seen
	runs    map[string]Run
	// current ends when the version it was made for is replaced, which cuts
	// every request still running on it.
	current context.Context //nolint:containedctx // it lives as long as a version, not a call
	replace context.CancelFunc
	// cut counts requests that a load cut off.
	cut int
	// history lists every version served, in order, for the oracle.
	history []State
}

func (s *Server) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

func (s *Server) setUp() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/load", s.serveLoad)
	mux.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) {
		serve.JSON(w, http.StatusOK, s.State())
	})
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		serve.JSON(w, http.StatusOK, s.reports.asOf(s.now().Add(-s.ReportLag)))
	})
	mux.HandleFunc("GET /events", s.cache.serve)
	s.handler = mux
	if s.Slots > 0 {
		s.slots = make(chan struct{}, s.Slots)
	}
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.setUp)
	s.handler.ServeHTTP(w, r)
}

// State returns what the engine holds.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Runs returns the record of every request that ran.
func (s *Server) Runs() map[string]Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]Run, len(s.runs))
	for id, run := range s.runs {
		copied[id] = run
	}
	return copied
}

// History returns every version that the engine came to serve.
func (s *Server) History() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]State(nil), s.history...)
}

// CutByLoad returns how many running requests a load cut off.
func (s *Server) CutByLoad() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

// fence takes an order's token, or refuses it.
func (s *Server) fence(token uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.highest && !s.IgnoreFence {
		return false
	}
	s.highest = max(s.highest, token)
	return true
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.fence(order.Token) {
		serve.JSON(w, http.StatusConflict, s.State())
		return
	}
	if s.FailLoad != nil {
		if err := s.FailLoad(order); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	digest, err := readWeights(r.Context(), order)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	// The fence may have moved while the weights were read.
	if !s.fence(order.Token) {
		serve.JSON(w, http.StatusConflict, s.State())
		return
	}
	s.install(State{Manifest: order.Manifest, Digest: digest.String(), Token: order.Token})
	serve.JSON(w, http.StatusOK, s.State())
}

// install puts a version in service and cuts requests on the old one.
func (s *Server) install(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replace != nil {
		s.replace()
	}
	s.current, s.replace = context.WithCancel(context.Background())
	s.state = state
	s.history = append(s.history, state)
}

func readWeights(ctx context.Context, order Order) (manifest.Digest, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, order.Weights, nil)
	if err != nil {
		return manifest.Digest{}, fmt.Errorf("read weights: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return manifest.Digest{}, fmt.Errorf("read weights: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return manifest.Digest{}, fmt.Errorf("read weights from %s: %s", order.Weights, response.Status)
	}
	hash := blake3.New()
	n, err := io.Copy(hash, response.Body)
	if err != nil || n != order.Size {
		return manifest.Digest{}, fmt.Errorf("read weights: %d of %d bytes: %w", n, order.Size, err)
	}
	var digest manifest.Digest
	hash.Sum(digest[:0])
	return digest, nil
}
