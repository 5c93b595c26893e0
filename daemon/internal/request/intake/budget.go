package intake

import (
	"sync"

	"github.com/wheelcleat/wheelcleat/api"
)

const (
	// defaultRetryShare is the default share of requests that may be retried.
	defaultRetryShare = 0.2
	// initialRetries is the number of retries that a service starts with.
	initialRetries = 10.0
	// maxTokens bounds the retries that accumulate while few are used.
	maxTokens = 100.0
)

// Budgets holds one retry budget per service. The zero value is ready to use.
type Budgets struct {
	mu      sync.Mutex
	budgets map[string]*Budget
}

// For returns a service's budget.
func (b *Budgets) For(service *api.Resource) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budgets == nil {
		b.budgets = map[string]*Budget{}
	}
	budget := b.budgets[service.Name]
	if budget == nil {
		budget = &Budget{tokens: initialRetries}
		b.budgets[service.Name] = budget
	}
	budget.setShare(service.Service.Limits.RetryShare)
	return budget
}

// Budget is a token bucket of retries: each request adds a share of a token, and each retry
// takes one.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

func (b *Budget) setShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	if share == 0 {
		b.share = defaultRetryShare
	}
}

// CountRequest counts a request.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, maxTokens)
}

// AllowRetry takes a token and reports whether there was one.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
