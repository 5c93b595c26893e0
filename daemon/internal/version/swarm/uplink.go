package swarm

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// uplinkShare is the part of the host's link that chunks take: the engine's
	// answers go out over the same link.
	uplinkShare = 0.85
	// sliceBytes is what is written at once: an answer waits behind no more.
	sliceBytes = 8 << 10
	// maxWaiting is how many uploads may wait. Whoever is turned away asks
	// another host.
	maxWaiting = 2
	// writeTimeout bounds the write of a slice to a host that does not read.
	writeTimeout = 500 * time.Millisecond
)

// Uplink sends chunks one after the other, in slices, at a part of what the
// host's link bears. Left to themselves several uploads fill the link's queue,
// and the engine's answers wait behind whole chunks. The zero value sends at
// once whatever it is given.
//
// Lock order: mu is the only lock, and it is not held while a chunk is sent.
type Uplink struct {
	// BytesPerSecond is what the link bears; nil or 0 means that it is not known.
	BytesPerSecond func() float64

	mu sync.Mutex
	// sending is set while an upload has its turn, and waiting holds those that
	// wait for theirs, in that order; each channel is closed when its turn comes.
	sending bool
	waiting []waitingUpload
	// free is when the link has sent all that was written so far.
	free time.Time
}

type waitingUpload struct {
	turn   chan struct{}
	urgent bool
}

// enter admits an upload and returns what is closed when its turn has come, or
// reports false where too many wait. Urgent uploads are always admitted, and go
// before the others.
func (u *Uplink) enter(urgent bool) (turn chan struct{}, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	turn = make(chan struct{})
	switch {
	case !u.sending:
		u.sending = true
		close(turn)
		return turn, true
	case !urgent && len(u.waiting) >= maxWaiting:
		return nil, false
	}
	place := len(u.waiting)
	if urgent {
		place = slices.IndexFunc(u.waiting, func(other waitingUpload) bool { return !other.urgent })
		if place < 0 {
			place = len(u.waiting)
		}
	}
	u.waiting = slices.Insert(u.waiting, place, waitingUpload{turn: turn, urgent: urgent})
	return turn, true
}

// leave gives the turn to the next upload.
func (u *Uplink) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.waiting) == 0 {
		u.sending = false
		return
	}
	close(u.waiting[0].turn)
	u.waiting = u.waiting[1:]
}

// giveUp takes back an upload whose asker left while it waited.
func (u *Uplink) giveUp(turn chan struct{}) {
	u.mu.Lock()
	place := slices.IndexFunc(u.waiting, func(other waitingUpload) bool { return other.turn == turn })
	if place >= 0 {
		u.waiting = slices.Delete(u.waiting, place, place+1)
	}
	u.mu.Unlock()
	if place < 0 {
		u.leave() // its turn has come meanwhile
	}
}

// send writes a chunk when its turn has come, and reports false where too many
// wait: nothing is written then.
func (u *Uplink) send(ctx context.Context, w http.ResponseWriter, chunk []byte, urgent bool) bool {
	turn, ok := u.enter(urgent)
	if !ok {
		return false
	}
	select {
	case <-turn:
	case <-ctx.Done():
		u.giveUp(turn)
		return true
	}
	defer u.leave()
	control := http.NewResponseController(w)
	for len(chunk) > 0 && ctx.Err() == nil {
		slice := chunk[:min(len(chunk), sliceBytes)]
		chunk = chunk[len(slice):]
		u.await(ctx, len(slice))
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(slice); err != nil { //nolint:gosec // weights, sent as such to another loader
			return true
		}
		_ = control.Flush()
	}
	return true
}

// await waits until the link has sent what was written before, and books the
// time for some more bytes.
func (u *Uplink) await(ctx context.Context, bytes int) {
	if u.BytesPerSecond == nil || u.BytesPerSecond() <= 0 {
		return
	}
	takes := time.Duration(float64(bytes) / (uplinkShare * u.BytesPerSecond()) * float64(time.Second))
	u.mu.Lock()
	now := clock.Now()
	if u.free.Before(now) {
		u.free = now
	}
	wait := u.free.Sub(now)
	u.free = u.free.Add(takes)
	u.mu.Unlock()
	if wait > 0 {
		helpers.Pause(wait, ctx.Done())
	}
}
