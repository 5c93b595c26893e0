package router

import "github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"

// announced applies what an answer states about its upstream, before the answer is forwarded.
func (p *Process) announced(report dispatch.AnnouncementReport) {
	p.recorder.announced(report)
	p.limitReported(report)
	if report.Leaving && p.pool.MarkLeaving(report.Upstream) {
		p.recorder.upstreamLeaving(report)
	}
	if report.Accepted && p.pool.EndPause(report.Upstream, report.Sent) {
		p.recorder.pauseEnded(report)
	}
	if until, ok := p.pool.Pause(report.Upstream, report.RetryAfter); ok {
		p.recorder.upstreamPaused(report, until)
	}
}
