// Package router assembles the process that takes callers' requests and sends
// them straight to upstreams, where a store lists the upstreams and holds the
// configuration.
//
// It differs from an entry in that there is no agent on the way: the upstreams
// say themselves, truthfully, what they have not run. It keeps nothing that
// cannot be read again from the store or from other routers.
package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/evidence"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/peering"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/readers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/server"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

const (
	// lameDuck is how long a stopping router still serves while it is not
	// ready, so that the balancer takes it off first.
	lameDuck = 2500 * time.Millisecond
	// upstreamIdle is how long a connection to an upstream rests at most. It is
	// below every time that upstreams announce, in whole seconds.
	upstreamIdle = 900 * time.Millisecond
	// upstreamConnect bounds a connection to an upstream. One is made in 2 to 15 ms;
	// an opening packet that is lost comes again only after a second, when another
	// upstream has long answered.
	upstreamConnect = 200 * time.Millisecond
	// probeConnect bounds the look at an upstream whose connection broke, for which a
	// request waits: a refusal comes in one round trip, 1 to 6 ms.
	probeConnect = 50 * time.Millisecond
	// storeIdle is the same for connections to the store and to peers.
	storeIdle = 30 * time.Second
	// lapseAfter is how long after the store is back entries may still be gone
	// that lapsed meanwhile, and lapseAgain the pause after which upstreams that
	// were kept for that are looked at again.
	lapseAfter = 2 * time.Second
	lapseAgain = 500 * time.Millisecond
	// lastAnswers is how long before the end of a stop requests are answered that their
	// upstreams have not begun: one that hangs for longer would have its caller cut.
	lastAnswers = 400 * time.Millisecond
	// maxHeaderBytes bounds a caller's headers.
	maxHeaderBytes = 64 << 10
)

