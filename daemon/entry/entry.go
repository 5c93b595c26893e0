// Package entry assembles the process that takes callers' requests and
// operators' declarations.
//
// An entry keeps no state of its own: its tables are rebuilt from the
// key-value service, or from other entries when that is out of reach.
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

	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/control"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/gossip"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/upstream"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
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

// lameDuck is how long a stopping entry still serves while it is not ready, so
// that the balancer takes it off first.
const lameDuck = time.Second

// tidyEvery is the interval in which state of gone hosts is dropped.
const tidyEvery = 30 * time.Second

// Options vary an entry for tests and benches. The zero value is a production
// entry.
type Options struct {
	// LogOutput takes the log lines; nil means standard error.
	LogOutput io.Writer
	// Rearm varies the wait before the key-value watch is armed again, and
	// LameDuck the time in which a stopping entry still serves; 0 takes the
	// defaults.
	Rearm, LameDuck time.Duration
	// LeaseTTL, PlaceEvery and ReplaceAfter vary the placement; 0 likewise.
	LeaseTTL, PlaceEvery, ReplaceAfter time.Duration
	// Silence varies the time after which a silent agent is suspect; 0 likewise.
	Silence time.Duration
	// HostsEvery varies the interval between fetches of the host list; 0 likewise.
	HostsEvery time.Duration
	// Dial makes the connections to other hosts; nil means over the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Process is one entry.
type Process struct {
	settings  settings.Entry
	options   Options
	telemetry *telemetry.Telemetry

	table   *tables.Table
	members *members.Table
	hosts   *hosts.Follower
	watcher *kvwatch.Watcher
	puller  *gossip.Puller
	placer  *placer.Placer
	router  *route.Router
	// transport carries requests, client all else, which meter counts.
	transport, client *http.Transport
	meter             dial.Meter

	callers, operators, peers *server.Server

	// mu guards the rest.
	mu sync.Mutex
	// loaded is set once the table was filled, from whatever source.
	loaded bool

	stopping chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

// New prepares an entry; Start runs it.
func New(s settings.Entry, options Options) (*Process, error) {
	s.SetDefaults()
	t, err := telemetry.New(telemetry.Options{Role: string(s.Role), Name: s.Name, Hall: s.Hall, Level: s.Log.Level, Output: options.LogOutput})
	if err != nil {
		return nil, fmt.Errorf("entry %s: %w", s.Name, err)
	}
	p := &Process{
		settings: s, options: options, telemetry: t,
		table: &tables.Table{}, members: &members.Table{Silence: options.Silence},
		router:    &route.Router{Hall: s.Hall},
		transport: upstream.NewTransport(options.Dial),
		stopping:  make(chan struct{}), done: make(chan struct{}),
	}
	p.client = dial.NewControlTransport(p.meter.Count(dial.OrDirect(options.Dial)))
	return p, nil
}

// Start opens the ports and begins to follow the platform.
func (p *Process) Start() error {
	client := &http.Client{Transport: p.client}
	kv := platform.NewKV(p.settings.Platform.KeyValue, client)
	p.hosts = &hosts.Follower{List: platform.NewHostList(p.settings.Platform.HostList, client), Every: p.options.HostsEvery}
	p.addFollowers(kv, client)
	if err := p.listen(kv); err != nil {
		p.killServers()
		return fmt.Errorf("entry %s: %w", p.settings.Name, err)
	}
	p.hosts.Start()
	p.watcher.Start()
	p.puller.Start()
	p.placer.Start()
	go p.tidy()
	return nil
}

func (p *Process) addFollowers(kv *platform.KV, client *http.Client) {
	p.watcher = &kvwatch.Watcher{KV: kv, Table: p.table, Rearm: p.options.Rearm, OnState: p.noteKV}
	p.puller = &gossip.Puller{
		Name: p.settings.Name, Hall: p.settings.Hall, Table: p.table, Members: p.members, Client: client,
		Entries:    func() []platform.Host { return p.hosts.Select(platform.RoleEntry, "") },
		OnSuspects: p.noteSuspects, OnSnapshot: p.noteSnapshot,
	}
	p.placer = &placer.Placer{
		Hall: p.settings.Hall, Name: p.settings.Name, KV: kv, Table: p.table, Members: p.members,
		Listed: p.hosts.Hosts, Telemetry: p.telemetry,
		TTL: p.options.LeaseTTL, Every: p.options.PlaceEvery, ReplaceAfter: p.options.ReplaceAfter,
	}
}

func (p *Process) listen(kv *platform.KV) error {
	var err error
	requests := p.settings.Requests
	p.callers, err = server.Listen(server.Options{
		Name: "callers", Address: p.settings.Listen.Callers, Handler: p.callerRoutes(), MaxHeaderBytes: requests.MaxHeaderBytes,
	})
	if err != nil {
		return err
	}
	p.operators, err = server.Listen(server.Options{Name: "operators", Address: p.settings.Listen.Operators, Handler: p.operatorRoutes(kv)})
	if err != nil {
		return err
	}
	own := wire.NewControlServer(&control.Server{Table: p.table, Members: p.members, Stopping: p.stopping})
	mux := http.NewServeMux()
	mux.Handle(own.PathPrefix(), own)
	p.peers, err = server.Listen(server.Options{Name: "peers", Address: p.settings.Listen.Peers, Handler: mux})
	return err
}

// callerRoutes are the routes of the callers' port.
func (p *Process) callerRoutes() http.Handler {
	router := bunrouter.New()
	handler := &intake.Handler{
		Table: p.table, Members: p.members, Router: p.router,
		Accounts: &account.Limiter{}, Budgets: &intake.Budgets{},
		Transport: p.transport, Telemetry: p.telemetry, MaxBodyBytes: p.settings.Requests.MaxBodyBytes,
	}
	handler.Register(router)
	mux := http.NewServeMux()
	p.telemetry.Health(mux) // for the balancer
	mux.Handle("/", router)
	return mux
}

// operatorRoutes are the routes of the operators' port.
func (p *Process) operatorRoutes(kv *platform.KV) http.Handler {
	router := bunrouter.New()
	handler := &resource.Handler{
		Store:   &resource.Store{KV: kv, Table: p.table, Name: p.settings.Name},
		Members: p.members, Telemetry: p.telemetry,
		KeyDigests: p.settings.OperatorKeyDigests, Stopping: p.stopping,
	}
	handler.Register(router)
	mux := http.NewServeMux()
	p.telemetry.Pages(mux)
	mux.Handle("/v1/", router)
	return mux
}

// noteKV follows whether the key-value service answers.
func (p *Process) noteKV(err error) {
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
	p.telemetry.Log.WithError(err).Warn("the key-value service does not answer; what is in force stays in force")
}

// setLoaded makes the entry ready.
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

func (p *Process) noteSnapshot(peer string, revision uint64) {
	p.setLoaded()
	p.telemetry.Decide(telemetry.Decision{Step: "configure", Choice: "take from " + peer, Reason: "the key-value service has given nothing yet", Revision: revision})
}

func (p *Process) noteSuspects(names []string) {
	for _, name := range names {
		p.telemetry.Decide(telemetry.Decision{Step: "member", Choice: "suspect " + name, Reason: "no report for too long", Revision: p.table.View().Revision})
	}
}

// tidy drops what is known of hosts that are gone.
func (p *Process) tidy() {
	ticker := time.NewTicker(tidyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.router.Prune(p.members.View())
		case <-p.done:
			return
		}
	}
}

// Addresses are the ports of a running entry.
type Addresses struct {
	Callers, Operators, Peers netip.AddrPort
}

// Addresses returns where the entry listens.
func (p *Process) Addresses() Addresses {
	return Addresses{Callers: p.callers.Address, Operators: p.operators.Address, Peers: p.peers.Address}
}

// Revision returns the configuration revision that is in force here.
func (p *Process) Revision() uint64 { return p.table.View().Revision }

// Members returns the number of agents that the entry knows of.
func (p *Process) Members() int { return len(p.members.View().Agents) }

// ControlBytes returns the bytes of control messages that the entry exchanged
// on connections that it made.
func (p *Process) ControlBytes() int64 { return p.meter.Bytes() }

// NotReady returns why the entry is not ready, or "".
func (p *Process) NotReady() string { return p.telemetry.NotReady() }

// Done is closed when the entry has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Stop drains: not ready, then no new connections, then the end of what is in
// flight. The error says what had to be cut when the context ended.
func (p *Process) Stop(ctx context.Context) error {
	var err error
	p.stopOnce.Do(func() {
		err = p.drain(ctx)
		p.close()
	})
	return err
}

func (p *Process) drain(ctx context.Context) error {
	p.mu.Lock()
	close(p.stopping)
	p.telemetry.SetNotReady("stopping")
	p.mu.Unlock()
	p.telemetry.Decide(telemetry.Decision{Step: "leave", Choice: "drain", Reason: "the process was told to stop"})
	p.placer.Stop() // another entry takes the lease at once
	p.callers.Closing()
	helpers.Pause(helpers.OrDefault(p.options.LameDuck, lameDuck), ctx.Done())
	return errors.Join(p.callers.Shutdown(ctx), p.operators.Shutdown(ctx), p.peers.Shutdown(ctx))
}

// Kill ends the entry at once, as a host that dies.
func (p *Process) Kill() {
	p.stopOnce.Do(func() {
		p.killServers()
		p.close()
	})
}

func (p *Process) killServers() {
	for _, s := range []*server.Server{p.callers, p.operators, p.peers} {
		if s != nil {
			s.Kill()
		}
	}
}

// close ends all parts but the servers.
func (p *Process) close() {
	p.placer.Stop()
	p.puller.Stop()
	p.watcher.Stop()
	p.hosts.Stop()
	p.client.CloseIdleConnections()
	p.transport.CloseIdleConnections()
	p.telemetry.Close()
	close(p.done)
}
