package telemetry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestClosedConnectionsAreReportedOnceASecond guards against a line for each connection of a crowd, and against
// connections that no line counts.
func TestClosedConnectionsAreReportedOnceASecond(t *testing.T) {
	c := &closedConnections{}
	key, other := closedKey{"callers", "head-too-large"}, closedKey{"peers", "head-timeout"}
	now := time.Unix(1000, 0)
	assert.Equal(t, map[closedKey]int{key: 1}, c.take(key, now))
	for range 5 {
		assert.Nil(t, c.take(key, now.Add(closedLineInterval-1)))
	}
	assert.Equal(t, map[closedKey]int{key: 5, other: 1}, c.take(other, now.Add(closedLineInterval)))
	assert.Nil(t, c.take(other, now.Add(closedLineInterval)))
}
