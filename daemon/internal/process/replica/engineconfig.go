package replica

import (
	"errors"
	"net/netip"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// EngineConfig is the part of the configuration that the loader of an engine needs.
type EngineConfig struct {
	Engine provider.EngineSpec `json:"engine"`
	// Origin is the address of the origin of weights.
	Origin netip.AddrPort `json:"origin"`
	// OriginRate is the rate of the origin's link in bytes per second, 0 if not declared.
	OriginRate float64 `json:"originRate,omitempty"`
}

// Complete reports whether it has the model and the origin that a loader needs.
func (c *EngineConfig) Complete() bool { return c.Engine.Model != "" && c.Origin.IsValid() }

// ErrNoEngine is returned when a configuration lacks the service or the origin that a loader needs.
var ErrNoEngine = errors.New("configuration has no engine service of this name or no origin")

// EngineConfigFor returns the part of a configuration that the loaders of a service need.
func EngineConfigFor(configuration *provider.Configuration, service string) (EngineConfig, error) {
	var config EngineConfig
	for _, declared := range configuration.Services {
		if declared.Engine != nil && declared.Name == service {
			config.Engine = *declared.Engine
		}
		if declared.Origin.IsValid() {
			config.Origin, config.OriginRate = declared.Origin, declared.OriginRate
		}
	}
	if !config.Complete() {
		return EngineConfig{}, ErrNoEngine
	}
	return config, nil
}
