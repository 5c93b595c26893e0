package soak

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/platform/standin"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// Ports; every host has a loopback address of its own.
const (
	callersPort, readyPort, peersPort, metricsPort = 7000, 7001, 7002, 7003
	loaderPort, loaderMetricsPort                  = 7010, 7011
	// upstreamPort is the upstream's own, linkPort the one that the store lists: a proxy.
	upstreamPort, linkPort = 7020, 7021
	// storePort is the store's own, storeLinkPort a daemon's proxy to it.
	storePort, storeLinkPort = 7030, 7031
	originPort               = 7040
)

// The declared fleet.
const (
	modelName, engineService, plainService, originService = "model", "assistant", "ledger", "weights"
	chunks, chunkBytes                                    = 48, 4 << 10
	enginePlaces, plainPlaces                             = 12, 24
	linkMbps                                              = 20
)

// Size is how many processes there are in each data hall.
type Size struct {
	Halls   int `json:"halls"`
	Routers int `json:"routers"`
	Loaders int `json:"loaders"`
	// Plain is the number of upstreams without a loader.
	Plain int `json:"plain"`
}

// fleet is all that a run starts.
type fleet struct {
	folder, daemon string
	size           Size
	oracle         *Oracle
	store          *standin.Store
	origin         *standin.Origin
	routers        []*router
	hosts          []*host
	newest         atomic.Int64
	// deadly counts the deadly requests, and deadlySent how often they were sent.
	deadly, deadlySent atomic.Int64
	version            int
	// stop ends all waits, done the stand-ins.
	stop    <-chan struct{}
	done    chan struct{}
	servers []*serve.Server
	proxies []*Proxy

	// declaring orders the changes of operators.
	declaring sync.Mutex
}

// router is one router process with its link to the store.
type router struct {
	*process
	hall    string
	callers netip.AddrPort
	link    *Proxy
}

// host is an upstream with its link to routers, and for engines the loader beside it.
type host struct {
	number  int
	hall    string
	service string
	address netip.Addr
	loader  *process
	link    *Proxy

	mu       sync.Mutex
	upstream *standin.Upstream
	server   *serve.Server
	// names counts the ids that this host's upstreams had before: one that crashes starts
	// again under its id, one that leaves does not. busy says that one is coming or going.
	names int
	busy  bool
}

// base is the first part of all addresses of this process, so that runs beside each
// other do not meet.
func base() (byte, byte) {
	const first, ranges = 64, 64
	pid := os.Getpid()
	return byte(first + pid%ranges), byte(pid / ranges & math.MaxUint8)
}

// addressOf gives the host with a number its own address.
func addressOf(number int) netip.Addr {
	second, third := base()
	return netip.AddrFrom4([4]byte{127, second, third, byte(number & math.MaxUint8)})
}

func at(address netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(address, port) }

// errSize says that a fleet of some size cannot be set out.
var errSize = errors.New("the size must name at least one of each, and 250 hosts at most")

// newFleet sets out a fleet and starts all but the processes.
func newFleet(options *Options, oracle *Oracle, stop <-chan struct{}) (*fleet, error) {
	size := options.Size
	const mostHosts = 250
	hosts := size.Halls * (size.Routers + size.Loaders + size.Plain)
	if min(size.Halls, size.Routers, size.Loaders, size.Plain) < 1 || hosts > mostHosts {
		return nil, fmt.Errorf("%d halls of %d routers, %d loaders and %d plain upstreams: %w", size.Halls, size.Routers, size.Loaders, size.Plain, errSize)
	}
	f := &fleet{
		folder: options.Folder, daemon: options.Daemon, size: size, oracle: oracle, stop: stop, done: make(chan struct{}),
		store: &standin.Store{}, origin: &standin.Origin{Model: modelName, Chunks: chunks, ChunkBytes: chunkBytes},
	}
	const platformHost = 1
	platform := addressOf(platformHost)
	if err := f.serve(at(platform, storePort), f.store.Handler(f.done)); err != nil {
		return nil, err
	}
	if err := f.serve(at(platform, originPort), f.origin.Handler()); err != nil {
		return nil, err
	}
	number := platformHost
	for hall := range size.Halls {
		name := fmt.Sprintf("hall-%d", hall+1)
		for range size.Routers {
			number++
			if err := f.addRouter(number, name); err != nil {
				return nil, err
			}
		}
		for i := range size.Loaders + size.Plain {
			number++
			if err := f.addHost(number, name, i < size.Loaders); err != nil {
				return nil, err
			}
		}
	}
	f.configure()
	f.nameVersion()
	return f, nil
}

