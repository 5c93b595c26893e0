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
	// last is when the last line was logged. scheduled is set while a timer is to log the next one.
	last      time.Time
	scheduled bool
}

type closedKey struct{ listener, reason string }

// add counts a connection. It returns after which time a line must be logged, and false if one is scheduled already.
func (c *closedConnections) add(key closedKey) (after time.Duration, schedule bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[closedKey]int{}
	}
	c.counts[key]++
	if c.scheduled {
		return 0, false
	}
	c.scheduled = true
	return max(0, time.Until(c.last.Add(closedLineInterval))), true
}

// take returns the counts for a line.
func (c *closedConnections) take() map[closedKey]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts, c.last, c.scheduled = nil, time.Now(), false
	return counts
}

// ConnectionClosed counts a connection that a listener closed because its client did not keep to a limit, or to make
// room for another one. At most one line a second reports the connections that were closed since the last line.
func (t *Telemetry) ConnectionClosed(listener, reason string) {
	t.Scope.Tagged(map[string]string{"listener": listener, "reason": reason}).Counter("connections_closed").Inc(1)
	if after, schedule := t.closed.add(closedKey{listener, reason}); schedule {
		time.AfterFunc(after, t.logClosedConnections)
	}
}

func (t *Telemetry) logClosedConnections() {
	fields := log.Fields{"decision": "close"}
	for key, count := range t.closed.take() {
		fields[key.listener+" "+key.reason] = count
	}
	t.Log.WithFields(fields).Warn("connections closed")
}
