package peering

import (
	"sync"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// mostListings bounds the listings that are kept of one state. Followers that are up to
// date ask for the same one; others are a few changes behind.
const mostListings = 16

// listings holds what was listed of the newest state of a table. The zero value is ready
// to use.
type listings struct {
	mu sync.Mutex
	// changes is the state, by how often the table had changed.
	changes uint64
	kept    map[listingKey]*listing
}

type listingKey struct {
	prefix string
	after  provider.Revision
}

// listing is the entries under a prefix above a revision.
type listing struct {
	entries []provider.Entry

	pack sync.Once
	// all is the entries packed together, once they were asked for.
	all []byte
}

// of lists a table, once for each of its states.
func (l *listings) of(table *replica.Table, prefix string, after provider.Revision) *listing {
	// Read before the entries: a change between the two is listed once more.
	changes := table.ChangeCount()
	key := listingKey{prefix: prefix, after: after}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kept == nil || l.changes != changes || len(l.kept) >= mostListings && l.kept[key] == nil {
		l.changes, l.kept = changes, map[listingKey]*listing{}
	}
	known := l.kept[key]
	if known == nil {
		known = &listing{entries: table.PrefixEntriesAfter(prefix, after).Entries}
		l.kept[key] = known
	}
	return known
}

// packed returns the entries packed together.
func (l *listing) packed(p *packer) []byte {
	l.pack.Do(func() { l.all = packAll(p.pack(l.entries)) })
	return l.all
}
