package router

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
)

// suspensionLeast is the shortest suspension of the host that is acted on: connections rest
// longer than that anyway.
const suspensionLeast = 200 * time.Millisecond

// noteSuspension looks whether the host was suspended since the last look. Ages and leases
// count that time by their clock. The timers of connections at rest do not, so that
// upstreams may have closed them long ago: a request that goes over one is lost.
func (p *Process) noteSuspension() {
	suspended := clock.Suspended()
	before := time.Duration(p.suspended.Swap(int64(suspended)))
	if suspended-before < suspensionLeast {
		return
	}
	p.recorder.suspended(suspended - before)
	p.toUpstreams.CloseIdleConnections()
}
