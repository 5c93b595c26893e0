package mirror

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/patience"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// A watch that waits shows nothing: neither that the store is there, nor that the
// connection still is, nor that the store still tells it of changes. Waits of a second
// showed all that, at the price of a call a second from each reader, which were most
// calls of a calm fleet. So a watch waits longer, and beside it the store is asked
// whether it is there, by an answer that may be old, at a tenth of the price.
//
// Rejected: waits of 15 s with the revision of that answer to show missed changes. A
// store that drops its history leaves watches without the changes before, and its old
// answers are behind by seconds then too, so that a removed key was served for 4.5 s.

const (
	// pulseWait is how long a watch waits that pulses go beside. It bounds how long
	// changes are missed that the store does not tell a watch of, and leaves room for one
	// pulse.
	pulseWait = 1900 * time.Millisecond
	// unprovedWait is the same after a failure, until the store has answered again.
	unprovedWait = time.Second
)

// errNoPulse is the cause for which a watch is given up.
var errNoPulse = errors.New("the store did not answer beside a watch")

// watchWait is how long the next watch waits.
func (f *Follower) watchWait() time.Duration {
	switch {
	case f.PulseEvery > 0 && f.failing:
		return unprovedWait
	case f.PulseEvery > 0:
		return pulseWait
	case f.Wait != nil:
		return f.Wait()
	default:
		return defaultWait
	}
}

// pulsing returns a context for a watch that ends when a pulse beside it fails. End
// must be called when the watch has ended: it waits for the pulse under way.
func (f *Follower) pulsing(ctx context.Context) (_ context.Context, end func()) {
	if f.PulseEvery <= 0 || f.failing {
		return ctx, func() {}
	}
	return beside(ctx, f.pulse)
}

// beside returns a context for a watch that ends when what runs beside it fails. End must be
// called when the watch has ended: it waits for what runs.
func beside(ctx context.Context, run func(context.Context) error) (_ context.Context, end func()) {
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

// errDeaf is the cause for which a watch is given up that did not tell of a change.
var errDeaf = errors.New("an old answer has a change that the watch did not tell of")

// looking is pulsing for a follower that looks at its prefix itself. A store that was silent
// for a moment may never answer the calls of that time, while it answers new ones.
func (f *Follower) looking(ctx context.Context) (_ context.Context, end func()) {
	if f.LookEvery <= 0 || f.Near != nil {
		return ctx, func() {}
	}
	return beside(ctx, f.look)
}

// lookBesideNear reads the prefix again and again until the follower ends: those who are
// asked in place of the store may hear it late themselves.
func (f *Follower) lookBesideNear(ctx context.Context) {
	for helpers.Pause(f.LookEvery/2+rand.N(f.LookEvery), ctx.Done()) {
		if listing, err := f.lookBeside(ctx); err == nil {
			f.Table.Apply(listing.Entries)
		}
	}
}

// look reads the prefix again and again until the context ends, and returns why the watch
// beside it is to be given up. What fails says nothing: the watch may be sound.
func (f *Follower) look(ctx context.Context) error {
	for helpers.Pause(f.LookEvery, ctx.Done()) {
		known := f.At()
		listing, err := f.lookBeside(ctx)
		if err != nil || ctx.Err() != nil || f.underWay.Load() != 0 {
			continue
		}
		listing.Entries = slices.DeleteFunc(listing.Entries, func(entry provider.Entry) bool { return entry.Revision <= known })
		if len(listing.Entries) > 0 && f.Table.Apply(listing.Entries) > 0 {
			return errDeaf
		}
	}
	return nil
}

func (f *Follower) lookBeside(ctx context.Context) (provider.Listing, error) {
	ctx, end := readLimit(0).Context(provider.WithProgress(ctx, f.countBytes))
	defer end()
	listing, err := f.Store.ListStale(ctx, f.Prefix)
	return listing, patience.Explain(ctx, err)
}

// pulse asks the store again and again until the context ends, and returns why the
// watch beside it is to be given up. A watch whose answer is under way shows by itself
// that the store is there, and is let finish however long it takes.
func (f *Follower) pulse(ctx context.Context) error {
	for helpers.Pause(f.PulseEvery, ctx.Done()) {
		err := f.askBeside(ctx)
		over := ctx.Err() != nil || f.underWay.Load() != 0
		switch {
		case over:
			return nil
		case err != nil:
			return fmt.Errorf("%w: %w", errNoPulse, err)
		}
		f.hear(0, 0)
	}
	return nil
}

// askBeside asks the store for little, to see whether it answers.
func (f *Follower) askBeside(ctx context.Context) error {
	ctx, end := readLimit(0).Context(provider.WithProgress(ctx, f.countBytes))
	defer end()
	_, err := f.Store.ListStale(ctx, f.PulseUnder)
	return patience.Explain(ctx, err)
}

// countBytes reports bytes that are no sign of the store: it may be a refusal.
func (f *Follower) countBytes(bytes int) {
	if f.OnBytes != nil {
		f.OnBytes(bytes)
	}
}
