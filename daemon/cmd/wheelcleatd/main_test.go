package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

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
