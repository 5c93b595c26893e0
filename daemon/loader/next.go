package loader

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/rollout"
)

// nextVersion returns what the load feed states about the version that the engine is expected to serve next, nil
// without an estimate. A time that is far away is rounded up to whole seconds, because each change of the
// countdown is sent to all routers that read the feed.
func nextVersion(expected rollout.Expected, now time.Time) *loadfeed.NextVersion {
	const far = 2 * time.Second
	if expected.Version == 0 {
		return nil
	}
	at := expected.At
	if left := at.Sub(now); left > far {
		at = now.Add((left + time.Second - 1).Truncate(time.Second))
	}
	return &loadfeed.NextVersion{Version: expected.Version, In: max(loadfeed.ClosesIn(at, now), loadfeed.ClosesStep.Milliseconds())}
}
