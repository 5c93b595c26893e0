package replica

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// serviceLimits is what the routes of a service require of its engines.
type serviceLimits struct {
	// priority is the priority of the first route, and prioritiesDiffer whether others have another.
	priority         int
	prioritiesDiffer bool
	// eventGap is the shortest gap between events that a route declares, 0 if none does.
	eventGap time.Duration
}

// limitsOfServices returns the limits of each service that has routes.
func limitsOfServices(configuration *provider.Configuration) map[string]serviceLimits {
	found := map[string]serviceLimits{}
	for _, route := range configuration.Routes {
		for _, share := range route.Shares {
			limits, known := found[share.Service]
			if !known {
				limits.priority = route.Priority
			}
			limits.prioritiesDiffer = limits.prioritiesDiffer || route.Priority != limits.priority
			if route.EventGap > 0 && (limits.eventGap == 0 || route.EventGap < limits.eventGap) {
				limits.eventGap = route.EventGap
			}
			found[share.Service] = limits
		}
	}
	return found
}

// PrioritiesDiffer reports whether the routes of a service have different priorities.
func (v *View) PrioritiesDiffer(service string) bool { return v.limits[service].prioritiesDiffer }

// EventGap returns the shortest gap between events that the routes of a service declare, 0 if none
// does. Requests of all routes run on the same engines.
func (v *View) EventGap(service string) time.Duration { return v.limits[service].eventGap }
