package swarm

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// uplinkShare is the part of the host's link that chunks take: the engine's
	// answers go out over the same link.
	uplinkShare = 0.85
	// sliceBytes is what is written at once: an answer waits behind no more.
	sliceBytes = 8 << 10
	// maxUploads is how many uploads are taken, the one that is sent included.
	// Whoever is turned away asks another host.
	maxUploads = 3
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
	// taken is how many uploads were admitted and are not over.
	taken int
	// free is when the link has sent all that was written so far.
	free time.Time
	// turn holds the token of the upload that is being sent.
	turn chan struct{}
}

// enter admits an upload, or reports false where too many wait.
func (u *Uplink) enter() (turn chan struct{}, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.turn == nil {
		u.turn = make(chan struct{}, 1)
	}
	if u.taken >= maxUploads {
		return nil, false
	}
	u.taken++
	return u.turn, true
}

func (u *Uplink) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.taken--
}

// send writes a chunk when its turn has come, and reports false where too many
// wait: nothing is written then.
func (u *Uplink) send(ctx context.Context, w http.ResponseWriter, chunk []byte) bool {
	turn, ok := u.enter()
	if !ok {
		return false
	}
	defer u.leave()
	select {
	case turn <- struct{}{}:
	case <-ctx.Done():
		return true
	}
	defer func() { <-turn }()
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
	now := time.Now()
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
