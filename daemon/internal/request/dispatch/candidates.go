package dispatch

import (
	"fmt"
	"slices"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/residency"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// errNoRegion means that the service has upstreams only where the request must not run.
var errNoRegion = fmt.Errorf("%w in the regions that are allowed for the request", errNoUpstream)

// candidates returns the upstreams at which the request may run. Each send uses the newest
// view, because an upstream may have left or its hall may have been evacuated since the
// request arrived.
func (q *request) candidates() ([]*provider.Upstream, error) {
	all := q.View().Upstreams[q.service.Name]
	rule := q.residency()
	if !rule.Restricts() {
		return all, nil
	}
	var allowed []*provider.Upstream
	for _, upstream := range all {
		if rule.Allows(q.regionOf(upstream.Hall)) {
			allowed = append(allowed, upstream)
		}
	}
	if len(allowed) == 0 && len(all) > 0 {
		return nil, errNoRegion
	}
	return allowed, nil
}

// eligible reports whether an upstream that was chosen before a question to a loader may still get the request.
func (q *request) eligible(chosen *provider.Upstream) bool {
	candidates, err := q.candidates()
	listed := err == nil && slices.ContainsFunc(candidates, func(upstream *provider.Upstream) bool {
		return upstream.ID == chosen.ID && upstream.Address == chosen.Address && !upstream.Leaving
	})
	return listed && !q.Pool.Withdrawn(chosen)
}

func (q *request) residency() residency.Rule {
	rule := residency.Rule{Route: q.route.AllowedRegions}
	if q.account != nil {
		rule.Account = q.account.AllowedRegions
	}
	return rule
}

func (q *request) regionOf(hall string) string {
	if q.Region == nil {
		return ""
	}
	return q.Region(hall)
}
