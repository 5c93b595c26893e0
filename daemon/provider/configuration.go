package provider

import (
	"net/netip"
	"time"
)

// Mode says what may be repeated of a route's requests.
type Mode int

// The modes. The zero value is the one that permits least.
const (
	// ModeUnsafe requests run at most once.
	ModeUnsafe Mode = iota
	// ModeSafe requests may run more than once.
	ModeSafe
	// ModeStream answers are series of events; see Route.Resumable.
	ModeStream
)

// String returns the mode's name in logs.
func (m Mode) String() string {
	switch m {
	case ModeSafe:
		return "safe"
	case ModeStream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Configuration is what operators declare, whole.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route sends requests of a host name under a path prefix to a service.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Mode   Mode
	// Timeout is the longest that a request may be held, Objective the time in
	// which an answer is worth most.
	Timeout, Objective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Shares is never empty; the weights add up to more than 0.
	Shares []Share
	// MaxAttempts is the most upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream after the last event.
	Resumable bool
	// Homes are the regions in which requests may run; empty means all.
	Homes []string
}

// Share is a service's part of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of upstreams that are alike.
type Service struct {
	Name string
	// Engine is set for services whose upstreams run a model.
	Engine *EngineSpec
	// Origin is set for the service that weights come from.
	Origin netip.AddrPort
	// OriginRate is the bytes that its link carries in a second, 0 where not declared.
	OriginRate float64
	// ColdRate is the requests a second that an upstream carries while it is cold, 0 where
	// upstreams are never cold.
	ColdRate float64
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	// Model is what the engines serve.
	Model string
	// Places is how many requests an engine runs at once.
	Places int
	// PromptRate is the prompt tokens read a second; UsualPrompt and UsualAnswer
	// are the mean tokens of a request, 0 where not declared.
	PromptRate               float64
	UsualPrompt, UsualAnswer float64
	// Chunks is the number of chunks of a version, ChunkBytes the size of each.
	Chunks, ChunkBytes int
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the route's where it is set.
	Priority *int
	// Homes are the regions in which requests may run; empty means all. Those of the route
	// bind too.
	Homes []string
}

// Limits bound what callers may send.
type Limits struct {
	MaxBodyBytes int64
}

// Upstream is one upstream's own record.
type Upstream struct {
	// ID names the upstream; an address may go to another one. One that starts again may
	// do so under its ID: Started tells them apart, zero where it is not told.
	ID      string
	Started time.Time
	Service string
	Address netip.AddrPort
	Hall    string
	// Places is how many requests it works on at once.
	Places int
	// Leaving upstreams get no new requests.
	Leaving bool
	// Models is what an engine holds; empty for a new engine and plain upstreams.
	Models []Loaded
	// ColdFor is how long after the record was written the upstream is cold, and ColdUntil
	// when that ends by the clock of the daemon that read it.
	ColdFor   time.Duration
	ColdUntil time.Time
}

// Cold returns how much longer the upstream is cold, 0 where it is not.
func (u *Upstream) Cold(now time.Time) time.Duration { return max(u.ColdUntil.Sub(now), 0) }

// Loaded is a version that an engine holds whole.
type Loaded struct {
	Model   string
	Version int
}

// Holds returns the version of the model that the upstream holds, or 0.
func (u *Upstream) Holds(model string) int {
	for _, loaded := range u.Models {
		if loaded.Model == model {
			return loaded.Version
		}
	}
	return 0
}
