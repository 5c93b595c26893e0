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

// Ports. Each host has its own loopback address.
const (
	callersPort, readyPort, peersPort, metricsPort = 7000, 7001, 7002, 7003
	loaderPort, loaderMetricsPort                  = 7010, 7011
	// upstreamPort is the upstream's own port, linkPort that of its proxy, which the store lists.
	upstreamPort, linkPort = 7020, 7021
	// storePort is the store's own port, storeLinkPort that of a daemon's proxy to it.
	storePort, storeLinkPort = 7030, 7031
	originPort               = 7040
)

// The resources that the configuration declares.
const (
	modelName, engineService, plainService, originService = "model", "assistant", "ledger", "weights"
	chunks, chunkBytes                                    = 48, 4 << 10
	enginePlaces, plainPlaces                             = 12, 24
	linkMbps                                              = 20
)

// Size is the number of data halls, and of processes in each.
type Size struct {
	Halls   int `json:"halls"`
	Routers int `json:"routers"`
	Loaders int `json:"loaders"`
	// Plain is the number of upstreams without a loader.
	Plain int `json:"plain"`
}

// fleet holds the processes, stand-ins and proxies of a run.
type fleet struct {
	folder, daemon string
	size           Size
	// instance is Options.Instance.
	instance int
	oracle   *Oracle
	store    *standin.Store
	origin   *standin.Origin
	routers  []*router
	hosts    []*host
	// callers are those that send for the whole run. greedy is set while a step changes the accounts
	// of their requests.
	callers []*caller
	greedy  atomic.Bool
	// newestConfiguration is the newest declared configuration.
	newestConfiguration atomic.Int64
	// requestCount numbers the requests of all callers, and crashingRequests the distinct crashing
	// requests.
	requestCount, crashingRequests atomic.Int64
	// newestVersion is the newest published version of the model.
	newestVersion int
	// evacuated holds true for each evacuated hall. It is guarded by declareMu.
	evacuated map[string]bool
	// canceled is closed when the run is canceled, which ends all waits. done is closed by
	// close, which ends the expiry of leases in the store.
	canceled <-chan struct{}
	done     chan struct{}
	servers  []*serve.Server
	proxies  []*Proxy

	// declareMu serializes the changes of operators.
	declareMu sync.Mutex
}

// router is a router process with its link to the store.
type router struct {
	*process
	hall    string
	callers netip.AddrPort
	link    *Proxy
}

// host is an upstream with the link that routers use, and for engines its loader.
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
	// generation is part of the upstream's id. An upstream restarts under the same id after
	// a crash, and under a new one after it left. busy is set while a step replaces it.
	generation int
	busy       bool
	// ended is set while the host has no upstream.
	ended bool
}

// platformHost is the number of the host of the store and the origin.
const platformHost = 1

// addressOf returns the loopback address of the host with a number. Concurrent runs differ in its second
// and third byte, so that their ports don't collide.
func (f *fleet) addressOf(number int) netip.Addr {
	const first, ranges = 64, 64
	pid := os.Getpid()
	second, third := first+f.instance*ranges+pid%ranges, pid/ranges
	return netip.AddrFrom4([4]byte{127, byte(second & math.MaxUint8), byte(third & math.MaxUint8), byte(number & math.MaxUint8)})
}

func addrPort(address netip.Addr, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(address, port)
}

// errSize reports that a fleet of the given size cannot be built.
var errSize = errors.New("each number must be at least 1, and all halls together may have at most 250 hosts")

