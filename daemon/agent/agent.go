// Package agent assembles the agent, the process that runs next to an upstream.
//
// An agent fetches weights and shares them with peers, has its engine load
// versions, and is the last hop of every request to its host.
package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"

	"golang.org/x/time/rate"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/follow"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/report"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/upstream"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/hosts"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/server"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/gate"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/activate"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/fetch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/install"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/share"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/source"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/stage"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

const (
	// lameDuckPeriod is how long a draining agent still responds to new requests,
	// with a refusal, while the entries learn that it is leaving.
	lameDuckPeriod = time.Second
	// probeConnectTimeout bounds the probe of the upstream, which runs on the same host.
	probeConnectTimeout = 50 * time.Millisecond
	// linkBurst is the burst of the link's rate limiters, in bytes.
	linkBurst = 128 << 10
)

// Options configure an agent for tests and benchmarks. The zero value is a
// production agent.
type Options struct {
	// LogOutput receives the log lines; nil means standard error.
	LogOutput io.Writer
	// Policy is the policy by which chunks are fetched; empty means the swarm.
	Policy string
	// UploadSlots and DownloadSlots bound the concurrent transfers between peers,
	// and Neighbours the number of hosts whose chunks are tracked; 0 means the
	// defaults.
	UploadSlots, DownloadSlots, Neighbours int
	// UploadLimiter and DownloadLimiter limit the rates of the link; nil means the
	// rates of the settings. A half-duplex link has the same limiter for both.
	UploadLimiter, DownloadLimiter *rate.Limiter
	// OnFetched is called with received bytes by kind ("peer", "hall", "origin").
	OnFetched func(kind string, bytes int64, useful bool)
	// LameDuck is how long a draining agent still responds to new requests; 0
	// means the default.
	LameDuck time.Duration
	// HostsInterval is the interval between fetches of the host list; 0 means the
	// default.
	HostsInterval time.Duration
	// Dial opens connections to other hosts; nil means over the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// UploadFault returns the fault to inject into a chunk that is sent; nil
	// means none.
	UploadFault func() UploadFault
}

// UploadFault is a fault injected into a chunk that is sent.
type UploadFault = share.Fault

// Process is an agent.
type Process struct {
	settings  settings.Agent
	options   Options
	telemetry *telemetry.Telemetry

	gate      *gate.Gate
	stage     *stage.Stage
	installer *install.Installer // nil for a plain service
	hosts     *hosts.Poller
	follower  *follow.Follower
	reporter  *report.Reporter
	server    *server.Server
	// transport carries requests to the upstream, chunks carries weights, and
	// control carries all other calls, whose bytes meter counts.
	transport, chunks, control *dial.Transport
	meter                      dial.Meter

	stopOnce sync.Once
	done     chan struct{}
}

// New returns an agent; Start runs it.
func New(s settings.Agent, options Options) (*Process, error) {
	s.SetDefaults()
	t, err := telemetry.New(telemetry.Options{Role: string(s.Role), Name: s.Name, Hall: s.Hall, Level: s.Log.Level, Output: options.LogOutput})
	if err != nil {
		return nil, fmt.Errorf("agent %s: %w", s.Name, err)
	}
	p := &Process{
		settings: s, options: options, telemetry: t,
		gate: &gate.Gate{}, stage: &stage.Stage{MaxBytes: s.Weights.StagingBytes},
		transport: upstream.NewTransport(nil),
		done:      make(chan struct{}),
	}
	connect := dial.OrDirect(options.Dial)
	p.chunks = dial.NewChunkTransport(connect)
	p.control = dial.NewControlTransport(p.meter.Wrap(connect))
	return p, nil
}

// Start opens the port and starts all parts of the agent.
func (p *Process) Start() error {
	mux := http.NewServeMux()
	if err := p.listen(mux); err != nil {
		return err
	}
	client := call.NewControlClient(p.control)
	p.hosts = &hosts.Poller{List: platform.NewHostList(p.settings.Platform.HostList, client), Hall: p.settings.Hall, Interval: p.options.HostsInterval}
	entries := func() []platform.Host { return p.hosts.Select(platform.RoleEntry, "") }
	p.reporter = &report.Reporter{
		Host: p.settings.Name, Entries: entries, Client: client,
		Incarnation: uint64(time.Now().UnixNano()), Member: p.member,
	}
	p.registerRoutes(mux)
	if p.settings.Upstream.Kind == settings.UpstreamEngine {
		p.addEngine(mux, client, entries)
	} else {
		p.gate.Open(gate.Serving{Services: p.settings.Upstream.Services})
	}
	p.hosts.OnChange = func([]platform.Host) { p.checkLeaving(); p.reporter.NotifyChange() }
	p.reporter.Start()
	p.hosts.Start()
	if p.installer != nil {
		p.installer.Start()
		p.follower.Start()
	}
	p.telemetry.SetReady()
	return nil
}

