package router

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
)

// minSuspension is the shortest suspension of the host that is acted on. Shorter ones are within
// the time for which connections are idle anyway.
const minSuspension = 200 * time.Millisecond

// checkSuspension logs if the process did not run for a while. If the host was suspended since the last
// check, it closes idle connections to upstreams: ages and leases include the suspension in their clock, but
// the idle timers of connections do not, so upstreams may have closed these connections long ago. A request
// sent over one would be lost.
func (p *Process) checkSuspension() {
	p.telemetry.LogStop(clock.Stopped())
	suspended := clock.Suspended()
	before := time.Duration(p.suspended.Swap(int64(suspended)))
	if suspended-before < minSuspension {
		return
	}
	p.recorder.suspended(suspended - before)
	p.upstreamTransport.CloseIdleConnections()
}
