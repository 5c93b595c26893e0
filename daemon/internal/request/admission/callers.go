package admission

import (
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// sameTime is the part of the longest time of a route from which a caller has it whole.
	sameTime = 0.98
	// commonShare is the part of a route's callers that must have the longest time for a
	// shorter one to say that the caller came back.
	commonShare = 0.5
	// callersKept is how long what was seen of a route counts, and callersLeast how many
	// callers must have been seen.
	callersKept  = 30 * time.Second
	callersLeast = 8
)

// Callers tells callers that come back from those that come for the first time, by the
// time that they still have: a caller takes the time until it gives up off with each try.
// Where callers of a route name different times from the start nobody counts as come
// back. The zero value is ready to use.
type Callers struct {
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	mu     sync.Mutex
	routes map[string]*routeCallers
	swept  time.Time
}

// routeCallers is what was seen of one route; Callers.mu guards it.
type routeCallers struct {
	longest time.Duration
	// all counts the callers since the longest time was first seen, whole those who had it.
	all, whole int
	seen       time.Time
}

// Returned takes the time that a caller has left, and reports whether it is likely to have
// been refused before.
func (c *Callers) Returned(route string, left time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := helpers.Now(c.Now)
	c.sweep(now)
	r := c.routes[route]
	if r == nil || float64(left)*sameTime > float64(r.longest) {
		r = &routeCallers{longest: left}
		c.routes[route] = r
	}
	r.seen = now
	r.all++
	whole := float64(left) >= sameTime*float64(r.longest)
	if whole {
		r.whole++
	}
	return !whole && r.all >= callersLeast && float64(r.whole) >= commonShare*float64(r.all)
}

// sweep forgets routes that were not asked for of late.
func (c *Callers) sweep(now time.Time) {
	if c.routes == nil {
		c.routes = map[string]*routeCallers{}
	}
	if now.Sub(c.swept) < callersKept {
		return
	}
	c.swept = now
	for name, r := range c.routes {
		if now.Sub(r.seen) > callersKept {
			delete(c.routes, name)
		}
	}
}
