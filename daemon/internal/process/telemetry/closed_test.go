package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lockedBuffer is a buffer that timers write to.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// TestClosedConnectionsAreReportedOnceASecond guards against a line for each connection of a crowd, and against
// connections that no line counts.
func TestClosedConnectionsAreReportedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output lockedBuffer
		telemetry, err := New(Options{Level: "info", Output: &output})
		require.NoError(t, err)
		defer telemetry.Close()
		lines := func() []string {
			synctest.Wait()
			return strings.Split(strings.TrimSpace(output.String()), "\n")
		}
		telemetry.ConnectionClosed("callers", "head-too-large")
		<-time.After(time.Millisecond)
		require.Len(t, lines(), 1)
		assert.Contains(t, lines()[0], `"callers head-too-large":1`)
		for range 5 {
			telemetry.ConnectionClosed("callers", "head-too-large")
		}
		telemetry.ConnectionClosed("peers", "head-timeout")
		require.Len(t, lines(), 1)
		<-time.After(closedLineInterval)
		require.Len(t, lines(), 2, "also if no further connection is closed")
		assert.Contains(t, lines()[1], `"callers head-too-large":5`)
		assert.Contains(t, lines()[1], `"peers head-timeout":1`)
		<-time.After(time.Hour)
		assert.Len(t, lines(), 2)
	})
}