// listen opens the port. Start adds the routes to the mux later; no request
// arrives before that, because no process has the address yet.
func (p *Process) listen(mux *http.ServeMux) error {
	limits := server.Limits{OnClose: p.telemetry.ConnectionClosed}
	s, err := limits.Listen(server.MainShare, server.Options{
		Name: "peers", Address: p.settings.Listen.Peers, Handler: mux, MaxHeaderBytes: http.DefaultMaxHeaderBytes,
	})
	if err != nil {
		return fmt.Errorf("agent %s: %w", p.settings.Name, err)
	}
	p.server = s
	return nil
}

// registerRoutes adds the routes for requests and for telemetry.
func (p *Process) registerRoutes(mux *http.ServeMux) {
	p.telemetry.RegisterPages(mux)
	requests := &gate.Handler{
		Gate: p.gate, Name: p.settings.Name, Upstream: p.settings.Upstream.Address,
		Transport: p.transport, Telemetry: p.telemetry,
		Probe: &livenessprobe.Probe{Dial: dial.WithTimeout(probeConnectTimeout, dial.Direct)},
	}
	requests.Register(mux)
}

// addEngine adds the parts that only the agent of an engine has.
func (p *Process) addEngine(mux *http.ServeMux, client *http.Client, entries func() []platform.Host) {
	uploadLimiter := p.limiter(p.options.UploadLimiter, p.settings.Weights.UploadBytesPerSecond)
	sent := p.telemetry.Scope.Counter("weights_sent_bytes")
	sharing := &share.Server{Stage: p.stage, Slots: p.options.UploadSlots, Limiter: uploadLimiter, OnBytes: func(n int64) { sent.Inc(n) }, Fault: p.options.UploadFault}
	sharing.Register(mux)
	checksFence := p.settings.Upstream.ChecksFence
	fence := &activate.Fence{Engine: activate.NewEngine(p.settings.Upstream.Address, &http.Client{Transport: p.transport})}
	if !checksFence {
		fence.OrderHold = p.settings.Upstream.OrderHold.Std()
		fence.NotBefore = time.Now().Add(fence.OrderHold)
	}
	p.installer = &install.Installer{
		Stage: p.stage, Fetcher: p.fetcher(client), Fence: fence, Gate: p.gate, Telemetry: p.telemetry,
		WeightsAddress: localAddress(p.server.Address), OnChange: p.reporter.NotifyChange,
	}
	p.follower = &follow.Follower{
		Host: p.settings.Name, Hall: p.settings.Hall, Entries: entries, Client: client,
		OnOrder: func(order *wire.Order, _ uint64) { p.installer.SetOrder(order) },
	}
}

// localAddress returns the address at which processes on the same host reach a
// listening port.
func localAddress(bound netip.AddrPort) netip.AddrPort {
	if bound.Addr().IsUnspecified() {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), bound.Port())
	}
	return bound
}

// limiter returns override if it is set, or else a limiter for a rate; nil
// means no limit.
func (p *Process) limiter(override *rate.Limiter, perSecond int64) *rate.Limiter {
	if override != nil || perSecond == 0 {
		return override
	}
	return rate.NewLimiter(rate.Limit(perSecond), linkBurst)
}

func (p *Process) fetcher(client *http.Client) *fetch.Fetcher {
	downloader := &source.Downloader{Client: &http.Client{Transport: p.chunks}, Limiter: p.limiter(p.options.DownloadLimiter, p.settings.Weights.DownloadBytesPerSecond)}
	var sources []*source.Source
	if p.settings.Weights.Store.IsValid() {
		sources = append(sources, source.NewSource("store", p.settings.Weights.Store, downloader))
	}
	sources = append(sources, source.NewSource("origin", p.settings.Weights.Origin, downloader))
	return &fetch.Fetcher{
		Self: p.settings.Name, Hall: p.settings.Hall, Stage: p.stage, Downloader: downloader, Sources: sources,
		Have: func(ctx context.Context, peer netip.AddrPort, req *wire.HaveRequest) (*wire.HaveResponse, error) {
			return wire.NewPeerProtobufClient("http://"+peer.String(), client).Have(ctx, req)
		},
		Telemetry: p.telemetry, Policy: fetch.Policy(p.options.Policy), PeerWait: p.settings.Weights.PeerWait.Std(),
		PeerSlots: p.options.DownloadSlots, Neighbours: p.options.Neighbours, OnBytes: p.countFetched(),
	}
}