// newFleet builds a fleet and starts its stand-ins and proxies, but not the daemons.
func newFleet(options *Options, oracle *Oracle, canceled <-chan struct{}) (*fleet, error) {
	size := options.Size
	const maxHosts = 250
	hosts := size.Halls * (size.Routers + size.Loaders + size.Plain)
	if min(size.Halls, size.Routers, size.Loaders, size.Plain) < 1 || hosts > maxHosts {
		return nil, fmt.Errorf("%d halls of %d routers, %d loaders and %d plain upstreams: %w", size.Halls, size.Routers, size.Loaders, size.Plain, errSize)
	}
	f := &fleet{
		folder: options.Folder, daemon: options.Daemon, size: size, instance: options.Instance, oracle: oracle, canceled: canceled, done: make(chan struct{}),
		store: &standin.Store{}, origin: &standin.Origin{Model: modelName, Chunks: chunks, ChunkBytes: chunkBytes},
	}
	platform := f.addressOf(platformHost)
	if err := f.serve(addrPort(platform, storePort), f.store.Handler(f.done)); err != nil {
		return nil, err
	}
	if err := f.serve(addrPort(platform, originPort), f.origin.Handler()); err != nil {
		return nil, err
	}
	number := platformHost
	for _, name := range f.halls() {
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
	f.publishVersion()
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
	address := f.addressOf(number)
	link, err := f.proxy(addrPort(address, storeLinkPort), addrPort(f.addressOf(platformHost), storePort))
	if err != nil {
		return err
	}
	name := fmt.Sprintf("router-%d", number)
	routerSettings := settings.Router{
		Role: settings.RoleRouter, Name: name, Hall: hall, Store: addrPort(address, storeLinkPort), LoaderPort: loaderPort,
		Listen: settings.RouterListen{
			Callers: addrPort(address, callersPort), Ready: addrPort(address, readyPort), Peers: addrPort(address, peersPort), Metrics: addrPort(address, metricsPort),
		},
	}
	for _, other := range f.routers {
		routerSettings.Seeds = append(routerSettings.Seeds, addrPort(other.callers.Addr(), peersPort))
	}
	f.routers = append(f.routers, &router{
		process: &process{name: name, binary: f.daemon, folder: f.folder, settings: &routerSettings},
		hall:    hall, callers: routerSettings.Listen.Callers, link: link,
	})
	return nil
}

func (f *fleet) addHost(number int, hall string, engine bool) error {
	address := f.addressOf(number)
	link, err := f.proxy(addrPort(address, linkPort), addrPort(address, upstreamPort))
	if err != nil {
		return err
	}
	h := &host{number: number, hall: hall, service: plainService, address: address, link: link}
	f.hosts = append(f.hosts, h)
	if engine {
		h.service = engineService
		if _, err := f.proxy(addrPort(address, storeLinkPort), addrPort(f.addressOf(platformHost), storePort)); err != nil {
			return err
		}
		name := fmt.Sprintf("loader-%d", number)
		h.loader = &process{name: name, binary: f.daemon, folder: f.folder, settings: &settings.Loader{
			Role: settings.RoleLoader, Name: name, Hall: hall, Store: addrPort(address, storeLinkPort),
			Listen: settings.LoaderListen{Peers: addrPort(address, loaderPort), Metrics: addrPort(address, loaderMetricsPort)},
			Engine: addrPort(address, upstreamPort), Service: engineService, Bounds: settings.LoaderBounds{LinkMbps: linkMbps},
		}}
	}
	return f.startUpstream(h, 0)
}

// startUpstream starts a new upstream on a host and lists it in the store. It is cold for a time.
func (f *fleet) startUpstream(h *host, coldFor time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := &standin.Upstream{
		Record: provider.Upstream{
			ID: fmt.Sprintf("u-%d-%d", h.number, h.generation), Started: time.Now(), Service: h.service, Hall: h.hall,
			Address: addrPort(h.address, linkPort), Places: plainPlaces,
		},
		Store: f.store, OnRun: f.oracle.RecordRun, OnReceive: f.oracle.RecordArrival, OnRespond: f.oracle.RecordResponse,
		OnEnd:           f.oracle.RecordRunEnded,
		OnChunkMismatch: func(text string) { f.oracle.Violatef(CheckWeights, "%s", text) },
		OnCrash:         func() <-chan struct{} { return f.crashDuringRequest(h) },
	}
	if h.loader != nil {
		u.Origin, u.Record.Places = f.origin, enginePlaces
	}
	server, err := serve.Listen(addrPort(h.address, upstreamPort), u.Handler())
	if err != nil {
		return err
	}
	f.oracle.RecordStarted(u.Record.ID, h.hall)
	if coldFor > 0 {
		u.SetCold(coldFor)
		f.oracle.RecordCold(u.Record.ID, coldFor)
	}
	h.upstream, h.server, h.ended = u, server, false
	if err := h.link.Listen(); err != nil {
		return err
	}
	u.Announce()
	return nil
}

// stopUpstream closes the upstream of a host without notice, as a crash does, and removes
// its entry from the store after the expiry.
func (f *fleet) stopUpstream(h *host, expiry time.Duration) {
	id := f.closeUpstream(h)
	h.link.StopListening()
	f.expireUpstream(id, expiry)
}

// closeUpstream closes the listeners of a host's upstream, then its connections, and returns its id.
func (*fleet) closeUpstream(h *host) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.link.CloseListener()
	h.server.Close()
	h.ended = true
	return h.upstream.Record.ID
}

