package dispatch

import (
	"fmt"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/residency"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// errNoHome says that upstreams of the service stand only where the request must not run.
var errNoHome = fmt.Errorf("%w in the regions that the request may run in", errNoneFit)

// candidates returns the upstreams at which the request may run, for its first send and for
// every other. The newest view counts: an upstream may have left since the request came in,
// or its hall may have been evacuated.
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
		return nil, errNoHome
	}
	return allowed, nil
}

func (q *request) residency() residency.Rule {
	rule := residency.Rule{Route: q.route.Homes}
	if q.account != nil {
		rule.Account = q.account.Homes
	}
	return rule
}

func (q *request) regionOf(hall string) string {
	if q.Region == nil {
		return ""
	}
	return q.Region(hall)
}
