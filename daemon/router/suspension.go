package router

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
)

// minSuspension is the shortest suspension of the host that is acted on. Shorter ones are within
// the time for which connections are idle anyway.
const minSuspension = 200 * time.Millisecond

// checkSuspension detects whether the host was suspended since the last check, and then closes
// idle connections to upstreams. Ages and leases include the suspension in their clock, but the
// idle timers of connections do not, so upstreams may have closed these connections long ago. A
// request sent over one would be lost.
func (p *Process) checkSuspension() {
	suspended := clock.Suspended()
	before := time.Duration(p.suspended.Swap(int64(suspended)))
	if suspended-before < minSuspension {
		return
	}
	p.recorder.suspended(suspended - before)
	p.upstreamTransport.CloseIdleConnections()
}
