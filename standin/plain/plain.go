// Package plain simulates a plain service whose requests are not idempotent: each
// adds its amount to a ledger and is recorded, so that tests detect repeated runs.
//
//	POST /v1/...  {"ledger":"a","amount":5}  returns {"request":…,"ledger":…,"balance":…}
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

const maxBodyBytes = 1 << 20

// Entry is the body of a request.
type Entry struct {
	Ledger string `json:"ledger"`
	Amount int64  `json:"amount"`
}

// Receipt is the body of a response.
type Receipt struct {
	Request string `json:"request"`
	Ledger  string `json:"ledger"`
	Balance int64  `json:"balance"`
}

// Fault describes the faults injected into one request.
type Fault struct {
	// CutBefore closes the connection before the request runs.
	CutBefore bool
	// CutAfter closes the connection after the request ran, without a response.
	CutAfter bool
	// Delay is the time between the run and the response.
	Delay time.Duration
}

// Server simulates the service. The zero value has empty ledgers and no faults.
type Server struct {
	// Fault returns the faults for a request id; nil means no faults.
	Fault func(request string) Fault

	// mu guards the fields below.
	mu       sync.Mutex
	balances map[string]int64
	runs     map[string]int
}

// Runs returns the number of runs of each request id.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.runs))
	for id, count := range s.runs {
		copied[id] = count
	}
	return copied
}

// Balance returns the balance of a ledger.
func (s *Server) Balance(ledger string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balances[ledger]
}

func (s *Server) run(id string, entry Entry) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
		s.balances = map[string]int64{}
	}
	s.runs[id]++
	s.balances[entry.Ledger] += entry.Amount
	return s.balances[entry.Ledger]
}

// ServeHTTP runs one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(api.HeaderRequestID)
	var fault Fault
	if s.Fault != nil {
		fault = s.Fault(id)
	}
	if fault.CutBefore {
		panic(http.ErrAbortHandler)
	}
	var entry Entry
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&entry); err != nil {
		serve.JSON(w, http.StatusBadRequest, Receipt{Request: id})
		return
	}
	balance := s.run(id, entry)
	if fault.Delay > 0 {
		<-time.After(fault.Delay)
	}
	if fault.CutAfter {
		panic(http.ErrAbortHandler)
	}
	serve.JSON(w, http.StatusOK, Receipt{Request: id, Ledger: entry.Ledger, Balance: balance})
}
