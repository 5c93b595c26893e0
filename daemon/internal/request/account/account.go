// Package account finds the client account behind a request and holds it to
// its limits.
//
// Limits count per entry. The balancer spreads an account's calls over the
// entries, so a fleet-wide limit would need shared counters, which the
// key-value service cannot carry; an operator divides by the number of entries.
package account

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/outcome"
)

// concurrencyRetry is the time after which a caller over its concurrency may
// come back.
const concurrencyRetry = 250 * time.Millisecond

// Find returns the account whose key the request carries.
func Find(view *tables.View, r *http.Request) (*api.Resource, *outcome.Refusal) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, outcome.NotRun(http.StatusUnauthorized, outcome.ReasonUnauthorized, "send the account's key as 'Authorization: Bearer KEY'")
	}
	account := view.AccountByKey[tables.KeyDigest(sha256.Sum256([]byte(key)))]
	if account == nil {
		return nil, outcome.NotRun(http.StatusForbidden, outcome.ReasonForbidden, "the key belongs to no client account")
	}
	return account, nil
}

// Limiter holds accounts to their rate and concurrency. The zero value is
// ready to use.
//
// Lock order: mu is the only lock; it is not held while a request runs.
type Limiter struct {
	mu     sync.Mutex
	states map[string]*state
}

// state is one account's use.
type state struct {
	// revision is the declaration that the limits come from.
	revision uint64
	rate     *rate.Limiter // nil means no bound
	inFlight int
}

// Enter admits a request and returns the function that it calls when it is
// over, or a refusal.
func (l *Limiter) Enter(account *api.Resource, now time.Time) (func(), *outcome.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(account)
	spec := account.Account
	if spec.Concurrency > 0 && s.inFlight >= spec.Concurrency {
		return nil, outcome.NotRun(http.StatusTooManyRequests, outcome.ReasonAccountLimit,
			fmt.Sprintf("account %q runs %d requests here, as many as it may", account.Name, s.inFlight)).Retry(concurrencyRetry)
	}
	if s.rate != nil {
		reservation := s.rate.ReserveN(now, 1)
		if wait := reservation.DelayFrom(now); wait > 0 {
			reservation.CancelAt(now)
			return nil, outcome.NotRun(http.StatusTooManyRequests, outcome.ReasonAccountLimit,
				fmt.Sprintf("account %q is over its rate of %v a second", account.Name, spec.RatePerSecond)).Retry(wait)
		}
	}
	s.inFlight++
	var once sync.Once
	return func() { once.Do(func() { l.exit(s) }) }, nil
}

// state returns an account's use, with limits of its present declaration; the
// caller holds mu.
func (l *Limiter) state(account *api.Resource) *state {
	if l.states == nil {
		l.states = map[string]*state{}
	}
	s := l.states[account.Name]
	if s == nil {
		s = &state{}
		l.states[account.Name] = s
	}
	if s.revision != account.Revision {
		s.revision = account.Revision
		s.rate = nil
		if perSecond := account.Account.RatePerSecond; perSecond > 0 {
			s.rate = rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
		}
	}
	return s
}

func (l *Limiter) exit(s *state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.inFlight--
}
