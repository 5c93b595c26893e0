package admission

import (
	"math"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// rankDecayTime is the time constant of the exponential decay of RankShares. It is about the
	// time after which refused callers return.
	rankDecayTime = 2 * time.Second
	// maxRanks bounds the ranks of a service that are told apart; the last one includes all less
	// urgent ones.
	maxRanks = 8
)

// RankShares orders the returns of refused callers by rank. It counts the refusals of each service
// and rank in the last seconds and divides the range of returns among the ranks by these counts, so
// that a more urgent rank returns earlier and the rate of all returns does not depend on the mix of
// ranks. Fixed parts would crowd the requests of a service whose accounts nearly all have
// one priority into one part of the range. The zero value is ready to use.
type RankShares struct {
	// Now overrides the clock in tests; nil means clock.Now.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*rankCounts
}

// rankCounts holds the decayed number of refusals by rank, as of decayedAt.
type rankCounts struct {
	refusals  [maxRanks]float64
	decayedAt time.Time
}

// Variate records the refusal of a request and maps a uniform variate in [0, 1) to the part of its
// rank, 0 for the most urgent of a number of ranks. With one rank it returns the variate itself.
func (s *RankShares) Variate(service string, rank, ranks int, variate float64) float64 {
	if ranks < 2 { //nolint:mnd // a single rank needs no order
		return variate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.service(service)
	rank = min(max(rank, 0), maxRanks-1)
	counts.refusals[rank]++
	before, total := 0.0, 0.0
	for other, count := range counts.refusals {
		if other < rank {
			before += count
		}
		total += count
	}
	// Rounding must not yield 1, which is outside the range of a variate.
	return min((before+variate*counts.refusals[rank])/total, math.Nextafter(1, 0))
}

// service returns the decayed counts of a service. The caller holds mu.
func (s *RankShares) service(name string) *rankCounts {
	if s.services == nil {
		s.services = map[string]*rankCounts{}
	}
	now := helpers.Now(s.Now)
	counts := s.services[name]
	if counts == nil {
		counts = &rankCounts{decayedAt: now}
		s.services[name] = counts
	}
	factor := math.Exp(-float64(now.Sub(counts.decayedAt)) / float64(rankDecayTime))
	for rank := range counts.refusals {
		counts.refusals[rank] *= factor
	}
	counts.decayedAt = now
	return counts
}
