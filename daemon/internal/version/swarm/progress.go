package swarm

import (
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/version/rollout"
)

// This file suspends a fetch and reports its progress, for the choice between versions.

// Progress is the state of a running fetch.
type Progress struct {
	// Missing is the number of chunks that this host lacks, and Offered the number of those that
	// responsive neighbours have.
	Missing, Offered int
	// Quiet is the time since this host last received a chunk, or saw one that no host had before.
	Quiet time.Duration
	// OriginFails is set while the origin fails the requests of this host, or may not be used.
	OriginFails bool
}

// Progress returns the state of the fetch. It may be called at any time.
func (f *Fetch) Progress() Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var holders []*neighbour
	for _, n := range f.neighbours {
		if n.offers(now) {
			holders = append(holders, n)
		}
	}
	var p Progress
	for index, present := range f.Copy.Present() {
		if present {
			continue
		}
		p.Missing++
		if slices.ContainsFunc(holders, func(n *neighbour) bool { return n.have.Has(index) }) {
			p.Offered++
		}
	}
	if f.neighbours != nil { // Run has started the timeline
		p.Quiet, p.OriginFails = f.timeline.Quiet(now), f.timeline.OriginFails()
	}
	return p
}

// updateSources returns the sources from which chunks may be requested now, and keeps the time without
// them from counting as overdue: otherwise all hosts would take over chunks from each other when the
// sources are available again. The caller holds mu.
func (f *Fetch) updateSources(now time.Time) rollout.Sources {
	if f.Sources == nil {
		return rollout.All
	}
	sources := f.Sources()
	switch {
	case sources == rollout.None && f.suspendedAt.IsZero():
		f.suspendedAt = now
	case sources != rollout.None && !f.suspendedAt.IsZero():
		f.timeline.Resume(now.Sub(f.suspendedAt), now)
		f.suspendedAt = time.Time{}
		f.updateSeen(now)
	}
	if !sources.Has(rollout.Origin) {
		f.timeline.OriginWithheld(now)
	}
	return sources
}
