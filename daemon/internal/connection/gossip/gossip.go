// Package gossip pulls changed member records from other entries, and a
// snapshot of the configuration while this entry holds none.
//
// Each round pulls from a few entries of its own hall and one of another hall,
// so that a change reaches all n entries of a hall in about log(n) rounds. A
// round without changes costs one small call for each peer.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
)

// Defaults of a Puller.
const (
	DefaultInterval = 500 * time.Millisecond
	// PeersPerRound is the number of entries of its own hall pulled from in a round.
	PeersPerRound = 2
)

// callTimeout bounds one pull.
const callTimeout = 2 * time.Second

// Puller pulls from other entries. Set the fields before Start.
type Puller struct {
	Name, Hall string
	Table      *tables.Table
	Members    *members.Table
	// Entries returns the entries of the host list.
	Entries func() []platform.Host
	Client  *http.Client
	// Interval is the mean interval between rounds; 0 means DefaultInterval.
	Interval time.Duration
	// OnSuspects is called with the agents that a sweep marked as suspect. It
	// may be nil.
	OnSuspects func(names []string)
	// OnSnapshot is called when a peer's configuration was loaded. It may be nil.
	OnSnapshot func(peer string, revision uint64)

	tomb tomb.Tomb
	// peers is used only by the goroutine of run.
	peers map[string]*peer
}

// peer holds the client and the cursor for one entry.
type peer struct {
	control  wire.Control
	address  string
	instance string
	cursor   uint64
}

// Start starts the rounds.
func (p *Puller) Start() { p.tomb.Go(p.run) }

// Stop stops the rounds and waits for the one in progress.
func (p *Puller) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}

// Done returns a channel that is closed when the puller has stopped.
func (p *Puller) Done() <-chan struct{} { return p.tomb.Dead() }

func (p *Puller) run() error {
	ctx := p.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	p.peers = map[string]*peer{}
	interval := helpers.OrDefault(p.Interval, DefaultInterval)
	for {
		p.round(ctx)
		if marked := p.Members.Sweep(); len(marked) > 0 && p.OnSuspects != nil {
			p.OnSuspects(marked)
		}
		if !helpers.Pause(interval/2+rand.N(interval), p.tomb.Dying()) {
			return nil
		}
	}
}

// round pulls from a few random entries.
func (p *Puller) round(ctx context.Context) {
	var local, remote []platform.Host
	for _, host := range p.Entries() {
		switch {
		case host.Name == p.Name:
		case host.Hall == p.Hall:
			local = append(local, host)
		default:
			remote = append(remote, host)
		}
	}
	for _, host := range append(randomHosts(local, PeersPerRound), randomHosts(remote, 1)...) {
		if p.tomb.Alive() {
			p.pull(ctx, host)
		}
	}
}

// randomHosts returns up to count random hosts.
func randomHosts(hosts []platform.Host, count int) []platform.Host {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(count, len(hosts))]
}

func (p *Puller) peerFor(host platform.Host) *peer {
	address := host.Address.String()
	current := p.peers[host.Name]
	if current == nil || current.address != address {
		current = &peer{control: wire.NewControlProtobufClient("http://"+address, p.Client), address: address}
		p.peers[host.Name] = current
	}
	return current
}

func (p *Puller) pull(ctx context.Context, host platform.Host) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	from := p.peerFor(host)
	req := &wire.SyncRequest{Instance: from.instance, Cursor: from.cursor, Hall: p.Hall}
	if from.instance == "" {
		req.Buckets = p.Members.Buckets()
	}
	resp, err := from.control.Sync(ctx, req)
	if err != nil {
		return // a later round retries
	}
	p.Members.Merge(resp.GetMembers())
	from.instance, from.cursor = resp.GetInstance(), resp.GetCursor()
	if p.Table.View().Revision == 0 {
		p.pullSnapshot(ctx, host, from)
	}
}

// pullSnapshot loads a peer's configuration into the table.
func (p *Puller) pullSnapshot(ctx context.Context, host platform.Host, from *peer) {
	resp, err := from.control.Snapshot(ctx, &wire.SnapshotRequest{})
	if err != nil || resp.GetRevision() == 0 {
		return
	}
	items := make([]platform.Item, len(resp.GetItems()))
	for i, item := range resp.GetItems() {
		items[i] = platform.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision()}
	}
	if p.Table.Replace(items, resp.GetRevision()) && p.OnSnapshot != nil {
		p.OnSnapshot(host.Name, resp.GetRevision())
	}
}
