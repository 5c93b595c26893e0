package replica

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// serviceLimits is what the routes of a service require of its engines.
type serviceLimits struct {
	// objective is the shortest objective of its routes, 0 if none has one.
	objective time.Duration
	// eventGap is the shortest gap between events that a route declares, 0 if none does.
	eventGap time.Duration
}

// limitsOfServices returns the limits of each service that has routes.
func limitsOfServices(configuration *provider.Configuration) map[string]serviceLimits {
	found := map[string]serviceLimits{}
	for _, route := range configuration.Routes {
		for _, share := range route.Shares {
			limits := found[share.Service]
			limits.objective = shorter(limits.objective, route.Objective)
			limits.eventGap = shorter(limits.eventGap, route.EventGap)
			found[share.Service] = limits
		}
	}
	return found
}

// shorter returns the shorter of two times, of which 0 or less means none.
func shorter(a, b time.Duration) time.Duration {
	if b <= 0 || a > 0 && a < b {
		return a
	}
	return b
}

// Objective returns the shortest objective of a service's routes, 0 for none.
func (v *View) Objective(service string) time.Duration { return v.limits[service].objective }

// EventGap returns the shortest gap between events that the routes of a service declare, 0 if none
// does. Requests of all routes run on the same engines.
func (v *View) EventGap(service string) time.Duration { return v.limits[service].eventGap }
