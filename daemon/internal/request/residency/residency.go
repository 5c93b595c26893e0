// Package residency decides in which regions a request may run.
//
// A route and an account may each name the regions that data may be served in; where both
// do, both bind. The load that it answers: a region is cut off or evacuated, and its callers
// arrive at routers elsewhere. Their requests go home or are refused at once; spare capacity
// in other regions is no reason to use it.
//
// A hall whose region is not known allows nothing that is bound.
package residency

import "slices"

// Rule is where a request may run. The zero value binds nothing.
type Rule struct {
	// Route and Account are the regions that each allows; empty means all.
	Route, Account []string
}

// Binds reports whether some regions are not allowed.
func (r Rule) Binds() bool { return len(r.Route) > 0 || len(r.Account) > 0 }

// Allows reports whether the request may run in a region, "" being one that is not known.
func (r Rule) Allows(region string) bool {
	return !r.Binds() || region != "" && allows(r.Route, region) && allows(r.Account, region)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
