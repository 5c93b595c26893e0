package mirror

import (
	"errors"
	"net/netip"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// EngineNeeds is what a configuration says that concerns one engine's loader.
type EngineNeeds struct {
	Engine provider.EngineSpec `json:"engine"`
	// Origin is where weights come from.
	Origin netip.AddrPort `json:"origin"`
	// OriginRate is the bytes that its link carries in a second, 0 where not declared.
	OriginRate float64 `json:"originRate,omitempty"`
}

// Complete reports whether a loader can work by it.
func (n *EngineNeeds) Complete() bool { return n.Engine.Model != "" && n.Origin.IsValid() }

// ErrNoEngine says that a configuration lacks what a loader needs.
var ErrNoEngine = errors.New("the configuration has no engine service of this name, or no origin")

// NeedsOf reads a configuration for the loaders of a service.
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
