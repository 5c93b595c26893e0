// Package kvwrite makes conditional writes to the key-value service with retries, and
// reports whether they took effect. The placer and the resource API write through it.
//
// A response can be lost after its write took effect. Each value therefore carries a write
// ID and the revision that it replaces. After a lost response the key is read:
//
//   - It holds this write's ID: the write took effect.
//   - It still has the revision to be replaced: the write has not taken effect, but the lost
//     call may still arrive. The same write is sent again, and since both have the same
//     condition, only one of them takes effect.
//   - It holds another write that replaced the same revision: this write can no longer take
//     effect. That is a conflict.
//   - It holds anything else: this write may have taken effect and been overwritten. The
//     error is platform.ErrUnknownResult.
package kvwrite

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

// Stamp identifies the write that stored a value.
type Stamp struct {
	WriteID string
	// BasedOn is the revision that the write replaced, 0 if the key was absent.
	BasedOn uint64
}

// Bounds of the backoff between attempts.
const (
	defaultMinBackoff = 50 * time.Millisecond
	defaultMaxBackoff = time.Second
)

// Writer writes to the key-value service.
type Writer struct {
	KV *platform.KV
	// StampOf decodes the stamp of a value; it returns false if the value has none.
	StampOf func(value []byte) (Stamp, bool)
	// MinBackoff and MaxBackoff bound the jittered backoff between attempts; 0 means 50 ms and
	// 1 s. They keep simultaneous retries of a fleet within the service's rate limits.
	MinBackoff, MaxBackoff time.Duration
}

// Put makes a write whose value carries writeID, and returns its revision. It retries until
// ctx is done. The error is a *platform.ConflictError, platform.ErrUnavailable if nothing
// was written, or platform.ErrUnknownResult.
func (w *Writer) Put(ctx context.Context, write platform.Write, writeID string) (uint64, error) {
	p := &putOperation{writer: w, write: write, id: writeID}
	return p.run(ctx)
}

// putOperation is one call of Put.
type putOperation struct {
	writer *Writer
	write  platform.Write
	id     string
	// inDoubt is set once a response was lost.
	inDoubt bool
}

// newBackoff returns the backoff of one operation.
func (w *Writer) newBackoff() *backoff.ExponentialBackOff {
	return helpers.NewBackoff(helpers.OrDefault(w.MinBackoff, defaultMinBackoff), helpers.OrDefault(w.MaxBackoff, defaultMaxBackoff))
}

func (p *putOperation) run(ctx context.Context) (uint64, error) {
	delays := p.writer.newBackoff()
	var last error
	for {
		revision, settled, err := p.attempt(ctx)
		if settled {
			return revision, err
		}
		last = err
		if !helpers.Pause(delays.NextBackOff(), ctx.Done()) {
			return 0, p.giveUp(last)
		}
	}
}

// giveUp returns the error for a write whose context is done.
func (p *putOperation) giveUp(last error) error {
	kind := platform.ErrUnavailable
	if p.inDoubt {
		kind = platform.ErrUnknownResult
	}
	return fmt.Errorf("write %s: timed out: %w (last error: %s)", p.write.Key, kind, last) //nolint:errorlint // only kind is wrapped on purpose
}

// attempt sends the write once. If the write is in doubt, it first looks for its result.
func (p *putOperation) attempt(ctx context.Context) (revision uint64, settled bool, err error) {
	if p.inDoubt {
		revision, settled, err = p.readBack(ctx)
		if settled || err != nil {
			return revision, settled, err
		}
	}
	revision, err = p.writer.KV.Put(ctx, p.write)
	switch {
	case err == nil:
		return revision, true, nil
	case platform.IsConflict(err):
		if !p.inDoubt {
			return 0, true, err
		}
		return p.readBack(ctx) // the conflict may be with this write's lost call
	case errors.Is(err, platform.ErrUnavailable):
		return 0, false, err
	default:
		p.inDoubt = true
		return 0, false, err
	}
}

// readBack reads the key after a lost response to find out whether the write took effect.
func (p *putOperation) readBack(ctx context.Context) (revision uint64, settled bool, err error) {
	item, err := p.writer.KV.Get(ctx, p.write.Key)
	if errors.Is(err, platform.ErrNotFound) {
		item, err = platform.Item{}, nil
	}
	if err != nil {
		return 0, false, err
	}
	if item.Revision == p.write.IfRevision {
		return 0, false, nil
	}
	stamp, ok := p.writer.StampOf(item.Value)
	switch {
	case ok && stamp.WriteID == p.id:
		return item.Revision, true, nil
	case ok && stamp.BasedOn == p.write.IfRevision && item.Revision != 0:
		return 0, true, &platform.ConflictError{Key: p.write.Key, Revision: item.Revision}
	default:
		return 0, true, fmt.Errorf("write %s: %w: the key is at revision %d by now", p.write.Key, platform.ErrUnknownResult, item.Revision)
	}
}

// Delete deletes a key that has the given revision and returns the revision of the
// deletion, or 0 if a lost response hides it. The errors are those of Put. A key that is
// absent counts as deleted, whichever client deleted it: that is the requested state.
func (w *Writer) Delete(ctx context.Context, key string, ifRevision uint64) (uint64, error) {
	delays := w.newBackoff()
	inDoubt := false
	for {
		revision, err := w.KV.Delete(ctx, key, ifRevision)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, platform.ErrNotFound):
			return 0, nil
		case platform.IsConflict(err):
			return w.deleteConflict(key, ifRevision, inDoubt, err)
		case !errors.Is(err, platform.ErrUnavailable):
			inDoubt = true
		}
		if !helpers.Pause(delays.NextBackOff(), ctx.Done()) {
			kind := platform.ErrUnavailable
			if inDoubt {
				kind = platform.ErrUnknownResult
			}
			return 0, fmt.Errorf("delete %s: timed out: %w", key, kind)
		}
	}
}

// deleteConflict resolves a conflict. Revision 0 means that the key is absent. After a lost
// response another revision may be that of a key that was created again after this deletion.
func (w *Writer) deleteConflict(key string, ifRevision uint64, inDoubt bool, err error) (uint64, error) {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Revision == 0 {
		return 0, nil
	}
	if inDoubt {
		return 0, fmt.Errorf("delete %s at revision %d: %w: %w", key, ifRevision, platform.ErrUnknownResult, err)
	}
	return 0, err
}
