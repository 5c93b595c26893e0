package router

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/broadcast"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// limits holds the rate limits that upstreams announce, as far as this router has received them.
type limits struct {
	mu    sync.Mutex
	table ratelimit.Table
	// coldLimiter bounds what this router sends to cold upstreams whose loader does not count
	// requests.
	coldLimiter ratelimit.WarmupTable
}

// withTable calls fn with the table locked.
func (l *limits) withTable(fn func(table *ratelimit.Table, now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn(&l.table, clock.Now())
}

// instanceOf identifies one instance of an upstream: its ID, address and start time.
func instanceOf(u *provider.Upstream) ratelimit.Upstream {
	return ratelimit.Upstream{ID: u.ID, Address: u.Address, Started: u.Started}
}

// limitReported applies the limit that an answer carries, and notifies the other routers of a
// change.
func (p *Process) limitReported(report dispatch.AnnouncementReport) {
	if report.Limit.Kind == ratelimit.Unspecified {
		return
	}
	upstream := instanceOf(report.Upstream)
	var change ratelimit.Change
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) {
		change = table.Observe(upstream, report.Limit, report.Sent, now)
	})
	p.limitChanged(limitUpdate{upstream: upstream, change: change, from: sourceLocal, request: report.Request})
	if change.Notify && !p.limitNotifier.Send(ratelimit.UpstreamReport{Upstream: upstream, Report: change.Current}) {
		p.recorder.notificationDropped()
	}
}

// applyLimit applies a limit received from another process.
func (p *Process) applyLimit(received ratelimit.UpstreamReport, from source, peer netip.AddrPort) {
	var change ratelimit.Change
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) {
		change = table.Merge(received.Upstream, received.Report, now)
	})
	p.limitChanged(limitUpdate{upstream: received.Upstream, change: change, from: from, peer: peer})
}

// limitChanged logs a changed limit and makes the upstream eligible again at once, since it may
// accept more now.
func (p *Process) limitChanged(update limitUpdate) {
	if !update.change.Changed {
		return
	}
	p.recorder.limitChanged(update)
	p.pool.Throttle(update.upstream.ID, 0)
}

// allowSend takes one request from this router's share of the limit of an upstream whose loader
// does not count requests. If the share is used up, it returns how long to wait.
func (p *Process) allowSend(upstream *provider.Upstream, path dispatch.AdmissionPath) (wait time.Duration, ok bool) {
	share := ratelimit.LoaderUnreachableShare
	if path == dispatch.PathNoLoader {
		share = ratelimit.NoLoaderShare
	}
	share = share.Among(p.routerCount())
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) {
		if cold := p.coldLimit(upstream, now); cold != nil {
			p.limits.coldLimiter.Merge(instanceOf(upstream), *cold, now)
		}
		if wait, ok = p.limits.coldLimiter.Allow(instanceOf(upstream), share, now); ok {
			wait, ok = table.Allow(instanceOf(upstream), share, now)
		}
	})
	if !ok {
		p.recorder.limitDenied(path)
	}
	return wait, ok
}

// coldLimit returns the limit of a cold upstream. It is nil if the upstream is not cold or its
// service declares no rate for cold upstreams.
func (p *Process) coldLimit(upstream *provider.Upstream, now time.Time) *ratelimit.Warmup {
	remaining := upstream.ColdRemaining(now)
	if remaining == 0 {
		return nil
	}
	service := p.compiler.View().Service(upstream.Service)
	if service == nil || service.ColdRate <= 0 {
		return nil
	}
	return &ratelimit.Warmup{PerSecond: service.ColdRate, Remaining: remaining, Revision: uint64(upstream.Revision)}
}

// routerCount returns the number of routers, including this one and those known only from the
// settings.
func (p *Process) routerCount() int {
	return max(len(p.compiler.View().Members), len(p.current.Load().Seeds)+1)
}

// errLimitNotEnforced reports that a loader granted a place without counting it against the
// limit, because its version predates limits.
var errLimitNotEnforced = errors.New("the loader does not support the engine's limit")

// requestPlace requests a place at an engine from the loader beside it. The request carries the
// limit that this router holds for the engine, and the response the limit that the loader holds.
func (p *Process) requestPlace(ctx context.Context, engine *provider.Upstream, request places.Request) (places.EngineLoad, bool, error) {
	upstream := instanceOf(engine)
	request.Engine = ratelimit.Upstream{ID: upstream.ID, Started: upstream.Started}
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) {
		if report, known := table.Report(upstream, now); known {
			request.RateLimit = &report
		}
		request.Warmup = p.coldLimit(engine, now)
	})
	loader := netip.AddrPortFrom(engine.Address.Addr(), p.current.Load().LoaderPort)
	response, err := p.placeClient.Reserve(ctx, loader, request)
	switch {
	case err != nil:
		return response.EngineLoad, false, err
	case response.RateLimit != nil:
		p.applyLimit(ratelimit.UpstreamReport{Upstream: upstream, Report: *response.RateLimit}, sourceLoader, loader)
	case request.RateLimit != nil && !request.RateLimit.Lifted:
		return response.EngineLoad, false, errLimitNotEnforced
	}
	if response.RetryAfter > 0 {
		p.recorder.limitDenied(dispatch.PathLoader)
	}
	return response.EngineLoad, response.Granted, nil
}

// newLimitNotifier returns the sender of limits to other routers.
func (p *Process) newLimitNotifier(client *http.Client) *broadcast.Sender[ratelimit.UpstreamReport] {
	return &broadcast.Sender[ratelimit.UpstreamReport]{
		Client: client, Path: broadcast.LimitsPath, Peers: p.otherRouters, CatchUpPeer: p.choosePeer, OnFailed: p.recorder.notificationFailed,
		OnReports: func(all []ratelimit.UpstreamReport, peer netip.AddrPort) { p.applyLimits(all, sourceAnswer, peer) },
	}
}

func (p *Process) applyLimits(all []ratelimit.UpstreamReport, from source, peer netip.AddrPort) {
	for _, received := range all {
		p.applyLimit(received, from, peer)
	}
}

// addLimitRoutes adds the routes on which this router serves its limits and receives those of
// other routers.
func (p *Process) addLimitRoutes(routes *bunrouter.Router) {
	receiver := &broadcast.Receiver[ratelimit.UpstreamReport]{
		All: p.allLimits, Related: p.knownLimits,
		Merge: func(all []ratelimit.UpstreamReport) { p.applyLimits(all, sourceRouter, netip.AddrPort{}) },
	}
	routes.Compat().GET(broadcast.LimitsPath, receiver.ServeAll)
	routes.Compat().POST(broadcast.LimitsPath, receiver.ServeReports)
}

func (p *Process) allLimits() (all []ratelimit.UpstreamReport) {
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) { all = table.Reports(now) })
	return all
}

// knownLimits returns the limits that this router holds for the upstreams of received reports.
func (p *Process) knownLimits(reports []ratelimit.UpstreamReport) []ratelimit.UpstreamReport {
	var known []ratelimit.UpstreamReport
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) {
		for _, received := range reports {
			if report, ok := table.Report(received.Upstream, now); ok {
				known = append(known, ratelimit.UpstreamReport{Upstream: received.Upstream, Report: report})
			}
		}
	})
	return known
}

// limitUpdate is a change of a limit and its origin.
type limitUpdate struct {
	upstream ratelimit.Upstream
	change   ratelimit.Change
	from     source
	// peer is the process that sent the update, and request the ID of the request whose answer
	// carried the limit. Both are optional.
	peer    netip.AddrPort
	request string
}
