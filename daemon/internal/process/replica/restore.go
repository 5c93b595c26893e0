package replica

import (
	"context"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file handles a store that is restored from a copy. Its acknowledged changes since the copy
// are gone, and it gives out their revisions again. A new era of provider.Revision orders all that
// it sends after the restore above what it sent before; what remains is to notice a new era, not to
// take stale answers for part of it, and to tell the owner, whose own entries may be gone.

const (
	// staleAnswerAge is how old the content of a stale answer may be.
	staleAnswerAge = 10 * time.Second
)

// observeEra records the era of an answer before its entries are applied, and calls OnRestore if it
// is a new one.
func (f *Follower) observeEra(revision provider.Revision) {
	era := revision.Era()
	for {
		known := f.era.Load()
		if known > era || known == era && f.eraKnown.Load() {
			return
		}
		if f.era.CompareAndSwap(known, era) {
			break
		}
	}
	if !f.eraKnown.Swap(true) {
		return
	}
	f.restoredAt.Store(max(int64(f.sinceLastKnown()), 1))
	if f.OnRestore != nil {
		f.OnRestore(era)
	}
}

// newestOf returns the highest revision of an update. A peer that is applying a listing may send
// entries above the revision up to which it is complete.
func newestOf(update Update) provider.Revision {
	newest := update.Revision
	for _, entry := range update.Entries {
		newest = max(newest, entry.Revision)
	}
	return newest
}

// listStale lists a prefix from an answer that may be stale. Its content may be older than the era
// that the answer states, and a state from before a restore must not take the place of one after
// it. So a stale answer never begins an era, and one that follows a new era within staleAnswerAge
// counts as part of the era before. Such a listing is not complete.
func (f *Follower) listStale(ctx context.Context, prefix string) (listing provider.Listing, complete bool, err error) {
	listing, err = f.Store.ListStale(ctx, prefix)
	if err != nil {
		return listing, false, err
	}
	era, age, known := f.Table.era()
	if recent := known && age < staleAnswerAge; recent && era > 0 {
		era--
	}
	if known && listing.Revision.Era() > era {
		return inEra(listing, era), false, nil
	}
	return listing, true, nil
}

// applyList applies a listing of a prefix, which is complete or lacks entries. Written is
// when what is new in it was written.
func (f *Follower) applyList(prefix string, listing provider.Listing, complete bool, written provider.Span) {
	listing.Entries = provider.Received(listing.Entries, provider.SourceList, written)
	if complete {
		f.Table.Replace(prefix, listing)
		return
	}
	f.Table.Apply(listing.Entries)
}

// inEra returns a listing with its revisions moved to an era.
func inEra(listing provider.Listing, era uint64) provider.Listing {
	moved := provider.Listing{Revision: listing.Revision.InEra(era)}
	for _, entry := range listing.Entries {
		entry.Revision = entry.Revision.InEra(era)
		if entry.CreateRevision > 0 {
			entry.CreateRevision = entry.CreateRevision.InEra(era)
		}
		moved.Entries = append(moved.Entries, entry)
	}
	return moved
}

// Era returns the newest era of any entry or listing.
func (t *Table) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newestEra
}

// era returns the newest era and the time since it began for this process, or false if
// the table is empty. The age of the first era is that of the store, and counts as long.
func (t *Table) era() (era uint64, age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest == 0 {
		return 0, 0, false
	}
	if t.eraBegan.IsZero() {
		return t.newestEra, staleAnswerAge, true
	}
	return t.newestEra, clock.Since(t.eraBegan), true
}
