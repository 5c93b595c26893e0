package dispatch

import (
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// budgetParts is the number of parts that the window is counted in.
	budgetParts = 10
	// budgetMargin is the part of the allowance that is spent: the windows of
	// processes are not aligned, and the count of members lags.
	budgetMargin = 0.7
)

// Budget allows second sends as a share of each service's requests and a fixed
// number, over a sliding window and all processes together. This process spends
// from its own requests and its part of the fixed number. The zero value allows
// none.
type Budget struct {
	// Ratio, Slack and Window are the bounds that hold for all processes.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Processes returns how many share the budget.
	Processes func() int
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*usage
}

// usage counts one service's requests and second sends in parts of the window.
type usage struct {
	requests, repeats [budgetParts]int
	part              int64
}

// SetBounds takes changed bounds.
func (b *Budget) SetBounds(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Slack, b.Window = ratio, slack, window
}

// Request counts a request.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.current(service)
	u.requests[u.part%budgetParts]++
}

// Take allows one second send and counts it, or reports false.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.current(service)
	if float64(sum(u.repeats))+1 > b.allowed(u) {
		return false
	}
	u.repeats[u.part%budgetParts]++
	return true
}

// Left returns how many second sends are left, for logs and metrics.
func (b *Budget) Left(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.current(service)
	return b.allowed(u) - float64(sum(u.repeats))
}

func (b *Budget) allowed(u *usage) float64 {
	processes := 1
	if b.Processes != nil {
		processes = max(b.Processes(), 1)
	}
	return budgetMargin * (b.Ratio*float64(sum(u.requests)) + b.Slack/float64(processes))
}

// current returns a service's counts with the parts that have passed emptied.
func (b *Budget) current(service string) *usage {
	if b.services == nil {
		b.services = map[string]*usage{}
	}
	now := int64(0)
	if b.Window > 0 {
		now = helpers.Now(b.Now).UnixNano() / int64(b.Window/budgetParts)
	}
	u := b.services[service]
	if u == nil {
		u = &usage{part: now}
		b.services[service] = u
	}
	for passed := 0; u.part < now && passed < budgetParts; passed++ {
		u.part++
		u.requests[u.part%budgetParts] = 0
		u.repeats[u.part%budgetParts] = 0
	}
	u.part = max(u.part, now)
	return u
}

func sum(parts [budgetParts]int) int {
	total := 0
	for _, n := range parts {
		total += n
	}
	return total
}
