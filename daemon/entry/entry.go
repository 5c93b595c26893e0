// Package entry assembles the entry, the process that accepts callers' requests
// and operators' resource declarations.
//
// An entry has no persistent state. It rebuilds its tables from the key-value
// service, or from other entries while that is unreachable.
package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"

	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/control"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/gossip"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/upstream"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/drain"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/hosts"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/kvwatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/placer"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/resource"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/server"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/account"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/intake"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/route"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// lameDuckPeriod is how long a draining entry still serves after it has become not
// ready, so that the load balancer can remove it first.
const lameDuckPeriod = time.Second

// pruneInterval is the interval at which the state of removed hosts is dropped.
const pruneInterval = 30 * time.Second

// Options configure an entry for tests and benchmarks. The zero value is a
// production entry.
type Options struct {
	// LogOutput receives the log lines; nil means standard error.
	LogOutput io.Writer
	// WatchInterval is the minimum interval between key-value watches while changes
	// arrive, after the first few, and LameDuck how long a draining entry still
	// serves; 0 means the defaults.
	WatchInterval, LameDuck time.Duration
	// LeaseTTL is the time to live of the placer's lease, PlacementInterval the
	// minimum interval between its writes, and ReplaceAfter how long a host must
	// be suspect before its assignment moves; 0 means the defaults.
	LeaseTTL, PlacementInterval, ReplaceAfter time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which an agent is
	// suspect; 0 means the default.
	HeartbeatTimeout time.Duration
	// HostsInterval is the interval between fetches of the host list; 0 means the
	// default.
	HostsInterval time.Duration
	// Dial opens connections to other hosts; nil means over the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Process is an entry.
type Process struct {
	settings  settings.Entry
	options   Options
	telemetry *telemetry.Telemetry

	table    *tables.Table
	members  *members.Table
	hosts    *hosts.Poller
	watcher  *kvwatch.Watcher
	puller   *gossip.Puller
	placer   *placer.Placer
	selector *route.Selector
	// transport carries requests, and control carries all other calls, whose
	// bytes meter counts.
	transport, control *dial.Transport
	meter              dial.Meter

	callers, operators, peers *server.Server

	drain drain.Drain

	// mu guards the fields below.
	mu sync.Mutex
	// loaded is set once the table holds a configuration from any source.
	loaded bool

	stopping chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

// New returns an entry; Start runs it.
func New(s settings.Entry, options Options) (*Process, error) {
	s.SetDefaults()
	t, err := telemetry.New(telemetry.Options{Role: string(s.Role), Name: s.Name, Hall: s.Hall, Level: s.Log.Level, Output: options.LogOutput})
	if err != nil {
		return nil, fmt.Errorf("entry %s: %w", s.Name, err)
	}
	p := &Process{
		settings: s, options: options, telemetry: t,
		table: &tables.Table{}, members: &members.Table{HeartbeatTimeout: options.HeartbeatTimeout},
		selector:  &route.Selector{Hall: s.Hall},
		transport: upstream.NewTransport(options.Dial),
		stopping:  make(chan struct{}), done: make(chan struct{}),
	}
	p.control = dial.NewControlTransport(p.meter.Wrap(dial.OrDirect(options.Dial)))
	return p, nil
}

// Start opens the ports and starts all parts of the entry.
func (p *Process) Start() error {
	client := call.NewControlClient(p.control)
	kv := platform.NewKV(p.settings.Platform.KeyValue, client)
	p.hosts = &hosts.Poller{List: platform.NewHostList(p.settings.Platform.HostList, client), Interval: p.options.HostsInterval}
	p.addFollowers(kv, client)
	if err := p.listen(kv); err != nil {
		p.closeServers()
		return fmt.Errorf("entry %s: %w", p.settings.Name, err)
	}
	p.hosts.Start()
	p.watcher.Start()
	p.puller.Start()
	p.placer.Start()
	go p.prune()
	return nil
}

// addFollowers creates the parts that follow the key-value service and other
// entries.
func (p *Process) addFollowers(kv *platform.KV, client *http.Client) {
	p.watcher = &kvwatch.Watcher{KV: kv, Table: p.table, MinInterval: p.options.WatchInterval, OnResult: p.onKVResult}
	p.puller = &gossip.Puller{
		Name: p.settings.Name, Hall: p.settings.Hall, Table: p.table, Members: p.members, Client: client,
		Entries:    func() []platform.Host { return p.hosts.Select(platform.RoleEntry, "") },
		OnSuspects: p.onSuspects, OnSnapshot: p.onSnapshot,
	}
	p.placer = &placer.Placer{
		Hall: p.settings.Hall, Name: p.settings.Name, KV: kv, Table: p.table, Members: p.members,
		HostList: p.hosts.Hosts, Telemetry: p.telemetry,
		TTL: p.options.LeaseTTL, MinWriteInterval: p.options.PlacementInterval, ReplaceAfter: p.options.ReplaceAfter,
	}
}

func (p *Process) listen(kv *platform.KV) error {
	limits := server.Limits{OnClose: p.telemetry.ConnectionClosed}
	var err error
	requests := p.settings.Requests
	p.callers, err = limits.Listen(server.EntryCallersShare, server.Options{
		Name: "callers", Address: p.settings.Listen.Callers, Handler: p.callerRoutes(), MaxHeaderBytes: requests.MaxHeaderBytes,
	})
	if err != nil {
		return err
	}
	p.operators, err = limits.Listen(server.ControlShare, server.Options{
		Name: "operators", Address: p.settings.Listen.Operators, Handler: p.operatorRoutes(kv),
	})
	if err != nil {
		return err
	}
	service := wire.NewControlServer(&control.Server{Table: p.table, Members: p.members, Stopping: p.stopping})
	mux := http.NewServeMux()
	mux.Handle(service.PathPrefix(), call.BoundedHandler(service))
	p.peers, err = limits.Listen(server.EntryPeersShare, server.Options{Name: "peers", Address: p.settings.Listen.Peers, Handler: mux})
	return err
}

// callerRoutes returns the handler of the callers' port.
func (p *Process) callerRoutes() http.Handler {
	router := bunrouter.New()
	handler := &intake.Handler{
		Table: p.table, Members: p.members, Selector: p.selector,
		AccountLimiter: &account.Limiter{}, RetryBudgets: &intake.RetryBudgets{},
		Transport: p.transport, Telemetry: p.telemetry, MaxBodyBytes: p.settings.Requests.MaxBodyBytes, Drain: &p.drain,
	}
	handler.Register(router)
	mux := http.NewServeMux()
	p.telemetry.RegisterHealth(mux) // for the load balancer
	mux.Handle("/", router)
	return mux
}

// operatorRoutes returns the handler of the operators' port.
func (p *Process) operatorRoutes(kv *platform.KV) http.Handler {
	router := bunrouter.New()
	handler := &resource.Handler{
		Store:   &resource.Store{KV: kv, Table: p.table, Name: p.settings.Name},
		Members: p.members, Telemetry: p.telemetry,
		KeyDigests: p.settings.OperatorKeyDigests, Stopping: p.stopping,
	}
	handler.Register(router)
	mux := http.NewServeMux()
	p.telemetry.RegisterPages(mux)
	mux.Handle("/v1/", router)
	return mux
}

// onKVResult updates readiness and metrics after each call to the key-value
// service; err is nil if the service responded.
func (p *Process) onKVResult(err error) {
	up := p.telemetry.Scope.Gauge("key_value_up")
	if err == nil {
		up.Update(1)
		p.setLoaded()
		return
	}
	up.Update(0)
	p.mu.Lock()
	loaded := p.loaded
	p.mu.Unlock()
	if !loaded {
		p.telemetry.SetNotReady("no configuration yet: the key-value service does not answer and no other entry has given it")
	}
	p.telemetry.Log.WithError(err).Warn("key-value service unreachable; keeping the current configuration")
}

// setLoaded makes the entry ready unless it is draining.
func (p *Process) setLoaded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loaded = true
	select {
	case <-p.stopping:
	default:
		p.telemetry.SetReady()
	}
}

func (p *Process) onSnapshot(peer string, revision uint64) {
	p.setLoaded()
	p.telemetry.LogDecision(telemetry.Decision{Step: "configure", Choice: "load from " + peer, Reason: "no configuration from the key-value service yet", Revision: revision})
}

func (p *Process) onSuspects(names []string) {
	for _, name := range names {
		p.telemetry.LogDecision(telemetry.Decision{Step: "member", Choice: "suspect " + name, Reason: "no heartbeat within the timeout", Revision: p.table.View().Revision})
	}
}

// prune drops the selector's state of hosts that are no longer members.
func (p *Process) prune() {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.selector.Prune(p.members.View())
		case <-p.done:
			return
		}
	}
}

