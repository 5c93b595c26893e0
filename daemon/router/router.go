// Package router assembles the process that accepts callers' requests and sends them straight to
// upstreams. A store lists the upstreams and holds the configuration; the router follows a
// replica of it, and reads the replicas of its peers while the store is unreachable.
//
// Unlike an entry, a router has no agent between itself and an upstream: upstreams report which
// requests they did not run. Invariant: a router holds no state that cannot be read again from
// the store or from other routers, so it may be restarted at any time.
package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/broadcast"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/peering"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/drain"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/fanout"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/server"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

const (
	// lameDuckPeriod is how long a stopping router keeps serving after it reports not ready, so
	// that the load balancer stops sending to it first.
	lameDuckPeriod = 2500 * time.Millisecond
	// upstreamIdleTimeout closes idle connections to upstreams before the upstreams do: it is
	// below every keep-alive timeout that they announce, in whole seconds.
	upstreamIdleTimeout = 900 * time.Millisecond
	// upstreamConnectTimeout bounds connecting to an upstream, which takes 2 to 15 ms. A lost SYN is resent only after a
	// second, by which time another upstream has answered.
	upstreamConnectTimeout = 200 * time.Millisecond
	// probeConnectTimeout bounds the probe of an upstream whose connection broke. The broken
	// request waits for the result; a refused connection shows within one round trip, 1 to 6 ms.
	probeConnectTimeout = 50 * time.Millisecond
	// storeIdleTimeout closes idle connections to the store and to peers.
	storeIdleTimeout = 30 * time.Second
)

