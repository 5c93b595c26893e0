package replica

import (
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// servicePriorities returns the priorities that requests of each service may have, most
// urgent first: those of the service's routes and those of all accounts, which override
// the routes'.
func servicePriorities(configuration *provider.Configuration) map[string][]int {
	var ofAccounts []int
	for _, account := range configuration.Accounts {
		if account.Priority != nil {
			ofAccounts = append(ofAccounts, *account.Priority)
		}
	}
	found := map[string][]int{}
	for _, route := range configuration.Routes {
		for _, share := range route.Shares {
			found[share.Service] = append(found[share.Service], route.Priority)
		}
	}
	for service, priorities := range found {
		priorities = append(priorities, ofAccounts...)
		slices.Sort(priorities)
		found[service] = slices.Compact(priorities)
	}
	return found
}

// serviceObjectives returns the shortest objective of each service's routes. Services
// without an objective are missing.
func serviceObjectives(configuration *provider.Configuration) map[string]time.Duration {
	found := map[string]time.Duration{}
	for _, route := range configuration.Routes {
		for _, share := range route.Shares {
			shortest, ok := found[share.Service]
			if route.Objective > 0 && (!ok || route.Objective < shortest) {
				found[share.Service] = route.Objective
			}
		}
	}
	return found
}

// Objective returns the shortest objective of a service's routes, 0 for none.
func (v *View) Objective(service string) time.Duration { return v.objectives[service] }

// Rank returns the position of a request's priority among those of its service, 0 for
// the most urgent, and the number of priorities.
func (v *View) Rank(service string, route *provider.Route, account *provider.Account) (rank, ranks int) {
	priority := route.Priority
	if account != nil && account.Priority != nil {
		priority = *account.Priority
	}
	priorities := v.priorities[service]
	index, _ := slices.BinarySearch(priorities, priority)
	return index, max(len(priorities), 1)
}
