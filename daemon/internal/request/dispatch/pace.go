package dispatch

import (
	"sync"
	"time"
)

const (
	// firstOccupied is how long a request occupies a place of an engine before
	// any was seen to end.
	firstOccupied = 1500 * time.Millisecond
	// paceWeight is what one more request counts in the mean.
	paceWeight = 0.02
)

// Pace keeps how long requests occupy a place of each service's upstreams, from
// the first byte of the answer to its end. The zero value is ready to use.
type Pace struct {
	mu       sync.Mutex
	occupied map[string]time.Duration
}

// Ended counts a request that was served.
func (p *Pace) Ended(service string, occupied time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.occupied == nil {
		p.occupied = map[string]time.Duration{}
	}
	mean, ok := p.occupied[service]
	if !ok {
		mean = firstOccupied
	}
	p.occupied[service] = mean + time.Duration(paceWeight*float64(occupied-mean))
}

// Occupied returns how long requests to a service occupy a place, lately.
func (p *Pace) Occupied(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mean, ok := p.occupied[service]; ok {
		return mean
	}
	return firstOccupied
}
