// Package loader assembles the process beside an engine that brings it the
// declared version of its model, gives chunks to other loaders, and tells
// routers how loaded the engine is.
//
// It differs from an agent in that requests do not pass through it.
package loader

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/peering"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/readers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/server"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/keep"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/turn"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

const (
	// versionsLook is how often the versions are read from an answer of the store that may be
	// old, at a tenth of a call's price: the routers that tell of versions may be turned away
	// by the store, and a store that was silent may never answer the watches of that time.
	versionsLook = 4 * time.Second
	// versionsWait is how long one watch for declared versions waits. A cut in
	// silence is noticed sooner, by the connection; versions seldom change, so nearly
	// every shorter wait would be a call for nothing, from each loader. A longer one
	// would outlast the history of some stores.
	versionsWait = 15 * time.Second
	// hostsEvery is the interval in which the list of hosts is read from the store where
	// no router tells it, and routersSoon the one for the hall's routers then. The list grows
	// with the fleet, and all loaders of a hall share the link to the store.
	hostsEvery  = 8 * time.Second
	routersSoon = 400 * time.Millisecond
	// routersEvery is the interval of the list of routers otherwise. One that is not known
	// yet is only not asked.
	routersEvery = 20 * time.Second
	// nearTries is how many routers may give no answer, one after the other, until the list
	// of hosts is read from the store.
	nearTries = 8
	// storeAfter is how long after the start only routers are asked for the list of hosts
	// and the needs: they have it within seconds after a loss of all power.
	storeAfter = 8 * time.Second
	// hostIdle is how long connections to the store and other loaders rest.
	hostIdle = 30 * time.Second
	// originIdle is the same for the origin, which takes few connections from
	// all hosts together and counts those whose host has lost its power.
	originIdle = 300 * time.Millisecond
	// firstVersion is what an engine should hold while no version is declared.
	firstVersion = 1
)

