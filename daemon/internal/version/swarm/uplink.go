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
	// uplinkShare is the share of the host's link that uploads may use: the engine's
	// responses are sent over the same link.
	uplinkShare = 0.85
	// sliceBytes is the size of a single write. A response waits behind at most one slice.
	sliceBytes = 8 << 10
	// maxQueued is the queue length from which non-urgent uploads are rejected. A rejected
	// host requests the chunk from another peer.
	maxQueued = 2
	// writeTimeout bounds the write of a slice to a host that stops reading.
	writeTimeout = 500 * time.Millisecond
)

// Uplink sends chunks one after the other, in slices, at a share of the rate of the host's
// link. Concurrent uploads would fill the link's queue, and the engine's responses would wait
// behind complete chunks. The zero value does not limit the rate.
//
// Lock order: mu is the only lock, and it is not held while a chunk is sent.
type Uplink struct {
	// BytesPerSecond returns the link's rate; nil or 0 means that it is not known.
	BytesPerSecond func() float64

	mu sync.Mutex
	// sending is set while an upload is active, and queue holds the waiting uploads in the
	// order in which they are sent.
	sending bool
	queue   []queuedUpload
	// freeAt is when the link will have sent everything that was written so far.
	freeAt time.Time
}

// queuedUpload is a waiting upload; ready is closed when it may be sent.
type queuedUpload struct {
	ready  chan struct{}
	urgent bool
}

// enqueue admits an upload and returns a channel that is closed when it may be sent, or
// reports false if the queue is full. Urgent uploads are always admitted and precede the
// others.
func (u *Uplink) enqueue(urgent bool) (ready chan struct{}, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	ready = make(chan struct{})
	switch {
	case !u.sending:
		u.sending = true
		close(ready)
		return ready, true
	case !urgent && len(u.queue) >= maxQueued:
		return nil, false
	}
	position := len(u.queue)
	if urgent {
		position = slices.IndexFunc(u.queue, func(other queuedUpload) bool { return !other.urgent })
		if position < 0 {
			position = len(u.queue)
		}
	}
	u.queue = slices.Insert(u.queue, position, queuedUpload{ready: ready, urgent: urgent})
	return ready, true
}

// release ends the active upload and starts the next one in the queue.
func (u *Uplink) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.queue) == 0 {
		u.sending = false
		return
	}
	close(u.queue[0].ready)
	u.queue = u.queue[1:]
}

// abandon removes an upload whose request was cancelled while it was queued.
func (u *Uplink) abandon(ready chan struct{}) {
	u.mu.Lock()
	position := slices.IndexFunc(u.queue, func(other queuedUpload) bool { return other.ready == ready })
	if position >= 0 {
		u.queue = slices.Delete(u.queue, position, position+1)
	}
	u.mu.Unlock()
	if position < 0 {
		u.release() // it became the active upload in the meantime
	}
}

// send writes a chunk once it may be sent. It reports false, and writes nothing, if the
// queue is full.
func (u *Uplink) send(ctx context.Context, w http.ResponseWriter, chunk []byte, urgent bool) bool {
	ready, ok := u.enqueue(urgent)
	if !ok {
		return false
	}
	select {
	case <-ready:
	case <-ctx.Done():
		u.abandon(ready)
		return true
	}
	defer u.release()
	control := http.NewResponseController(w)
	for len(chunk) > 0 && ctx.Err() == nil {
		slice := chunk[:min(len(chunk), sliceBytes)]
		chunk = chunk[len(slice):]
		u.reserve(ctx, len(slice))
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(slice); err != nil { //nolint:gosec // weights, sent as such to another loader
			return true
		}
		_ = control.Flush()
	}
	return true
}

// reserve waits until the link has sent everything that was written before, and reserves the
// link for a number of bytes.
func (u *Uplink) reserve(ctx context.Context, bytes int) {
	if u.BytesPerSecond == nil || u.BytesPerSecond() <= 0 {
		return
	}
	duration := time.Duration(float64(bytes) / (uplinkShare * u.BytesPerSecond()) * float64(time.Second))
	u.mu.Lock()
	now := clock.Now()
	if u.freeAt.Before(now) {
		u.freeAt = now
	}
	wait := u.freeAt.Sub(now)
	u.freeAt = u.freeAt.Add(duration)
	u.mu.Unlock()
	if wait > 0 {
		helpers.Pause(wait, ctx.Done())
	}
}
