package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/entry"
)

// Await polls a condition until it holds or the context is done. what names the
// condition in the error.
func Await(ctx context.Context, what string, done func() bool) error {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		}
	}
	return nil
}

// awaitEntries waits until a condition holds at every entry.
func (f *Fleet) awaitEntries(ctx context.Context, what string, holds func(*entry.Process) bool) error {
	return Await(ctx, what, func() bool {
		return !slices.ContainsFunc(f.Entries(), func(e *Entry) bool { return !holds(e.Process) })
	})
}

// AwaitReady waits until every entry reports itself ready.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return f.awaitEntries(ctx, "readiness of every entry", func(p *entry.Process) bool { return p.NotReady() == "" })
}

// AwaitMembers waits until every entry's membership has the given number of
// hosts.
func (f *Fleet) AwaitMembers(ctx context.Context, hosts int) error {
	return f.awaitEntries(ctx, "membership of all hosts", func(p *entry.Process) bool { return p.Members() >= hosts })
}

// AwaitRevision waits until every entry has the given configuration revision in
// force, or a newer one.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64) error {
	return f.awaitEntries(ctx, fmt.Sprint("revision ", revision, " at every entry"), func(p *entry.Process) bool { return p.Revision() >= revision })
}
