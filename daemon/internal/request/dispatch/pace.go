package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// initialHoldTime is how long a request is assumed to hold a place before any request
	// has ended.
	initialHoldTime = 1500 * time.Millisecond
	// holdTimeWeight is the weight of one request in the moving average.
	holdTimeWeight = 0.02
	// fullTimeConstant is the time constant of the moving average over full services.
	fullTimeConstant = 2500 * time.Millisecond
)

// Pace tracks the load of each service as this process sees it. The zero value is ready to
// use.
type Pace struct {
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*serviceLoad
}

// serviceLoad is the load of one service; Pace.mu guards it.
type serviceLoad struct {
	// holdTime is how long requests hold a place on average.
	holdTime time.Duration
	// fullShare is the share of time in which no upstream had a free place, as of observed.
	fullShare float64
	observed  time.Time
}

func (p *Pace) now() time.Time { return helpers.Now(p.Now) }

// service returns a service's state; the caller holds mu.
func (p *Pace) service(name string) *serviceLoad {
	if p.services == nil {
		p.services = map[string]*serviceLoad{}
	}
	s := p.services[name]
	if s == nil {
		s = &serviceLoad{holdTime: initialHoldTime, observed: p.now()}
		p.services[name] = s
	}
	return s
}

// Ended records a served request and how long it held its place: from the first byte of its
// response to the last.
func (p *Pace) Ended(service string, holdTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	s.holdTime += time.Duration(holdTimeWeight * float64(holdTime-s.holdTime))
}

// Occupied returns how long requests to a service recently held a place on average.
func (p *Pace) Occupied(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).holdTime
}

// Share returns the share of recent time in which a service had no free place.
func (p *Pace) Share(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).fullShare
}

// Full records whether a service has no free place now, and returns the share of recent time
// in which it had none.
func (p *Pace) Full(service string, full bool) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	now := p.now()
	weight := 1 - math.Exp(-float64(now.Sub(s.observed))/float64(fullTimeConstant))
	s.observed = now
	current := 0.0
	if full {
		current = 1
	}
	s.fullShare += weight * (current - s.fullShare)
	return s.fullShare
}
