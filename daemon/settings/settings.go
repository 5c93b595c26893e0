// Package settings defines the settings file of each role, decodes it strictly
// from JSON and validates it before the process opens a port. The daemon's main
// package loads its file with it; the CLI validates files and prints examples.
//
// All errors in a file are reported at once, each with its JSON path and a hint,
// so that an operator can fix the file in one pass. The standard decoder stops at
// the first error and reports no path for unknown fields or for types with their
// own syntax, so decode.go compares the document with the Go types. A JSON Schema
// was rejected because it would duplicate these types.
package settings

import (
	"net/netip"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// Role is the role of a process.
type Role string

// Roles of processes.
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
	// Hall is the data hall of the entry's host.
	Hall     string        `json:"hall"`
	Listen   EntryListen   `json:"listen"`
	Platform EntryPlatform `json:"platform"`
	// OperatorKeyDigests are the hex SHA-256 digests of the operators' bearer
	// keys. If empty, the operators' port needs no key, which is allowed on
	// loopback only.
	OperatorKeyDigests []string     `json:"operatorKeyDigests,omitempty"`
	Requests           Requests     `json:"requests,omitzero"`
	Drain              api.Duration `json:"drain,omitempty"`
	Log                Log          `json:"log,omitzero"`
}

// EntryListen holds the listen addresses of an entry.
type EntryListen struct {
	// Callers accepts the requests to route.
	Callers netip.AddrPort `json:"callers"`
	// Operators serves the resource API, /metrics, /healthz and /readyz.
	Operators netip.AddrPort `json:"operators"`
	// Peers accepts requests from the other processes of the system.
	Peers netip.AddrPort `json:"peers"`
}

// EntryPlatform holds the addresses of the platform services of an entry.
type EntryPlatform struct {
	KeyValue netip.AddrPort `json:"keyValue"`
	HostList netip.AddrPort `json:"hostList"`
}

// Requests holds the size limits of a request.
type Requests struct {
	// MaxBodyBytes limits the body; 0 means 64 MiB.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// MaxHeaderBytes limits the headers; 0 means 64 KiB.
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

// AgentListen holds the listen address of an agent.
type AgentListen struct {
	// Peers accepts requests from entries, chunk requests from other agents,
	// /metrics, /healthz and /readyz.
	Peers netip.AddrPort `json:"peers"`
}

// AgentPlatform holds the addresses of the platform services of an agent.
type AgentPlatform struct {
	HostList netip.AddrPort `json:"hostList"`
}

// Weights holds the sources of weights and the limits for their transfer.
type Weights struct {
	// Store is the address of the rate-limited weight store; unset means none.
	Store netip.AddrPort `json:"store,omitzero"`
	// Origin is the address of the origin of weights.
	Origin netip.AddrPort `json:"origin,omitzero"`
	// StagingBytes limits the memory for staged chunks; 0 means 2 GiB.
	StagingBytes int64 `json:"stagingBytes,omitempty"`
	// UploadBytesPerSecond and DownloadBytesPerSecond limit the rate of weight
	// transfers on the host's link; 0 means no limit.
	UploadBytesPerSecond   int64 `json:"uploadBytesPerSecond,omitempty"`
	DownloadBytesPerSecond int64 `json:"downloadBytesPerSecond,omitempty"`
	// PeerWait is the minimum time without progress after which a host takes
	// over a chunk from its primary and fetches it from the origin; 0 means 2s.
	PeerWait api.Duration `json:"peerWait,omitempty"`
}

// UpstreamKind is the kind of program that an agent routes to.
type UpstreamKind string

const (
	// UpstreamEngine is a model engine, which loads versions.
	UpstreamEngine UpstreamKind = "engine"
	// UpstreamPlain is any other service.
	UpstreamPlain UpstreamKind = "plain"
)

// Upstream is the program that an agent routes to.
type Upstream struct {
	Kind    UpstreamKind   `json:"kind"`
	Address netip.AddrPort `json:"address"`
	// Services names the services of a plain upstream.
	Services []string `json:"services,omitempty"`
	// ChecksFence is set for an engine that rejects orders with a fencing token
	// below its highest one. For other engines, a new agent delays its first
	// order by OrderHold.
	ChecksFence bool `json:"checksFence,omitempty"`
	// OrderHold is how long the last order of a previous agent may still be in
	// progress; 0 means 3s.
	OrderHold api.Duration `json:"orderHold,omitempty"`
}

// Log holds the settings of the log.
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

// SetDefaults sets unset optional fields to their defaults.
func (e *Entry) SetDefaults() {
	orDefault(&e.Requests.MaxBodyBytes, DefaultMaxBodyBytes)
	orDefault(&e.Requests.MaxHeaderBytes, DefaultMaxHeaderBytes)
	orDefault(&e.Drain, api.Duration(DefaultDrain))
	orDefault(&e.Log.Level, "info")
}

// SetDefaults sets unset optional fields to their defaults.
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
