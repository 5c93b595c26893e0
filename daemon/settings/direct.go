package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
)

// Router is the settings file of a router: a process that takes callers'
// requests and sends them straight to upstreams, where a store lists these.
type Router struct {
	Role   Role         `json:"role"`
	Name   string       `json:"name"`
	Hall   string       `json:"hall"`
	Listen RouterListen `json:"listen"`
	// Store is the address of the store with the configuration and upstreams.
	Store netip.AddrPort `json:"store"`
	// Seeds are peers' ports of a few routers, which may be down.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// LoaderPort is the port on which the loaders of all hosts take peers; 0
	// means that there are none.
	LoaderPort uint16 `json:"loaderPort,omitempty"`
	// Regions tells the region of each data hall. Requests that may run in some regions
	// only go to no hall that is missing here.
	Regions []HallRegion `json:"regions,omitempty"`
	Bounds  RouterBounds `json:"bounds,omitzero"`
	// Drain bounds a stop.
	Drain api.Duration `json:"drain,omitempty"`
	Log   Log          `json:"log,omitzero"`
}

// HallRegion is the region that a data hall stands in.
type HallRegion struct {
	Hall   string `json:"hall"`
	Region string `json:"region"`
}

// RegionOf returns the region of a data hall, "" where it is not known.
func (r *Router) RegionOf(hall string) string {
	for _, known := range r.Regions {
		if known.Hall == hall {
			return known.Region
		}
	}
	return ""
}

// RouterListen names the router's ports.
type RouterListen struct {
	// Callers takes the requests that are routed.
	Callers netip.AddrPort `json:"callers"`
	// Ready answers the balancer whether this router takes callers.
	Ready netip.AddrPort `json:"ready"`
	// Peers takes other daemons of the system.
	Peers netip.AddrPort `json:"peers"`
	// Metrics takes /metrics and /healthz.
	Metrics netip.AddrPort `json:"metrics"`
}

// RouterBounds are the promises that the router keeps.
type RouterBounds struct {
	// VersionApply is the time in which requests must reach a newly declared
	// version; 0 means 8s.
	VersionApply api.Duration `json:"versionApply,omitempty"`
	// Second sends of all routers together stay within RetryRatio of the
	// requests plus RetrySlack in RetryWindow; 0 means 0.2, 100 and 10s.
	RetryRatio  float64      `json:"retryRatio,omitempty"`
	RetrySlack  float64      `json:"retrySlack,omitempty"`
	RetryWindow api.Duration `json:"retryWindow,omitempty"`
	// LinkMbps is the rate of the host's link in megabits a second; 0 means unknown.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// MemoryMB is the memory that the process may take, in MiB; 0 means unknown.
	MemoryMB float64 `json:"memoryMb,omitempty"`
}

// Loader is the settings file of a loader: the process beside an engine that
// brings it the declared version of its model.
type Loader struct {
	Role   Role         `json:"role"`
	Name   string       `json:"name"`
	Hall   string       `json:"hall"`
	Listen LoaderListen `json:"listen"`
	// Store is the address of the store with the configuration and upstreams.
	Store netip.AddrPort `json:"store"`
	// Engine is the engine on this host, Service the service that it is of.
	Engine  netip.AddrPort `json:"engine"`
	Service string         `json:"service"`
	Bounds  LoaderBounds   `json:"bounds,omitzero"`
	Drain   api.Duration   `json:"drain,omitempty"`
	Log     Log            `json:"log,omitzero"`
}

// LoaderListen names the loader's ports.
type LoaderListen struct {
	// Peers takes other loaders, which fetch chunks here, and routers.
	Peers netip.AddrPort `json:"peers"`
	// Metrics takes /metrics and /healthz.
	Metrics netip.AddrPort `json:"metrics"`
}

