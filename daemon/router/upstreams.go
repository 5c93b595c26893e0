package router

import (
	"net/netip"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file takes changes of the list of upstreams and of the engines' loads.

// takeChanges compiles changes of the store's copy and follows the load of the
// engines that it lists.
func (p *Process) takeChanges(changed []provider.Entry) {
	p.compiler.Apply(changed)
	if p.compiler.HasExpired() {
		time.AfterFunc(lapseAgain, p.lookAtLapsed)
	}
	if p.compiler.View().Configuration != nil && !p.draining.Load() {
		p.telemetry.SetReady()
	}
	port := p.current.Load().LoaderPort
	if port == 0 {
		return
	}
	engines := p.engines()
	p.enginesAt.Store(byHost(engines))
	p.loads.Follow(followed(engines, p.current.Load().Hall, p.current.Load().Name, port))
}

// byHost returns the ids of engines by the address of their host.
func byHost(engines []*provider.Upstream) *map[netip.Addr][]string {
	ids := map[netip.Addr][]string{}
	for _, engine := range engines {
		host := engine.Address.Addr()
		ids[host] = append(ids[host], engine.ID)
	}
	return &ids
}

// lookAtLapsed drops the upstreams that were kept and are not back.
func (p *Process) lookAtLapsed() {
	if !p.draining.Load() {
		p.table.Recompile()
	}
}

// lapses reports whether entries of upstreams may go only because the store was
// away: it is for this router, or was a moment ago.
func (p *Process) lapses() bool {
	ago, ever := p.follower.SinceReconnect()
	return p.silent() || ever && ago < lapseAfter
}

// engines are the upstreams of services that run models.
func (p *Process) engines() []*provider.Upstream {
	view := p.compiler.View()
	var engines []*provider.Upstream
	for name, upstreams := range view.Upstreams {
		if service := view.Service(name); service != nil && service.Engine != nil {
			engines = append(engines, upstreams...)
		}
	}
	return engines
}

// takeLoad hands on what a loader tells of the engine beside it.
func (p *Process) takeLoad(host netip.AddrPort, line loadfeed.Line) {
	told := balance.LoadReport{
		Running: line.Running, Waiting: line.Waiting, Loading: line.Loading,
		ClosesIn: time.Duration(line.ClosesIn) * time.Millisecond, Models: line.Models,
	}
	for _, id := range (*p.enginesAt.Load())[host.Addr()] {
		p.pool.Report(id, told)
	}
}
