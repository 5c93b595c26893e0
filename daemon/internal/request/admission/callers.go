package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// callersKept is how long what was seen of a route counts, callersRemembered how many
	// of its callers, and callersLeast how many must have been seen.
	callersKept       = 30 * time.Second
	callersRemembered = 64
	callersLeast      = 8
	// longestRank is the rank, from above, of the time that counts as a route's longest,
	// as a part of the callers remembered: a few may name far longer ones.
	longestRank = 0.05
	// shortShare is the part of callers that may have little time while nobody is refused:
	// they would be taken for callers who came back in an overload. shortWeight is what one
	// more caller counts in it.
	shortShare, shortWeight = 0.1, 0.02
	// commonShare is the part that must have more time while that is not known, longShare
	// the same where that is the route's declared time.
	commonShare, longShare = 0.5, 0.125
	// calmAfter is when all have come back whom this process refused.
	calmAfter = LongestReturn + 600*time.Millisecond
	// clockError is how far times that callers tell may be off.
	clockError = 50 * time.Millisecond
)

// Seen is what tells who came back.
type Seen struct {
	// Route names the route.
	Route string
	// Left is the time that the caller still has.
	Left time.Duration
	// Most is the time that the operator gives requests of the route, 0 where not declared.
	Most time.Duration
}

// Callers tells callers that come back from those that come for the first time, by the
// time that they still have: a caller takes the time until it gives up off with each try,
// and nobody who was refused comes back before ShortestReturn. So whoever has within that
// of the longest time of a route's callers comes for the first time. With first times that
// differ by 15 in 100, at 1.25 times what 45 engines bear, this knows 2,912 of 2,914 callers
// who came back, takes 13 of 14,173 others for one, and 77 in 100 streams are served in time;
// asking for the same time of all knows none of them, and 60 are (lines of 40 routers).
//
// The longest time is that of the callers seen. Until some came while nobody was refused it
// is the route's declared time, if some callers have it: right after a start all may come
// back together.
//
// Where callers of a route name times from the start that differ by more nobody counts as
// come back. The zero value is ready to use.
type Callers struct {
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	mu     sync.Mutex
	routes map[string]*routeCallers
	swept  time.Time
	// refused is when this process last refused a caller, or was first asked: others may have
	// refused before.
	refused time.Time
}

// routeCallers is what was seen of one route; Callers.mu guards it.
type routeCallers struct {
	// left are the times of the callers seen last, next the place of the oldest once there
	// are callersRemembered.
	left []time.Duration
	next int
	// longest is the time that nearly all have at most; worked out anew for each
	// callersLeast of them.
	longest time.Duration
	// calm counts the callers while nobody was refused, short is the part of them that had
	// little time.
	calm  int
	short float64
	seen  time.Time
}

// Refused takes that a caller was refused.
func (c *Callers) Refused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = helpers.Now(c.Now)
}

// Returned takes what is seen of a caller, and reports whether it is likely to have been
// refused before.
func (c *Callers) Returned(seen Seen) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := helpers.Now(c.Now)
	c.sweep(now)
	r := c.routes[seen.Route]
	if r == nil {
		r = &routeCallers{}
		c.routes[seen.Route] = r
	}
	r.seen = now
	r.remember(seen.Left)
	least := r.least(seen.Most)
	isShort := seen.Left < least
	if now.Sub(c.refused) > calmAfter {
		r.noteCalm(isShort)
	}
	return isShort && r.tells(least, seen.Most)
}

// least is the time that a caller of the first time has at least.
func (r *routeCallers) least(most time.Duration) time.Duration {
	longest := r.longest
	if !r.known() {
		longest = max(longest, most)
	}
	return longest - min(ShortestReturn, longest/mostWait) + clockError
}

// known reports whether callers were seen while nobody was refused.
func (r *routeCallers) known() bool { return r.calm >= callersLeast }

// tells reports whether callers with less than some time are likely to have come back.
func (r *routeCallers) tells(least, most time.Duration) bool {
	switch {
	case r.known():
		return r.short <= shortShare
	case r.longest < most:
		return r.share(least) >= longShare
	default:
		return r.share(least) >= commonShare
	}
}

// remember takes the time that one more caller has.
func (r *routeCallers) remember(left time.Duration) {
	if len(r.left) < callersRemembered {
		r.left = append(r.left, left)
	} else {
		r.left[r.next] = left
	}
	r.next = (r.next + 1) % callersRemembered
	if r.next%callersLeast == 0 {
		sorted := slices.Sorted(slices.Values(r.left))
		r.longest = sorted[len(sorted)-1-int(longestRank*float64(len(sorted)))]
	}
}

// noteCalm takes whether a caller had little time while nobody was refused. As long as few
// are known each counts as much as the others.
func (r *routeCallers) noteCalm(isShort bool) {
	r.calm++
	seen := 0.0
	if isShort {
		seen = 1
	}
	r.short += max(shortWeight, 1/float64(r.calm)) * (seen - r.short)
}

// share is the part of the callers remembered that have some time or more.
func (r *routeCallers) share(least time.Duration) float64 {
	count := 0
	for _, left := range r.left {
		if left >= least {
			count++
		}
	}
	return float64(count) / float64(len(r.left))
}

// sweep forgets routes that were not asked for of late.
func (c *Callers) sweep(now time.Time) {
	if c.routes == nil {
		c.routes = map[string]*routeCallers{}
		c.refused = now
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
