package replica

import (
	"slices"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// ranking orders the requests of a service by urgency.
type ranking struct {
	// routes and accounts hold the distinct priorities of the service's routes and of all accounts,
	// most urgent first.
	routes, accounts []int
	// combined holds the distinct priorities of both.
	combined []int
	// unranked reports whether some callers have no account with a priority.
	unranked bool
}

// serviceRankings returns the ranking of each service's requests.
func serviceRankings(configuration *provider.Configuration) map[string]*ranking {
	var ofAccounts []int
	unranked := false
	for _, account := range configuration.Accounts {
		if account.Priority != nil {
			ofAccounts = append(ofAccounts, *account.Priority)
		} else {
			unranked = true
		}
	}
	found := map[string]*ranking{}
	for _, route := range configuration.Routes {
		for _, share := range route.Shares {
			r := found[share.Service]
			if r == nil {
				r = &ranking{accounts: distinct(ofAccounts), unranked: unranked}
				found[share.Service] = r
			}
			r.routes = append(r.routes, route.Priority)
			r.unranked = r.unranked || route.Public
		}
	}
	for _, r := range found {
		r.routes = distinct(r.routes)
		r.combined = distinct(append(slices.Clone(r.routes), r.accounts...))
	}
	return found
}

// distinct returns the distinct priorities, most urgent first.
func distinct(priorities []int) []int {
	return slices.Compact(slices.Sorted(slices.Values(priorities)))
}

// divided reports whether the service's routes have different priorities.
func (r *ranking) divided() bool { return r != nil && len(r.routes) > 1 }

// accountLevels returns the number of different urgencies of accounts. Callers without a priority
// are the least urgent.
func (r *ranking) accountLevels() int {
	levels := len(r.accounts)
	if r.unranked || levels == 0 {
		levels++
	}
	return levels
}

// Divided reports whether scarce places of a service are divided by urgency and among accounts, which
// holds if its routes have different priorities.
func (v *View) Divided(service string) bool { return v.rankings[service].divided() }

// Rank returns the rank of a request among those of its service, 0 for the most urgent, and the number
// of ranks. If the service's routes have different priorities, requests are ordered by the priority
// of the account and then by that of the route. Otherwise the priority of the account replaces that
// of the route.
func (v *View) Rank(service string, route *provider.Route, account *provider.Account) (rank, ranks int) {
	r := v.rankings[service]
	if r == nil {
		return 0, 1
	}
	if !r.divided() {
		priority := route.Priority
		if account != nil && account.Priority != nil {
			priority = *account.Priority
		}
		index, _ := slices.BinarySearch(r.combined, priority)
		return index, len(r.combined)
	}
	levels := r.accountLevels()
	level := levels - 1
	if account != nil && account.Priority != nil {
		level, _ = slices.BinarySearch(r.accounts, *account.Priority)
	}
	index, _ := slices.BinarySearch(r.routes, route.Priority)
	return level*len(r.routes) + index, levels * len(r.routes)
}
