package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
)

// Router is the settings file of a router: a process that accepts requests from
// callers and sends them directly to the upstreams listed in a store.
type Router struct {
	Role   Role         `json:"role"`
	Name   string       `json:"name"`
	Hall   string       `json:"hall"`
	Listen RouterListen `json:"listen"`
	// Store is the address of the store with the configuration and upstreams.
	Store netip.AddrPort `json:"store"`
	// Seeds are the peer addresses of some routers, used to join the gossip; they
	// may be unreachable.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// LoaderPort is the peer port of the loaders on all hosts; 0 means that there
	// are no loaders.
	LoaderPort uint16 `json:"loaderPort,omitempty"`
	// Regions maps data halls to regions. Requests that are restricted to some
	// regions are not sent to halls without an entry.
	Regions []HallRegion `json:"regions,omitempty"`
	Bounds  RouterBounds `json:"bounds,omitzero"`
	Balance Balance      `json:"balance,omitzero"`
	// Drain limits the time to complete requests when the router stops.
	Drain api.Duration `json:"drain,omitempty"`
	Log   Log          `json:"log,omitzero"`
}

// HallRegion assigns a region to a data hall.
type HallRegion struct {
	Hall   string `json:"hall"`
	Region string `json:"region"`
}

// RegionOf returns the region of a data hall, or "" if it has no entry.
func (r *Router) RegionOf(hall string) string {
	for _, entry := range r.Regions {
		if entry.Hall == hall {
			return entry.Region
		}
	}
	return ""
}

// RouterListen holds the listen addresses of a router.
type RouterListen struct {
	// Callers accepts the requests to route.
	Callers netip.AddrPort `json:"callers"`
	// Ready serves the readiness check of the load balancer.
	Ready netip.AddrPort `json:"ready"`
	// Peers accepts requests from the other daemons of the system.
	Peers netip.AddrPort `json:"peers"`
	// Metrics serves /metrics and /healthz.
	Metrics netip.AddrPort `json:"metrics"`
}

// RouterBounds are the time, retry and resource limits that a router has to meet.
type RouterBounds struct {
	// VersionApply is the time within which requests must reach a newly declared
	// version; 0 means 8s.
	VersionApply api.Duration `json:"versionApply,omitempty"`
	// RetryRatio, RetrySlack and RetryWindow define the retry budget of all
	// routers together: within RetryWindow, retries must not exceed RetryRatio
	// of the requests plus RetrySlack. 0 means 0.2, 100 and 10s.
	RetryRatio  float64      `json:"retryRatio,omitempty"`
	RetrySlack  float64      `json:"retrySlack,omitempty"`
	RetryWindow api.Duration `json:"retryWindow,omitempty"`
	// LinkMbps is the rate of the host's link in megabits per second; 0 means unknown.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// MemoryMB is the memory limit of the process in MiB; 0 means unknown.
	MemoryMB float64 `json:"memoryMb,omitempty"`
	// MaxDescriptors is the number of file descriptors that the process may open; 0 means that of the
	// operating system.
	MaxDescriptors int `json:"maxDescriptors,omitempty"`
}

// Balance holds the settings of the choice of upstreams.
type Balance struct {
	// ExpectedLoad is when requests are sent by the expected instead of the last reported load of
	// engines; empty means auto.
	ExpectedLoad ExpectedLoad `json:"expectedLoad,omitempty"`
}

// ExpectedLoad is when requests are sent by the expected load of engines.
type ExpectedLoad string

const (
	// ExpectedLoadAuto means for services whose routes have different priorities, or of which an
	// engine has recently reported that it is slower than declared.
	ExpectedLoadAuto ExpectedLoad = "auto"
	// ExpectedLoadOn means for all services.
	ExpectedLoadOn ExpectedLoad = "on"
	// ExpectedLoadOff means never.
	ExpectedLoadOff ExpectedLoad = "off"
)

// Loader is the settings file of a loader: the process on an engine's host that
// has the engine load the declared version of its model.
type Loader struct {
	Role   Role         `json:"role"`
	Name   string       `json:"name"`
	Hall   string       `json:"hall"`
	Listen LoaderListen `json:"listen"`
	// Store is the address of the store with the configuration and upstreams.
	Store netip.AddrPort `json:"store"`
	// Engine is the address of the engine on this host, Service its service.
	Engine  netip.AddrPort `json:"engine"`
	Service string         `json:"service"`
	Bounds  LoaderBounds   `json:"bounds,omitzero"`
	Drain   api.Duration   `json:"drain,omitempty"`
	Log     Log            `json:"log,omitzero"`
}

// LoaderListen holds the listen addresses of a loader.
type LoaderListen struct {
	// Peers accepts requests from routers and chunk requests from other loaders.
	Peers netip.AddrPort `json:"peers"`
	// Metrics serves /metrics and /healthz.
	Metrics netip.AddrPort `json:"metrics"`
}

