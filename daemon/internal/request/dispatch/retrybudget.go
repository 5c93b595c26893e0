package dispatch

import (
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// budgetBuckets is the number of buckets that the window is divided into.
	budgetBuckets = 10
	// budgetMargin is the fraction of the limit that is used, because the windows of the
	// processes are not aligned and the count of processes lags.
	budgetMargin = 0.7
)

// RetryBudget limits retries to a share of each service's requests plus a fixed number, over a
// sliding window and all processes together. This process counts its own requests and gets
// an equal part of the fixed number. The zero value allows none.
type RetryBudget struct {
	// Ratio, Slack and Window are the bounds for all processes together.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Processes returns how many processes share the budget.
	Processes func() int
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*usage
}

// usage counts one service's requests and retries in buckets of the window.
type usage struct {
	requests, retries [budgetBuckets]int
	bucket            int64
}

// SetBounds replaces Ratio, Slack and Window.
func (b *RetryBudget) SetBounds(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack, b.Window = ratio, slack, window
}

// CountRequest counts a request.
func (b *RetryBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.current(service)
	u.requests[u.bucket%budgetBuckets]++
}

// Allow reports whether one more retry is allowed, and counts it if so.
func (b *RetryBudget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.current(service)
	if float64(sum(u.retries))+1 > b.limit(u) {
		return false
	}
	u.retries[u.bucket%budgetBuckets]++
	return true
}

// Remaining returns the remaining number of retries.
func (b *RetryBudget) Remaining(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.current(service)
	return b.limit(u) - float64(sum(u.retries))
}

func (b *RetryBudget) limit(u *usage) float64 {
	processes := 1
	if b.Processes != nil {
		processes = max(b.Processes(), 1)
	}
	return budgetMargin * (b.Ratio*float64(sum(u.requests)) + b.Slack/float64(processes))
}

// current returns a service's counts after clearing the buckets that have expired.
func (b *RetryBudget) current(service string) *usage {
	if b.services == nil {
		b.services = map[string]*usage{}
	}
	now := int64(0)
	if b.Window > 0 {
		now = helpers.Now(b.Now).UnixNano() / int64(b.Window/budgetBuckets)
	}
	u := b.services[service]
	if u == nil {
		u = &usage{bucket: now}
		b.services[service] = u
	}
	for cleared := 0; u.bucket < now && cleared < budgetBuckets; cleared++ {
		u.bucket++
		u.requests[u.bucket%budgetBuckets] = 0
		u.retries[u.bucket%budgetBuckets] = 0
	}
	u.bucket = max(u.bucket, now)
	return u
}

func sum(buckets [budgetBuckets]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}
