package router

import (
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/peering"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/server"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/buffer"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
)

// listen opens the listeners for callers, the load balancer, other daemons and operators.
func (p *Process) listen() error {
	addresses, bounds := p.current.Load().Listen, p.current.Load().Bounds
	limits := server.Limits{Descriptors: bounds.MaxDescriptors, MemoryMB: bounds.MemoryMB, OnClose: p.telemetry.ConnectionClosed}
	listeners := []struct {
		server  **server.Server
		share   float64
		options server.Options
	}{
		{&p.callers, server.MainShare, server.Options{Name: "callers", Address: addresses.Callers, Handler: p.dispatcher()}},
		{&p.ready, server.ControlShare, server.Options{Name: "readiness", Address: addresses.Ready, Handler: p.readinessHandler()}},
		{&p.peers, server.PeerShare, server.Options{Name: "peers", Address: addresses.Peers, Handler: p.peerHandler()}},
		{&p.metrics, server.ControlShare, server.Options{Name: "metrics", Address: addresses.Metrics, Handler: p.metricsHandler()}},
	}
	for _, l := range listeners {
		s, err := limits.Listen(l.share, l.options)
		if err != nil {
			return err
		}
		*l.server = s
	}
	return nil
}

// dispatcher connects request handling to the replica, the pool of upstreams, the rate limits and
// the quarantine.
func (p *Process) dispatcher() *dispatch.Dispatcher {
	bounds := p.current.Load().Bounds
	connect := dial.WithTimeout(upstreamConnectTimeout, p.options.Dial)
	p.upstreamTransport = dial.NewHostTransport(connect, upstreamIdleTimeout)
	p.retryBudget = &dispatch.RetryBudget{
		Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow.Std(),
		Processes: func() int { return max(len(p.compiler.View().Members), len(p.current.Load().Seeds)) },
	}
	return &dispatch.Dispatcher{
		Headers: p.provider.Headers,
		Client: &exchange.Client{
			Headers:  p.provider.Headers,
			Pooled:   p.upstreamTransport,
			Unpooled: dial.NewHostTransport(connect, 0),
		},
		Pool: p.pool, RetryBudget: p.retryBudget, LoadTracker: &dispatch.LoadTracker{}, RetryDetector: &admission.RetryDetector{}, View: p.compiler.View, Stale: p.isStale,
		BufferBudget:  buffer.Budget{MaxBytes: p.maxBufferedBytes()},
		Region:        func(hall string) string { return p.current.Load().RegionOf(hall) },
		VersionPolicy: p.versionPolicy, VersionCutoff: p.versionCutoff, Report: p.recorder.request, RequestPlace: p.requestPlace, PromptParts: p.provider.PromptParts, OnDisconnect: p.connectionBroke,
		ProbeUpstream:  p.probeUpstream,
		OnAnnouncement: p.announced, AllowSend: p.allowSend,
		AdmitContent: p.admitContent, CheckContent: p.suspects.verdict, OnServed: p.contentCompleted, AbandonTrials: p.suspects.abandonTrials, Drain: &p.drain,
	}
}

// maxBufferedBytes returns how many bytes of answers may be buffered for slow callers: a quarter
// of the memory limit, or 0 for no bound if that is not set.
func (p *Process) maxBufferedBytes() int64 {
	const divisor, megabyte = 4, 1 << 20
	return int64(p.current.Load().Bounds.MemoryMB) * megabyte / divisor
}

// versionPolicy returns the versions of a model on which requests may run that arrive after a delay.
func (p *Process) versionPolicy(declared *replica.Declaration, delay time.Duration) replica.VersionPolicy {
	return declared.VersionPolicy(clock.Now().Add(delay), p.current.Load().Bounds.VersionApply.Std())
}

// versionCutoff returns when a declared version becomes the lowest that may serve.
func (p *Process) versionCutoff(declared *replica.Declaration) time.Time {
	return declared.Cutoff(p.current.Load().Bounds.VersionApply.Std())
}

// readinessHandler reports ready while a configuration is loaded and the router is not draining.
// An unreachable store does not make a router unready, since it would make all of them unready at
// once.
func (p *Process) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if p.draining.Load() || p.compiler.View().Configuration == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// peerHandler serves other daemons: the replica, the configuration of engines, crash reports and
// rate limits.
func (p *Process) peerHandler() http.Handler {
	routes := bunrouter.New()
	source := &peering.Source{Table: p.table, Status: p.follower.Status, Declared: p.compiler.Declared}
	routes.Compat().GET(peering.Path, source.ServeHTTP)
	routes.Compat().GET(peering.EnginePath, peering.EngineHandler(p.compiler.View))
	p.addSuspectRoutes(routes)
	p.addLimitRoutes(routes)
	return routes
}

func (p *Process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	p.telemetry.RegisterPages(mux)
	return mux
}
