package replica

import (
	"sync"
	"time"
)

// maxBlock is the longest time for which a follower leaves a failing store to the prober.
// It then calls the store itself, because only the prober's own calls may be failing.
const maxBlock = 2500 * time.Millisecond

// Outage is a circuit breaker that the followers of one process share: while one follower
// probes a store that failed, the others wait for it instead of calling the store too. The
// zero value is ready to use, and a nil Outage never blocks.
type Outage struct {
	mu sync.Mutex
	// prober is the follower whose call failed first, nil while the store answers.
	prober *Follower
	// recovered is closed once the store has answered any follower; nil while there is
	// no prober.
	recovered chan struct{}
}

// recordFailure records a failed call of a follower.
func (o *Outage) recordFailure(f *Follower) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == nil {
		o.prober, o.recovered = f, make(chan struct{})
	}
}

// recordSuccess records an answer of the store.
func (o *Outage) recordSuccess() {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober != nil {
		o.prober = nil
		close(o.recovered)
	}
}

// blocked returns a channel that is closed once the store has answered, or nil if no
// other follower probes the store.
func (o *Outage) blocked(f *Follower) <-chan struct{} {
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == nil || o.prober == f {
		return nil
	}
	return o.recovered
}

// wait blocks while another follower probes the store, for maxBlock at most.
func (o *Outage) wait(f *Follower) {
	recovered := o.blocked(f)
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
