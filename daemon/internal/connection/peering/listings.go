package peering

import (
	"sync"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// maxListings bounds the listings that are cached of one state of a table. All followers
// that are up to date request the same listing; others lag by a few changes.
const maxListings = 16

// listings caches listings of the newest state of a table, so that each is encoded and
// packed once for all followers. The zero value is ready to use.
type listings struct {
	mu sync.Mutex
	// changes identifies the state by the change count of the table.
	changes uint64
	cache   map[listingKey]*listing
}

type listingKey struct {
	prefix string
	after  provider.Revision
}

// listing holds the entries under a prefix above a revision.
type listing struct {
	entries []provider.Entry

	pack sync.Once
	// packedAll holds the entries packed together, valid once pack has run.
	packedAll []byte
}

// list returns a listing of the table's current state, from the cache if possible.
func (l *listings) list(table *replica.Table, prefix string, after provider.Revision) *listing {
	// The count is read before the entries. A change in between makes the cached listing
	// expire early, but never makes a stale one stay.
	changes := table.ChangeCount()
	key := listingKey{prefix: prefix, after: after}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cache == nil || l.changes != changes || len(l.cache) >= maxListings && l.cache[key] == nil {
		l.changes, l.cache = changes, map[listingKey]*listing{}
	}
	cached := l.cache[key]
	if cached == nil {
		cached = &listing{entries: table.PrefixEntriesAfter(prefix, after).Entries}
		l.cache[key] = cached
	}
	return cached
}

// packed returns the entries packed together.
func (l *listing) packed(p *packer) []byte {
	l.pack.Do(func() { l.packedAll = packAll(p.pack(l.entries)) })
	return l.packedAll
}
