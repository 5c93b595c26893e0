// Package kvwatch keeps an entry's configuration table up to date with one long-polling
// watch of the key-value service.
//
// Each change completes the watches of all entries, so a burst of writes would cost
// entries × writes calls. A token bucket therefore limits how often an entry calls the
// service after changes: pollBurst calls at once, then one per MinInterval, in which further
// changes accumulate. This keeps all entries together within the service's read rate. A fixed
// wait after each change was rejected, because it delays a placement that follows a
// declaration.
package kvwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
)

// Defaults of a Watcher.
const (
	DefaultPollTimeout = 30 * time.Second
	DefaultMinInterval = 500 * time.Millisecond
	// pollBurst is the number of consecutive changes after which the next watch is not
	// delayed.
	pollBurst = 3
	// jitterDivisor is the divisor of MinInterval that gives the maximum jitter of a call.
	jitterDivisor     = 10
	minBackoff        = 50 * time.Millisecond
	DefaultMaxBackoff = 2 * time.Second
)

// Watcher watches the service and applies its changes to Table. Its fields must be set
// before Start.
type Watcher struct {
	KV    *platform.KV
	Table *tables.Table
	// PollTimeout is the timeout of a long poll, MinInterval the minimum interval between calls
	// after changes once pollBurst calls were made, and MaxBackoff the maximum backoff after an
	// error. 0 means the default.
	PollTimeout, MinInterval, MaxBackoff time.Duration
	// OnResult, if set, is called after each call of the service with its error, or with nil
	// if the service answered.
	OnResult func(err error)

	tomb tomb.Tomb
	// limiter limits the rate of calls after changes. Only run's goroutine uses it.
	limiter *rate.Limiter
}

// Start starts watching in a goroutine.
func (w *Watcher) Start() { w.tomb.Go(w.run) }

// Stop stops watching and waits until the goroutine has ended.
func (w *Watcher) Stop() {
	w.tomb.Kill(nil)
	_ = w.tomb.Wait()
}

// Done returns a channel that is closed when the watcher has ended.
func (w *Watcher) Done() <-chan struct{} { return w.tomb.Dead() }

func (w *Watcher) run() error {
	ctx := w.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	delays := helpers.NewBackoff(minBackoff, helpers.OrDefault(w.MaxBackoff, DefaultMaxBackoff))
	w.limiter = rate.NewLimiter(rate.Every(helpers.OrDefault(w.MinInterval, DefaultMinInterval)), pollBurst)
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
		w.reportResult(err)
		if err != nil && !errors.Is(err, platform.ErrCompacted) {
			helpers.Pause(delays.NextBackOff(), w.tomb.Dying())
			continue
		}
		delays.Reset()
	}
	return nil
}

func (w *Watcher) reportResult(err error) {
	if errors.Is(err, platform.ErrCompacted) {
		err = nil // the service has responded
	}
	if w.OnResult != nil {
		w.OnResult(err)
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
	changes, err := w.KV.Watch(ctx, tables.Prefix, w.Table.View().Revision, helpers.OrDefault(w.PollTimeout, DefaultPollTimeout))
	if err != nil {
		return err
	}
	w.Table.Apply(changes.Events, changes.Revision)
	if len(changes.Events) > 0 {
		helpers.Pause(w.limiter.Reserve().Delay()+rand.N(helpers.OrDefault(w.MinInterval, DefaultMinInterval)/jitterDivisor), w.tomb.Dying())
	}
	return nil
}
