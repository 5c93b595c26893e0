package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// firstOccupied is how long a request occupies a place of an engine before
	// any was seen to end.
	firstOccupied = 1500 * time.Millisecond
	// paceWeight is what one more request counts in the mean.
	paceWeight = 0.02
	// fullMemory is the time in which what was seen of full services loses two
	// thirds of its weight.
	fullMemory = 2500 * time.Millisecond
)

// Pace keeps what this process sees of each service's load over time. The zero
// value is ready to use.
type Pace struct {
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*servicePace
}

// servicePace is one service's; Pace.mu guards it.
type servicePace struct {
	// occupied is how long requests occupy a place, on average.
	occupied time.Duration
	// full is the share of the time in which no upstream had a free place, as
	// seen at lastSeen.
	full     float64
	lastSeen time.Time
}

func (p *Pace) now() time.Time { return helpers.Now(p.Now) }

// service returns a service's state; the caller holds mu.
func (p *Pace) service(name string) *servicePace {
	if p.services == nil {
		p.services = map[string]*servicePace{}
	}
	s := p.services[name]
	if s == nil {
		s = &servicePace{occupied: firstOccupied, lastSeen: p.now()}
		p.services[name] = s
	}
	return s
}

// Ended counts a request that was served, by the time from the first byte of its
// answer to the last.
func (p *Pace) Ended(service string, occupied time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	s.occupied += time.Duration(paceWeight * float64(occupied-s.occupied))
}

// Occupied returns how long requests to a service occupy a place, lately.
func (p *Pace) Occupied(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).occupied
}

// Share returns the share of the time in which a service had no free place, lately.
func (p *Pace) Share(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).full
}

// Full takes whether a service has no free place now, and returns the share of
// the time in which it had none, lately.
func (p *Pace) Full(service string, full bool) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	now := p.now()
	weight := 1 - math.Exp(-float64(now.Sub(s.lastSeen))/float64(fullMemory))
	s.lastSeen = now
	seen := 0.0
	if full {
		seen = 1
	}
	s.full += weight * (seen - s.full)
	return s.full
}
