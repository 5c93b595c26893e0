// Package settings holds the documented settings of each role, reads them
// strictly from JSON, and checks them before a process opens a port.
//
// A fault in a file is reported with its JSON path and a hint, and all faults
// are reported together, so that an operator mends a file in one go. The
// standard decoder stops at the first fault and names no path for unknown
// fields or for values with a syntax of their own, so decode.go walks the
// document beside the Go types. A JSON Schema would state the shape twice.
package settings

import (
	"net/netip"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// Role says what a process does.
type Role string

// The roles.
const (
	RoleEntry  Role = "entry"
	RoleAgent  Role = "agent"
	RoleRouter Role = "router"
	RoleLoader Role = "loader"
)

// Entry is the settings file of an entry.
type Entry struct {
	Role Role `json:"role"`
	// Name is the entry's name in the host list.
	Name string `json:"name"`
	// Hall is the data hall the entry stands in.
	Hall     string        `json:"hall"`
	Listen   EntryListen   `json:"listen"`
	Platform EntryPlatform `json:"platform"`
	// OperatorKeyDigests are the hex SHA-256 digests of the operators' bearer
	// keys. Empty lets anyone in who reaches the port, which is accepted on
	// loopback only.
	OperatorKeyDigests []string     `json:"operatorKeyDigests,omitempty"`
	Requests           Requests     `json:"requests,omitzero"`
	Drain              api.Duration `json:"drain,omitempty"`
	Log                Log          `json:"log,omitzero"`
}

// EntryListen names the entry's ports.
type EntryListen struct {
	// Callers takes the calls that are routed.
	Callers netip.AddrPort `json:"callers"`
	// Operators takes the resource API, /metrics, /healthz and /readyz.
	Operators netip.AddrPort `json:"operators"`
	// Peers takes the other processes of the system.
	Peers netip.AddrPort `json:"peers"`
}

// EntryPlatform names the platform's services that an entry uses.
type EntryPlatform struct {
	KeyValue netip.AddrPort `json:"keyValue"`
	HostList netip.AddrPort `json:"hostList"`
}

// Requests bounds what one call may send.
type Requests struct {
	// MaxBodyBytes bounds a call's body; 0 means 64 MiB.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// MaxHeaderBytes bounds a call's headers; 0 means 64 KiB.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
}

// Agent is the settings file of an agent.
type Agent struct {
	Role     Role          `json:"role"`
	Name     string        `json:"name"`
	Hall     string        `json:"hall"`
	Listen   AgentListen   `json:"listen"`
	Platform AgentPlatform `json:"platform"`
	Weights  Weights       `json:"weights"`
	Upstream Upstream      `json:"upstream"`
	Drain    api.Duration  `json:"drain,omitempty"`
	Log      Log           `json:"log,omitzero"`
}

// AgentListen names the agent's port.
type AgentListen struct {
	// Peers takes requests from entries, chunk requests from other agents,
	// /metrics, /healthz and /readyz.
	Peers netip.AddrPort `json:"peers"`
}

// AgentPlatform names the platform's services that an agent uses.
type AgentPlatform struct {
	HostList netip.AddrPort `json:"hostList"`
}

// Weights says where weights come from and what they may take.
type Weights struct {
	// Store is the rate-limited weight store; unset means none.
	Store netip.AddrPort `json:"store,omitzero"`
	// Origin is the origin of weights.
	Origin netip.AddrPort `json:"origin,omitzero"`
	// StagingBytes bounds the memory that chunks take; 0 means 2 GiB.
	StagingBytes int64 `json:"stagingBytes,omitempty"`
	// UploadBytesPerSecond and DownloadBytesPerSecond bound the host's link
	// for weights; 0 means no bound.
	UploadBytesPerSecond   int64 `json:"uploadBytesPerSecond,omitempty"`
	DownloadBytesPerSecond int64 `json:"downloadBytesPerSecond,omitempty"`
	// PeerWait is the time that a host waits for peers before it takes a
	// chunk's primary for dead and goes to the origin in its place; 0 means 2s.
	PeerWait api.Duration `json:"peerWait,omitempty"`
}

// UpstreamKind says what stands beside an agent.
type UpstreamKind string

// The kinds of upstream.
const (
	UpstreamEngine UpstreamKind = "engine"
	UpstreamPlain  UpstreamKind = "plain"
)

// Upstream is the program that an agent routes to.
type Upstream struct {
	Kind    UpstreamKind   `json:"kind"`
	Address netip.AddrPort `json:"address"`
	// Services names the services of a plain upstream.
	Services []string `json:"services,omitempty"`
	// ChecksFence says that an engine refuses orders below its fence. Towards
	// one that does not, a new agent holds its orders back for OrderHold.
	ChecksFence bool `json:"checksFence,omitempty"`
	// OrderHold is the time in which a predecessor's last order may still be
	// under way; 0 means 3s.
	OrderHold api.Duration `json:"orderHold,omitempty"`
}

// Log says what is logged.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `json:"level,omitempty"`
}

// Defaults of optional settings.
const (
	DefaultMaxBodyBytes   = 64 << 20
	DefaultMaxHeaderBytes = 64 << 10
	DefaultStagingBytes   = 2 << 30
	DefaultDrain          = 10 * time.Minute
	DefaultPeerWait       = 2 * time.Second
	DefaultOrderHold      = 3 * time.Second
)

// SetDefaults fills in what the file left out.
func (e *Entry) SetDefaults() {
	orDefault(&e.Requests.MaxBodyBytes, DefaultMaxBodyBytes)
	orDefault(&e.Requests.MaxHeaderBytes, DefaultMaxHeaderBytes)
	orDefault(&e.Drain, api.Duration(DefaultDrain))
	orDefault(&e.Log.Level, "info")
}

// SetDefaults fills in what the file left out.
func (a *Agent) SetDefaults() {
	orDefault(&a.Weights.StagingBytes, DefaultStagingBytes)
	orDefault(&a.Weights.PeerWait, api.Duration(DefaultPeerWait))
	orDefault(&a.Upstream.OrderHold, api.Duration(DefaultOrderHold))
	orDefault(&a.Drain, api.Duration(DefaultDrain))
	orDefault(&a.Log.Level, "info")
}

func orDefault[T comparable](field *T, fallback T) {
	*field = helpers.OrDefault(*field, fallback)
}
