package main

import (
	"os"
	"runtime/debug"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// TestMemoryLimitLeavesRoomForSocketBuffers guards against a process that is ended for its memory while much of its
// heap is garbage.
func TestMemoryLimitLeavesRoomForSocketBuffers(t *testing.T) {
	previous := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(previous)
	limitMemory(memoryLimit(settings.File{Entry: &settings.Entry{}}))
	assert.Equal(t, previous, debug.SetMemoryLimit(-1), "no limit is known")
	for _, file := range []settings.File{
		{Router: &settings.Router{Bounds: settings.RouterBounds{MemoryMB: 284}}},
		{Loader: &settings.Loader{Bounds: settings.LoaderBounds{MemoryMB: 284}}},
	} {
		limitMemory(memoryLimit(file))
		assert.EqualValues(t, 213<<20, debug.SetMemoryLimit(-1))
		debug.SetMemoryLimit(previous)
	}
}

// TestStopSignalIsNotLostBehindPendingReloads guards against a stop that is dropped because reloads
// are pending while the process starts.
func TestStopSignalIsNotLostBehindPendingReloads(t *testing.T) {
	signals := notifySignals()
	send := func(signal syscall.Signal, received chan os.Signal) {
		require.NoError(t, syscall.Kill(os.Getpid(), signal))
		require.Eventually(t, func() bool { return len(received) == 1 }, 10*time.Second, time.Millisecond)
	}
	send(syscall.SIGHUP, signals.reload)
	send(syscall.SIGHUP, signals.reload)
	send(syscall.SIGTERM, signals.stop)
	assert.Equal(t, syscall.SIGTERM, <-signals.stop)
}
