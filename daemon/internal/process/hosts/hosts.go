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

// Poller fetches the list periodically and holds the last one. Its fields must be set before
// Start.
type Poller struct {
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
func (p *Poller) Start() { p.tomb.Go(p.run) }

// Stop stops polling and waits until the goroutine has ended.
func (p *Poller) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}

// Done returns a channel that is closed when the poller has ended.
func (p *Poller) Done() <-chan struct{} { return p.tomb.Dead() }

// Hosts returns the last fetched list, and false if none has been fetched yet.
func (p *Poller) Hosts() ([]platform.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts, p.fetched
}

// Select returns the hosts of a role and a hall; an empty hall means all halls.
func (p *Poller) Select(role, hall string) []platform.Host {
	all, _ := p.Hosts()
	var selected []platform.Host
	for _, host := range all {
		if host.Role == role && (hall == "" || host.Hall == hall) {
			selected = append(selected, host)
		}
	}
	return selected
}

func (p *Poller) run() error {
	ctx := p.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	interval := helpers.OrDefault(p.Interval, DefaultInterval)
	p.fetch(ctx)
	for helpers.Pause(interval/2+rand.N(interval), p.tomb.Dying()) {
		p.fetch(ctx)
	}
	return nil
}

func (p *Poller) fetch(ctx context.Context) {
	p.mu.Lock()
	tag := p.tag
	p.mu.Unlock()
	listing, changed, err := p.List.Fetch(ctx, p.Hall, tag)
	if err != nil || !changed {
		return
	}
	p.mu.Lock()
	p.hosts, p.tag, p.fetched = listing.Hosts, listing.Tag, true
	p.mu.Unlock()
	if p.OnChange != nil {
		p.OnChange(listing.Hosts)
	}
}
