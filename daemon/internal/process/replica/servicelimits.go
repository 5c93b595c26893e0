package replica

import (
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// serviceLimits is what the routes of a service require of its engines.
type serviceLimits struct {
	// priorities holds the priorities that requests of the service may have, most urgent first: those
	// of its routes and those of all accounts, which override the routes'.
	priorities []int
	// prioritiesDiffer reports whether its routes have different priorities.
	prioritiesDiffer bool
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
			limits.priorities = append(limits.priorities, route.Priority)
			limits.prioritiesDiffer = limits.prioritiesDiffer || route.Priority != limits.priorities[0]
			limits.objective = shorter(limits.objective, route.Objective)
			limits.eventGap = shorter(limits.eventGap, route.EventGap)
			found[share.Service] = limits
		}
	}
	var ofAccounts []int
	for _, account := range configuration.Accounts {
		if account.Priority != nil {
			ofAccounts = append(ofAccounts, *account.Priority)
		}
	}
	for service, limits := range found {
		limits.priorities = append(limits.priorities, ofAccounts...)
		slices.Sort(limits.priorities)
		limits.priorities = slices.Compact(limits.priorities)
		found[service] = limits
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

// PrioritiesDiffer reports whether the routes of a service have different priorities.
func (v *View) PrioritiesDiffer(service string) bool { return v.limits[service].prioritiesDiffer }

// Objective returns the shortest objective of a service's routes, 0 for none.
func (v *View) Objective(service string) time.Duration { return v.limits[service].objective }

// EventGap returns the shortest gap between events that the routes of a service declare, 0 if none
// does. Requests of all routes run on the same engines.
func (v *View) EventGap(service string) time.Duration { return v.limits[service].eventGap }

// Rank returns the position of a request's priority among those of its service, 0 for
// the most urgent, and the number of priorities.
func (v *View) Rank(service string, route *provider.Route, account *provider.Account) (rank, ranks int) {
	priority := route.Priority
	if account != nil && account.Priority != nil {
		priority = *account.Priority
	}
	priorities := v.limits[service].priorities
	index, _ := slices.BinarySearch(priorities, priority)
	return index, max(len(priorities), 1)
}