// Options configure a router. Provider must be set; the other fields have defaults.
type Options struct {
	// Provider builds the adapter from the store's address and the clients for calls to the store
	// and to hosts.
	Provider func(store netip.AddrPort, storeClient, hostClient *http.Client) provider.Provider
	// LogOutput receives the log lines; nil discards them.
	LogOutput io.Writer
	// LameDuck overrides how long a stopping router keeps serving; 0 means the default.
	LameDuck time.Duration
	// Dial opens connections to other hosts; nil means the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Process is one router.
type Process struct {
	// current holds the settings in force.
	current   atomic.Pointer[settings.Router]
	options   Options
	provider  provider.Provider
	telemetry *telemetry.Telemetry
	output    *telemetry.BoundedWriter
	recorder  *recorder

	table    *replica.Table
	compiler *replica.Compiler
	follower *replica.Follower
	// neighbours are the other routers of this hall.
	neighbours  *peering.Neighbours
	puller      *peering.Puller
	announcer   *announcer
	loadReader  *loadfeed.Reader
	placeClient *places.Client
	pool        *balance.Pool
	retryBudget *dispatch.RetryBudget
	// probe detects crashed upstreams, suspects holds the contents of the requests that ran
	// there, and crashNotifier sends crash reports to the other routers.
	probe         *livenessprobe.Probe
	suspects      *suspects
	crashNotifier *broadcast.Sender[quarantine.Report]
	// limits holds the rate limits that upstreams announce, and limitNotifier sends them to the
	// other routers.
	limits        *limits
	limitNotifier *broadcast.Sender[ratelimit.UpstreamReport]
	// engineIDsByHost maps the address of a host to the IDs of its engines. It is replaced when
	// the list of upstreams changes, and read for each load report.
	engineIDsByHost atomic.Pointer[map[netip.Addr][]string]

	// facts holds what the choice of an upstream needs of the view in force.
	facts atomic.Pointer[balanceFacts]

	// upstreamTransport keeps connections to upstreams alive. suspended is the total time, in
	// nanoseconds, for which the host had been suspended at the last check.
	upstreamTransport *dial.Transport
	suspended         atomic.Int64

	callers, ready, peers, metrics *server.Server
	draining                       atomic.Bool
	drain                          drain.Drain
	done                           chan struct{}
}

// New prepares a router; Start runs it.
func New(s settings.Router, options Options) (*Process, error) {
	if options.Provider == nil {
		return nil, fmt.Errorf("router %s: Options.Provider is not set", s.Name)
	}
	s.SetDefaults()
	t, output, err := telemetry.NewWithBoundedWriter(telemetry.Options{
		Role: string(s.Role), Name: s.Name, Hall: s.Hall, Level: s.Log.Level, Output: options.LogOutput,
	})
	if err != nil {
		return nil, fmt.Errorf("router %s: %w", s.Name, err)
	}
	if options.Dial == nil {
		options.Dial = dial.Host
	}
	p := &Process{
		options: options, telemetry: t, output: output, recorder: newRecorder(t),
		table: &replica.Table{}, pool: &balance.Pool{Hall: s.Hall}, done: make(chan struct{}),
		probe: &livenessprobe.Probe{Dial: dial.WithTimeout(probeConnectTimeout, options.Dial)}, suspects: &suspects{}, limits: &limits{},
	}
	p.pool.ExpectedLoad, p.pool.OtherRouters = p.expectedLoad, p.otherRoutersOf
	p.current.Store(&s)
	client := &http.Client{Transport: dial.NewHostTransport(options.Dial, storeIdleTimeout)}
	p.provider = options.Provider(s.Store, client, client)
	p.compiler = &replica.Compiler{
		Decode: p.provider.Decode, OnEntryChange: p.entryApplied, OnSuperseded: p.recorder.entrySuperseded, OnKeptEnd: p.recorder.keptEnded,
		OnSuspect: p.applyStoredSuspect, Recompile: p.recheckExpired,
	}
	p.table.OnChange, p.table.OnDeclared = p.applyChanges, p.learnDeclared
	p.loadReader = &loadfeed.Reader{Client: client, OnState: p.applyLoad}
	p.placeClient = &places.Client{Client: client}
	p.crashNotifier, p.limitNotifier = p.newCrashNotifier(client), p.newLimitNotifier(client)
	p.initReplication(client)
	return p, nil
}

// initReplication prepares the store follower, the fallback to peers and the announcement of this
// router.
func (p *Process) initReplication(client *http.Client) {
	p.neighbours = &peering.Neighbours{Client: client, Choose: p.neighbourToFollow, DeferStoreRead: p.defersStoreRead, MinEra: p.table.Era}
	p.neighbours.OnBackoff = func(neighbour netip.AddrPort, reason error) {
		p.telemetry.LogNeighbourBackoff(neighbour, reason)
		dial.CloseIdleAfterTimeout(client, reason)
	}
	connectionChanged := func(prefix string, cause error) {
		p.recorder.storeConnectionChanged(prefix, cause)
		dial.CloseIdleAfterTimeout(client, cause)
	}
	own := p.memberRecord()
	shardPrefix, hallPrefix := p.provider.Prefixes.MembersOfHall(own.Hall, own.Shard), p.provider.Prefixes.MembersOfHall(own.Hall, "")
	p.follower = &replica.Follower{
		Store: p.provider.Store, Prefix: p.provider.Prefixes.Root, Table: p.table, OnConnectionChange: connectionChanged,
		OnBytes: p.recorder.storeBytes, OnRestore: p.storeRestored, Debounce: p.debounce, ProbeInterval: storeProbeInterval, ProbePrefix: p.provider.Prefixes.Versions,
		QueryPeer: p.neighbours.FetchUpdate, BootstrapPrefixes: []string{shardPrefix, hallPrefix}, BootstrapRecent: p.hallDiscovered, BootstrapDone: p.followsPeer,
	}
	p.puller = &peering.Puller{
		Client: client, Follower: p.follower, Peer: p.choosePeer, Needed: p.needsPeerPull, OnPull: p.recorder.peerPulled, FirstPrefix: hallPrefix,
	}
	p.announcer = &announcer{store: p.provider.Store, onConnectionChange: connectionChanged, put: p.provider.EncodeMember(own), lost: make(chan struct{}, 1)}
}

// memberRecord returns the record under which this router announces itself.
func (p *Process) memberRecord() provider.Member {
	s := p.current.Load()
	return provider.Member{
		Name: s.Name, Hall: s.Hall, Shard: fanout.Shard(s.Name), Peers: s.Listen.Peers, LinkMbps: s.Bounds.LinkMbps,
	}
}

// Start opens the listeners and starts to follow the store.
func (p *Process) Start() error {
	if err := p.listen(); err != nil {
		p.closeServers()
		return fmt.Errorf("router %s: %w", p.current.Load().Name, err)
	}
	p.follower.Start()
	p.puller.Start()
	p.announcer.start()
	p.crashNotifier.Start()
	p.limitNotifier.Start()
	p.recorder.started(p.current.Load())
	return nil
}

// Stop reports not ready, drains the requests in flight and ends the process. An error means that
// requests were cut.
func (p *Process) Stop(ctx context.Context) error {
	p.draining.Store(true)
	p.telemetry.SetNotReady("stopping")
	p.recorder.stopping()
	p.callers.DisableKeepAlives()
	defer p.drain.Begin(ctx)()
	helpers.Pause(helpers.OrDefault(p.options.LameDuck, lameDuckPeriod), ctx.Done())
	p.drain.CloseToNewCallers()
	err := p.callers.Shutdown(ctx)
	p.announcer.stop()
	p.crashNotifier.Stop()
	p.limitNotifier.Stop()
	p.loadReader.Stop()
	p.puller.Stop()
	p.follower.Stop()
	p.closeServers()
	p.recorder.stopped(err)
	p.telemetry.Close()
	p.output.Close()
	close(p.done)
	return err
}

// Done returns a channel that is closed when the router has stopped.
func (p *Process) Done() <-chan struct{} { return p.done }

// closeServers closes all listeners and connections at once.
func (p *Process) closeServers() {
	for _, s := range []*server.Server{p.callers, p.ready, p.peers, p.metrics} {
		if s != nil {
			s.Close()
		}
	}
}

// Reload applies changed settings. Seeds, regions, the log level, the choice by expected load and the
// bounds of retries and version changes take effect at once. If the role, the name or an address has
// changed, Reload logs that a restart is needed and keeps the settings in force.
func (p *Process) Reload(file settings.File) {
	if file.Router == nil {
		p.recorder.reloaded("the settings are for another role", false)
		return
	}
	next := *file.Router
	current := p.current.Load()
	if next.Listen != current.Listen || next.Store != current.Store || next.Name != current.Name {
		p.recorder.reloaded("a changed name or address needs a restart", false)
		return
	}
	if err := p.telemetry.SetLevel(next.Log.Level); err != nil {
		p.recorder.reloaded(err.Error(), false)
		return
	}
	p.current.Store(&next)
	p.retryBudget.SetBounds(next.Bounds.RetryRatio, next.Bounds.RetrySlack, next.Bounds.RetryWindow.Std())
	p.recorder.reloaded("", true)
}
