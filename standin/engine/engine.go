// Package engine simulates a model engine: it loads versions on orders with a
// fencing token, serves only completely loaded versions, streams tokens, and
// records each request that it ran, so that tests can check the outcomes that
// the daemons report.
//
//	POST /admin/load       Order; returns State, or 409 for an outdated fencing token
//	GET  /admin/state      State
//	POST /v1/completions   Completion; returns Response, or server-sent events
//	GET  /load             Load, delayed by ReportLag
//	GET  /events?after=N   CacheEvents, delayed and with gaps
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

// Order instructs the engine to load a version.
type Order struct {
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
	// Weights is the URL from which the engine downloads the weights.
	Weights string `json:"weights"`
	Size    int64  `json:"size"`
	// Token is the fencing token. An engine that checks it rejects an order
	// whose token is below the highest it has received.
	Token uint64 `json:"token"`
}

// State describes the loaded version.
type State struct {
	// Manifest identifies the version as in the order; "" means that none is loaded.
	Manifest string `json:"manifest"`
	// Digest is the BLAKE3 digest of the downloaded bytes.
	Digest string `json:"digest"`
	Token  uint64 `json:"token"`
}

// Fault describes the faults injected into one completion.
type Fault struct {
	// CutBefore closes the connection before the request runs.
	CutBefore bool
	// CutAfterTokens closes it after that many tokens; 0 means never.
	CutAfterTokens int
	// Stall sends all tokens but never completes the response.
	Stall bool
}

// Run is the record of one request.
type Run struct {
	Count    int
	Manifest string
	// Cancelled is set if the client disconnected before the end.
	Cancelled bool
}

// Server simulates one engine. The zero value has no version loaded, checks
// fencing tokens, and responds without delay.
type Server struct {
	// IgnoreFence accepts orders with any fencing token, as some engines do.
	IgnoreFence bool
	// Prefill is the time before the first token, halved by a hit in the prefix
	// cache. PerToken is the time per token.
	Prefill, PerToken time.Duration
	// Slots bounds the concurrently running requests; 0 means no bound.
	Slots int
	// ReportLag is the age of the reports of GET /load.
	ReportLag time.Duration
	// Fault returns the faults for a request id; nil means no faults.
	Fault func(request string) Fault
	// FailLoad returns the error with which an order fails, or nil.
	FailLoad func(Order) error
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	once    sync.Once
	handler http.Handler
	slots   chan struct{}
	cache   prefixCache
	reports loadReports

	// mu guards the fields below.
	mu           sync.Mutex
	state        State
	highestToken uint64 // highest fencing token received
	runs         map[string]Run
	// current is cancelled when the loaded version is replaced, which aborts
	// the requests that still run on it.
	current       context.Context //nolint:containedctx // its lifetime is that of a version, not of a call
	cancelCurrent context.CancelFunc
	// aborted counts the requests that a load aborted.
	aborted int
	// history lists all versions in service so far, in order, for checks of rollouts.
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

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.setUp)
	s.handler.ServeHTTP(w, r)
}

// State returns the loaded version.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Runs returns the records of all requests that ran, by request id.
func (s *Server) Runs() map[string]Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]Run, len(s.runs))
	for id, run := range s.runs {
		copied[id] = run
	}
	return copied
}

// History returns all versions that were in service, in order.
func (s *Server) History() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]State(nil), s.history...)
}

// AbortedByLoad returns the number of running requests that a load aborted.
func (s *Server) AbortedByLoad() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aborted
}

// checkFence reports whether a fencing token is current, and records it if so.
func (s *Server) checkFence(token uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.highestToken && !s.IgnoreFence {
		return false
	}
	s.highestToken = max(s.highestToken, token)
	return true
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.checkFence(order.Token) {
		serve.JSON(w, http.StatusConflict, s.State())
		return
	}
	if s.FailLoad != nil {
		if err := s.FailLoad(order); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	digest, err := downloadWeights(r.Context(), order)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	// An order with a higher token may have arrived during the download.
	if !s.checkFence(order.Token) {
		serve.JSON(w, http.StatusConflict, s.State())
		return
	}
	s.install(State{Manifest: order.Manifest, Digest: digest.String(), Token: order.Token})
	serve.JSON(w, http.StatusOK, s.State())
}

// install puts a version into service and aborts the requests on the old one.
func (s *Server) install(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelCurrent != nil {
		s.cancelCurrent()
	}
	s.current, s.cancelCurrent = context.WithCancel(context.Background())
	s.state = state
	s.history = append(s.history, state)
}

func downloadWeights(ctx context.Context, order Order) (manifest.Digest, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, order.Weights, nil)
	if err != nil {
		return manifest.Digest{}, fmt.Errorf("download weights: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return manifest.Digest{}, fmt.Errorf("download weights: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return manifest.Digest{}, fmt.Errorf("download weights from %s: %s", order.Weights, resp.Status)
	}
	hash := blake3.New()
	n, err := io.Copy(hash, resp.Body)
	if err != nil {
		return manifest.Digest{}, fmt.Errorf("download weights from %s: got %d of %d bytes: %w", order.Weights, n, order.Size, err)
	}
	if n != order.Size {
		return manifest.Digest{}, fmt.Errorf("download weights from %s: got %d of %d bytes", order.Weights, n, order.Size)
	}
	var digest manifest.Digest
	hash.Sum(digest[:0])
	return digest, nil
}