// Addresses holds the addresses of the ports of a running entry.
type Addresses struct {
	Callers, Operators, Peers netip.AddrPort
}

// Addresses returns the addresses on which the entry listens.
func (p *Process) Addresses() Addresses {
	return Addresses{Callers: p.callers.Address, Operators: p.operators.Address, Peers: p.peers.Address}
}

// Revision returns the configuration revision that the entry applies.
func (p *Process) Revision() uint64 { return p.table.View().Revision }

// Members returns the number of agents in the entry's member table.
func (p *Process) Members() int { return len(p.members.View().Agents) }

// ControlBytes returns the number of bytes of control messages on connections
// that the entry opened.
func (p *Process) ControlBytes() int64 { return p.meter.Bytes() }

// NotReady returns the reason why the entry is not ready, or "" if it is ready.
func (p *Process) NotReady() string { return p.telemetry.NotReady() }

// Done returns a channel that is closed when the entry has stopped.
func (p *Process) Done() <-chan struct{} { return p.done }

// Stop shuts the entry down gracefully. It becomes not ready, refuses new
// connections, and waits for requests in flight. If the context ends first it
// aborts those and returns an error.
func (p *Process) Stop(ctx context.Context) error {
	var err error
	p.stopOnce.Do(func() {
		err = p.shutDown(ctx)
		p.close()
	})
	return err
}

