package source

import (
	"sync"
	"time"
)

// Limits of the time without a byte after which a transfer counts as stalled.
const (
	defaultStallAfter = 2 * time.Second
	maxStallAfter     = time.Minute
	// gapFactor times a peer's usual longest gap between two reads is allowed.
	gapFactor = 4
	// gapFade is the share of a remembered gap that stays after a read.
	gapFade = 0.99
)

// gaps remembers, for each peer, about the longest time between two reads of
// its transfers, and so what a stall is for that peer. A fixed time takes a slow
// link that many share for a dead one: at 48 transfers over an origin of 280
// KB/s, pieces of each came 2.7 s apart, and with a fixed 2 s all of them were
// given up and begun again. The zero value is ready to use.
type gaps struct {
	mu    sync.Mutex
	usual map[string]time.Duration
}

// allowed returns the time without a byte that a peer's transfer may take.
func (g *gaps) allowed(peer string, least time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(max(gapFactor*g.usual[peer], least), maxStallAfter)
}

// saw notes the time between two reads.
func (g *gaps) saw(peer string, gap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.usual == nil {
		g.usual = map[string]time.Duration{}
	}
	faded := time.Duration(float64(g.usual[peer]) * gapFade)
	g.usual[peer] = max(gap, faded)
}

// stalled notes that a transfer was given up, which doubles what the next one
// is allowed: should the link be slow and not dead, it gets through in the end.
func (g *gaps) stalled(peer string, allowed time.Duration) {
	g.saw(peer, 2*allowed/gapFactor)
}
