// Package gossip pulls what changed from other entries: member records all the
// time, and the whole configuration while this entry has none of its own.
//
// Each round asks a few entries of the own hall and one of another hall. A
// change so reaches a hall of n entries in about log(n) rounds; a quiet round
// costs one small call per peer asked.
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
	DefaultEvery = 500 * time.Millisecond
	// PeersPerRound is the number of entries of the own hall asked per round.
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
	// Every varies DefaultEvery; 0 takes it.
	Every time.Duration
	// OnSuspects is told which agents the sweep marked; nil means nobody is.
	OnSuspects func(names []string)
	// OnSnapshot is told when configuration came from a peer; nil likewise.
	OnSnapshot func(peer string, revision uint64)

	tomb tomb.Tomb
	// peers belongs to the one goroutine that run starts.
	peers map[string]*peer
}

// peer is the state of pulling from one entry.
type peer struct {
	control  wire.Control
	address  string
	instance string
	cursor   uint64
}

// Start begins to pull.
func (p *Puller) Start() { p.tomb.Go(p.run) }

// Stop ends the pulling and waits for it.
func (p *Puller) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}

// Done is closed when the puller has ended.
func (p *Puller) Done() <-chan struct{} { return p.tomb.Dead() }

func (p *Puller) run() error {
	ctx := p.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	p.peers = map[string]*peer{}
	every := helpers.OrDefault(p.Every, DefaultEvery)
	for {
		p.round(ctx)
		if marked := p.Members.Sweep(); len(marked) > 0 && p.OnSuspects != nil {
			p.OnSuspects(marked)
		}
		if !helpers.Pause(every/2+rand.N(every), p.tomb.Dying()) {
			return nil
		}
	}
}

// round pulls from a few random entries.
func (p *Puller) round(ctx context.Context) {
	var own, others []platform.Host
	for _, host := range p.Entries() {
		switch {
		case host.Name == p.Name:
		case host.Hall == p.Hall:
			own = append(own, host)
		default:
			others = append(others, host)
		}
	}
	for _, host := range append(pick(own, PeersPerRound), pick(others, 1)...) {
		if p.tomb.Alive() {
			p.pull(ctx, host)
		}
	}
}

// pick returns up to count random hosts.
func pick(hosts []platform.Host, count int) []platform.Host {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(count, len(hosts))]
}

func (p *Puller) peerFor(host platform.Host) *peer {
	address := host.Address.String()
	known := p.peers[host.Name]
	if known == nil || known.address != address {
		known = &peer{control: wire.NewControlProtobufClient("http://"+address, p.Client), address: address}
		p.peers[host.Name] = known
	}
	return known
}

func (p *Puller) pull(ctx context.Context, host platform.Host) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	from := p.peerFor(host)
	request := &wire.SyncRequest{Instance: from.instance, Cursor: from.cursor, Hall: p.Hall}
	if from.instance == "" {
		request.Buckets = p.Members.Buckets()
	}
	response, err := from.control.Sync(ctx, request)
	if err != nil {
		return // a peer that does not answer is asked again in a later round
	}
	p.Members.Merge(response.GetMembers())
	from.instance, from.cursor = response.GetInstance(), response.GetCursor()
	if p.Table.View().Revision == 0 {
		p.pullSnapshot(ctx, host, from)
	}
}

// pullSnapshot takes a peer's configuration while this entry has none.
func (p *Puller) pullSnapshot(ctx context.Context, host platform.Host, from *peer) {
	response, err := from.control.Snapshot(ctx, &wire.SnapshotRequest{})
	if err != nil || response.GetRevision() == 0 {
		return
	}
	items := make([]platform.Item, len(response.GetItems()))
	for i, item := range response.GetItems() {
		items[i] = platform.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision()}
	}
	if p.Table.Replace(items, response.GetRevision()) && p.OnSnapshot != nil {
		p.OnSnapshot(host.Name, response.GetRevision())
	}
}
