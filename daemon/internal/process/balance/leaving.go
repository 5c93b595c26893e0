package balance

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// withdrawalRetention is how long it is kept that an upstream is leaving or asked for a pause while
// its service gets no requests. It exceeds the time for which a leaving upstream serves on, an
// outage of the store, and the longest pause.
const withdrawalRetention = 15 * time.Minute

// MarkLeaving records that an upstream stated that it is leaving, and reports whether that was
// unknown. The upstream gets no requests until it restarts, whatever an older record of the store
// says.
func (p *Pool) MarkLeaving(upstream *provider.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.currentRun(upstream, p.now())
	if s == nil || s.leaving {
		return false
	}
	s.leaving = true
	return true
}

// currentRun returns the state of an upstream, or nil if the upstream has restarted since the
// given record was read. The caller holds mu.
func (p *Pool) currentRun(upstream *provider.Upstream, now time.Time) *state {
	s := p.state(upstream.ID, now)
	s.resetIfRestarted(upstream.Started, now)
	if !upstream.Started.IsZero() && upstream.Started.Before(s.started) {
		return nil
	}
	return s
}

// Withdrawn reports whether an upstream must get no new request, although it was eligible when it
// was chosen.
func (p *Pool) Withdrawn(upstream *provider.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[upstream.ID]
	return s != nil && (s.leaving || s.pause.active && p.now().Before(s.pause.until))
}

// reportedLeaving reports whether the upstream's host reported recently that the upstream is
// leaving.
func (s *state) reportedLeaving(now time.Time) bool {
	return s.report.Leaving && s.reportedRecently(now)
}

// retention returns how long the state of an upstream without requests is kept.
func (s *state) retention() time.Duration {
	if s.leaving || s.pause.active {
		return withdrawalRetention
	}
	return stateRetention
}
