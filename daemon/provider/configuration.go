package provider

import (
	"net/netip"
	"time"
)

// Mode is the retry semantics of the requests of a route.
type Mode int

// The modes. The zero value is the most restrictive one.
const (
	// ModeUnsafe requests run at most once.
	ModeUnsafe Mode = iota
	// ModeSafe requests may run more than once.
	ModeSafe
	// ModeStream requests may run more than once, and their responses are event streams; see
	// Route.Resumable.
	ModeStream
)

// String returns the name of the mode as it appears in logs.
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

// Configuration is the complete configuration that operators declare.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route maps a host name and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Mode   Mode
	// Timeout bounds how long a request may take. Objective is the latency target of the first
	// byte of a response.
	Timeout, Objective time.Duration
	// EventGap is the longest gap between two events of a stream that is answered in time, 0 if
	// not declared.
	EventGap time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Shares is never empty, and the sum of its weights is positive.
	Shares []Share
	// MaxAttempts bounds the upstreams to which one request may be sent.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Resumable streams may be resumed at another upstream after the last event.
	Resumable bool
	// AllowedRegions are the regions in which requests may run; empty means all regions.
	AllowedRegions []string
}

// Share is the weight of a service in a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// Engine is set for services whose upstreams run a model.
	Engine *EngineSpec
	// Origin is the address of the origin of weights, set for the service that provides them.
	Origin netip.AddrPort
	// OriginRate is the bandwidth of the origin's link in bytes per second, or 0 if not declared.
	OriginRate float64
	// ColdRate is the number of requests per second that a cold upstream sustains, or 0 if
	// upstreams are never cold.
	ColdRate float64
}

// EngineSpec describes the engines of a service. It is encoded to JSON under the names of its
// fields unless a tag says otherwise.
type EngineSpec struct {
	// Model is the name of the model that the engines serve.
	Model string
	// Places is the number of execution slots of an engine: how many requests it runs
	// concurrently.
	Places int
	// PromptRate is the number of prompt tokens that an engine processes per second.
	// MeanPromptTokens and MeanAnswerTokens are per request, or 0 if not declared.
	PromptRate       float64
	MeanPromptTokens float64 `json:"UsualPrompt"`
	MeanAnswerTokens float64 `json:"UsualAnswer"`
	// Chunks is the number of chunks of a version, and ChunkBytes the size of a chunk.
	Chunks, ChunkBytes int
	// StepTime is the time of a decoding step, which writes a token of each running request.
	// StepTimePerRequest is added for each of them, and StepTimePerKiloToken for each 1,000 tokens
	// of its context. All are 0 if not declared.
	StepTime, StepTimePerRequest, StepTimePerKiloToken time.Duration
	// PromptTimePerMegaPair is added to the time to read a prompt for each million pairs of one of
	// its tokens and an earlier one.
	PromptTimePerMegaPair time.Duration
	// StepsPerPass is the number of decoding steps in a pass of the engine, and PromptTokensPerPass
	// the most prompt tokens that it reads in a pass. Both are 0 if not declared.
	StepsPerPass, PromptTokensPerPass int
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if set.
	Priority *int
	// AllowedRegions are the regions in which requests may run; empty means all regions. Those of
	// the route apply as well.
	AllowedRegions []string
}

// Limits bound the requests of callers.
type Limits struct {
	MaxBodyBytes int64
	// MaxHeaderBytes limits the head of a request, and HeaderTimeout the time in which it must arrive; 0 means the
	// router's default.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a caller's connection may be idle; 0 means the router's default.
	IdleTimeout time.Duration
}

// Upstream is the record that an upstream keeps of itself in the store.
type Upstream struct {
	// ID identifies the upstream; its address may be reused by another one. An upstream may
	// restart under the same ID with another Started time, which is zero if not reported.
	ID      string
	Started time.Time
	Service string
	Address netip.AddrPort
	Hall    string
	// Places is the number of execution slots, for requests that run concurrently.
	Places int
	// Leaving upstreams must get no new requests.
	Leaving bool
	// Models are the versions that an engine has loaded; empty for a new engine and for plain
	// upstreams.
	Models []LoadedModel
	// ColdFor is how long the upstream remains cold after the record was written, and ColdUntil
	// the same as a time on the clock of the daemon that read the record.
	ColdFor   time.Duration
	ColdUntil time.Time
	// Revision is that of the record, and KeptSince when the record was removed, by the clock of the
	// daemon that read it, zero unless the upstream stays in use for a while after that.
	Revision  Revision  `json:"-"`
	KeptSince time.Time `json:"-"`
}

// ColdRemaining returns how much longer the upstream remains cold, or 0 if it is warm.
func (u *Upstream) ColdRemaining(now time.Time) time.Duration { return max(u.ColdUntil.Sub(now), 0) }

// LoadedModel is a version of a model that an engine has loaded completely. It is encoded to JSON
// under the names of its fields.
type LoadedModel struct {
	Model   string
	Version int
}

// LoadedVersion returns the version of a model that the upstream has loaded, or 0.
func (u *Upstream) LoadedVersion(model string) int {
	for _, loaded := range u.Models {
		if loaded.Model == model {
			return loaded.Version
		}
	}
	return 0
}
