// Package hosts follows the platform's host list. The list lags, and when it
// is out of reach the last one known stays in use.
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

// DefaultEvery is the interval between fetches. A fetch of an unchanged list
// is a few bytes.
const DefaultEvery = time.Second

// Follower keeps the newest list. Set the fields before Start.
type Follower struct {
	List *platform.HostList
	// Hall limits the list; empty means all halls.
	Hall string
	// Every varies DefaultEvery; 0 takes it.
	Every time.Duration
	// OnChange is called after a new list was taken; nil means nobody is told.
	OnChange func([]platform.Host)

	tomb tomb.Tomb

	// mu guards hosts, tag and fetched.
	mu    sync.Mutex
	hosts []platform.Host
	tag   string
	// fetched is set from the first answer on.
	fetched bool
}

// Start begins to follow.
func (f *Follower) Start() { f.tomb.Go(f.run) }

// Stop ends the following and waits for it.
func (f *Follower) Stop() {
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}

// Done is closed when the follower has ended.
func (f *Follower) Done() <-chan struct{} { return f.tomb.Dead() }

// Hosts returns the newest list, and false where none was ever fetched.
func (f *Follower) Hosts() ([]platform.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts, f.fetched
}

// Select returns the hosts of a role and hall; an empty hall means all.
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
	every := helpers.OrDefault(f.Every, DefaultEvery)
	f.fetch(ctx)
	for helpers.Pause(every/2+rand.N(every), f.tomb.Dying()) {
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
