package provider

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"
)

// Engine holds the calls that a loader makes to its engine.
type Engine struct {
	// Report returns the state of the engine.
	Report func(ctx context.Context, engine netip.AddrPort) (EngineReport, error)
	// Start orders the engine to load the staged version.
	Start func(ctx context.Context, engine netip.AddrPort, order Order) (OrderResult, error)
	// WriteStaged writes a chunk to the staging area beside the engine, and ReadStaged reads it back.
	WriteStaged func(ctx context.Context, engine netip.AddrPort, model string, index int, chunk []byte) error
	ReadStaged  func(ctx context.Context, engine netip.AddrPort, model string, index int) ([]byte, error)
}

// EngineReport is the state that an engine reports.
type EngineReport struct {
	// Models are the versions that it has loaded.
	Models []LoadedModel
	// Loading is set while the engine is executing an order.
	Loading bool
	// Running and Waiting are the numbers of its requests that run and that are queued.
	Running, Waiting int
	// Sequence counts the orders that it has accepted since Started, the start of its process.
	// Started is zero if not reported.
	Sequence uint64
	Started  time.Time
	// Leaving is set while the engine is about to end. It must get no new requests.
	Leaving bool
	// Pace is the factor by which the engine is slower than its declared rates, 0 if not reported.
	Pace float64
}

// Order directs an engine to load a staged version once its current requests are done.
type Order struct {
	Model   string
	Version int
	// FencingToken orders the senders: the engine rejects an order whose token is lower than
	// the highest one that it has seen.
	FencingToken Revision
	// Sequence is the sender's view of the engine's order count.
	Sequence uint64
}

// OrderResult is the response of an engine to an order.
type OrderResult int

// The results. The zero value means that the order got no response.
const (
	OrderUnknown OrderResult = iota
	// OrderStarted means that the engine has started to load the version.
	OrderStarted
	// OrderAlreadyLoaded means that the version is loaded already.
	OrderAlreadyLoaded
	// OrderConflict means that the order does not match the engine's state.
	OrderConflict
	// OrderFenced means that the engine has seen a higher fencing token.
	OrderFenced
	// OrderRefused means that the engine does not support the order.
	OrderRefused
)

// String returns the name of the result as it appears in logs.
func (r OrderResult) String() string {
	return [...]string{"unknown", "begun", "held", "conflict", "fenced", "refused"}[r]
}

// Manifest lists the chunks of a version by their SHA-256 digests.
type Manifest struct {
	Model      string     `json:"model"`
	Version    int        `json:"version"`
	ChunkBytes int        `json:"chunkBytes"`
	Digests    [][32]byte `json:"digests"`
}

// Equal reports whether two manifests are the same.
func (m Manifest) Equal(other Manifest) bool {
	return m.Model == other.Model && m.Version == other.Version && m.ChunkBytes == other.ChunkBytes && slices.Equal(m.Digests, other.Digests)
}

// ErrSuperseded reports that a version has been superseded and can no longer be fetched.
var ErrSuperseded = errors.New("the version has been superseded and can no longer be fetched")

// Origin holds the calls to the origin of weights.
type Origin struct {
	// Manifest reads the manifest of a version.
	Manifest func(ctx context.Context, origin netip.AddrPort, model string, version int) (Manifest, error)
	// Chunk reads one chunk. Callers must verify its digest.
	Chunk func(ctx context.Context, origin netip.AddrPort, model string, version, index int) ([]byte, error)
}
