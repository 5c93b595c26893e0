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
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/evidence"
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
	coldLimiter ratelimit.Warming
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
func (p *Process) limitReported(report dispatch.LimitReport) {
	p.recorder.limitReported(report)
	if report.Limit.Kind == ratelimit.Silent {
		return
	}
	upstream := instanceOf(report.Upstream)
	var change ratelimit.Change
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) {
		change = table.Heard(upstream, report.Limit, report.Sent, now)
	})
	p.limitChanged(limitUpdate{upstream: upstream, change: change, from: sourceOwn, request: report.Request})
	if change.Tell && !p.limitNotifier.Tell(ratelimit.Named{Upstream: upstream, Note: change.After}) {
		p.recorder.notificationDropped()
	}
}

// applyLimit applies a limit received from another process.
func (p *Process) applyLimit(named ratelimit.Named, from source, peer netip.AddrPort) {
	var change ratelimit.Change
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) {
		change = table.Told(named.Upstream, named.Note, now)
	})
	p.limitChanged(limitUpdate{upstream: named.Upstream, change: change, from: from, peer: peer})
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
	share := ratelimit.PastLoader
	if path == dispatch.PathNoLoader {
		share = ratelimit.Without
	}
	share = share.Among(p.routerCount())
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) {
		if cold := p.coldLimit(upstream, now); cold != nil {
			p.limits.coldLimiter.Told(instanceOf(upstream), *cold, now)
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
func (p *Process) coldLimit(upstream *provider.Upstream, now time.Time) *ratelimit.Cold {
	remaining := upstream.ColdRemaining(now)
	if remaining == 0 {
		return nil
	}
	service := p.compiler.View().Service(upstream.Service)
	if service == nil || service.ColdRate <= 0 {
		return nil
	}
	return &ratelimit.Cold{PerSecond: service.ColdRate, Left: remaining}
}

// routerCount returns the number of routers, including this one and those known only from the
// settings.
func (p *Process) routerCount() int {
	return max(len(p.compiler.View().Members), len(p.current.Load().Seeds)+1)
}

// errLimitNotEnforced reports that a loader granted a place without counting it against the
// limit, because its version predates limits.
var errLimitNotEnforced = errors.New("the loader does not support the engine's limit")

// requestPlace asks the loader beside an engine for a place there. The query carries the limit
// that this router holds for the engine, and the answer the limit that the loader holds.
func (p *Process) requestPlace(ctx context.Context, engine *provider.Upstream, limit places.Limit) (places.Load, bool, error) {
	upstream := instanceOf(engine)
	query := places.Question{Limit: limit, Engine: ratelimit.Upstream{ID: upstream.ID, Started: upstream.Started}}
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) {
		if note, known := table.Known(upstream, now); known {
			query.Known = &note
		}
		query.Cold = p.coldLimit(engine, now)
	})
	loader := netip.AddrPortFrom(engine.Address.Addr(), p.current.Load().LoaderPort)
	answer, err := p.placeClient.Ask(ctx, loader, query)
	switch {
	case err != nil:
		return answer.Load, false, err
	case answer.Limit != nil:
		p.applyLimit(ratelimit.Named{Upstream: upstream, Note: *answer.Limit}, sourceLoader, loader)
	case query.Known != nil && !query.Known.Ended:
		return answer.Load, false, errLimitNotEnforced
	}
	if answer.Wait > 0 {
		p.recorder.limitDenied(dispatch.PathLoader)
	}
	return answer.Load, answer.Given, nil
}

// newLimitNotifier prepares the notification of other routers about limits.
func (p *Process) newLimitNotifier(client *http.Client) *evidence.Teller[ratelimit.Named] {
	return &evidence.Teller[ratelimit.Named]{
		Client: client, Path: evidence.LimitsPath, Peers: p.otherRouters, Peer: p.choosePeer, OnFailed: p.recorder.notificationFailed,
		Take: func(all []ratelimit.Named, peer netip.AddrPort) { p.applyLimits(all, sourceAnswer, peer) },
	}
}

func (p *Process) applyLimits(all []ratelimit.Named, from source, peer netip.AddrPort) {
	for _, named := range all {
		p.applyLimit(named, from, peer)
	}
}

// addLimitRoutes adds the routes on which this router serves its limits and receives those of
// other routers.
func (p *Process) addLimitRoutes(routes *bunrouter.Router) {
	known := &evidence.Known[ratelimit.Named]{
		All: p.allLimits, Of: p.knownLimits,
		Take: func(all []ratelimit.Named) { p.applyLimits(all, sourceRouter, netip.AddrPort{}) },
	}
	routes.Compat().GET(evidence.LimitsPath, known.ServeAll)
	routes.Compat().POST(evidence.LimitsPath, known.ServeTold)
}

func (p *Process) allLimits() (all []ratelimit.Named) {
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) { all = table.All(now) })
	return all
}

// knownLimits returns the limits that this router holds for the upstreams of some notes.
func (p *Process) knownLimits(notes []ratelimit.Named) []ratelimit.Named {
	var known []ratelimit.Named
	p.limits.withTable(func(table *ratelimit.Table, now time.Time) {
		for _, named := range notes {
			if note, ok := table.Known(named.Upstream, now); ok {
				known = append(known, ratelimit.Named{Upstream: named.Upstream, Note: note})
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
