package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAStopBehindReloadsIsTaken: a process that is busy starting was told to read its settings
// again and then to stop. Signals for which there is no room are dropped, and the stop was: it
// ran on until it was killed.
func TestAStopBehindReloadsIsTaken(t *testing.T) {
	taken := takeSignals()
	send := func(signal syscall.Signal, to chan os.Signal) {
		require.NoError(t, syscall.Kill(os.Getpid(), signal))
		require.Eventually(t, func() bool { return len(to) == 1 }, 10*time.Second, time.Millisecond)
	}
	send(syscall.SIGHUP, taken.reload)
	send(syscall.SIGHUP, taken.reload)
	send(syscall.SIGTERM, taken.stop)
	assert.Equal(t, syscall.SIGTERM, <-taken.stop)
}
