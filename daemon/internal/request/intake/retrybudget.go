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
	// maxSavedRetries bounds the unused retries that a service accumulates.
	maxSavedRetries = 100.0
)

// RetryBudgets holds one retry budget per service. The zero value is ready to use.
type RetryBudgets struct {
	mu      sync.Mutex
	budgets map[string]*RetryBudget
}

// For returns a service's budget.
func (b *RetryBudgets) For(service *api.Resource) *RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budgets == nil {
		b.budgets = map[string]*RetryBudget{}
	}
	budget := b.budgets[service.Name]
	if budget == nil {
		budget = &RetryBudget{tokens: initialRetries}
		b.budgets[service.Name] = budget
	}
	budget.setShare(service.Service.Limits.RetryShare)
	return budget
}

// RetryBudget is a token bucket of retries: each request adds a share of a token, and each retry
// takes one.
type RetryBudget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

func (b *RetryBudget) setShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	if share == 0 {
		b.share = defaultRetryShare
	}
}

// CountRequest counts a request.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, maxSavedRetries)
}

// AllowRetry takes a token and reports whether there was one.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