func (p *Process) countFetched() func(fetch.SourceKind, int64, bool) {
	return func(kind fetch.SourceKind, bytes int64, useful bool) {
		p.telemetry.Scope.Tagged(map[string]string{"from": string(kind)}).Counter("weights_fetched_bytes").Inc(bytes)
		if p.options.OnFetched != nil {
			p.options.OnFetched(string(kind), bytes, useful)
		}
	}
}

// checkLeaving makes the agent refuse new requests once the host list marks its
// host as leaving.
func (p *Process) checkLeaving() {
	all, _ := p.hosts.Hosts()
	for _, host := range all {
		if host.Name == p.settings.Name && host.State == platform.StateLeaving && !p.gate.Leaving() {
			p.gate.Leave()
			p.telemetry.LogDecision(telemetry.Decision{Step: "leave", Choice: "refuse new requests", Reason: "the host list marks the host as leaving"})
		}
	}
}

// member returns the member record that the agent reports.
func (p *Process) member() *wire.Member {
	m := &wire.Member{Name: p.settings.Name, Hall: p.settings.Hall, Address: p.Address().String(), Leaving: p.gate.Leaving()}
	if p.installer == nil {
		m.PlainServices = p.settings.Upstream.Services
		return m
	}
	status := p.installer.Status()
	m.ReadyService, m.ReadyManifest = status.ReadyService, status.ReadyManifest
	m.FetchManifest = status.FetchManifest
	m.ChunksHeld, m.ChunksTotal = uint32(status.ChunksHeld), uint32(status.ChunksTotal) //nolint:gosec // bounded by a manifest
	m.FailedManifest, m.Failure = status.FailedManifest, status.Failure
	return m
}

// Address returns the address on which the agent listens.
func (p *Process) Address() netip.AddrPort { return p.server.Address }

// ControlBytes returns the number of bytes of control messages on connections
// that the agent opened.
func (p *Process) ControlBytes() int64 { return p.meter.Bytes() }

// InFlight returns the number of requests in flight to the upstream.
func (p *Process) InFlight() int { return p.gate.InFlight() }

// Leaving reports whether the agent refuses new requests.
func (p *Process) Leaving() bool { return p.gate.Leaving() }

// Done returns a channel that is closed when the agent has stopped.
func (p *Process) Done() <-chan struct{} { return p.done }

// Stop shuts the agent down gracefully. It refuses new requests, reports to its
// entries that it is leaving, and waits for requests in flight. If the context
// ends first it aborts those and returns an error.
func (p *Process) Stop(ctx context.Context) error {
	var err error
	p.stopOnce.Do(func() {
		err = p.drain(ctx)
		p.close()
	})
	return err
}

func (p *Process) drain(ctx context.Context) error {
	p.telemetry.SetNotReady("stopping")
	p.gate.Leave()
	p.telemetry.LogDecision(telemetry.Decision{Step: "leave", Choice: "drain", Reason: "shutdown requested", Details: map[string]any{"inFlight": p.gate.InFlight()}})
	p.reporter.Send(ctx)
	drained := p.gate.Drain(ctx)
	helpers.Pause(helpers.OrDefault(p.options.LameDuck, lameDuckPeriod), ctx.Done())
	p.server.DisableKeepAlives()
	if err := p.server.Shutdown(ctx); err != nil && drained == nil {
		return err
	}
	return drained
}

// Kill stops the agent at once, like a crash of its host.
func (p *Process) Kill() {
	p.stopOnce.Do(func() {
		p.server.Close()
		p.close()
	})
}

// close stops all parts but the server.
func (p *Process) close() {
	if p.follower != nil {
		p.follower.Stop()
	}
	if p.installer != nil {
		p.installer.Stop()
	}
	p.reporter.Stop()
	p.hosts.Stop()
	p.transport.CloseIdleConnections()
	p.chunks.CloseIdleConnections()
	p.control.CloseIdleConnections()
	p.telemetry.Close()
	close(p.done)
}
