package router

import (
	"net/http"

	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/peering"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/server"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/holding"
)

// This file puts together what callers, the balancer, other daemons and operators reach.

func (p *Process) listen() error {
	listens := []struct {
		server  **server.Server
		options server.Options
	}{
		{&p.callers, server.Options{
			Name: "callers", Address: p.current.Load().Listen.Callers, Handler: p.dispatcher(), MaxHeaderBytes: maxHeaderBytes,
		}},
		{&p.ready, server.Options{Name: "readiness", Address: p.current.Load().Listen.Ready, Handler: p.readyPages()}},
		{&p.peers, server.Options{Name: "peers", Address: p.current.Load().Listen.Peers, Handler: p.peerPages()}},
		{&p.metrics, server.Options{Name: "metrics", Address: p.current.Load().Listen.Metrics, Handler: p.metricsPages()}},
	}
	for _, l := range listens {
		s, err := server.Listen(l.options)
		if err != nil {
			return err
		}
		*l.server = s
	}
	return nil
}

func (p *Process) dispatcher() *dispatch.Dispatcher {
	bounds := p.current.Load().Bounds
	connect := dial.Within(upstreamConnect, p.options.Dial)
	p.toUpstreams = dial.NewHostTransport(connect, upstreamIdle)
	p.budget = &dispatch.Budget{
		Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow.Std(),
		Processes: func() int { return max(len(p.compiler.View().Members), len(p.current.Load().Seeds)) },
	}
	return &dispatch.Dispatcher{
		Headers: p.provider.Headers,
		Client: &exchange.Client{
			Headers:  p.provider.Headers,
			Pooled:   p.toUpstreams,
			Unpooled: dial.NewHostTransport(connect, 0),
		},
		Pool: p.pool, Budget: p.budget, Pace: &dispatch.Pace{}, Callers: &admission.RetryDetector{}, View: p.compiler.View, Stale: p.silent,
		Holding: holding.Budget{MaxBytes: p.holdMost()},
		Region:  func(hall string) string { return p.current.Load().RegionOf(hall) },
		Demand:  p.demand, Report: p.recorder.request, AskPlace: p.askPlace, Broke: p.broke,
		Heard: p.heard, Allow: p.allow,
		Admit: p.admitContent, Judge: p.suspects.judge, Whole: p.answeredWhole, Over: p.over,
	}
}

// holdMost is how many bytes may be held for slow callers: a part of the process's memory, and
// no bound where that is not known.
func (p *Process) holdMost() int64 {
	const parts, megabyte = 4, 1 << 20
	return int64(p.current.Load().Bounds.MemoryMB) * megabyte / parts
}

// demand says on which versions of a model requests may run.
func (p *Process) demand(declared *mirror.Declared) mirror.Demand {
	return declared.Demand(clock.Now(), p.current.Load().Bounds.VersionApply.Std())
}

// readyPages answers the balancer: ready while a configuration is known and no
// stop has begun. The store's silence is no reason to leave, because then all
// routers would.
func (p *Process) readyPages() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if p.draining.Load() || p.compiler.View().Configuration == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func (p *Process) peerPages() http.Handler {
	pages := bunrouter.New()
	copies := &peering.Source{Table: p.table, Standing: p.follower.Standing}
	pages.Compat().GET(peering.Path, copies.ServeHTTP)
	pages.Compat().GET(peering.EnginePath, peering.EngineHandler(p.compiler.View))
	p.suspectPages(pages)
	p.limitPages(pages)
	return pages
}

func (p *Process) metricsPages() http.Handler {
	mux := http.NewServeMux()
	p.telemetry.Pages(mux)
	return mux
}
