package replica

import (
	"sync"
	"time"
)

// maxBlock is the longest time for which a follower leaves a failing store to the prober.
// It then calls the store itself, because only the prober's own calls may be failing.
const maxBlock = 2500 * time.Millisecond

// CircuitBreaker is shared by the followers of one process: while one follower probes a
// store that failed, the others wait for it instead of calling the store too. The zero value
// is ready to use, and a nil CircuitBreaker never blocks.
type CircuitBreaker struct {
	mu sync.Mutex
	// prober is the follower whose call failed first, nil while the store answers.
	prober *Follower
	// recovered is closed once the store has answered any follower; nil while there is
	// no prober.
	recovered chan struct{}
}

// recordFailure records a failed call of a follower.
func (b *CircuitBreaker) recordFailure(f *Follower) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.prober == nil {
		b.prober, b.recovered = f, make(chan struct{})
	}
}

// recordSuccess records an answer of the store.
func (b *CircuitBreaker) recordSuccess() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.prober != nil {
		b.prober = nil
		close(b.recovered)
	}
}

// blocked returns a channel that is closed once the store has answered, or nil if no
// other follower probes the store.
func (b *CircuitBreaker) blocked(f *Follower) <-chan struct{} {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.prober == nil || b.prober == f {
		return nil
	}
	return b.recovered
}

// wait blocks while another follower probes the store, for maxBlock at most.
func (b *CircuitBreaker) wait(f *Follower) {
	recovered := b.blocked(f)
	if recovered == nil {
		return
	}
	timer := time.NewTimer(maxBlock)
	defer timer.Stop()
	select {
	case <-recovered:
	case <-timer.C:
	case <-f.tomb.Dying():
	}
}
