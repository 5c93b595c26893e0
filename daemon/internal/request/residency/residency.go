// Package residency decides in which regions a request may run. The dispatcher checks every
// candidate upstream against the rule of the request.
//
// A route and an account may each restrict the regions that process their data; if both do, a
// region must be allowed by both. The rule holds also while a region is cut off or evacuated
// and its callers reach routers in other regions: a request goes to an allowed region or is
// refused, whatever capacity is free elsewhere. A hall of unknown region is never allowed for a
// restricted request.
package residency

import "slices"

// Rule restricts the regions that a request may run in. The zero value allows all.
type Rule struct {
	// Route and Account list the regions that each allows; empty means all.
	Route, Account []string
}

// Restricts reports whether the rule restricts the regions.
func (r Rule) Restricts() bool { return len(r.Route) > 0 || len(r.Account) > 0 }

// Allows reports whether the request may run in a region; "" is an unknown region.
func (r Rule) Allows(region string) bool {
	return !r.Restricts() || region != "" && allows(r.Route, region) && allows(r.Account, region)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
