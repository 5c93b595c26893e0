// Package loadfeed tells routers how loaded each engine is and what it holds.
//
// An engine's own report is fresh and free on its host and late elsewhere, and
// a router knows only its own requests. So the loader beside the engine reads
// the report and streams it, a JSON line at each change, to the routers that
// ask. A router that hears nothing goes by its own requests.
package loadfeed

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Path is the call's path.
const Path = "/load"

const (
	// lineEvery is the longest time between two lines, so that a feed that was
	// cut in silence is noticed.
	lineEvery = 400 * time.Millisecond
	// silence is how long a feed may say nothing before it is opened again.
	silence = 1500 * time.Millisecond
	// reopen bounds the pause before a feed is opened again, drawn at random.
	reopen = 500 * time.Millisecond
)

// Line is one state of an engine.
type Line struct {
	Running int               `json:"running"`
	Waiting int               `json:"waiting"`
	Loading bool              `json:"loading,omitempty"`
	Models  []provider.Loaded `json:"models,omitempty"`
}

// Feed holds the newest state and gives it to all who ask. The zero value is
// not ready; use NewFeed.
type Feed struct {
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
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	for {
		line, changed := f.state()
		if line != nil {
			_, err := w.Write(append(append([]byte(nil), line...), '\n'))
			if err != nil || controller.Flush() != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(lineEvery):
		case <-r.Context().Done():
			return
		}
	}
}

// Reader follows the feeds of many hosts. The exported fields must be set.
type Reader struct {
	Client *http.Client
	// OnLine is called with each line of a host.
	OnLine func(host netip.AddrPort, line Line)

	mu sync.Mutex
	// following holds what ends each host's follower.
	following map[netip.AddrPort]context.CancelFunc
	running   sync.WaitGroup
}

// Follow follows just these hosts from now on.
func (r *Reader) Follow(hosts []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.following == nil {
		r.following = map[netip.AddrPort]context.CancelFunc{}
	}
	wanted := map[netip.AddrPort]bool{}
	for _, host := range hosts {
		wanted[host] = true
		if r.following[host] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			r.following[host] = cancel
			r.running.Go(func() { r.follow(ctx, host) })
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
	r.Follow(nil)
	r.running.Wait()
}

func (r *Reader) follow(ctx context.Context, host netip.AddrPort) {
	for ctx.Err() == nil {
		_ = r.read(ctx, host)
		helpers.Pause(rand.N(reopen), ctx.Done())
	}
}

func (r *Reader) read(ctx context.Context, host netip.AddrPort) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(silence, cancel)
	defer silent.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", host, Path), http.NoBody)
	if err != nil {
		return fmt.Errorf("follow the load of %s: %w", host, err)
	}
	response, err := r.Client.Do(request)
	if err != nil {
		return fmt.Errorf("follow the load of %s: %w", host, err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		silent.Reset(silence)
		var line Line
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return fmt.Errorf("load of %s: %w", host, err)
		}
		r.OnLine(host, line)
	}
	return lines.Err()
}