// Options vary a router. Provider must be set; the rest has working defaults.
type Options struct {
	// Provider makes the surroundings from the store's address and the clients
	// for calls to the store and to hosts.
	Provider func(store netip.AddrPort, storeClient, hostClient *http.Client) provider.Provider
	// LogOutput takes the log lines; nil means standard error.
	LogOutput io.Writer
	// LameDuck varies the time in which a stopping router still serves; 0 takes
	// the default.
	LameDuck time.Duration
	// Dial makes the connections to other hosts; nil means over the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Process is one router.
type Process struct {
	// current are the settings in force.
	current   atomic.Pointer[settings.Router]
	options   Options
	provider  provider.Provider
	telemetry *telemetry.Telemetry
	output    *telemetry.Bounded
	recorder  *recorder

	table    *mirror.Table
	compiler *mirror.Compiler
	follower *mirror.Follower
	// neighbours are the other routers of this hall.
	neighbours *peering.Neighbours
	puller     *peering.Puller
	announcer  *announcer
	loads      *loadfeed.Reader
	asker      *places.Client
	pool       *balance.Pool
	budget     *dispatch.Budget
	// probe tells upstreams that ended, suspects what was under way there, and teller
	// tells the other routers.
	probe    *livenessprobe.Probe
	suspects *suspects
	teller   *evidence.Teller[quarantine.Report]
	// limits are those that upstreams named, and limitTeller tells the other routers.
	limits      *limits
	limitTeller *evidence.Teller[ratelimit.UpstreamReport]
	// enginesAt holds the ids of the engines on each host. It is replaced when
	// the list changes, and read for each line of a loader.
	enginesAt atomic.Pointer[map[netip.Addr][]string]

	// toUpstreams keeps connections to upstreams, and suspended is for how long the host was
	// suspended by the last look, in nanoseconds.
	toUpstreams *http.Transport
	suspended   atomic.Int64

	callers, ready, peers, metrics *server.Server
	draining                       atomic.Bool
	// over is closed shortly before a stop cuts callers.
	over chan struct{}
	done chan struct{}
}

// New prepares a router; Start runs it.
func New(s settings.Router, options Options) (*Process, error) {
	if options.Provider == nil {
		return nil, errors.New("router: no provider")
	}
	s.SetDefaults()
	t, output, err := telemetry.NewWithBounded(telemetry.Options{
		Role: string(s.Role), Name: s.Name, Hall: s.Hall, Level: s.Log.Level, Output: options.LogOutput,
	})
	if err != nil {
		return nil, fmt.Errorf("router %s: %w", s.Name, err)
	}
	if options.Dial == nil {
		options.Dial = dial.Watchful
	}
	p := &Process{
		options: options, telemetry: t, output: output, recorder: newRecorder(t),
		table: &mirror.Table{}, pool: &balance.Pool{Hall: s.Hall}, done: make(chan struct{}),
		probe: &livenessprobe.Probe{Dial: dial.Within(probeConnect, options.Dial)}, suspects: &suspects{}, limits: &limits{},
		over: make(chan struct{}),
	}
	p.current.Store(&s)
	client := &http.Client{Transport: dial.NewHostTransport(options.Dial, storeIdle)}
	p.provider = options.Provider(s.Store, client, client)
	p.compiler = &mirror.Compiler{Decode: p.provider.Decode, OnBelief: p.recorder.belief, Lapses: p.lapses, OnSuspect: p.takeSuspect}
	p.table.OnChange = p.takeChanges
	p.loads = &loadfeed.Reader{Client: client, OnLine: p.takeLoad}
	p.asker = &places.Client{Client: client}
	p.teller, p.limitTeller = p.newTeller(client), p.newLimitTeller(client)
	p.addFollowers(client)
	return p, nil
}

func (p *Process) addFollowers(client *http.Client) {
	p.neighbours = &peering.Neighbours{Client: client, Choose: p.neighbour, Hold: p.holds, OnMute: p.telemetry.NeighbourMuted}
	own := p.member()
	ofShard, ofHall := p.provider.Prefixes.OfHall(own.Hall, own.Shard), p.provider.Prefixes.OfHall(own.Hall, "")
	p.follower = &mirror.Follower{
		Store: p.provider.Store, Prefix: p.provider.Prefixes.All, Table: p.table, OnContact: p.recorder.contact,
		OnBytes: p.recorder.storeBytes, Settle: p.settle, PulseEvery: pulseEvery, PulseUnder: p.provider.Prefixes.Versions,
		Near: p.neighbours.News, Before: []string{ofShard, ofHall}, Found: p.foundHall, Enough: p.follows,
	}
	p.puller = &peering.Puller{
		Client: client, Follower: p.follower, Peer: p.peer, Needed: p.needsPeer, OnPull: p.recorder.pulled, First: ofHall,
	}
	p.announcer = &announcer{store: p.provider.Store, onContact: p.recorder.contact, put: p.provider.EncodeMember(own)}
}

// member is this router as it announces itself.
func (p *Process) member() provider.Member {
	s := p.current.Load()
	return provider.Member{
		Name: s.Name, Hall: s.Hall, Shard: readers.Shard(s.Name), Peers: s.Listen.Peers, LinkMbps: s.Bounds.LinkMbps,
	}
}

// Start opens the ports and begins to follow the store.
func (p *Process) Start() error {
	if err := p.listen(); err != nil {
		p.kill()
		return fmt.Errorf("router %s: %w", p.current.Load().Name, err)
	}
	p.follower.Start()
	p.puller.Start()
	p.announcer.start()
	p.teller.Start()
	p.limitTeller.Start()
	p.recorder.started(p.current.Load())
	return nil
}

// Stop takes this router off the balancer, finishes what is in flight and ends.
// An error says that requests had to be cut.
func (p *Process) Stop(ctx context.Context) error {
	p.draining.Store(true)
	p.telemetry.SetNotReady("stopping")
	p.recorder.stopping()
	p.callers.Closing()
	defer p.endBefore(ctx)()
	helpers.Pause(helpers.OrDefault(p.options.LameDuck, lameDuck), ctx.Done())
	err := p.callers.Shutdown(ctx)
	p.announcer.stop()
	p.teller.Stop()
	p.limitTeller.Stop()
	p.loads.Stop()
	p.puller.Stop()
	p.follower.Stop()
	p.kill()
	p.recorder.stopped(err)
	p.telemetry.Close()
	p.output.Close()
	close(p.done)
	return err
}

// endBefore has requests that no upstream has begun to answer end while their callers can
// still be told. What it returns is called once the callers are gone.
func (p *Process) endBefore(ctx context.Context) func() {
	deadline, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(deadline)-lastAnswers, func() { close(p.over) })
	return func() { timer.Stop() }
}

// Done is closed when the router has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

func (p *Process) kill() {
	for _, s := range []*server.Server{p.callers, p.ready, p.peers, p.metrics} {
		if s != nil {
			s.Kill()
		}
	}
}

// Reload takes changed settings. Seeds, bounds and the log level of new requests
// apply at once; a changed address needs a new start and is reported.
func (p *Process) Reload(file settings.File) {
	if file.Router == nil {
		p.recorder.reloaded("the file is for another role", false)
		return
	}
	next := *file.Router
	current := p.current.Load()
	if next.Listen != current.Listen || next.Store != current.Store || next.Name != current.Name {
		p.recorder.reloaded("a name or an address has changed, which needs a new start", false)
		return
	}
	p.current.Store(&next)
	p.budget.SetBounds(next.Bounds.RetryRatio, next.Bounds.RetrySlack, next.Bounds.RetryWindow.Std())
	p.recorder.reloaded("", true)
}
