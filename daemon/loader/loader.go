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
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/server"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/keep"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/turn"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

const (
	// hostIdle is how long connections to other hosts rest.
	hostIdle = 30 * time.Second
	// lookEvery is the interval in which the configuration is looked for until
	// it is known, and lookAgain the one after that: an origin seldom moves.
	lookEvery = 300 * time.Millisecond
	lookAgain = 10 * time.Second
	// lookTimeout bounds a read of the configuration.
	lookTimeout = 2 * time.Second
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
	settings  settings.Loader
	provider  provider.Provider
	telemetry *telemetry.Telemetry
	output    *telemetry.Bounded
	log       *log.Entry

	table     *mirror.Table
	compiler  *mirror.Compiler
	followers []*mirror.Follower
	held      *swarm.Held
	keeper    *keep.Keeper
	feed      *loadfeed.Feed
	client    *http.Client

	// weights is what the configuration says of the engine's service.
	weights atomic.Pointer[weights]

	peers, metrics *server.Server
	tomb           tomb.Tomb
	done           chan struct{}
}

// weights is the configuration as far as it concerns one engine.
type weights struct {
	engine provider.EngineSpec
	origin netip.AddrPort
}

// New prepares a loader; Start runs it.
func New(s settings.Loader, options Options) (*Process, error) {
	if options.Provider == nil {
		return nil, errors.New("loader: no provider")
	}
	s.SetDefaults()
	output := telemetry.NewBounded(helpers.OrDefault(options.LogOutput, io.Discard))
	t, err := telemetry.New(telemetry.Options{Role: string(s.Role), Name: s.Name, Hall: s.Hall, Level: s.Log.Level, Output: output})
	if err != nil {
		return nil, fmt.Errorf("loader %s: %w", s.Name, err)
	}
	if options.Dial == nil {
		options.Dial = dial.Watchful
	}
	p := &Process{
		settings: s, telemetry: t, output: output, log: t.Log,
		table: &mirror.Table{}, held: &swarm.Held{}, feed: loadfeed.NewFeed(), done: make(chan struct{}),
		client: &http.Client{Transport: dial.NewHostTransport(options.Dial, hostIdle)},
	}
	p.provider = options.Provider(s.Store, p.client, p.client)
	p.compiler = &mirror.Compiler{Decode: p.provider.Decode, OnBelief: p.noteBelief}
	p.table.OnChange = p.compiler.Take
	for _, prefix := range []string{p.provider.Prefixes.Versions, p.provider.Prefixes.Upstreams} {
		p.followers = append(p.followers, &mirror.Follower{
			Store: p.provider.Store, Prefix: prefix, Table: p.table, OnContact: p.noteContact,
		})
	}
	p.keeper = &keep.Keeper{
		Engine: p.provider.Engine, Origin: p.provider.Origin, Address: s.Engine, Held: p.held,
		Plan: p.plan, Peers: p.otherLoaders, NewFetch: p.newFetch, AskPeer: p.askPeer,
		OnReport: p.noteReport, OnStep: p.noteStep,
	}
	return p, nil
}

// Start opens the ports and begins to keep the engine.
func (p *Process) Start() error {
	pages := bunrouter.New()
	(&swarm.Server{Held: p.held}).Register(pages)
	pages.Compat().GET(loadfeed.Path, p.feed.ServeHTTP)
	var err error
	p.peers, err = server.Listen(server.Options{Name: "peers", Address: p.settings.Listen.Peers, Handler: pages})
	if err != nil {
		return fmt.Errorf("loader %s: %w", p.settings.Name, err)
	}
	mux := http.NewServeMux()
	p.telemetry.Pages(mux)
	p.metrics, err = server.Listen(server.Options{Name: "metrics", Address: p.settings.Listen.Metrics, Handler: mux})
	if err != nil {
		p.peers.Kill()
		return fmt.Errorf("loader %s: %w", p.settings.Name, err)
	}
	for _, follower := range p.followers {
		follower.Start()
	}
	p.tomb.Go(p.lookForWeights)
	p.keeper.Start()
	p.log.WithFields(log.Fields{"peers": p.settings.Listen.Peers, "engine": p.settings.Engine, "store": p.settings.Store}).Info("started")
	return nil
}

// lookForWeights reads the configuration now and then. A watch was rejected: it
// would bring the whole configuration, at each change, over the link that the
// weights need.
func (p *Process) lookForWeights() error {
	for {
		pause := lookEvery
		if err := p.readWeights(); err == nil {
			pause = lookAgain
		}
		if !helpers.Pause(pause, p.tomb.Dying()) {
			return nil
		}
	}
}

