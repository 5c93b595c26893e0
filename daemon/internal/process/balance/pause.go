package balance

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file keeps the pauses that upstreams ask for when they refuse a request (Retry-After). A
// pause holds for the requests of this process alone: an upstream may be full for one caller and
// have room for another. When it is over, a single request finds out whether the upstream accepts
// requests again, since an idle upstream has the best score and would get a burst.

const (
	// pauseSpread and maxPauseSpread bound the random extension of a pause, as a share of it and
	// as a time. They keep the routers that were refused together from returning together.
	pauseSpread    = 0.25
	maxPauseSpread = 500 * time.Millisecond
	// probeTimeout is how long the request that ends a pause may go without a response before
	// another one may be sent.
	probeTimeout = 2 * time.Second
)

// pause is the pause of one upstream. The zero value is none.
type pause struct {
	// active is set from the refusal until a request that was sent after the end is accepted.
	active bool
	until  time.Time
	// probeSentAt is when the request was sent that finds out whether the upstream accepts
	// requests again, zero if there is none.
	probeSentAt time.Time
}

// blocks reports whether the upstream must get no request now.
func (p *pause) blocks(now time.Time) bool {
	return p.active && (now.Before(p.until) || now.Before(p.probeSentAt.Add(probeTimeout)))
}

// Pause withholds requests from an upstream that asked for it in a response that has just arrived,
// and returns until when. It returns false if an earlier pause lasts longer, because responses may
// arrive out of order.
func (p *Pool) Pause(upstream *provider.Upstream, wait time.Duration) (until time.Time, ok bool) {
	if wait <= 0 {
		return time.Time{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := p.currentRun(upstream, now)
	if s == nil || !now.Add(wait).After(s.pause.until) {
		return time.Time{}, false
	}
	spread := min(time.Duration(pauseSpread*float64(wait)), maxPauseSpread)
	until = now.Add(wait + time.Duration(p.random()*float64(spread)))
	s.pause = pause{active: true, until: until}
	return until, true
}

// EndPause records that an upstream accepted a request that was sent at the given time, and
// reports whether that ended a pause.
func (p *Pool) EndPause(upstream *provider.Upstream, sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[upstream.ID]
	if s == nil || !s.pause.active || sent.Before(s.pause.until) {
		return false
	}
	s.pause = pause{}
	return true
}

// PausedFor returns the time until the first of the upstreams that are not leaving ends its pause,
// or false if one of them has none.
func (p *Pool) PausedFor(upstreams []*provider.Upstream) (shortest time.Duration, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, candidate := range upstreams {
		s := p.states[candidate.ID]
		if candidate.Leaving || s != nil && s.leaving {
			continue
		}
		if s == nil || !s.pause.blocks(now) {
			return 0, false
		}
		remaining := max(s.pause.until.Sub(now), 0)
		if !all || remaining < shortest {
			shortest, all = remaining, true
		}
	}
	return shortest, all
}
