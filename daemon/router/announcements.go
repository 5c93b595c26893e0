package router

import "github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"

// announced applies what an answer states about its upstream.
func (p *Process) announced(report dispatch.AnnouncementReport) {
	p.recorder.announced(report)
	p.limitReported(report)
}
