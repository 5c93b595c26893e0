package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/timeout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// A pending watch shows neither that the store is reachable, nor that the connection is
// intact, nor that the store still delivers changes to it. Short watches would show all
// of that, but cost a full call a second for each reader. So watches wait longer, and
// stale lists of a small prefix, at a tenth of the cost, probe the store beside them.
//
// Rejected: watches of 15 s that rely on the revision of the probe's answer to reveal
// missed changes. After a compaction the store withholds the earlier changes from a
// watch, and its stale answers lag by seconds at the same time, so a removed key would
// stay in use.

const (
	// probedWatchWait is the duration of a watch that probes accompany. It bounds how
	// long changes that the store does not deliver stay unknown, and leaves room for
	// one probe.
	probedWatchWait = 1900 * time.Millisecond
	// failingWatchWait replaces it after a failure, until the store has answered.
	failingWatchWait = time.Second
)

// errProbeFailed is the cause for which a watch is canceled when the store does not
// answer a probe.
var errProbeFailed = errors.New("store did not answer a probe beside a watch")

// nextWatchWait returns the duration of the next watch.
func (f *Follower) nextWatchWait() time.Duration {
	switch {
	case f.ProbeInterval > 0 && f.failing:
		return failingWatchWait
	case f.ProbeInterval > 0:
		return probedWatchWait
	case f.WatchWait != nil:
		return f.WatchWait()
	default:
		return defaultWatchWait
	}
}

// probing returns a context for a watch that is canceled when a probe beside it fails.
// End must be called when the watch has ended; it waits for the probe in progress.
func (f *Follower) probing(ctx context.Context) (_ context.Context, end func()) {
	if f.ProbeInterval <= 0 || f.failing {
		return ctx, func() {}
	}
	return runBeside(ctx, f.probe)
}

// runBeside runs a function and returns a context that is canceled when it fails. End stops
// the function and waits for it.
func runBeside(ctx context.Context, run func(context.Context) error) (_ context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := run(ctx); err != nil {
			cancel(err)
		}
	}()
	return ctx, func() {
		cancel(nil)
		<-ended
	}
}

// errMissedChange is the cause for which a watch is canceled that did not deliver a
// change.
var errMissedChange = errors.New("stale list has a change that the watch did not deliver")

// rechecking returns a context for a watch that is canceled when a recheck finds a change
// that the watch did not deliver. After an interruption a store may never answer the
// calls that it received meanwhile, although it answers new ones.
func (f *Follower) rechecking(ctx context.Context) (_ context.Context, end func()) {
	if f.RecheckInterval <= 0 || f.QueryPeer != nil {
		return ctx, func() {}
	}
	return runBeside(ctx, f.recheck)
}

// recheckBesidePeers lists the prefix periodically until the follower ends, because the
// peers' replicas may be stale.
func (f *Follower) recheckBesidePeers(ctx context.Context) {
	for helpers.Pause(f.RecheckInterval/2+rand.N(f.RecheckInterval), ctx.Done()) {
		if listing, err := f.recheckOnce(ctx); err == nil {
			f.Table.Apply(provider.Received(listing.Entries, provider.SourceRecheck, provider.Span{}))
		}
	}
}

// recheck lists the prefix periodically until the context ends, and returns the cause for
// which the watch must be canceled. A failed list is no such cause: the watch may be
// intact.
func (f *Follower) recheck(ctx context.Context) error {
	for helpers.Pause(f.RecheckInterval, ctx.Done()) {
		revision := f.Revision()
		listing, err := f.recheckOnce(ctx)
		if err != nil || ctx.Err() != nil || f.currentData.Load() != 0 {
			continue
		}
		listing.Entries = slices.DeleteFunc(listing.Entries, func(entry provider.Entry) bool { return entry.Revision <= revision })
		if len(listing.Entries) > 0 && f.Table.Apply(provider.Received(listing.Entries, provider.SourceRecheck, provider.Span{})) > 0 {
			return errMissedChange
		}
	}
	return nil
}

// recheckOnce lists the prefix from an answer that may be stale.
func (f *Follower) recheckOnce(ctx context.Context) (provider.Listing, error) {
	ctx, end := readLimit(0).Context(provider.WithProgress(ctx, f.countBytes))
	defer end()
	listing, _, err := f.listStale(ctx, f.Prefix)
	return listing, timeout.Explain(ctx, err)
}

// probe probes the store periodically until the context ends, and returns the cause for
// which the watch must be canceled. A watch whose answer is arriving proves that the
// store is reachable and may finish however long it takes.
func (f *Follower) probe(ctx context.Context) error {
	for helpers.Pause(f.ProbeInterval, ctx.Done()) {
		revision, err := f.probeOnce(ctx)
		done := ctx.Err() != nil || f.currentData.Load() != 0
		switch {
		case done:
			return nil
		case err != nil:
			return fmt.Errorf("%w: %w", errProbeFailed, err)
		case revision.Era() > f.Revision().Era():
			return provider.ErrRestored // a watch that waits may never be answered then
		}
		f.recordStoreAnswer()
	}
	return nil
}

// probeOnce lists a small prefix to check that the store answers, and returns the revision that
// the answer states.
func (f *Follower) probeOnce(ctx context.Context) (provider.Revision, error) {
	ctx, end := readLimit(0).Context(provider.WithProgress(ctx, f.countBytes))
	defer end()
	listing, err := f.Store.ListStale(ctx, f.ProbePrefix)
	return listing.Revision, timeout.Explain(ctx, err)
}

// countBytes reports received bytes to OnBytes. It does not mark the store as reachable:
// the bytes may be those of an error response.
func (f *Follower) countBytes(bytes int) {
	if f.OnBytes != nil {
		f.OnBytes(bytes)
	}
}
