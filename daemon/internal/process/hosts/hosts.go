// Package hosts polls the platform's host list for agents and entries. The list lags behind
// the real state, and while it is unreachable the last fetched list stays in use.
package hosts

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

// DefaultInterval is the mean interval between fetches. Fetches are conditional, so an unchanged
// list is not transferred again.
const DefaultInterval = time.Second

// Follower holds the last fetched list. Its fields must be set before Start.
type Follower struct {
	List *platform.HostList
	// Hall limits the list; empty means all halls.
	Hall string
	// Interval replaces DefaultInterval unless it is 0.
	Interval time.Duration
	// OnChange, if set, is called with each new list.
	OnChange func([]platform.Host)

	tomb tomb.Tomb

	// mu guards hosts, tag and fetched.
	mu    sync.Mutex
	hosts []platform.Host
	tag   string
	// fetched is set once a list was fetched.
	fetched bool
}

// Start starts polling in a goroutine.
func (f *Follower) Start() { f.tomb.Go(f.run) }

// Stop stops polling and waits until the goroutine has ended.
func (f *Follower) Stop() {
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}

// Done returns a channel that is closed when the follower has ended.
func (f *Follower) Done() <-chan struct{} { return f.tomb.Dead() }

// Hosts returns the last fetched list, and false if none has been fetched yet.
func (f *Follower) Hosts() ([]platform.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts, f.fetched
}

// Select returns the hosts of a role and a hall; an empty hall means all halls.
func (f *Follower) Select(role, hall string) []platform.Host {
	all, _ := f.Hosts()
	var selected []platform.Host
	for _, host := range all {
		if host.Role == role && (hall == "" || host.Hall == hall) {
			selected = append(selected, host)
		}
	}
	return selected
}

func (f *Follower) run() error {
	ctx := f.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	interval := helpers.OrDefault(f.Interval, DefaultInterval)
	f.fetch(ctx)
	for helpers.Pause(interval/2+rand.N(interval), f.tomb.Dying()) {
		f.fetch(ctx)
	}
	return nil
}

func (f *Follower) fetch(ctx context.Context) {
	f.mu.Lock()
	tag := f.tag
	f.mu.Unlock()
	list, changed, err := f.List.Fetch(ctx, f.Hall, tag)
	if err != nil || !changed {
		return
	}
	f.mu.Lock()
	f.hosts, f.tag, f.fetched = list.Hosts, list.Tag, true
	f.mu.Unlock()
	if f.OnChange != nil {
		f.OnChange(list.Hosts)
	}
}
