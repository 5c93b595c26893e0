// Package loadfeed tells routers how loaded each engine is and what it holds.
//
// An engine's own report is fresh and free on its host and late elsewhere, and
// a router knows only its own requests. So the loader beside the engine reads
// the report and streams it, a JSON line at each change, to the routers that
// ask. A router that hears nothing goes by its own requests.
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

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/lines"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Path is the call's path.
const Path = "/load"

const (
	// linesPerSecond bounds the lines that a feed writes to all who read it, and
	// leastPause the pause between two lines to one of them: however many read,
	// a feed costs its host no more.
	linesPerSecond = 800
	leastPause     = 8 * time.Millisecond
	// reopen bounds the pause before a feed is opened again, drawn at random.
	reopen = 500 * time.Millisecond
)

// ClosesStep keeps lines from changing with each look at an engine.
const ClosesStep = 250 * time.Millisecond

// Line is one state of an engine.
type Line struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Loading bool `json:"loading,omitempty"`
	// ClosesIn is in how many milliseconds the engine is to be ordered to take a version,
	// in whole steps of ClosesStep, 0 where that is not soon.
	ClosesIn int64                  `json:"closesIn,omitempty"`
	Models   []provider.LoadedModel `json:"models,omitempty"`
}

// ClosesIn returns what a line says of an engine that is to be ordered at some time, zero
// for none.
func ClosesIn(at, now time.Time) int64 {
	if !at.After(now) {
		return 0
	}
	steps := (at.Sub(now) + ClosesStep - 1) / ClosesStep
	return (steps * ClosesStep).Milliseconds()
}

// Feed holds the newest state and gives it to all who ask. The zero value is
// not ready; use NewFeed.
type Feed struct {
	// readers counts those who read.
	readers atomic.Int64

	mu      sync.Mutex
	line    []byte
	changed chan struct{}
}

// NewFeed returns a feed that has no state yet.
func NewFeed() *Feed { return &Feed{changed: make(chan struct{})} }

// Publish takes a new state.
func (f *Feed) Publish(line Line) {
	data, err := json.Marshal(line)
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

// ServeHTTP streams lines until the caller leaves.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.readers.Add(1)
	defer f.readers.Add(-1)
	lines.Serve(w, r, f.pause, f.state)
}

// pause is the time within which changes are told together.
func (f *Feed) pause() time.Duration {
	return max(leastPause, time.Duration(f.readers.Load())*time.Second/linesPerSecond)
}

// Reader follows the feeds of many hosts. The exported fields must be set.
type Reader struct {
	Client *http.Client
	// OnLine is called with each line of a host.
	OnLine func(host netip.AddrPort, line Line)

	mu sync.Mutex
	// following holds what ends each host's follower.
	following map[netip.AddrPort]context.CancelFunc
	// stopped says that nobody is followed any more, whoever asks for it: Stop would wait
	// for a follower that began meanwhile, and never end.
	stopped bool
	running sync.WaitGroup
}

// Follow follows just these hosts from now on.
func (r *Reader) Follow(hosts []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	r.follow(hosts)
}

// follow follows some hosts and no others; the caller holds mu.
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

// Stop ends all followers and waits for them.
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
		_ = lines.Read(ctx, r.Client, url, func(data []byte) error { return r.take(host, data) })
		helpers.Pause(rand.N(reopen), ctx.Done())
	}
}

func (r *Reader) take(host netip.AddrPort, data []byte) error {
	var line Line
	if err := json.Unmarshal(data, &line); err != nil {
		return fmt.Errorf("load of %s: %w", host, err)
	}
	r.OnLine(host, line)
	return nil
}
