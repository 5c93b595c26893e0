// Package loader assembles the loader, the process that runs beside an engine. It brings the
// engine to the declared version of its model, serves chunks of weights to other loaders, and
// reports the engine's load to routers and grants them places there. A place is one of the
// engine's execution slots.
//
// Unlike an agent it is not on the path of requests.
package loader

import (
	"context"
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
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/fanout"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/server"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/reconcile"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/schedule"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

const (
	// versionsRecheckInterval is the interval of stale reads of the declared versions from the
	// store, which are far cheaper than watches. They find changes that routers miss while the
	// store rejects them, and those hidden by a watch that never returns after an outage.
	versionsRecheckInterval = 4 * time.Second
	// versionsWatchWait is how long one watch for declared versions waits. Dead connections
	// are detected sooner. With a shorter wait nearly every watch would return without a
	// change, and a longer one would exceed the revision history of some stores.
	versionsWatchWait = 15 * time.Second
	// upstreamsInterval is the interval in which the list of upstreams is read from the store
	// while no router answers. The list grows with the fleet, and all loaders of a hall share
	// the link to the store. routersRetryInterval is the interval in which the hall's routers
	// are listed while none is known.
	upstreamsInterval    = 8 * time.Second
	routersRetryInterval = 400 * time.Millisecond
	// routersInterval is the interval in which the hall's routers are listed otherwise. Until
	// the next listing a new router is not queried, which is harmless.
	routersInterval = 20 * time.Second
	// maxRouterFailures is the number of consecutive failed queries to routers after which
	// the list of upstreams is read from the store.
	maxRouterFailures = 8
	// startupPeriod is the time after the start in which the store is not read for the list
	// of upstreams and the engine's configuration: all loaders may start at once after a power
	// loss, and routers have both within seconds.
	startupPeriod = 8 * time.Second
	// storeIdleTimeout closes idle connections to the store and to other loaders.
	storeIdleTimeout = 30 * time.Second
	// originIdleTimeout closes idle connections to the origin, which accepts few connections
	// from all hosts together and also counts those of hosts that have lost power.
	originIdleTimeout = 300 * time.Millisecond
	// initialVersion is the version that an engine loads while none is declared.
	initialVersion = 1
)

// Options configure a loader. Provider must be set.
type Options struct {
	// Provider returns the platform's calls, given the store's address and the HTTP clients
	// for calls to the store and to hosts.
	Provider func(store netip.AddrPort, storeClient, hostClient *http.Client) provider.Provider
	// LogOutput receives the log lines; nil discards them.
	LogOutput io.Writer
	// Dial opens the connections to other hosts; nil selects the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Process is a running loader.
type Process struct {
	// current holds the settings in force.
	current   atomic.Pointer[settings.Loader]
	provider  provider.Provider
	telemetry *telemetry.Telemetry
	output    *telemetry.BoundedWriter
	log       *log.Entry

	table    *replica.Table
	compiler *replica.Compiler
	// versions follows the declared versions, upstreams the records of all upstreams, and
	// routers the records of the hall's routers.
	versions, upstreams, routers *replica.Follower
	copies                       *swarm.Copies
	reconciler                   *reconcile.Reconciler
	feed                         *loadfeed.Feed
	ledger                       *places.Ledger
	limitLog                     *rate.Limiter
	client                       *http.Client

	// engineConfig is the part of the configuration for the engine's service.
	engineConfig atomic.Pointer[replica.EngineConfig]
	// routerClient queries the routers of this hall.
	routerClient *peering.Neighbours
	// engineLeaving is whether the engine's last report stated that it is leaving.
	engineLeaving atomic.Bool
	// receivedBytes counts chunk bytes by source.
	receivedBytes receivedBytes
	// cachedRoster is the roster of the newest view.
	cachedRoster atomic.Pointer[roster]

	peers, metrics *server.Server
	createdAt      time.Time
	tomb           tomb.Tomb
	done           chan struct{}
}

// New returns a loader, which Start runs.
func New(s settings.Loader, options Options) (*Process, error) {
	if options.Provider == nil {
		return nil, fmt.Errorf("loader %s: Options.Provider is not set", s.Name)
	}
	s.SetDefaults()
	t, output, err := telemetry.NewWithBoundedWriter(telemetry.Options{
		Role: string(s.Role), Name: s.Name, Hall: s.Hall, Level: s.Log.Level, Output: options.LogOutput,
	})
	if err != nil {
		return nil, fmt.Errorf("loader %s: %w", s.Name, err)
	}
	if options.Dial == nil {
		options.Dial = dial.Host
	}
	p := &Process{
		telemetry: t, output: output, log: t.Log,
		table: &replica.Table{}, copies: &swarm.Copies{}, feed: loadfeed.NewFeed(), ledger: &places.Ledger{}, limitLog: rate.NewLimiter(limitLogRate, limitLogRate), done: make(chan struct{}),
		client:    &http.Client{Transport: dial.NewHostTransport(options.Dial, storeIdleTimeout)},
		createdAt: clock.Now(),
	}
	p.current.Store(&s)
	p.ledger.OnRateLimitChange = p.logLimit
	hostClient := &http.Client{Transport: dial.NewHostTransport(options.Dial, originIdleTimeout)}
	p.provider = options.Provider(s.Store, p.client, hostClient)
	p.compiler = &replica.Compiler{Decode: p.provider.Decode, OnEntryChange: p.logDeclaration, OnSuperseded: p.logSuperseded, Recompile: p.table.Recompile}
	p.table.OnChange, p.table.OnDeclared = p.compiler.Apply, p.learnDeclared
	p.routerClient = p.newRouterClient()
	p.routerClient.DeferStoreRead = p.starting
	p.addFollowers()
	p.reconciler = &reconcile.Reconciler{
		Engine: p.provider.Engine, Origin: p.provider.Origin, EngineAddress: s.Engine, Copies: p.copies,
		Self: s.Listen.Peers, RankLoaders: p.manifestRanking, Plan: p.plan, NewFetch: p.newFetch, PeerManifest: p.peerManifest,
		OnReport: p.publishReport, OnStep: p.logStep,
	}
	return p, nil
}

// addFollowers configures the followers. Declared versions and the upstreams come from a
// router of this hall while one answers: with watches by each loader, these would be most of
// the calls to the store. The versions are also read from the store, at first and at intervals.
func (p *Process) addFollowers() {
	breaker := &replica.CircuitBreaker{}
	follower := func(prefix string) *replica.Follower {
		return &replica.Follower{
			Store: p.provider.Store, Prefix: prefix, Table: p.table, OnConnectionChange: p.storeConnectionChanged,
			Breaker: breaker,
		}
	}
	p.versions = follower(p.provider.Prefixes.Versions)
	p.versions.OnRestore = p.logRestore
	p.versions.StaleFirstList = true
	p.versions.WatchWait = func() time.Duration { return versionsWatchWait }
	p.versions.RecheckInterval = versionsRecheckInterval
	p.versions.QueryPeer = p.newRouterClient().FetchUpdate
	hall := p.current.Load().Hall
	p.upstreams = follower(p.provider.Prefixes.Upstreams)
	p.upstreams.PollInterval = func() time.Duration { return upstreamsInterval/2 + rand.N(upstreamsInterval/2) }
	p.upstreams.QueryPeer, p.upstreams.PeerAttempts = p.routerClient.FetchUpdate, maxRouterFailures
	p.routers = follower(p.provider.Prefixes.MembersOfHall(hall, ""))
	p.routers.PollInterval = p.routersDelay
	p.routers.QueryPeer = p.newRouterClient().FetchUpdate
	p.routers.BootstrapPrefixes = []string{p.provider.Prefixes.MembersOfHall(hall, fanout.Shard(p.current.Load().Name)), p.routers.Prefix}
	p.routers.BootstrapDone = p.knowsRouter
}

// knowsRouter reports whether a router of this hall is known, responsive or not.
func (p *Process) knowsRouter() bool {
	_, known := p.chooseRouter(func(netip.AddrPort) bool { return true })
	return known
}

// newRouterClient returns a client of this hall's routers for one follower.
func (p *Process) newRouterClient() *peering.Neighbours {
	return &peering.Neighbours{Client: p.client, Choose: p.chooseRouter, MinEra: p.table.Era, OnBackoff: p.routerFailed}
}

// routerFailed is called when a call to a router has failed.
func (p *Process) routerFailed(router netip.AddrPort, reason error) {
	p.telemetry.LogNeighbourBackoff(router, reason)
	dial.CloseIdleAfterTimeout(p.client, reason)
}

// storeConnectionChanged is called when calls to the store begin to fail, and when they succeed again.
func (p *Process) storeConnectionChanged(prefix string, cause error) {
	p.telemetry.LogStoreConnection(prefix, cause)
	dial.CloseIdleAfterTimeout(p.client, cause)
}

// routersDelay returns the delay before the hall's routers are listed again, which is short
// while none is known.
func (p *Process) routersDelay() time.Duration {
	delay := routersInterval
	if !p.knowsRouter() {
		delay = routersRetryInterval
	}
	return delay/2 + rand.N(delay/2)
}

// starting reports whether this process started so recently that it leaves the store to the
// routers.
func (p *Process) starting() bool { return clock.Since(p.createdAt) < startupPeriod }

func (p *Process) followers() []*replica.Follower {
	return []*replica.Follower{p.versions, p.upstreams, p.routers}
}

// Start listens on the ports and starts the followers and the engine's reconciliation.
func (p *Process) Start() error {
	routes := bunrouter.New()
	(&swarm.Server{Copies: p.copies, Uplink: swarm.Uplink{BytesPerSecond: p.linkRate}}).Register(routes)
	routes.Compat().GET(loadfeed.Path, p.feed.ServeHTTP)
	routes.Compat().GET(places.Path, places.Handler(p.ledger, p.countResponse))
	limits := server.Limits{MemoryMB: p.current.Load().Bounds.MemoryMB, OnClose: p.telemetry.ConnectionClosed}
	var err error
	p.peers, err = limits.Listen(server.MainShare, server.Options{Name: "peers", Address: p.current.Load().Listen.Peers, Handler: routes})
	if err != nil {
		return fmt.Errorf("loader %s: %w", p.current.Load().Name, err)
	}
	mux := http.NewServeMux()
	p.telemetry.RegisterPages(mux)
	p.metrics, err = limits.Listen(server.ControlShare, server.Options{Name: "metrics", Address: p.current.Load().Listen.Metrics, Handler: mux})
	if err != nil {
		p.peers.Close()
		return fmt.Errorf("loader %s: %w", p.current.Load().Name, err)
	}
	for _, follower := range p.followers() {
		follower.Start()
	}
	p.tomb.Go(p.pollEngineConfig)
	p.reconciler.Start()
	p.log.WithFields(log.Fields{"peers": p.current.Load().Listen.Peers, "engine": p.current.Load().Engine, "store": p.current.Load().Store}).Info("started")
	return nil
}

// plan returns the plan for an engine that serves the given version, or false while the
// engine's configuration or the declared versions are not known.
func (p *Process) plan(loaded int) (reconcile.Plan, bool) {
	config := p.engineConfig.Load()
	if config == nil || !p.versions.Synced() {
		return reconcile.Plan{}, false
	}
	model := config.Engine.Model
	plan := reconcile.Plan{
		Goal:          reconcile.Goal{Model: model, Version: initialVersion, FencingToken: p.table.LatestRevision()},
		OriginAddress: config.Origin, Places: config.Engine.Places,
		Chunks: config.Engine.Chunks, ChunkBytes: config.Engine.ChunkBytes,
		CopyTime: p.copyTime(config), ChunkTime: p.linkTime(config.Engine.ChunkBytes),
	}
	if declared, ok := p.compiler.View().Targets[model]; ok {
		plan.Goal = p.goal(&declared, loaded)
		for earlier := declared.Previous; earlier != nil; earlier = earlier.Previous {
			plan.Earlier = append(plan.Earlier, p.goal(earlier, loaded))
		}
	}
	return plan, true
}

// goal returns a declared version with the time at which this host's engine may load it.
func (p *Process) goal(declared *replica.Declaration, loaded int) reconcile.Goal {
	apply := p.current.Load().Bounds.VersionApply.Std()
	due := time.Time{}
	for earlier := declared.Previous; earlier != nil && earlier.Version > loaded; earlier = earlier.Previous {
		due = earlier.DeclaredAt(apply).Add(apply)
	}
	window := schedule.NewWindow(declared.DeclaredAt(apply), apply, due)
	if c := p.copies.Get(declared.Version); c != nil {
		window = window.Delayed(c.CompletedAt())
	}
	rank, hosts := p.rank(declared.Model, declared.Version)
	return reconcile.Goal{Model: declared.Model, Version: declared.Version, FencingToken: p.table.LatestRevision(), LoadAt: window.LoadTime(rank, hosts), Due: declared.DeclaredAt(apply).Add(apply)}
}

// rank returns this host's rank in the order in which hosts load a version, and their number.
func (p *Process) rank(model string, version int) (rank, hosts int) {
	r := p.roster()
	return r.rank(fmt.Sprintf("%s/%d", model, version)), len(r.names)
}

// copyTime returns how long the origin takes to send one copy. It follows from the declared
// rate of the origin's link, or from this host's link if none is declared. With an estimate
// that is too short, hosts would request each chunk long before the origin could send it.
func (p *Process) copyTime(config *replica.EngineConfig) time.Duration {
	bytes := config.Engine.Chunks * config.Engine.ChunkBytes
	if config.OriginRate <= 0 {
		return p.linkTime(bytes)
	}
	return transferTime(bytes, config.OriginRate)
}

// linkTime returns how long a number of bytes takes over a link as fast as this host's, 0
// if its rate is not known.
func (p *Process) linkTime(bytes int) time.Duration {
	rate := p.linkRate()
	if rate <= 0 {
		return 0
	}
	return transferTime(bytes, rate)
}

// transferTime returns how long a number of bytes takes at a rate in bytes per second.
func transferTime(bytes int, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// linkRate returns the rate of this host's link in bytes per second, 0 if it is not known.
func (p *Process) linkRate() float64 {
	const bytesPerMegabit = 1e6 / 8
	return p.current.Load().Bounds.LinkMbps * bytesPerMegabit
}

// self returns this loader as its peers address it.
func (p *Process) self() swarm.Host {
	return swarm.Host{Address: p.current.Load().Listen.Peers, Hall: p.current.Load().Hall}
}

// loaders returns the loaders of all engines of this service.
func (p *Process) loaders() []swarm.Host { return p.roster().hosts }

// manifestRanking returns the loaders in the order in which they query the origin for a
// version's manifest.
func (p *Process) manifestRanking(goal reconcile.Goal) []netip.AddrPort {
	key := fmt.Sprintf("manifest of %s/%d", goal.Model, goal.Version)
	var ranked []netip.AddrPort
	for _, name := range rendezvous.Rank(key, p.roster().names) {
		ranked = append(ranked, netip.MustParseAddrPort(name))
	}
	return ranked
}

func (p *Process) newFetch(plan reconcile.Plan, c *swarm.Copy) *swarm.Fetch {
	rank, _ := p.rank(plan.Goal.Model, plan.Goal.Version)
	return &swarm.Fetch{
		Early: schedule.IsEarly(rank),
		Copy:  c, Model: plan.Goal.Model, OriginAddress: plan.OriginAddress, Origin: p.provider.Origin,
		Self: p.self(), Hosts: p.loaders, Client: p.client, CopyTime: plan.CopyTime,
		ChunkTime: plan.ChunkTime, OnChunk: p.countChunk,
	}
}

func (p *Process) peerManifest(ctx context.Context, peer netip.AddrPort, version int) (provider.Manifest, error) {
	return swarm.PeerClient{Address: peer, Client: p.client}.Manifest(ctx, version)
}

// Stop stops the loader. The engine continues to serve the version that it has loaded.
func (p *Process) Stop(_ context.Context) error {
	p.log.Info("stopping")
	p.telemetry.SetNotReady("stopping")
	p.reconciler.Stop()
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
	for _, follower := range p.followers() {
		follower.Stop()
	}
	p.peers.Close()
	p.metrics.Close()
	p.log.Info("stopped")
	p.telemetry.Close()
	p.output.Close()
	close(p.done)
	return nil
}

// Done returns a channel that is closed when the loader has stopped.
func (p *Process) Done() <-chan struct{} { return p.done }

// Reload applies changed settings. Bounds and the log level apply at once; a changed role, name or address is
// rejected because it requires a restart.
func (p *Process) Reload(file settings.File) {
	current := p.current.Load()
	if file.Loader == nil || file.Loader.Listen != current.Listen || file.Loader.Engine != current.Engine ||
		file.Loader.Store != current.Store || file.Loader.Name != current.Name {
		p.log.WithField("reason", "a changed role, name or address requires a restart").Error("changed settings rejected; keeping those in force")
		return
	}
	if err := p.telemetry.SetLevel(file.Loader.Log.Level); err != nil {
		p.log.WithError(err).Error("changed settings rejected; keeping those in force")
		return
	}
	p.current.Store(file.Loader)
	p.log.Info("settings reloaded")
}