func (p *Process) shutDown(ctx context.Context) error {
	p.mu.Lock()
	close(p.stopping)
	p.telemetry.SetNotReady("stopping")
	p.mu.Unlock()
	p.telemetry.LogDecision(telemetry.Decision{Step: "leave", Choice: "drain", Reason: "shutdown requested"})
	p.placer.Stop() // releases the lease, so that another entry can acquire it at once
	p.callers.DisableKeepAlives()
	defer p.drain.Begin(ctx)()
	helpers.Pause(helpers.OrDefault(p.options.LameDuck, lameDuckPeriod), ctx.Done())
	p.drain.CloseToNewCallers()
	return errors.Join(p.callers.Shutdown(ctx), p.operators.Shutdown(ctx), p.peers.Shutdown(ctx))
}

// Kill stops the entry at once, like a crash of its host.
func (p *Process) Kill() {
	p.stopOnce.Do(func() {
		p.closeServers()
		p.close()
	})
}

func (p *Process) closeServers() {
	for _, s := range []*server.Server{p.callers, p.operators, p.peers} {
		if s != nil {
			s.Close()
		}
	}
}

// close stops all parts but the servers.
func (p *Process) close() {
	p.placer.Stop()
	p.puller.Stop()
	p.watcher.Stop()
	p.hosts.Stop()
	p.control.CloseIdleConnections()
	p.transport.CloseIdleConnections()
	p.telemetry.Close()
	close(p.done)
}
