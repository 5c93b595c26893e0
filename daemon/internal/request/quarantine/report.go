package quarantine

import (
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
)

// Crash is the failure of an upstream while it ran a content, or a request with a part.
type Crash struct {
	// Upstream is the id of the upstream. Started is its start time, zero if unknown; a
	// restarted upstream may crash again under the same id.
	Upstream string    `json:"upstream"`
	Started  time.Time `json:"started,omitzero"`
	// Recurrence counts earlier crashes with the same id and start time. They are distinct
	// crashes, seen by a router that has not yet read the new start time of the upstream.
	Recurrence int `json:"again,omitempty"`
	// Depth is one more than that of the deepest earlier crash; see the package comment.
	Depth int `json:"depth"`
}

// equal reports whether two reports mean the same crash. Their depths may differ, since routers
// may have received different earlier crashes.
func (c Crash) equal(other Crash) bool { return c.sameID(other) && c.Recurrence == other.Recurrence }

// sameID reports whether two crashes have the same upstream id and start time.
func (c Crash) sameID(other Crash) bool {
	return c.Upstream == other.Upstream && c.Started.Equal(other.Started)
}

// Report reports the crashes, the clearing or a trial of a content or part from one router to another.
type Report struct {
	// Content is the digest of a content, or of a part of prompts if Part is set.
	Content content.Digest `json:"content"`
	Part    bool           `json:"part,omitempty"`
	Crashes []Crash        `json:"ends,omitempty"`
	// Cleared means that the content had a complete response or that an operator lifted its
	// quarantine.
	Cleared bool `json:"cleared,omitempty"`
	// Trial means that the reporting router has just begun a trial of the content.
	Trial bool `json:"trial,omitempty"`
	// Duration is the length of the content's quarantine, 0 in a report of a single crash, and Age the time since
	// the newest crash when the report was made.
	Duration time.Duration `json:"heldFor,omitempty"`
	Age      time.Duration `json:"age,omitempty"`
}

// Delayed returns the report as of a time after it was made.
func (r Report) Delayed(by time.Duration) Report {
	if len(r.Crashes) > 0 {
		r.Age += max(by, 0)
	}
	return r
}

// ReachesQuarantine reports whether a crash reaches quarantineDepth, also if the quarantine has expired.
func (r Report) ReachesQuarantine() bool {
	return slices.ContainsFunc(r.Crashes, func(crash Crash) bool { return crash.Depth >= quarantineDepth })
}
