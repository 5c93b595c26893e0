package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// Policy is a set of decision parameters. The zero value is the policy of the production router.
type Policy struct {
	Name string
	// NewRetryClassifier creates, for each run, the function that classifies requests as first
	// attempts or retries; nil selects that of the router.
	NewRetryClassifier func() retryClassifier
	// Search holds the parameters of the search for a place; nil selects those of the router.
	Search *admission.Policy
	// RetryDelay returns the delay after which a refused caller retries; nil selects that of the
	// router.
	RetryDelay func(rng *rand.Rand, remaining time.Duration) time.Duration
}

// retryClassifier reports whether a router classifies a request as a retry.
type retryClassifier func(r *router, c *caller) bool

// byRemainingTime is the classification of the production router, by the remaining time of the
// request.
func byRemainingTime(r *router, c *caller) bool {
	return r.retryDetector.IsRetry(admission.Arrival{Route: c.kind.Name, Remaining: c.remaining(), Declared: c.kind.Deadline})
}

// newClassifier returns the classifier for one run.
func (p Policy) newClassifier() retryClassifier {
	if p.NewRetryClassifier == nil {
		return byRemainingTime
	}
	return p.NewRetryClassifier()
}

// detectRetry classifies a request and records whether the result is correct.
func (s *loadSim) detectRetry(r *router, c *caller) bool {
	detected := s.isRetry(r, c)
	switch {
	case detected && c.refusals > 0:
		c.truePositive = 1
	case detected:
		c.falsePositive = 1
	}
	return detected
}

func (p Policy) retryDelay(rng *rand.Rand, c *caller) time.Duration {
	if p.RetryDelay != nil {
		return p.RetryDelay(rng, c.remaining())
	}
	return admission.RetryAfter(admission.EnginesFull, rng.Float64())
}

// uniformDelay returns a retry delay that is uniformly distributed between two limits.
func uniformDelay(minDelay, maxDelay time.Duration) func(*rand.Rand, time.Duration) time.Duration {
	return func(rng *rand.Rand, _ time.Duration) time.Duration {
		return minDelay + time.Duration(rng.Float64()*float64(maxDelay-minDelay))
	}
}

// variant returns the production search parameters with one change applied.
func variant(change func(p *admission.Policy)) *admission.Policy {
	p := admission.DefaultPolicy()
	change(&p)
	return &p
}

// Policies returns all policies that can be compared, the production one first.
func Policies() []Policy {
	const second = time.Second
	return []Policy{
		{Name: "now"},
		{Name: "back-unknown", NewRetryClassifier: func() retryClassifier { return neverRetry }},
		{Name: "back-same-time", NewRetryClassifier: byLongestTime},
		{Name: "back-sketch", NewRetryClassifier: bySharedRefusals},
		{Name: "back-known", NewRetryClassifier: func() retryClassifier { return exactRetry }},
		{Name: "return-soon", RetryDelay: uniformDelay(second*3/10, second*9/10)},
		{Name: "return-late", RetryDelay: uniformDelay(second*16/10, second*2)},
		{Name: "return-wide", RetryDelay: uniformDelay(second*3/10, second*2)},
		{Name: "look-5", Search: variant(func(p *admission.Policy) { p.MaxQueries, p.MaxOvercommit = 5, 0 })},
		{Name: "look-8", Search: variant(func(p *admission.Policy) { p.MaxQueries, p.MaxOvercommit = 8, 0 })},
		{Name: "look-5-beyond-1", Search: variant(func(p *admission.Policy) { p.MaxQueries, p.MaxOvercommit = 5, 1 })},
		{Name: "look-8-beyond-1", Search: variant(func(p *admission.Policy) { p.MaxQueries, p.MaxOvercommit = 8, 1 })},
		{Name: "look-8-beyond-2", Search: variant(func(p *admission.Policy) { p.MaxQueries, p.MaxOvercommit = 8, 2 })},
		{Name: "look-8-wait-soon", Search: variant(func(p *admission.Policy) { p.MaxQueries, p.QueriesPerStep, p.MaxOvercommit = 8, 1, 1 })},
		{Name: "look-10-beyond-1", Search: variant(func(p *admission.Policy) { p.MaxQueries, p.MaxOvercommit = 10, 1 })},
		{Name: "back-any-place", Search: variant(func(p *admission.Policy) { p.RetryReserve = 0 })},
		{Name: "back-half-free", Search: variant(func(p *admission.Policy) { p.RetryReserve = 0.5 })},
	}
}

// PolicyNames returns the names of all policies.
func PolicyNames() []string {
	var names []string
	for _, p := range Policies() {
		names = append(names, p.Name)
	}
	return names
}

// FindPolicy returns the policy of a name.
func FindPolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("unknown policy %q; use one of %s", name, strings.Join(PolicyNames(), ", "))
}

// byLongestTime classifies a request as a retry if it has less time than the longest seen on its
// route, provided that at least half of the route's requests have that time.
func byLongestTime() retryClassifier {
	type routeStats struct {
		longest          time.Duration
		total, atLongest int
	}
	routes := map[*router]map[string]*routeStats{}
	return func(r *router, c *caller) bool {
		if routes[r] == nil {
			routes[r] = map[string]*routeStats{}
		}
		s, remaining := routes[r][c.kind.Name], c.remaining()
		if s == nil || float64(remaining)*0.98 > float64(s.longest) {
			s = &routeStats{longest: remaining}
			routes[r][c.kind.Name] = s
		}
		s.total++
		atLongest := float64(remaining) >= 0.98*float64(s.longest)
		if atLongest {
			s.atLongest++
		}
		return !atLongest && s.total >= 8 && 2*s.atLongest >= s.total
	}
}

// bySharedRefusals models routers that exchange the digests of refused requests, which all of them
// have received after exchangeDelay. The exchange is lossless; with a compact sketch, such as a
// Bloom filter, some first attempts would be classified as retries.
func bySharedRefusals() retryClassifier {
	const exchangeDelay = 40 * time.Millisecond
	refused := map[uint64]time.Duration{}
	return func(_ *router, c *caller) bool {
		now := c.sim.events.now
		at, known := refused[c.content]
		if !known {
			refused[c.content] = now // served requests are never retried
		}
		return known && now-at >= exchangeDelay
	}
}

// neverRetry classifies every request as a first attempt.
func neverRetry(*router, *caller) bool { return false }

// exactRetry classifies every request correctly.
func exactRetry(_ *router, c *caller) bool { return c.refusals > 0 }
