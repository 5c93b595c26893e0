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

// This file keeps the limits that upstreams name: what own answers, loaders and other routers
// tell of them, and what this router may send where no loader counts.

// limits are the limits that this router knows.
type limits struct {
	mu    sync.Mutex
	table ratelimit.Table
	// warming bounds what this router sends to cold upstreams that no loader counts for.
	warming ratelimit.WarmupTable
}

// do works on the table.
func (l *limits) do(work func(table *ratelimit.Table, now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	work(&l.table, clock.Now())
}

// startOf names the start of an upstream that this router knows.
func startOf(u *provider.Upstream) ratelimit.Upstream {
	return ratelimit.Upstream{ID: u.ID, Address: u.Address, Started: u.Started}
}

// heard takes what an answer says of its upstream's limit, and tells the others what is new.
func (p *Process) heard(heard dispatch.Heard) {
	p.recorder.limitSaid(heard)
	if heard.Said.Kind == ratelimit.Unspecified {
		return
	}
	upstream := startOf(heard.Upstream)
	var change ratelimit.Change
	p.limits.do(func(table *ratelimit.Table, now time.Time) {
		change = table.Observe(upstream, heard.Said, heard.Sent, now)
	})
	p.limitChanged(limitNews{upstream: upstream, change: change, from: sourceOwn, request: heard.Request})
	if change.Notify && !p.limitTeller.Tell(ratelimit.UpstreamReport{Upstream: upstream, Report: change.Current}) {
		p.recorder.notTold()
	}
}

// told takes what another process knows of a limit.
func (p *Process) told(named ratelimit.UpstreamReport, from source, peer netip.AddrPort) {
	var change ratelimit.Change
	p.limits.do(func(table *ratelimit.Table, now time.Time) {
		change = table.Merge(named.Upstream, named.Report, now)
	})
	p.limitChanged(limitNews{upstream: named.Upstream, change: change, from: from, peer: peer})
}

// limitChanged acts on what changed: an upstream is looked at again before its time, because
// it may take more now.
func (p *Process) limitChanged(news limitNews) {
	if !news.change.Changed {
		return
	}
	p.recorder.limitChanged(news)
	p.pool.Hold(news.upstream.ID, 0)
}

// allow asks for this router's share of the limit of an upstream at which no loader counts.
func (p *Process) allow(upstream *provider.Upstream, door dispatch.Door) (wait time.Duration, ok bool) {
	share := ratelimit.LoaderUnreachableShare
	if door == dispatch.DoorOwn {
		share = ratelimit.NoLoaderShare
	}
	share = share.Among(p.routerCount())
	p.limits.do(func(table *ratelimit.Table, now time.Time) {
		if cold := p.coldness(upstream, now); cold != nil {
			p.limits.warming.Merge(startOf(upstream), *cold, now)
		}
		if wait, ok = p.limits.warming.Allow(startOf(upstream), share, now); ok {
			wait, ok = table.Allow(startOf(upstream), share, now)
		}
	})
	if !ok {
		p.recorder.limitDenied(door)
	}
	return wait, ok
}

// coldness returns that an upstream is cold, nil where it is not, or where its service does
// not say what it carries then.
func (p *Process) coldness(upstream *provider.Upstream, now time.Time) *ratelimit.Warmup {
	left := upstream.Cold(now)
	if left == 0 {
		return nil
	}
	service := p.compiler.View().Service(upstream.Service)
	if service == nil || service.ColdRate <= 0 {
		return nil
	}
	return &ratelimit.Warmup{PerSecond: service.ColdRate, Remaining: left}
}

// routerCount is how many routers there are, this one and those that only its settings name
// among them.
func (p *Process) routerCount() int {
	return max(len(p.compiler.View().Members), len(p.current.Load().Seeds)+1)
}

// errNotCounted says that a loader gave a place without counting it, because it is of a version
// that knows no limits.
var errNotCounted = errors.New("the loader does not know of the engine's limit")

// askPlace asks the loader beside an engine for a place there, tells it what this router knows
// of the engine's limit, and learns what it knows.
func (p *Process) askPlace(ctx context.Context, engine *provider.Upstream, limit places.Limit) (places.Load, bool, error) {
	upstream := startOf(engine)
	question := places.Question{Limit: limit, Engine: ratelimit.Upstream{ID: upstream.ID, Started: upstream.Started}}
	p.limits.do(func(table *ratelimit.Table, now time.Time) {
		if note, known := table.Report(upstream, now); known {
			question.Known = &note
		}
		question.Cold = p.coldness(engine, now)
	})
	loader := netip.AddrPortFrom(engine.Address.Addr(), p.current.Load().LoaderPort)
	answer, err := p.asker.Ask(ctx, loader, question)
	switch {
	case err != nil:
		return answer.Load, false, err
	case answer.Limit != nil:
		p.told(ratelimit.UpstreamReport{Upstream: upstream, Report: *answer.Limit}, sourceLoader, loader)
	case question.Known != nil && !question.Known.Lifted:
		return answer.Load, false, errNotCounted
	}
	if answer.Wait > 0 {
		p.recorder.limitDenied(dispatch.DoorLoader)
	}
	return answer.Load, answer.Given, nil
}

// newLimitTeller prepares the telling of other routers.
func (p *Process) newLimitTeller(client *http.Client) *evidence.Teller[ratelimit.UpstreamReport] {
	return &evidence.Teller[ratelimit.UpstreamReport]{
		Client: client, Path: evidence.LimitsPath, Peers: p.otherRouters, Peer: p.peer, OnFailed: p.recorder.routerNotTold,
		Take: func(all []ratelimit.UpstreamReport, peer netip.AddrPort) { p.takeLimits(all, sourceAnswer, peer) },
	}
}

func (p *Process) takeLimits(all []ratelimit.UpstreamReport, from source, peer netip.AddrPort) {
	for _, named := range all {
		p.told(named, from, peer)
	}
}

// limitPages hands out the limits that are known, and takes what others tell.
func (p *Process) limitPages(pages *bunrouter.Router) {
	known := &evidence.Known[ratelimit.UpstreamReport]{
		All: p.allLimits, Of: p.limitsOf,
		Take: func(all []ratelimit.UpstreamReport) { p.takeLimits(all, sourceRouter, netip.AddrPort{}) },
	}
	pages.Compat().GET(evidence.LimitsPath, known.ServeAll)
	pages.Compat().POST(evidence.LimitsPath, known.ServeTold)
}

func (p *Process) allLimits() (all []ratelimit.UpstreamReport) {
	p.limits.do(func(table *ratelimit.Table, now time.Time) { all = table.Reports(now) })
	return all
}

// limitsOf returns what is known of the upstreams of some notes.
func (p *Process) limitsOf(notes []ratelimit.UpstreamReport) []ratelimit.UpstreamReport {
	var known []ratelimit.UpstreamReport
	p.limits.do(func(table *ratelimit.Table, now time.Time) {
		for _, named := range notes {
			if note, ok := table.Report(named.Upstream, now); ok {
				known = append(known, ratelimit.UpstreamReport{Upstream: named.Upstream, Report: note})
			}
		}
	})
	return known
}

// limitNews is a change of what is known of a limit, and whence it came.
type limitNews struct {
	upstream ratelimit.Upstream
	change   ratelimit.Change
	from     source
	// peer is who told, and request the own one whose answer named it, where that is known.
	peer    netip.AddrPort
	request string
}
