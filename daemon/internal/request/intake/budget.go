package intake

import (
	"sync"

	"github.com/wheelcleat/wheelcleat/api"
)

const (
	// defaultRetryShare is the share of requests that may be tried again.
	defaultRetryShare = 0.2
	// freeRetries is what a service may retry before it has any history.
	freeRetries = 10.0
	// maxSaved bounds the retries that a quiet time saves up.
	maxSaved = 100.0
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
		budget = &Budget{saved: freeRetries}
		b.budgets[service.Name] = budget
	}
	budget.setShare(service.Service.Limits.RetryShare)
	return budget
}

// Budget allows retries as a share of requests: each request saves up a part
// of a retry, each retry spends a whole one.
type Budget struct {
	mu    sync.Mutex
	share float64
	saved float64
}

func (b *Budget) setShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	if share == 0 {
		b.share = defaultRetryShare
	}
}

// Request counts a request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.share, maxSaved)
}

// Retry spends a retry and reports whether there was one.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