func (f *fleet) serve(address netip.AddrPort, handler http.Handler) error {
	server, err := serve.Listen(address, handler)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	return nil
}

func (f *fleet) proxy(address, target netip.AddrPort) (*Proxy, error) {
	p, err := StartProxy(address, target)
	if err == nil {
		f.proxies = append(f.proxies, p)
	}
	return p, err
}

func (f *fleet) addRouter(number int, hall string) error {
	address := addressOf(number)
	link, err := f.proxy(at(address, storeLinkPort), at(addressOf(1), storePort))
	if err != nil {
		return err
	}
	name := fmt.Sprintf("router-%d", number)
	set := settings.Router{
		Role: settings.RoleRouter, Name: name, Hall: hall, Store: at(address, storeLinkPort), LoaderPort: loaderPort,
		Listen: settings.RouterListen{
			Callers: at(address, callersPort), Ready: at(address, readyPort), Peers: at(address, peersPort), Metrics: at(address, metricsPort),
		},
	}
	for _, other := range f.routers {
		set.Seeds = append(set.Seeds, at(other.callers.Addr(), peersPort))
	}
	f.routers = append(f.routers, &router{
		process: &process{name: name, binary: f.daemon, folder: f.folder, settings: &set},
		hall:    hall, callers: set.Listen.Callers, link: link,
	})
	return nil
}

func (f *fleet) addHost(number int, hall string, engine bool) error {
	address := addressOf(number)
	link, err := f.proxy(at(address, linkPort), at(address, upstreamPort))
	if err != nil {
		return err
	}
	h := &host{number: number, hall: hall, service: plainService, address: address, link: link}
	f.hosts = append(f.hosts, h)
	if engine {
		h.service = engineService
		if _, err := f.proxy(at(address, storeLinkPort), at(addressOf(1), storePort)); err != nil {
			return err
		}
		name := fmt.Sprintf("loader-%d", number)
		h.loader = &process{name: name, binary: f.daemon, folder: f.folder, settings: &settings.Loader{
			Role: settings.RoleLoader, Name: name, Hall: hall, Store: at(address, storeLinkPort),
			Listen: settings.LoaderListen{Peers: at(address, loaderPort), Metrics: at(address, loaderMetricsPort)},
			Engine: at(address, upstreamPort), Service: engineService, Bounds: settings.LoaderBounds{LinkMbps: linkMbps},
		}}
	}
	return f.bear(h)
}

// bear starts a new upstream on a host and lists it.
func (f *fleet) bear(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := &standin.Upstream{
		Record: provider.Upstream{
			ID: fmt.Sprintf("u-%d-%d", h.number, h.names), Started: time.Now(), Service: h.service, Hall: h.hall,
			Address: at(h.address, linkPort), Places: plainPlaces,
		},
		Store: f.store, OnRun: f.oracle.Ran, OnReceive: f.oracle.Reached,
		OnFault: func(text string) { f.oracle.Violatef(CheckWeights, "%s", text) },
		OnCrash: func() { f.endDeadly(h) },
	}
	if h.loader != nil {
		u.Origin, u.Record.Places = f.origin, enginePlaces
	}
	server, err := serve.Listen(at(h.address, upstreamPort), u.Handler())
	if err != nil {
		return err
	}
	h.upstream, h.server = u, server
	if err := h.link.Listen(); err != nil {
		return err
	}
	u.Announce()
	return nil
}

