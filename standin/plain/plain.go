// Package plain is a stand-in for a plain service whose calls may not be
// repeated: each call adds its amount to a ledger and is recorded.
//
//	POST /v1/...  {"ledger":"a","amount":5}  answers {"request":…,"ledger":…,"balance":…}
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

// maxBodyBytes bounds one call's body.
const maxBodyBytes = 1 << 20

// Entry is one call of the service.
type Entry struct {
	Ledger string `json:"ledger"`
	Amount int64  `json:"amount"`
}

// Receipt is the answer to a call.
type Receipt struct {
	Request string `json:"request"`
	Ledger  string `json:"ledger"`
	Balance int64  `json:"balance"`
}

// Fault says what goes wrong with one call.
type Fault struct {
	// CutBefore drops the connection before the call runs.
	CutBefore bool
	// CutAfter drops the connection after the call ran, before its answer.
	CutAfter bool
	// Delay comes between the run and the answer.
	Delay time.Duration
}

// Server is the service. The zero value has empty ledgers and no faults.
type Server struct {
	// Fault is asked at each call; nil means no faults.
	Fault func(request string) Fault

	// mu guards all below.
	mu       sync.Mutex
	balances map[string]int64
	runs     map[string]int
}

// Runs returns how often each request id ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.runs))
	for id, count := range s.runs {
		copied[id] = count
	}
	return copied
}

// Balance returns a ledger's sum.
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

// ServeHTTP runs one call.
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
