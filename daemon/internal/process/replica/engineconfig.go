package replica

import (
	"errors"
	"net/netip"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// EngineNeeds is the part of the configuration that the loader of an engine needs.
type EngineNeeds struct {
	Engine provider.EngineSpec `json:"engine"`
	// Origin is the address of the origin of weights.
	Origin netip.AddrPort `json:"origin"`
	// OriginRate is the rate of the origin's link in bytes per second, 0 if not declared.
	OriginRate float64 `json:"originRate,omitempty"`
}

// Complete reports whether a loader can work with it.
func (n *EngineNeeds) Complete() bool { return n.Engine.Model != "" && n.Origin.IsValid() }

// ErrNoEngine is returned when a configuration lacks what a loader needs.
var ErrNoEngine = errors.New("configuration has no engine service of this name or no origin")

// NeedsOf returns the part of a configuration that the loaders of a service need.
func NeedsOf(configuration *provider.Configuration, service string) (EngineNeeds, error) {
	var needs EngineNeeds
	for _, declared := range configuration.Services {
		if declared.Engine != nil && declared.Name == service {
			needs.Engine = *declared.Engine
		}
		if declared.Origin.IsValid() {
			needs.Origin, needs.OriginRate = declared.Origin, declared.OriginRate
		}
	}
	if !needs.Complete() {
		return EngineNeeds{}, ErrNoEngine
	}
	return needs, nil
}
