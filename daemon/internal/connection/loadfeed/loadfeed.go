// Package loadfeed streams the load and the loaded models of each engine to routers.
//
// A router sees only its own requests, and polling every engine over the network
// is slow and costly. So the loader on the engine's host reads the engine's
// report and streams it to routers as a JSON line at each change. Without a feed
// a router falls back to counting its own requests.
package loadfeed

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/linestream"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Path is the URL path of a feed.
const Path = "/load"

const (
	// linesPerSecond bounds the rate of lines of a feed over all its readers, and
	// minBatchDelay the time between two lines to one reader, so that the cost of a
	// feed does not grow with the number of readers.
	linesPerSecond = 800
	minBatchDelay  = 8 * time.Millisecond
	// maxReconnectDelay bounds the random delay before a feed is reopened.
	maxReconnectDelay = 500 * time.Millisecond
)

// ClosesStep is the resolution of State.ClosesIn, so that the countdown does not change the
// state at each reading of the engine.
const ClosesStep = 250 * time.Millisecond

// State is the state of an engine at one time. It is sent as one JSON line.
type State struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Loading bool `json:"loading,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// ClosesIn is the time until the engine is ordered to load a version, in milliseconds
	// and rounded up to a multiple of ClosesStep. It is 0 if no load is scheduled soon.
	ClosesIn int64                  `json:"closesIn,omitempty"`
	Models   []provider.LoadedModel `json:"models,omitempty"`
	// Pace is the factor by which the engine is slower than its declared rates; 0 means 1.
	Pace float64 `json:"pace,omitempty"`
	// Next is the version that the engine is expected to serve next; nil if none is expected.
	Next *NextVersion `json:"next,omitempty"`
}

// UnmarshalJSON implements json.Unmarshaler. A pace or a next version that cannot be decoded counts as
// missing.
func (s *State) UnmarshalJSON(data []byte) error {
	type required State
	fields := struct {
		*required
		Pace provider.OptionalNumber `json:"pace"`
		Next json.RawMessage         `json:"next"`
	}{required: (*required)(s)}
	if err := json.Unmarshal(data, &fields); err != nil {
		return fmt.Errorf("required fields: %w", err)
	}
	s.Pace, s.Next = float64(fields.Pace), nil
	var next NextVersion
	if len(fields.Next) > 0 && string(fields.Next) != "null" && json.Unmarshal(fields.Next, &next) == nil {
		s.Next = &next
	}
	return nil
}

// NextVersion is a version that an engine is expected to serve.
type NextVersion struct {
	Version int `json:"version"`
	// In is the expected time until the engine serves the version, in milliseconds and rounded
	// up to a multiple of ClosesStep.
	In int64 `json:"in"`
}

// ClosesIn returns the value of State.ClosesIn for the time at which the engine is ordered to
// load a version, which is zero if no load is scheduled.
func ClosesIn(at, now time.Time) int64 {
	if !at.After(now) {
		return 0
	}
	steps := (at.Sub(now) + ClosesStep - 1) / ClosesStep
	return (steps * ClosesStep).Milliseconds()
}

// Feed holds the newest state and streams it to its readers. It must be created by NewFeed.
type Feed struct {
	// readers is the number of open streams.
	readers atomic.Int64

	mu      sync.Mutex
	line    []byte
	changed chan struct{}
}

// NewFeed returns a feed without a state.
func NewFeed() *Feed { return &Feed{changed: make(chan struct{})} }

// Publish sets the state and sends it to the readers if it changed.
func (f *Feed) Publish(state State) {
	data, err := json.Marshal(state)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if string(data) == string(f.line) {
		return
	}
	f.line = data
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Feed) state() ([]byte, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.line, f.changed
}

// ServeHTTP streams lines until the reader disconnects.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.readers.Add(1)
	defer f.readers.Add(-1)
	linestream.Serve(w, r, f.batchDelay, f.state)
}

// batchDelay returns the time within which changes are batched into one line.
func (f *Feed) batchDelay() time.Duration {
	return max(minBatchDelay, time.Duration(f.readers.Load())*time.Second/linesPerSecond)
}

// Reader reads the feeds of many hosts. The exported fields must be set.
type Reader struct {
	Client *http.Client
	// OnState is called with each state of a host.
	OnState func(host netip.AddrPort, state State)

	mu sync.Mutex
	// following holds the function that cancels the goroutine of each host.
	following map[netip.AddrPort]context.CancelFunc
	// stopped makes Follow a no-op. Stop would otherwise wait forever for a goroutine that
	// Follow starts after Stop has canceled the others.
	stopped bool
	running sync.WaitGroup
}

// Follow replaces the set of hosts that are followed. After Stop it does nothing.
func (r *Reader) Follow(hosts []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	r.follow(hosts)
}

// follow replaces the set of hosts that are followed. The caller holds mu.
func (r *Reader) follow(hosts []netip.AddrPort) {
	if r.following == nil {
		r.following = map[netip.AddrPort]context.CancelFunc{}
	}
	wanted := map[netip.AddrPort]bool{}
	for _, host := range hosts {
		wanted[host] = true
		if r.following[host] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			r.following[host] = cancel
			r.running.Go(func() { r.read(ctx, host) })
		}
	}
	for host, cancel := range r.following {
		if !wanted[host] {
			cancel()
			delete(r.following, host)
		}
	}
}

// Stop cancels all goroutines that read feeds and waits for them.
func (r *Reader) Stop() {
	r.mu.Lock()
	r.stopped = true
	r.follow(nil)
	r.mu.Unlock()
	r.running.Wait()
}

func (r *Reader) read(ctx context.Context, host netip.AddrPort) {
	url := fmt.Sprintf("http://%s%s", host, Path)
	for ctx.Err() == nil {
		_ = linestream.Read(ctx, r.Client, url, func(data []byte) error { return r.deliver(host, data) })
		helpers.Pause(rand.N(maxReconnectDelay), ctx.Done())
	}
}

// deliver decodes a line and passes the state to OnState.
func (r *Reader) deliver(host netip.AddrPort, data []byte) error {
	var state State
	if err := json.Unmarshal(data, &state); err != nil {
		return fmt.Errorf("decode engine state of %s: %w", host, err)
	}
	r.OnState(host, state)
	return nil
}
