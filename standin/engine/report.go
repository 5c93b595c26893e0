package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// Load is the response to GET /load.
type Load struct {
	Running int `json:"running"`
}

// loadSample is the number of running requests from a point in time until the next sample.
type loadSample struct {
	at      time.Time
	running int
}

// maxSamples bounds the history of loadReports.
const maxSamples = 4096

// loadReports keeps a history of the load for delayed reports.
type loadReports struct {
	mu      sync.Mutex
	samples []loadSample
}

func (l *loadReports) add(at time.Time, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := change
	if len(l.samples) > 0 {
		running += l.samples[len(l.samples)-1].running
	}
	l.samples = append(l.samples, loadSample{at, running})
	if len(l.samples) > maxSamples {
		l.samples = append([]loadSample(nil), l.samples[maxSamples/2:]...)
	}
}

func (l *loadReports) asOf(at time.Time) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var load Load
	for _, sample := range l.samples {
		if sample.at.After(at) {
			break
		}
		load.Running = sample.running
	}
	return load
}

// CacheEvent reports that a prompt prefix was added to the cache or evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// CacheEvents is the response to GET /events. A client detects a gap if the first
// sequence number is higher than expected.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Limits and delay of the prefix cache.
const (
	// PrefixBytes is the length of the prefixes that are the cache's keys.
	PrefixBytes   = 32
	cachePrefixes = 64
	// maxEvents is the number of retained events; a client that lags further sees a gap.
	maxEvents = 256
	// eventDelay is the time until an event becomes visible.
	eventDelay = 200 * time.Millisecond
)

// delayedEvent is an event that becomes visible at a later time.
type delayedEvent struct {
	CacheEvent
	visibleAt time.Time
}

// prefixCache is a least-recently-used set of prompt prefixes.
type prefixCache struct {
	mu       sync.Mutex
	order    []string // least recently used first
	events   []delayedEvent
	sequence uint64
}

// use looks up the prefix of a prompt, stores it if absent, and reports a hit.
func (c *prefixCache) use(prompt string, now time.Time) bool {
	prefix := prompt[:min(len(prompt), PrefixBytes)]
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, cached := range c.order {
		if cached == prefix {
			c.order = append(append(c.order[:i:i], c.order[i+1:]...), prefix)
			return true
		}
	}
	c.order = append(c.order, prefix)
	c.record(prefix, true, now)
	if len(c.order) > cachePrefixes {
		c.record(c.order[0], false, now)
		c.order = c.order[1:]
	}
	return false
}

// record appends an event. The caller holds mu.
func (c *prefixCache) record(prefix string, stored bool, now time.Time) {
	c.sequence++
	event := delayedEvent{CacheEvent{c.sequence, prefix, stored}, now.Add(eventDelay)}
	c.events = append(c.events, event)
	if len(c.events) > maxEvents {
		c.events = append([]delayedEvent(nil), c.events[1:]...)
	}
}

func (c *prefixCache) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	now := time.Now()
	var visible CacheEvents
	c.mu.Lock()
	for _, event := range c.events {
		if event.Sequence > after && !event.visibleAt.After(now) {
			visible.Events = append(visible.Events, event.CacheEvent)
		}
	}
	c.mu.Unlock()
	serve.JSON(w, http.StatusOK, visible)
}
