package provider

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Engine is the calls of an engine that its loader makes.
type Engine struct {
	// Report asks what the engine holds and does.
	Report func(ctx context.Context, engine netip.AddrPort) (EngineReport, error)
	// Start orders the engine to take what is staged.
	Start func(ctx context.Context, engine netip.AddrPort, order Order) (OrderResult, error)
	// Stage lays a chunk beside the engine and Staged reads it back; a chunk
	// that is not there is ErrNotFound.
	Stage  func(ctx context.Context, engine netip.AddrPort, model string, index int, chunk []byte) error
	Staged func(ctx context.Context, engine netip.AddrPort, model string, index int) ([]byte, error)
}

// EngineReport is an engine's own state.
type EngineReport struct {
	// Models is what it holds whole.
	Models []Loaded
	// Loading says that an order is under way.
	Loading bool
	// Running and Waiting count its requests.
	Running, Waiting int
	// Sequence counts the orders that it took since its start, which was at Started, zero
	// where it does not tell.
	Sequence uint64
	Started  time.Time
}

// Order tells an engine to take a staged version once its requests are done.
type Order struct {
	Model   string
	Version int
	// Fence is refused where it is lower than one already seen.
	Fence Revision
	// Sequence is the engine's count of orders as the sender knows it.
	Sequence uint64
}

// OrderResult is an engine's answer to an order.
type OrderResult int

// The results. The zero value is what an order without an answer leaves.
const (
	OrderUnknown OrderResult = iota
	// OrderBegun means that the engine takes the version now.
	OrderBegun
	// OrderHeld means that the engine holds it already.
	OrderHeld
	// OrderConflict means that it does not fit the engine's state.
	OrderConflict
	// OrderFenced means that a higher fence was seen.
	OrderFenced
	// OrderRefused means that the engine does not know the order.
	OrderRefused
)

// String returns the result's name in logs.
func (r OrderResult) String() string {
	return [...]string{"unknown", "begun", "held", "conflict", "fenced", "refused"}[r]
}

// Manifest lists a version's chunks by their SHA-256 digests.
type Manifest struct {
	Model      string     `json:"model"`
	Version    int        `json:"version"`
	ChunkBytes int        `json:"chunkBytes"`
	Digests    [][32]byte `json:"digests"`
}

// ErrSuperseded says that a version is too old to be fetched.
var ErrSuperseded = errors.New("the version is too old to be fetched")

// Origin is the calls of the origin of weights.
type Origin struct {
	// Manifest reads a version's manifest.
	Manifest func(ctx context.Context, origin netip.AddrPort, model string, version int) (Manifest, error)
	// Chunk reads one chunk; its bytes are not checked here.
	Chunk func(ctx context.Context, origin netip.AddrPort, model string, version, index int) ([]byte, error)
}
