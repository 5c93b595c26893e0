package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/fairshare"
)

const (
	// initialHoldTime is how long a request is assumed to hold a place before any request
	// has ended.
	initialHoldTime = 1500 * time.Millisecond
	// holdTimeWeight is the weight of one request in the moving average.
	holdTimeWeight = 0.02
	// saturationTimeConstant is the time constant of the moving average of saturation.
	saturationTimeConstant = 2500 * time.Millisecond
)

// LoadTracker tracks the load of each service as this process sees it. The zero value is
// ready to use.
type LoadTracker struct {
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*serviceLoad
}

// serviceLoad is the load of one service; LoadTracker.mu guards it.
type serviceLoad struct {
	// holdTime is how long requests hold a place on average.
	holdTime time.Duration
	// saturation is the moving share of time in which no upstream had a free place, as of
	// observed.
	saturation float64
	observed   time.Time
	// ranks tracks which ranks had requests recently.
	ranks fairshare.RecentRanks
}

func (t *LoadTracker) now() time.Time { return helpers.Now(t.Now) }

// service returns a service's state; the caller holds mu.
func (t *LoadTracker) service(name string) *serviceLoad {
	if t.services == nil {
		t.services = map[string]*serviceLoad{}
	}
	s := t.services[name]
	if s == nil {
		s = &serviceLoad{holdTime: initialHoldTime, observed: t.now()}
		t.services[name] = s
	}
	return s
}

// RecordServed records a served request and how long it held its place: from the first byte
// of its response to the last.
func (t *LoadTracker) RecordServed(service string, holdTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(service)
	s.holdTime += time.Duration(holdTimeWeight * float64(holdTime-s.holdTime))
}

// HoldTime returns how long requests to a service recently held a place on average.
func (t *LoadTracker) HoldTime(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(service).holdTime
}

// RecentRank records a request of a rank, and returns the position of the rank among those that had
// requests recently and their number.
func (t *LoadTracker) RecentRank(service string, rank, ranks int) (position, present int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(service).ranks.Add(rank, ranks, t.now())
}

// Saturation returns the share of recent time in which no upstream of a service had a free place.
func (t *LoadTracker) Saturation(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(service).saturation
}

// RecordFull records whether a service has no free place now, and returns its saturation.
func (t *LoadTracker) RecordFull(service string, full bool) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(service)
	now := t.now()
	weight := 1 - math.Exp(-float64(now.Sub(s.observed))/float64(saturationTimeConstant))
	s.observed = now
	current := 0.0
	if full {
		current = 1
	}
	s.saturation += weight * (current - s.saturation)
	return s.saturation
}
