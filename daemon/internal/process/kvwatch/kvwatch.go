// Package kvwatch keeps an entry's table in step with the key-value service by
// one waiting watch.
//
// Every entry's watch wakes at every change, so a burst of writes would cost
// entries × writes calls. After a wake the next watch is therefore armed at once
// only a few times in a row, then once per Rearm, so that further changes gather:
// an entry makes at most 1/Rearm calls a second, whatever the rate of writes. At
// 400 entries and 500 ms that is 800 of the 2,000 reads a second that the service
// takes, and a first burst of 1,200. A fixed wait after every change was tried
// first: a placement that follows a declaration then reached the other halls
// half a second late for nothing.
package kvwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
)

// Defaults of a Watcher.
const (
	DefaultWait  = 30 * time.Second
	DefaultRearm = 500 * time.Millisecond
	// rearmBurst is the number of wakes in a row that are not held back.
	rearmBurst = 3
	// rearmJitter is the part of Rearm by which entries spread their calls.
	rearmJitter    = 10
	DefaultMaxWait = 2 * time.Second
)

// Watcher follows the service. Set the fields before Start.
type Watcher struct {
	KV    *platform.KV
	Table *tables.Table
	// Wait, Rearm and MaxWait vary the defaults; 0 takes them.
	Wait, Rearm, MaxWait time.Duration
	// OnState is told when the service comes into reach (nil) or goes out of
	// it; nil means nobody is told.
	OnState func(err error)

	tomb tomb.Tomb
	// wakes paces the watch after changes; it belongs to the goroutine of run.
	wakes *rate.Limiter
}

// Start begins to follow.
func (w *Watcher) Start() { w.tomb.Go(w.run) }

// Stop ends the watch and waits for it.
func (w *Watcher) Stop() {
	w.tomb.Kill(nil)
	_ = w.tomb.Wait()
}

// Done is closed when the watcher has ended.
func (w *Watcher) Done() <-chan struct{} { return w.tomb.Dead() }

func (w *Watcher) run() error {
	ctx := w.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = 50 * time.Millisecond
	waits.MaxInterval = helpers.OrDefault(w.MaxWait, DefaultMaxWait)
	w.wakes = rate.NewLimiter(rate.Every(helpers.OrDefault(w.Rearm, DefaultRearm)), rearmBurst)
	listed := false
	for w.tomb.Alive() {
		var err error
		if listed {
			err = w.watch(ctx)
			listed = !errors.Is(err, platform.ErrCompacted)
		} else {
			err = w.list(ctx)
			listed = err == nil
		}
		if !w.tomb.Alive() {
			break
		}
		w.tell(err)
		if err != nil && !errors.Is(err, platform.ErrCompacted) {
			helpers.Pause(waits.NextBackOff(), w.tomb.Dying())
			continue
		}
		waits.Reset()
	}
	return nil
}

func (w *Watcher) tell(err error) {
	if errors.Is(err, platform.ErrCompacted) {
		err = nil // the service answers
	}
	if w.OnState != nil {
		w.OnState(err)
	}
}

func (w *Watcher) list(ctx context.Context) error {
	listing, err := w.KV.List(ctx, tables.Prefix)
	if err != nil {
		return err
	}
	w.Table.Replace(listing.Items, listing.Revision)
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	changes, err := w.KV.Watch(ctx, tables.Prefix, w.Table.View().Revision, helpers.OrDefault(w.Wait, DefaultWait))
	if err != nil {
		return err
	}
	w.Table.Apply(changes.Events, changes.Revision)
	if len(changes.Events) > 0 {
		helpers.Pause(w.wakes.Reserve().Delay()+rand.N(helpers.OrDefault(w.Rearm, DefaultRearm)/rearmJitter), w.tomb.Dying())
	}
	return nil
}