var errNoEngine = errors.New("the configuration has no engine service of this name, or no origin")

func (p *Process) readWeights() error {
	ctx, cancel := context.WithTimeout(p.tomb.Context(nil), lookTimeout) //nolint:staticcheck // nil asks the tomb for its own context
	defer cancel()
	entry, err := p.provider.Store.Get(ctx, p.provider.Prefixes.Configuration)
	if err != nil {
		return err
	}
	record, err := p.provider.Decode(entry)
	if err != nil || record.Configuration == nil {
		p.log.WithField("reason", fmt.Sprint(err)).Error("configuration not taken, the last good one stays")
		return errNoEngine
	}
	found := weights{}
	for _, service := range record.Configuration.Services {
		if service.Engine != nil && service.Name == p.settings.Service {
			found.engine = *service.Engine
		}
		if service.Origin.IsValid() {
			found.origin = service.Origin
		}
	}
	if found.engine.Model == "" || !found.origin.IsValid() {
		return errNoEngine
	}
	if known := p.weights.Swap(&found); known == nil || *known != found {
		p.log.WithFields(log.Fields{
			"decision": "believe", "model": found.engine.Model, "origin": found.origin, "revision": entry.Revision,
		}).Info("belief changed")
	}
	return nil
}

// plan says what the engine should hold.
func (p *Process) plan() (keep.Plan, bool) {
	known := p.weights.Load()
	if known == nil || !p.followers[0].Known() {
		return keep.Plan{}, false
	}
	view := p.compiler.View()
	model := known.engine.Model
	goal := keep.Goal{Model: model, Version: firstVersion, Fence: p.table.Newest()}
	if declared, ok := view.Targets[model]; ok {
		spread := p.settings.Bounds.VersionApply.Std()
		goal.Version = declared.Version
		goal.Turn = declared.Learned.Add(turn.Wait(fmt.Sprintf("%s/%d", model, declared.Version), p.own().String(), p.loaderNames(), spread))
	}
	return keep.Plan{
		Goal: goal, Origin: known.origin, Chunks: known.engine.Chunks, ChunkBytes: known.engine.ChunkBytes,
		OriginTime: p.linkTime(known.engine.Chunks * known.engine.ChunkBytes),
	}, true
}

// linkTime is how long a link like this host's takes for some bytes.
func (p *Process) linkTime(bytes int) time.Duration {
	const bitsPerMegabit = 1e6
	rate := p.settings.Bounds.LinkMbps * bitsPerMegabit
	if rate <= 0 {
		return 0
	}
	return time.Duration(8 * float64(bytes) / rate * float64(time.Second))
}

// own is this loader's address; all loaders listen on the same port.
func (p *Process) own() netip.AddrPort { return p.settings.Listen.Peers }

// loaders are the addresses of all loaders of this service's engines.
func (p *Process) loaders() []netip.AddrPort {
	var result []netip.AddrPort
	for _, upstream := range p.compiler.View().Upstreams[p.settings.Service] {
		address := netip.AddrPortFrom(upstream.Address.Addr(), p.own().Port())
		if !slices.Contains(result, address) {
			result = append(result, address)
		}
	}
	return result
}

func (p *Process) otherLoaders() []netip.AddrPort {
	return slices.DeleteFunc(p.loaders(), func(address netip.AddrPort) bool { return address == p.own() })
}

func (p *Process) loaderNames() []string {
	names := []string{p.own().String()}
	for _, address := range p.otherLoaders() {
		names = append(names, address.String())
	}
	return names
}

func (p *Process) newFetch(plan keep.Plan, c *swarm.Copy) *swarm.Fetch {
	return &swarm.Fetch{
		Copy: c, Model: plan.Goal.Model, Origin: plan.Origin, Source: p.provider.Origin,
		Own: p.own(), Peers: p.loaders, Client: p.client, OriginTime: plan.OriginTime, OnChunk: p.noteChunk,
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
	for _, follower := range p.followers {
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

// Reload takes changed settings; a loader's addresses need a new start.
func (p *Process) Reload(file settings.File) {
	if file.Loader == nil || file.Loader.Listen != p.settings.Listen || file.Loader.Engine != p.settings.Engine {
		p.log.WithField("reason", "a role or an address has changed, which needs a new start").Error("changed settings not taken, the last good ones stay")
		return
	}
	p.log.Info("settings reloaded")
}