// LoaderBounds are the time and resource limits that a loader has to meet.
type LoaderBounds struct {
	// VersionApply is the time within which the engine must serve a newly
	// declared version; 0 means 8s.
	VersionApply api.Duration `json:"versionApply,omitempty"`
	// LinkMbps is the rate of the host's link in megabits per second; 0 means unknown.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// MemoryMB is the memory limit of the process in MiB; 0 means unknown.
	MemoryMB float64 `json:"memoryMb,omitempty"`
}

// Defaults of the settings of routers and loaders.
const (
	DefaultVersionApply      = 8 * time.Second
	DefaultRetryRatio        = 0.2
	DefaultRetrySlack        = 100
	DefaultRetryWindow       = 10 * time.Second
	DefaultRouterLoaderDrain = 8 * time.Second
)

// SetDefaults sets unset optional fields to their defaults.
func (r *Router) SetDefaults() {
	orDefault(&r.Bounds.VersionApply, api.Duration(DefaultVersionApply))
	orDefault(&r.Bounds.RetryRatio, DefaultRetryRatio)
	orDefault(&r.Bounds.RetrySlack, DefaultRetrySlack)
	orDefault(&r.Bounds.RetryWindow, api.Duration(DefaultRetryWindow))
	orDefault(&r.Balance.ExpectedLoad, ExpectedLoadAuto)
	orDefault(&r.Drain, api.Duration(DefaultRouterLoaderDrain))
	orDefault(&r.Log.Level, "info")
}

// SetDefaults sets unset optional fields to their defaults.
func (l *Loader) SetDefaults() {
	orDefault(&l.Bounds.VersionApply, api.Duration(DefaultVersionApply))
	orDefault(&l.Drain, api.Duration(DefaultRouterLoaderDrain))
	orDefault(&l.Log.Level, "info")
}

// Check returns all validation errors of a router's settings.
func (r *Router) Check() []api.FieldError {
	c := &checker{}
	c.identity(r.Name, r.Hall)
	c.address("listen.callers", r.Listen.Callers)
	c.address("listen.ready", r.Listen.Ready)
	c.address("listen.peers", r.Listen.Peers)
	c.address("listen.metrics", r.Listen.Metrics)
	c.address("store", r.Store)
	for i, entry := range r.Regions {
		if entry.Hall == "" || entry.Region == "" {
			c.add(fmt.Sprintf("regions[%d]", i), "hall or region is missing", "each entry names a hall and its region")
		}
	}
	c.duration("bounds.versionApply", r.Bounds.VersionApply)
	c.notNegative("bounds.linkMbps", r.Bounds.LinkMbps)
	c.notNegative("bounds.memoryMb", r.Bounds.MemoryMB)
	c.notNegative("bounds.maxDescriptors", float64(r.Bounds.MaxDescriptors))
	c.duration("bounds.retryWindow", r.Bounds.RetryWindow)
	c.notNegative("bounds.retryRatio", r.Bounds.RetryRatio)
	c.notNegative("bounds.retrySlack", r.Bounds.RetrySlack)
	c.expectedLoad(r.Balance)
	c.duration("drain", r.Drain)
	c.level(r.Log)
	return c.fieldErrs
}

// Check returns all validation errors of a loader's settings.
func (l *Loader) Check() []api.FieldError {
	c := &checker{}
	c.identity(l.Name, l.Hall)
	c.address("listen.peers", l.Listen.Peers)
	c.address("listen.metrics", l.Listen.Metrics)
	c.address("store", l.Store)
	c.address("engine", l.Engine)
	if l.Service == "" {
		c.add("service", "missing", "the service of the engine on this host")
	}
	c.duration("bounds.versionApply", l.Bounds.VersionApply)
	c.notNegative("bounds.linkMbps", l.Bounds.LinkMbps)
	c.notNegative("bounds.memoryMb", l.Bounds.MemoryMB)
	c.duration("drain", l.Drain)
	c.level(l.Log)
	return c.fieldErrs
}

// ExampleRouter returns valid settings of a router.
func ExampleRouter() Router {
	r := Router{
		Role: RoleRouter, Name: "router-1", Hall: exampleHall,
		Listen: RouterListen{Callers: loopback(7200), Ready: loopback(7201), Peers: loopback(7202), Metrics: loopback(7203)},
		Store:  loopback(7900), Seeds: []netip.AddrPort{loopback(7212)},
	}
	r.SetDefaults()
	return r
}

// ExampleLoader returns valid settings of a loader.
func ExampleLoader() Loader {
	l := Loader{
		Role: RoleLoader, Name: "host-1", Hall: exampleHall,
		Listen: LoaderListen{Peers: loopback(7302), Metrics: loopback(7303)},
		Store:  loopback(7900), Engine: loopback(7903), Service: "assistant",
	}
	l.SetDefaults()
	return l
}