// expireUpstream removes the entry of an upstream from the store after the expiry.
func (f *fleet) expireUpstream(id string, expiry time.Duration) {
	f.wait(expiry)
	f.store.RemoveUpstream(id)
}

// claim reserves the host's upstream for replacement until release. It reports false if
// another step holds the reservation.
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

func (h *host) currentUpstream() *standin.Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.upstream
}

// wait waits for a duration, or until the run is canceled.
func (f *fleet) wait(d time.Duration) { wait(d, f.canceled) }

func wait(d time.Duration, stop <-chan struct{}) {
	select {
	case <-time.After(d):
	case <-stop:
	}
}

// configure declares the next configuration. Each configuration has its own probe route and
// key, so that an answer shows which configuration the router has in force.
func (f *fleet) configure() {
	f.declareMu.Lock()
	defer f.declareMu.Unlock()
	next := int(f.newestConfiguration.Load()) + 1
	f.declareConfiguration(next)
	f.oracle.RecordConfiguration(next)
	f.newestConfiguration.Store(int64(next))
}

// declareConfiguration writes a configuration to the store. It must be called with declareMu held.
func (f *fleet) declareConfiguration(next int) {
	route := func(name, prefix, service string, mode provider.Mode, priority int) provider.Route {
		const attempts, objective = 2, 300 * time.Millisecond
		return provider.Route{
			Name: name, Host: callersHost, Prefix: prefix, Mode: mode, Timeout: routeTimeout, Objective: objective,
			MaxAttempts: attempts, Priority: priority, Resumable: mode == provider.ModeStream, Shares: []provider.Share{{Service: service, Weight: 1}},
		}
	}
	f.store.Declare(provider.Configuration{
		Version: uint64(next), //nolint:gosec // counts from 1
		Routes: []provider.Route{
			route("stream", standin.StreamPath, engineService, provider.ModeStream, 1),
			route("long", standin.LongPath, engineService, provider.ModeStream, longPriority),
			route("unsafe", unsafePath, plainService, provider.ModeUnsafe, 0),
			route("safe", safePath, plainService, provider.ModeSafe, 0),
			route("probe", probePath(next), plainService, provider.ModeSafe, 0),
		},
		Services: []provider.Service{
			{Name: plainService, ColdRate: coldRate},
			{Name: originService, Origin: addrPort(f.addressOf(platformHost), originPort)},
			{Name: engineService, ColdRate: coldRate, Engine: engineSpec()},
		},
		Accounts: append(accounts(), provider.Account{Name: "changing", Keys: []string{probeKey(next)}}),
		Limits:   provider.Limits{MaxBodyBytes: 1 << 20},
	})
}

// publishVersion sets the next version of the model as the target.
func (f *fleet) publishVersion() {
	f.declareMu.Lock()
	defer f.declareMu.Unlock()
	f.newestVersion++
	f.declareVersion()
	f.oracle.RecordVersion(f.newestVersion)
}

// declareVersion writes the newest version to the store. It must be called with declareMu held.
func (f *fleet) declareVersion() {
	f.store.DeclareTarget(provider.Target{Model: modelName, Version: f.newestVersion})
}

// halls returns the names of the data halls.
func (f *fleet) halls() []string {
	halls := make([]string, f.size.Halls)
	for i := range halls {
		halls[i] = fmt.Sprintf("hall-%d", i+1)
	}
	return halls
}

// processes returns all daemons, routers first.
func (f *fleet) processes() []*process {
	var all []*process
	for _, r := range f.routers {
		all = append(all, r.process)
	}
	for _, h := range f.engineHosts() {
		all = append(all, h.loader)
	}
	return all
}

// engineHosts returns the hosts that have a loader.
func (f *fleet) engineHosts() []*host {
	var engines []*host
	for _, h := range f.hosts {
		if h.loader != nil {
			engines = append(engines, h)
		}
	}
	return engines
}

func (f *fleet) startProcesses() error {
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close kills all daemons and closes the proxies, upstreams and stand-ins.
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

// stopTimeout bounds the time that a process takes to stop: its own drain timeout and slack.
const stopTimeout = settings.DefaultRouterLoaderDrain + 5*time.Second

// changeSettings changes the retry window by a millisecond, so that a reload finds other
// settings while every checked bound stays valid. It must be called with mu held.
func (r *router) changeSettings(reload int) {
	routerSettings := r.settings.(*settings.Router)
	routerSettings.Bounds.RetryWindow = api.Duration(retryWindow + time.Duration(reload%2)*time.Millisecond)
}