// LoaderBounds are the promises that the loader keeps.
type LoaderBounds struct {
	// VersionApply is the time in which a declared version must serve; 0 means 8s.
	VersionApply api.Duration `json:"versionApply,omitempty"`
	// LinkMbps is the rate of the host's link in megabits a second; 0 means unknown.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// Defaults of the settings of routers and loaders.
const (
	DefaultVersionApply = 8 * time.Second
	DefaultRetryRatio   = 0.2
	DefaultRetrySlack   = 100
	DefaultRetryWindow  = 10 * time.Second
	DefaultDirectDrain  = 8 * time.Second
)

// SetDefaults fills in what the file left out.
func (r *Router) SetDefaults() {
	orDefault(&r.Bounds.VersionApply, api.Duration(DefaultVersionApply))
	orDefault(&r.Bounds.RetryRatio, DefaultRetryRatio)
	orDefault(&r.Bounds.RetrySlack, DefaultRetrySlack)
	orDefault(&r.Bounds.RetryWindow, api.Duration(DefaultRetryWindow))
	orDefault(&r.Drain, api.Duration(DefaultDirectDrain))
	orDefault(&r.Log.Level, "info")
}

// SetDefaults fills in what the file left out.
func (l *Loader) SetDefaults() {
	orDefault(&l.Bounds.VersionApply, api.Duration(DefaultVersionApply))
	orDefault(&l.Drain, api.Duration(DefaultDirectDrain))
	orDefault(&l.Log.Level, "info")
}

// Check returns every fault of a router's settings.
func (r *Router) Check() []api.FieldError {
	c := &checker{}
	c.identity(r.Name, r.Hall)
	c.address("listen.callers", r.Listen.Callers)
	c.address("listen.ready", r.Listen.Ready)
	c.address("listen.peers", r.Listen.Peers)
	c.address("listen.metrics", r.Listen.Metrics)
	c.address("store", r.Store)
	for i, known := range r.Regions {
		if known.Hall == "" || known.Region == "" {
			c.add(fmt.Sprintf("regions[%d]", i), "names no hall or no region", "each entry has both, once for each hall")
		}
	}
	c.duration("bounds.versionApply", r.Bounds.VersionApply)
	c.atLeastZero("bounds.linkMbps", r.Bounds.LinkMbps)
	c.atLeastZero("bounds.memoryMb", r.Bounds.MemoryMB)
	c.duration("bounds.retryWindow", r.Bounds.RetryWindow)
	c.atLeastZero("bounds.retryRatio", r.Bounds.RetryRatio)
	c.atLeastZero("bounds.retrySlack", r.Bounds.RetrySlack)
	c.duration("drain", r.Drain)
	c.level(r.Log)
	return c.faults
}

// Check returns every fault of a loader's settings.
func (l *Loader) Check() []api.FieldError {
	c := &checker{}
	c.identity(l.Name, l.Hall)
	c.address("listen.peers", l.Listen.Peers)
	c.address("listen.metrics", l.Listen.Metrics)
	c.address("store", l.Store)
	c.address("engine", l.Engine)
	if l.Service == "" {
		c.add("service", "missing", "the service that the engine on this host is of")
	}
	c.duration("bounds.versionApply", l.Bounds.VersionApply)
	c.atLeastZero("bounds.linkMbps", l.Bounds.LinkMbps)
	c.duration("drain", l.Drain)
	c.level(l.Log)
	return c.faults
}

// ExampleRouter returns settings that pass the check.
func ExampleRouter() Router {
	r := Router{
		Role: RoleRouter, Name: "router-1", Hall: exampleHall,
		Listen: RouterListen{Callers: loopback(7200), Ready: loopback(7201), Peers: loopback(7202), Metrics: loopback(7203)},
		Store:  loopback(7900), Seeds: []netip.AddrPort{loopback(7212)},
	}
	r.SetDefaults()
	return r
}

// ExampleLoader returns settings that pass the check.
func ExampleLoader() Loader {
	l := Loader{
		Role: RoleLoader, Name: "host-1", Hall: exampleHall,
		Listen: LoaderListen{Peers: loopback(7302), Metrics: loopback(7303)},
		Store:  loopback(7900), Engine: loopback(7903), Service: "assistant",
	}
	l.SetDefaults()
	return l
}