// Options vary a loader. Provider must be set; the rest has working defaults.
type Options struct {
	// Provider makes the surroundings from the store's address and the clients
	// for calls to the store and to hosts.
	Provider func(store netip.AddrPort, storeClient, hostClient *http.Client) provider.Provider
	// LogOutput takes the log lines; nil means none.
	LogOutput io.Writer
	// Dial makes the connections to other hosts; nil means over the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Process is one loader.
type Process struct {
	// current are the settings in force.
	current   atomic.Pointer[settings.Loader]
	provider  provider.Provider
	telemetry *telemetry.Telemetry
	output    *telemetry.Bounded
	log       *log.Entry

	table    *replica.Table
	compiler *replica.Compiler
	// versions follows the declared versions, hosts the upstreams' records, and
	// routers those of the routers.
	versions, hosts, routers *replica.Follower
	held                     *swarm.Held
	keeper                   *keep.Keeper
	feed                     *loadfeed.Feed
	ledger                   *places.Ledger
	limitLines               *rate.Limiter
	client                   *http.Client

	// needs is what the configuration says of the engine's service.
	needs atomic.Pointer[replica.EngineConfig]
	// neighbours are the routers of this hall.
	neighbours *peering.Neighbours
	// received counts chunks by where they came from.
	received received
	// listed is the roster of the newest view.
	listed atomic.Pointer[roster]

	peers, metrics *server.Server
	// began is when this process was made.
	began time.Time
	tomb  tomb.Tomb
	done  chan struct{}
}

// New prepares a loader; Start runs it.
func New(s settings.Loader, options Options) (*Process, error) {
	if options.Provider == nil {
		return nil, errors.New("loader: no provider")
	}
	s.SetDefaults()
	t, output, err := telemetry.NewWithBounded(telemetry.Options{
		Role: string(s.Role), Name: s.Name, Hall: s.Hall, Level: s.Log.Level, Output: options.LogOutput,
	})
	if err != nil {
		return nil, fmt.Errorf("loader %s: %w", s.Name, err)
	}
	if options.Dial == nil {
		options.Dial = dial.Watchful
	}
	p := &Process{
		telemetry: t, output: output, log: t.Log,
		table: &replica.Table{}, held: &swarm.Held{}, feed: loadfeed.NewFeed(), ledger: &places.Ledger{}, limitLines: rate.NewLimiter(limitLines, limitLines), done: make(chan struct{}),
		client: &http.Client{Transport: dial.NewHostTransport(options.Dial, hostIdle)},
		began:  clock.Now(),
	}
	p.current.Store(&s)
	p.ledger.OnLimit = p.noteLimit
	calls := &http.Client{Transport: dial.NewHostTransport(options.Dial, originIdle)}
	p.provider = options.Provider(s.Store, p.client, calls)
	p.compiler = &replica.Compiler{Decode: p.provider.Decode, OnEntryChange: p.noteBelief}
	p.table.OnChange = p.compiler.Apply
	p.neighbours = p.newNeighbours()
	p.neighbours.Hold = p.starting
	p.addFollowers()
	p.keeper = &keep.Keeper{
		Engine: p.provider.Engine, Origin: p.provider.Origin, Address: s.Engine, Held: p.held,
		Own: s.Listen.Peers, Ranked: p.rankedFor, Plan: p.plan, NewFetch: p.newFetch, AskPeer: p.askPeer,
		OnReport: p.noteReport, OnStep: p.noteStep,
	}
	return p, nil
}

// addFollowers prepares what is followed. Declared versions and the list of hosts come from
// a router of this hall while one answers: watches of the store by each loader are most calls
// of a calm fleet. The versions are read from the store as well, first and now and then.
func (p *Process) addFollowers() {
	outage := &replica.CircuitBreaker{}
	follower := func(prefix string) *replica.Follower {
		return &replica.Follower{
			Store: p.provider.Store, Prefix: prefix, Table: p.table, OnConnectionChange: p.telemetry.Contact,
			Breaker: outage,
		}
	}
	p.versions = follower(p.provider.Prefixes.Versions)
	p.versions.StaleFirstList = true
	p.versions.WatchWait = func() time.Duration { return versionsWait }
	p.versions.RecheckInterval = versionsLook
	p.versions.QueryPeer = p.newNeighbours().News
	hall := p.current.Load().Hall
	p.hosts = follower(p.provider.Prefixes.Upstreams)
	p.hosts.PollInterval = func() time.Duration { return hostsEvery/2 + rand.N(hostsEvery/2) }
	p.hosts.QueryPeer, p.hosts.PeerAttempts = p.neighbours.News, nearTries
	p.routers = follower(p.provider.Prefixes.MembersOfHall(hall, ""))
	p.routers.PollInterval = p.routersPause
	p.routers.QueryPeer = p.newNeighbours().News
	p.routers.BootstrapPrefixes = []string{p.provider.Prefixes.MembersOfHall(hall, readers.Shard(p.current.Load().Name)), p.routers.Prefix}
	p.routers.BootstrapDone = p.knowsRouter
}

// knowsRouter reports whether a router of this hall is known, whether it answers or not.
func (p *Process) knowsRouter() bool {
	_, known := p.neighbour(func(netip.AddrPort) bool { return true })
	return known
}

// newNeighbours returns what asks the routers of this hall for one follower.
func (p *Process) newNeighbours() *peering.Neighbours {
	return &peering.Neighbours{Client: p.client, Choose: p.neighbour, OnMute: p.telemetry.NeighbourMuted}
}

// routersPause is the pause before the hall's routers are listed again: short while none of
// them is known.
func (p *Process) routersPause() time.Duration {
	pause := routersEvery
	if !p.knowsRouter() {
		pause = routersSoon
	}
	return pause/2 + rand.N(pause/2)
}

// starting reports whether the store is to be left to the routers.
func (p *Process) starting() bool { return clock.Since(p.began) < storeAfter }

func (p *Process) followers() []*replica.Follower {
	return []*replica.Follower{p.versions, p.hosts, p.routers}
}

// Start opens the ports and begins to keep the engine.
func (p *Process) Start() error {
	pages := bunrouter.New()
	(&swarm.Server{Held: p.held, Uplink: swarm.Uplink{BytesPerSecond: p.linkBytes}}).Register(pages)
	pages.Compat().GET(loadfeed.Path, p.feed.ServeHTTP)
	pages.Compat().GET(places.Path, places.Handler(p.ledger, p.noteAnswer))
	var err error
	p.peers, err = server.Listen(server.Options{Name: "peers", Address: p.current.Load().Listen.Peers, Handler: pages})
	if err != nil {
		return fmt.Errorf("loader %s: %w", p.current.Load().Name, err)
	}
	mux := http.NewServeMux()
	p.telemetry.Pages(mux)
	p.metrics, err = server.Listen(server.Options{Name: "metrics", Address: p.current.Load().Listen.Metrics, Handler: mux})
	if err != nil {
		p.peers.Kill()
		return fmt.Errorf("loader %s: %w", p.current.Load().Name, err)
	}
	for _, follower := range p.followers() {
		follower.Start()
	}
	p.tomb.Go(p.lookForNeeds)
	p.keeper.Start()
	p.log.WithFields(log.Fields{"peers": p.current.Load().Listen.Peers, "engine": p.current.Load().Engine, "store": p.current.Load().Store}).Info("started")
	return nil
}

// plan says what an engine that holds some version should hold.
func (p *Process) plan(held int) (keep.Plan, bool) {
	known := p.needs.Load()
	if known == nil || !p.versions.Synced() {
		return keep.Plan{}, false
	}
	model := known.Engine.Model
	plan := keep.Plan{
		Goal:   keep.Goal{Model: model, Version: firstVersion, Fence: p.table.LatestRevision()},
		Origin: known.Origin, Places: known.Engine.Places,
		Chunks: known.Engine.Chunks, ChunkBytes: known.Engine.ChunkBytes,
		OriginTime: p.originTime(known),
	}
	if declared, ok := p.compiler.View().Targets[model]; ok {
		plan.Goal = p.goal(&declared, held)
		for before := declared.Previous; before != nil; before = before.Previous {
			plan.Earlier = append(plan.Earlier, p.goal(before, held))
		}
	}
	return plan, true
}

// goal works out when this host's engine may take a declared version.
func (p *Process) goal(declared *replica.Declaration, held int) keep.Goal {
	apply := p.current.Load().Bounds.VersionApply.Std()
	due := time.Time{}
	for before := declared.Previous; before != nil && before.Version > held; before = before.Previous {
		due = before.DeclaredAt(apply).Add(apply)
	}
	window := turn.NewWindow(declared.DeclaredAt(apply), apply, due)
	if c := p.held.Get(declared.Version); c != nil {
		window = window.After(c.Completed())
	}
	place, hosts := p.place(declared.Model, declared.Version)
	return keep.Goal{Model: declared.Model, Version: declared.Version, Fence: p.table.LatestRevision(), Turn: window.Of(place, hosts)}
}

// place is this host's place among some hosts in the order of their turns.
func (p *Process) place(model string, version int) (place, hosts int) {
	r := p.roster()
	return r.place(fmt.Sprintf("%s/%d", model, version)), len(r.names)
}

// originTime is how long the origin takes for one copy: by its own link where that is
// declared. Taken for as fast as this host's, which carries 7.3 Mbit/s, an origin of 4.38 was
// asked for each chunk long before it could send it.
func (p *Process) originTime(known *replica.EngineConfig) time.Duration {
	bytes := known.Engine.Chunks * known.Engine.ChunkBytes
	if known.OriginRate <= 0 {
		return p.linkTime(bytes)
	}
	return transferTime(bytes, known.OriginRate)
}

// linkTime is how long a link like this host's takes for some bytes.
func (p *Process) linkTime(bytes int) time.Duration {
	rate := p.linkBytes()
	if rate <= 0 {
		return 0
	}
	return transferTime(bytes, rate)
}

// transferTime is how long some bytes take at a rate in bytes a second.
func transferTime(bytes int, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// linkBytes is what this host's link bears in a second, 0 where not known.
func (p *Process) linkBytes() float64 {
	const bytesPerMegabit = 1e6 / 8
	return p.current.Load().Bounds.LinkMbps * bytesPerMegabit
}

// own is this loader; all loaders listen on the same port.
func (p *Process) own() swarm.Host {
	return swarm.Host{Address: p.current.Load().Listen.Peers, Hall: p.current.Load().Hall}
}

// loaders are those of all engines of this service.
func (p *Process) loaders() []swarm.Host { return p.roster().hosts }

// rankedFor are the loaders in the order in which it falls to them to ask the origin
// for a version's manifest.
func (p *Process) rankedFor(goal keep.Goal) []netip.AddrPort {
	key := fmt.Sprintf("manifest of %s/%d", goal.Model, goal.Version)
	var ranked []netip.AddrPort
	for _, name := range rendezvous.Rank(key, p.roster().names) {
		ranked = append(ranked, netip.MustParseAddrPort(name))
	}
	return ranked
}

func (p *Process) newFetch(plan keep.Plan, c *swarm.Copy) *swarm.Fetch {
	place, _ := p.place(plan.Goal.Model, plan.Goal.Version)
	return &swarm.Fetch{
		First: turn.IsEarly(place),
		Copy:  c, Model: plan.Goal.Model, Origin: plan.Origin, Source: p.provider.Origin,
		Own: p.own(), Hosts: p.loaders, Client: p.client, OriginTime: plan.OriginTime,
		ChunkTime: p.linkTime(plan.ChunkBytes), OnChunk: p.noteChunk,
	}
}

func (p *Process) askPeer(ctx context.Context, peer netip.AddrPort, version int) (provider.Manifest, error) {
	return swarm.Peer{Address: peer, Client: p.client}.Manifest(ctx, version)
}

// Stop ends the loader. The engine goes on serving what it holds.
func (p *Process) Stop(_ context.Context) error {
	p.log.Info("stopping")
	p.telemetry.SetNotReady("stopping")
	p.keeper.Stop()
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
	for _, follower := range p.followers() {
		follower.Stop()
	}
	p.peers.Kill()
	p.metrics.Kill()
	p.log.Info("stopped")
	p.telemetry.Close()
	p.output.Close()
	close(p.done)
	return nil
}

// Done is closed when the loader has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Reload takes changed settings. Bounds apply at once; a changed name or address
// needs a new start and is reported.
func (p *Process) Reload(file settings.File) {
	current := p.current.Load()
	if file.Loader == nil || file.Loader.Listen != current.Listen || file.Loader.Engine != current.Engine ||
		file.Loader.Store != current.Store || file.Loader.Name != current.Name {
		p.log.WithField("reason", "a role, name or address has changed, which needs a new start").Error("changed settings not taken, the last good ones stay")
		return
	}
	p.current.Store(file.Loader)
	p.log.Info("settings reloaded")
}
