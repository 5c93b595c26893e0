package router

import (
	"net/netip"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// applyChanges compiles changes of the replica, and follows the load feeds of the engines that it
// lists.
func (p *Process) applyChanges(changed []provider.Entry) {
	p.compiler.Apply(changed)
	if configuration := p.compiler.View().Configuration; configuration != nil {
		p.callers.SetKeepAlive(configuration.Limits.IdleTimeout)
		p.callers.SetHeadLimits(configuration.Limits.MaxHeaderBytes, configuration.Limits.HeaderTimeout)
		if !p.draining.Load() {
			p.telemetry.SetReady()
		}
	}
	port := p.current.Load().LoaderPort
	if port == 0 {
		return
	}
	engines := p.engines()
	p.engineIDsByHost.Store(groupByHost(engines))
	p.loadReader.Follow(chooseLoadFeeds(engines, p.current.Load().Hall, p.current.Load().Name, port))
}

// entryApplied records a change of the replica. An update that was pulled from a peer is no answer of
// the follower's own source, so the change may be as old as the last one.
func (p *Process) entryApplied(change replica.EntryChange) {
	p.recorder.entryApplied(change, max(p.follower.AnswerGap(), p.follower.Age()), p.follower.Status().Hops)
}

// groupByHost returns the IDs of engines by the address of their host.
func groupByHost(engines []*provider.Upstream) *map[netip.Addr][]string {
	ids := map[netip.Addr][]string{}
	for _, engine := range engines {
		host := engine.Address.Addr()
		ids[host] = append(ids[host], engine.ID)
	}
	return &ids
}

// recheckExpired drops the upstreams and routers that were kept although their entries are gone, and
// that have not registered again. A stopping router still sends requests, so it does that too.
func (p *Process) recheckExpired() {
	select {
	case <-p.done:
	default:
		p.table.Recompile()
	}
}

// engines returns the upstreams of services that run models.
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

// applyLoad passes a load report of a loader on to the engines of its host.
func (p *Process) applyLoad(host netip.AddrPort, state loadfeed.State) {
	load := balance.LoadReport{
		Running: state.Running, Waiting: state.Waiting, Loading: state.Loading, Leaving: state.Leaving,
		ClosesIn: time.Duration(state.ClosesIn) * time.Millisecond, Models: state.Models, Pace: state.Pace,
	}
	if state.Next != nil {
		load.NextVersion, load.NextIn = state.Next.Version, time.Duration(state.Next.In)*time.Millisecond
	}
	for _, id := range (*p.engineIDsByHost.Load())[host.Addr()] {
		p.pool.Report(id, load)
	}
}
