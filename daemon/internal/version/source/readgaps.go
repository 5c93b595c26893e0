package source

import (
	"sync"
	"time"
)

// Parameters of the stall timeout.
const (
	defaultStallTimeout = 2 * time.Second
	maxStallTimeout     = time.Minute
	// gapFactor is the ratio of the timeout to a peer's recorded gap.
	gapFactor = 4
	// gapDecay is the factor applied to the recorded gap at each read.
	gapDecay = 0.99
)

// readGaps records a decaying maximum of the time between two reads for each
// peer and derives the peer's stall timeout from it. With a fixed timeout, all
// transfers over a slow shared link would look stalled and be restarted over and
// over. The zero value is ready to use.
type readGaps struct {
	mu     sync.Mutex
	maxGap map[string]time.Duration
}

// timeout returns the time without a byte after which a transfer from the peer
// counts as stalled.
func (g *readGaps) timeout(peer string, minimum time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(max(gapFactor*g.maxGap[peer], minimum), maxStallTimeout)
}

// record adds the time between two reads.
func (g *readGaps) record(peer string, gap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.maxGap == nil {
		g.maxGap = map[string]time.Duration{}
	}
	decayed := time.Duration(float64(g.maxGap[peer]) * gapDecay)
	g.maxGap[peer] = max(gap, decayed)
}

// recordStall doubles the timeout of the next transfer after an aborted one, so
// that a transfer over a link that is slow but alive succeeds eventually.
func (g *readGaps) recordStall(peer string, timeout time.Duration) {
	g.record(peer, 2*timeout/gapFactor)
}
