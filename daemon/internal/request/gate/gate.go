// Package gate decides at an agent whether a request may reach the upstream.
//
// The gate is the one place that knows exactly what the upstream serves, how
// many requests it runs, and whether the host is leaving. It refuses before the
// upstream sees a byte, which is what makes "not run" true. A change of version
// closes the gate, waits for the requests inside, and opens it for the new
// version, so that no request is answered by another version than it was
// routed for and none is cut.
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

// busyRetry is the time after which a refused caller may come back.
const busyRetry = 200 * time.Millisecond

// Serving is what an upstream serves.
type Serving struct {
	// Services are the names of the services; an engine has at most one.
	Services []string
	// Manifest is the version that an engine holds, "" for a plain service.
	Manifest string
}

// Stamp is what a request was routed for.
type Stamp struct {
	Service  string
	Manifest string
}

// Gate counts the requests inside. The zero value refuses all, because it
// serves nothing yet.
//
// Lock order: mu is the only lock; it is not held while a request runs.
type Gate struct {
	mu      sync.Mutex
	serving Serving
	// limit bounds inFlight; 0 means no bound.
	limit    int
	inFlight int
	// closed is set while the version changes.
	closed bool
	// leaving is set for good once the host leaves.
	leaving bool
	// idle is closed when inFlight falls to 0 while someone waits; nil when
	// nobody does.
	idle chan struct{}
}

// Enter admits a request and returns the number of requests inside and the
// function that the request calls when it is over, or a refusal.
func (g *Gate) Enter(stamp Stamp) (int, func(), *outcome.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.refuse(stamp); refusal != nil {
		return g.inFlight, nil, refusal
	}
	g.inFlight++
	var once sync.Once
	return g.inFlight, func() { once.Do(g.exit) }, nil
}

// refuse returns why a request may not enter, or nil; the caller holds mu.
func (g *Gate) refuse(stamp Stamp) *outcome.Refusal {
	switch {
	case g.leaving:
		return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonStopping, "the host is leaving")
	case g.closed || !slices.Contains(g.serving.Services, stamp.Service) || g.serving.Manifest != stamp.Manifest:
		return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonWrongVersion, "the host does not serve the version that the request was routed for")
	case g.limit > 0 && g.inFlight >= g.limit:
		return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonBusy,
			fmt.Sprintf("the host runs %d requests, as many as it may", g.inFlight)).Retry(busyRetry)
	default:
		return nil
	}
}

func (g *Gate) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// InFlight returns the number of requests inside.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Serving returns what the gate admits requests for.
func (g *Gate) Serving() Serving {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serving
}

// Serves returns the version that the gate admits requests of a service for,
// false while it admits none.
func (g *Gate) Serves(service string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := !g.leaving && !g.closed && slices.Contains(g.serving.Services, service)
	return g.serving.Manifest, open
}

// SetLimit bounds the requests inside; 0 means no bound.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
}

// Close refuses new requests and waits until none is inside. When the context
// ends first, the gate opens again as it was.
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

// Open admits requests for what is now served.
func (g *Gate) Open(serving Serving) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serving = serving
	g.closed = false
}

// Leave refuses new requests for good.
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

// Drain waits until no request is inside. Call Leave first.
func (g *Gate) Drain(ctx context.Context) error {
	if err := g.waitIdle(ctx); err != nil {
		return fmt.Errorf("drain: %d requests still run: %w", g.InFlight(), err)
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
