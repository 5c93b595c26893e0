// Package gate is the admission control of an agent: it decides whether a request
// may reach the upstream.
//
// The gate holds the authoritative state of the host: the version that the upstream
// serves, the requests in flight, and whether the host is leaving. It refuses a
// request before the upstream receives a byte, which makes the outcome "not-run"
// true.
//
// Invariant: a request runs only while the version that it was routed for is
// served. A change of version closes the gate, waits for the requests in flight, and
// opens the gate for the new version, so none of them is interrupted.
package gate

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/outcome"
)

// busyRetryAfter is the Retry-After value sent at the in-flight limit.
const busyRetryAfter = 200 * time.Millisecond

// Serving is what an upstream serves.
type Serving struct {
	// Services are the names of the services; an engine has at most one.
	Services []string
	// Manifest identifies the version that an engine has loaded, "" for a plain
	// service.
	Manifest string
}

// Target is the service and the version that a request was routed for.
type Target struct {
	Service  string
	Manifest string
}

// Gate admits requests and counts those in flight. The zero value refuses all
// requests until Open is called.
//
// mu is the only lock; it is not held while a request runs.
type Gate struct {
	mu      sync.Mutex
	serving Serving
	// limit bounds inFlight; 0 means unlimited.
	limit    int
	inFlight int
	// closed is set while the version changes.
	closed bool
	// leaving is never reset.
	leaving bool
	// idle is closed when inFlight drops to 0; nil while waitIdle has no callers.
	idle chan struct{}
}

// Admit admits a request or returns a refusal. It also returns the number of
// requests in flight. The caller must call the returned function when the request
// has ended; further calls have no effect.
func (g *Gate) Admit(target Target) (int, func(), *outcome.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.refuse(target); refusal != nil {
		return g.inFlight, nil, refusal
	}
	g.inFlight++
	var once sync.Once
	return g.inFlight, func() { once.Do(g.release) }, nil
}

// refuse returns the refusal of a request, or nil to admit it. The caller must hold mu.
func (g *Gate) refuse(target Target) *outcome.Refusal {
	switch {
	case g.leaving:
		return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonStopping, "the host is leaving")
	case g.closed || !slices.Contains(g.serving.Services, target.Service) || g.serving.Manifest != target.Manifest:
		return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonWrongVersion, "the host does not serve the version that the request was routed for")
	case g.limit > 0 && g.inFlight >= g.limit:
		return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonBusy,
			fmt.Sprintf("the host runs %d requests, as many as it may", g.inFlight)).WithRetryAfter(busyRetryAfter)
	default:
		return nil
	}
}

func (g *Gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// InFlight returns the number of admitted requests that have not ended.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Serving returns the argument of the last Open.
func (g *Gate) Serving() Serving {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serving
}

// AdmittedVersion returns the version that the gate admits requests of a service for, and
// false if it admits none.
func (g *Gate) AdmittedVersion(service string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := !g.leaving && !g.closed && slices.Contains(g.serving.Services, service)
	return g.serving.Manifest, open
}

// SetLimit bounds the requests in flight; 0 means unlimited.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
}

// Close refuses new requests and waits until none is in flight. If the context ends
// first, the gate reopens for the same version.
func (g *Gate) Close(ctx context.Context) error {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	if err := g.waitIdle(ctx); err != nil {
		g.mu.Lock()
		g.closed = false
		g.mu.Unlock()
		return fmt.Errorf("wait for the requests of the old version: %w", err)
	}
	return nil
}

// Open admits requests for the given services and version.
func (g *Gate) Open(serving Serving) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serving = serving
	g.closed = false
}

// Leave refuses new requests permanently; a later Open has no effect on it.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Leaving reports whether Leave was called.
func (g *Gate) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// Drain waits until no request is in flight. Call Leave first.
func (g *Gate) Drain(ctx context.Context) error {
	if err := g.waitIdle(ctx); err != nil {
		return fmt.Errorf("drain: %d requests still in flight: %w", g.InFlight(), err)
	}
	return nil
}

func (g *Gate) waitIdle(ctx context.Context) error {
	g.mu.Lock()
	if g.inFlight == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
