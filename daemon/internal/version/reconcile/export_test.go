package reconcile

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/version/rollout"
)

// UsePreviousRules applies the rules before package rollout, the baseline of its tests: a superseded version is
// given up unless 60 % of its chunks are here, and an engine closes ahead of each load.
func (r *Reconciler) UsePreviousRules() {
	r.decideVersions = func(versions []rollout.Version, _ rollout.Rates, _ time.Time) []rollout.Choice {
		choices := make([]rollout.Choice, len(versions))
		choices[0].Sources = rollout.All
		if len(versions) > 1 {
			older := versions[1]
			if float64(older.Chunks-older.Missing) >= 0.6*float64(older.Chunks) && older.Fetched < 6*time.Second {
				choices[0].Sources, choices[1].Sources = rollout.None, rollout.All
			}
		}
		return choices
	}
	r.closeAhead = func(loads []rollout.Load, lead time.Duration, now time.Time) rollout.Closing {
		var c rollout.Closing
		for _, load := range loads {
			soon := now.Before(load.At) && !now.Before(load.At.Add(-lead))
			if soon && (c.At.IsZero() || load.At.Before(c.At)) {
				c.At = load.At
			}
		}
		return c
	}
}
