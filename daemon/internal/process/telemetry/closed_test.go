package telemetry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lineChannel receives the lines of a log.
type lineChannel chan string

func (c lineChannel) Write(line []byte) (int, error) {
	c <- string(line)
	return len(line), nil
}

// TestClosedConnectionsAreReportedOnceASecond guards against a line for each connection of a crowd, and against
// connections that no line counts.
func TestClosedConnectionsAreReportedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := make(lineChannel, 4)
		telemetry, err := New(Options{Level: "info", Output: lines})
		require.NoError(t, err)
		defer telemetry.Close()
		telemetry.ConnectionClosed("callers", "head-too-large")
		<-time.After(time.Millisecond)
		require.Len(t, lines, 1)
		assert.Contains(t, <-lines, `"callers head-too-large":1`)
		for range 5 {
			telemetry.ConnectionClosed("callers", "head-too-large")
		}
		telemetry.ConnectionClosed("peers", "head-timeout")
		synctest.Wait()
		require.Empty(t, lines)
		<-time.After(closedLineInterval)
		synctest.Wait()
		require.Len(t, lines, 1, "also if no further connection is closed")
		line := <-lines
		assert.Contains(t, line, `"callers head-too-large":5`)
		assert.Contains(t, line, `"peers head-timeout":1`)
		<-time.After(time.Hour)
		assert.Empty(t, lines)
	})
}
