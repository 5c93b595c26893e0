// Package kvwrite makes a conditional write whose fate is known, as far as the
// key-value service lets it be.
//
// An answer can be lost after its write took effect. The value therefore
// carries a write id, and the revision that the write was based on. After a
// lost answer the key is read again:
//
//   - it holds our id: the write was accepted;
//   - it still has the revision we based on: the write has not taken effect,
//     but the lost call may still arrive; the same write is sent again, and
//     whichever comes first wins under the one condition;
//   - it holds another write based on the same revision as ours: ours can never
//     have taken effect, a conflict;
//   - it holds anything else: ours may have been accepted and overwritten.
//     That stays unknown, and is said so.
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

// Stamp identifies a value's write.
type Stamp struct {
	WriteID string
	// BasedOn is the revision that the write replaced, 0 for a first write.
	BasedOn uint64
}

// Bounds of the wait between tries.
const (
	defaultMinWait = 50 * time.Millisecond
	defaultMaxWait = time.Second
)

// Writer writes to the key-value service.
type Writer struct {
	KV *platform.KV
	// StampOf reads the stamp of a value; false where it has none.
	StampOf func(value []byte) (Stamp, bool)
	// MinWait and MaxWait bound the jittered wait between tries; 0 means 50ms
	// and 1s. They keep a fleet that retries together under the service's rates.
	MinWait, MaxWait time.Duration
}

// Put makes a write that carries the given write id and returns its revision.
// It tries until the context ends. The error is a *platform.ConflictError,
// platform.ErrUnavailable when nothing was written, or platform.ErrUnknown.
func (w *Writer) Put(ctx context.Context, write platform.Write, writeID string) (uint64, error) {
	p := &putting{writer: w, write: write, id: writeID}
	return p.run(ctx)
}

// putting is one write being made.
type putting struct {
	writer *Writer
	write  platform.Write
	id     string
	// inDoubt is set from the first lost answer on.
	inDoubt bool
}

func (w *Writer) waits() *backoff.ExponentialBackOff {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = helpers.OrDefault(w.MinWait, defaultMinWait)
	waits.MaxInterval = helpers.OrDefault(w.MaxWait, defaultMaxWait)
	return waits
}

func (p *putting) run(ctx context.Context) (uint64, error) {
	waits := p.writer.waits()
	var last error
	for {
		revision, settled, err := p.try(ctx)
		if settled {
			return revision, err
		}
		last = err
		if !helpers.Pause(waits.NextBackOff(), ctx.Done()) {
			return 0, p.giveUp(last)
		}
	}
}

// giveUp says what is known when time has run out.
func (p *putting) giveUp(last error) error {
	kind := platform.ErrUnavailable
	if p.inDoubt {
		kind = platform.ErrUnknown
	}
	return fmt.Errorf("write %s: time ran out: %w (last: %s)", p.write.Key, kind, last) //nolint:errorlint // only kind is wrapped on purpose
}

// try sends the write once, or finds out what became of the last try.
func (p *putting) try(ctx context.Context) (revision uint64, settled bool, err error) {
	if p.inDoubt {
		revision, settled, err = p.look(ctx)
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
		return p.look(ctx) // the conflict may be with our own lost write
	case errors.Is(err, platform.ErrUnavailable):
		return 0, false, err
	default:
		p.inDoubt = true
		return 0, false, err
	}
}

// look reads the key after a lost answer.
func (p *putting) look(ctx context.Context) (revision uint64, settled bool, err error) {
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
		return 0, true, fmt.Errorf("write %s: %w: the key has moved on to revision %d", p.write.Key, platform.ErrUnknown, item.Revision)
	}
}

// Delete removes a key that has the given revision and returns the revision of
// the deletion, or 0 where a lost answer hides it. The errors are those of Put.
// A key that is found gone after a lost answer counts as deleted: that is the
// state the caller asked for, whoever brought it about.
func (w *Writer) Delete(ctx context.Context, key string, ifRevision uint64) (uint64, error) {
	waits := w.waits()
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
		if !helpers.Pause(waits.NextBackOff(), ctx.Done()) {
			kind := platform.ErrUnavailable
			if inDoubt {
				kind = platform.ErrUnknown
			}
			return 0, fmt.Errorf("delete %s: time ran out: %w", key, kind)
		}
	}
}

// deleteConflict sorts out a conflict: revision 0 means gone, and after a lost
// answer another revision may be a key made anew after our delete.
func (w *Writer) deleteConflict(key string, ifRevision uint64, inDoubt bool, err error) (uint64, error) {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Revision == 0 {
		return 0, nil
	}
	if inDoubt {
		return 0, fmt.Errorf("delete %s at revision %d: %w: %w", key, ifRevision, platform.ErrUnknown, err)
	}
	return 0, err
}