// bury ends the upstream of a host, as a crash does; its entry goes a while later.
func (f *fleet) bury(h *host, lapse time.Duration) {
	h.mu.Lock()
	h.link.Refuse()
	h.server.Close()
	id := h.upstream.Record.ID
	h.mu.Unlock()
	f.wait(lapse)
	f.store.RemoveUpstream(id)
}

// claim reports whether the host's upstream may be replaced now, and has no other step
// do so until it is released.
func (h *host) claim() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.busy {
		return false
	}
	h.busy = true
	return true
}

func (h *host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy = false
}

func (h *host) current() *standin.Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.upstream
}

// wait waits for a time, or until the run is given up.
func (f *fleet) wait(d time.Duration) { wait(d, f.stop) }

func wait(d time.Duration, stop <-chan struct{}) {
	select {
	case <-time.After(d):
	case <-stop:
	}
}

// configure declares the next configuration. Each has a route and a key of its own.
func (f *fleet) configure() {
	f.declaring.Lock()
	defer f.declaring.Unlock()
	next := int(f.newest.Load()) + 1
	route := func(name, prefix, service string, mode provider.Mode) provider.Route {
		const attempts, objective = 2, 300 * time.Millisecond
		return provider.Route{
			Name: name, Host: callersHost, Prefix: prefix, Mode: mode, Timeout: routeTimeout, Objective: objective,
			MaxAttempts: attempts, Resumable: mode == provider.ModeStream, Shares: []provider.Share{{Service: service, Weight: 1}},
		}
	}
	f.store.Declare(provider.Configuration{
		Version: uint64(next), //nolint:gosec // counts from 1
		Routes: []provider.Route{
			route("stream", standin.StreamPath, engineService, provider.ModeStream),
			route("unsafe", unsafePath, plainService, provider.ModeUnsafe),
			route("safe", safePath, plainService, provider.ModeSafe),
			route("probe", probePath(next), plainService, provider.ModeSafe),
		},
		Services: []provider.Service{
			{Name: plainService},
			{Name: originService, Origin: at(addressOf(1), originPort)},
			{Name: engineService, Engine: &provider.EngineSpec{Model: modelName, Places: enginePlaces, Chunks: chunks, ChunkBytes: chunkBytes}},
		},
		Accounts: []provider.Account{{Name: "constant", Keys: []string{constantKey}}, {Name: "changing", Keys: []string{probeKey(next)}}},
		Limits:   provider.Limits{MaxBodyBytes: 1 << 20},
	})
	f.oracle.Configured(next)
	f.newest.Store(int64(next))
}

// nameVersion names the next version of the model.
func (f *fleet) nameVersion() {
	f.declaring.Lock()
	defer f.declaring.Unlock()
	f.version++
	f.store.DeclareTarget(provider.Target{Model: modelName, Version: f.version})
	f.oracle.Named(f.version)
}

// processes are all daemons, routers first.
func (f *fleet) processes() []*process {
	var all []*process
	for _, r := range f.routers {
		all = append(all, r.process)
	}
	for _, h := range f.engines() {
		all = append(all, h.loader)
	}
	return all
}

// engines are the hosts that have a loader.
func (f *fleet) engines() []*host {
	var engines []*host
	for _, h := range f.hosts {
		if h.loader != nil {
			engines = append(engines, h)
		}
	}
	return engines
}

// startProcesses starts all daemons.
func (f *fleet) startProcesses() error {
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends everything.
func (f *fleet) close() {
	for _, p := range f.processes() {
		p.kill()
	}
	for _, p := range f.proxies {
		p.Close()
	}
	for _, h := range f.hosts {
		h.server.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
	close(f.done)
}

// drainLimit is how long a process may take to stop: its own bound and some slack.
const drainLimit = settings.DefaultRouterLoaderDrain + 5*time.Second

// changeSettings makes the file differ by a millisecond of the retry window, so that
// every promise stays as it is. It must be called with mu held.
func (r *router) changeSettings(reload int) {
	set := r.settings.(*settings.Router)
	set.Bounds.RetryWindow = api.Duration(retryWindow + time.Duration(reload%2)*time.Millisecond)
}
