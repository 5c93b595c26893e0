package router

import (
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// balanceFacts is what the choice of an upstream needs of a view. It is computed once for each view,
// since a view is read for each request.
type balanceFacts struct {
	view *replica.View
	// otherRouters counts the routers of each data hall without this one.
	otherRouters map[string]int
}

// balanceFacts returns the facts of the view in force.
func (p *Process) balanceFacts() *balanceFacts {
	view := p.compiler.View()
	if facts := p.facts.Load(); facts != nil && facts.view == view {
		return facts
	}
	facts := &balanceFacts{view: view, otherRouters: map[string]int{}}
	for _, member := range view.Members {
		if member.Name != p.current.Load().Name {
			facts.otherRouters[member.Hall]++
		}
	}
	p.facts.Store(facts)
	return facts
}

// expectedLoad returns when requests of a service are sent by expected load.
func (p *Process) expectedLoad(service string) balance.ExpectedLoad {
	switch p.current.Load().Balance.ExpectedLoad {
	case settings.ExpectedLoadOn:
		return balance.ExpectedLoadAlways
	case settings.ExpectedLoadOff:
		return balance.ExpectedLoadNever
	default:
		if p.compiler.View().Divided(service) {
			return balance.ExpectedLoadAlways
		}
		return balance.ExpectedLoadIfSlow
	}
}

// otherRoutersOf returns the number of other routers in a data hall.
func (p *Process) otherRoutersOf(hall string) int { return p.balanceFacts().otherRouters[hall] }
