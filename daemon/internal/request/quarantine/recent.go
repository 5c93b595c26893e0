package quarantine

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
)

// recentDigests holds the digests that were added within a time to live, in two generations so that
// old ones are dropped together. The zero value is empty. A generation with maxEntries is replaced
// early, so that digests may be dropped before their time.
type recentDigests struct {
	current, previous map[content.Digest]time.Time
	rotatedAt         time.Time
}

func (r *recentDigests) add(digest content.Digest, ttl time.Duration, maxEntries int, now time.Time) {
	if r.current == nil || len(r.current) >= maxEntries || now.Sub(r.rotatedAt) >= ttl {
		r.current, r.previous, r.rotatedAt = map[content.Digest]time.Time{}, r.current, now
	}
	r.current[digest] = now
}

// holds reports whether the digest was added within a time to live.
func (r *recentDigests) holds(digest content.Digest, ttl time.Duration, now time.Time) bool {
	at, ok := r.current[digest]
	if !ok {
		at, ok = r.previous[digest]
	}
	return ok && now.Sub(at) < ttl
}
