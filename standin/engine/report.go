package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// Load is what the engine says of its work, as of some time ago.
type Load struct {
	Running int `json:"running"`
}

// loadPoint is the number of running requests from a time on.
type loadPoint struct {
	at      time.Time
	running int
}

// maxPoints bounds the history of load kept for lagging reports.
const maxPoints = 4096

// loadReports remembers the load, so that reports can lag.
type loadReports struct {
	mu     sync.Mutex
	points []loadPoint
}

func (l *loadReports) add(at time.Time, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := change
	if len(l.points) > 0 {
		running += l.points[len(l.points)-1].running
	}
	l.points = append(l.points, loadPoint{at, running})
	if len(l.points) > maxPoints {
		l.points = append([]loadPoint(nil), l.points[maxPoints/2:]...)
	}
}

func (l *loadReports) asOf(at time.Time) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var load Load
	for _, point := range l.points {
		if point.at.After(at) {
			break
		}
		load.Running = point.running
	}
	return load
}

// CacheEvent says that a prompt prefix entered or left the cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// CacheEvents is the answer to GET /events. A caller sees a gap when the first
// sequence is above the one it expects.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Sizes of the prefix cache.
const (
	// PrefixBytes is the length of the prefix that the cache keys on.
	PrefixBytes   = 32
	cachePrefixes = 64
	// keptEvents is the number of events kept; older ones are a gap.
	keptEvents = 256
	// eventDelay is the age from which an event is told.
	eventDelay = 200 * time.Millisecond
)

// toldEvent is an event and the time from which it is told.
type toldEvent struct {
	CacheEvent
	from time.Time
}

// prefixCache is a least-recently-used set of prompt prefixes.
type prefixCache struct {
	mu       sync.Mutex
	order    []string // oldest use first
	events   []toldEvent
	sequence uint64
}

// use looks a prompt up, stores its prefix, and reports a hit.
func (c *prefixCache) use(prompt string, now time.Time) bool {
	prefix := prompt[:min(len(prompt), PrefixBytes)]
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, held := range c.order {
		if held == prefix {
			c.order = append(append(c.order[:i:i], c.order[i+1:]...), prefix)
			return true
		}
	}
	c.order = append(c.order, prefix)
	c.tell(prefix, true, now)
	if len(c.order) > cachePrefixes {
		c.tell(c.order[0], false, now)
		c.order = c.order[1:]
	}
	return false
}

// tell appends an event; the caller holds mu.
func (c *prefixCache) tell(prefix string, stored bool, now time.Time) {
	c.sequence++
	event := toldEvent{CacheEvent{c.sequence, prefix, stored}, now.Add(eventDelay)}
	c.events = append(c.events, event)
	if len(c.events) > keptEvents {
		c.events = append([]toldEvent(nil), c.events[1:]...)
	}
}

func (c *prefixCache) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	now := time.Now()
	var answer CacheEvents
	c.mu.Lock()
	for _, event := range c.events {
		if event.Sequence > after && !event.from.After(now) {
			answer.Events = append(answer.Events, event.CacheEvent)
		}
	}
	c.mu.Unlock()
	serve.JSON(w, http.StatusOK, answer)
}
