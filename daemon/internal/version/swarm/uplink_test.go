package swarm

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// isReady reports whether an upload may be sent.
func isReady(ready chan struct{}) bool {
	select {
	case <-ready:
		return true
	default:
		return false
	}
}

// TestUplinkSendsUrgentUploadsFirst also covers that one upload is sent at a time, that urgent
// ones are always admitted, and that an abandoned upload does not block the queue.
func TestUplinkSendsUrgentUploadsFirst(t *testing.T) {
	u := &Uplink{}
	enqueue := func(urgent bool) chan struct{} {
		ready, ok := u.enqueue(urgent)
		require.True(t, ok)
		return ready
	}
	active := enqueue(false)
	assert.True(t, isReady(active))
	first, second := enqueue(false), enqueue(false)
	_, ok := u.enqueue(false)
	assert.False(t, ok, "the queue is full")
	urgent, laterUrgent := enqueue(true), enqueue(true)
	u.release()
	assert.True(t, isReady(urgent))
	assert.False(t, isReady(laterUrgent) || isReady(first) || isReady(second), "one at a time")
	u.abandon(first)
	u.abandon(urgent) // already the active upload
	assert.True(t, isReady(laterUrgent))
	u.release()
	assert.True(t, isReady(second))
	assert.False(t, isReady(first), "an abandoned upload was started")
	u.release()
	assert.True(t, isReady(enqueue(false)), "no upload is active")
}
