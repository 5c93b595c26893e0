package telemetry

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// closedLineInterval is the shortest time between two lines about closed connections.
const closedLineInterval = time.Second

// closedConnections counts the connections that a process closed, since the last line about them.
type closedConnections struct {
	mu     sync.Mutex
	counts map[closedKey]int
	last   time.Time
}

type closedKey struct{ listener, reason string }

// take counts a connection. It returns the counts for a line, nil if the last line is too recent.
func (c *closedConnections) take(key closedKey, now time.Time) map[closedKey]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[closedKey]int{}
	}
	c.counts[key]++
	if now.Sub(c.last) < closedLineInterval {
		return nil
	}
	counts := c.counts
	c.counts, c.last = nil, now
	return counts
}

// ConnectionClosed counts a connection that a listener closed because its client did not keep to a limit, or to make
// room for another one. At most one line a second reports the connections that were closed since the last line.
func (t *Telemetry) ConnectionClosed(listener, reason string) {
	t.Scope.Tagged(map[string]string{"listener": listener, "reason": reason}).Counter("connections_closed").Inc(1)
	counts := t.closed.take(closedKey{listener, reason}, time.Now())
	if counts == nil {
		return
	}
	fields := log.Fields{"decision": "close"}
	for key, count := range counts {
		fields[key.listener+" "+key.reason] = count
	}
	t.Log.WithFields(fields).Warn("connections closed")
}
