// Package account authenticates the client account of a request and enforces
// its rate and concurrency limits. The intake of an entry calls it for every
// request.
//
// Limits apply per entry. The load balancer spreads the requests of an account
// over all entries, so a fleet-wide limit would need shared counters, whose
// write rate the key-value service cannot sustain; operators divide the limit by
// the number of entries.
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

// concurrencyRetryAfter is the Retry-After value of a request rejected for the
// account's concurrency limit.
const concurrencyRetryAfter = 250 * time.Millisecond

// Find returns the account that the request's bearer key belongs to.
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

// Limiter enforces the rate and concurrency limits of accounts. The zero value is
// ready to use.
//
// mu is the only lock; it is not held while a request runs.
type Limiter struct {
	mu     sync.Mutex
	states map[string]*state
}

// state holds the token bucket and the in-flight count of one account.
type state struct {
	// revision is the revision of the account resource that rate is built from.
	revision uint64
	rate     *rate.Limiter // nil if the rate is unlimited
	inFlight int
}

// Admit admits a request or returns a refusal. The caller must call the returned
// function when the request has ended; further calls have no effect.
func (l *Limiter) Admit(account *api.Resource, now time.Time) (func(), *outcome.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(account)
	spec := account.Account
	if spec.Concurrency > 0 && s.inFlight >= spec.Concurrency {
		return nil, outcome.NotRun(http.StatusTooManyRequests, outcome.ReasonAccountLimit,
			fmt.Sprintf("account %q runs %d requests here, as many as it may", account.Name, s.inFlight)).WithRetryAfter(concurrencyRetryAfter)
	}
	if s.rate != nil {
		reservation := s.rate.ReserveN(now, 1)
		if wait := reservation.DelayFrom(now); wait > 0 {
			reservation.CancelAt(now)
			return nil, outcome.NotRun(http.StatusTooManyRequests, outcome.ReasonAccountLimit,
				fmt.Sprintf("account %q is over its rate of %v a second", account.Name, spec.RatePerSecond)).WithRetryAfter(wait)
		}
	}
	s.inFlight++
	var once sync.Once
	return func() { once.Do(func() { l.release(s) }) }, nil
}

// state returns the state of an account and rebuilds the token bucket if the
// resource's revision has changed. The caller must hold mu.
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

func (l *Limiter) release(s *state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.inFlight--
}
