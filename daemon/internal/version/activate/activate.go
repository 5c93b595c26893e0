// Package activate sends load orders to an engine. Package install calls it.
//
// An order carries the fencing token of the placement that it implements. An
// engine that checks tokens rejects an order below the highest token that it has
// seen, so an agent that was replaced and resumes cannot revert an order of its
// successor. For an engine that does not check tokens, the agent enforces the
// fence: it never sends an order with a token below its highest one, and a new
// agent waits until an order of its predecessor can no longer be in progress.
package activate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// ErrFenced means that the order has a lower token than an earlier one.
var ErrFenced = errors.New("fenced by an order with a higher token")

// ErrRefused means that the engine has rejected the order, so the order is not in
// progress at the engine.
var ErrRefused = errors.New("engine rejected the order")

// Order is a request to an engine to load a version.
type Order struct {
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
	// Weights is the URL at which the engine reads the file.
	Weights string `json:"weights"`
	Size    int64  `json:"size"`
	Token   uint64 `json:"token"`
}

// State is the version that an engine reports as loaded.
type State struct {
	Manifest string `json:"manifest"`
	// Digest is the digest of the bytes that the engine has read.
	Digest string `json:"digest"`
	Token  uint64 `json:"token"`
}

// Engine is the client of a model engine.
type Engine struct {
	Address netip.AddrPort
	// Load sends an order and returns the state of the engine afterwards.
	Load func(ctx context.Context, order Order) (State, error)
	// QueryState returns the current state of the engine.
	QueryState func(ctx context.Context) (State, error)
}

// maxResponseBytes bounds the response body of an engine.
const maxResponseBytes = 1 << 20

// NewEngine returns a client of the engine at an address.
func NewEngine(address netip.AddrPort, client *http.Client) *Engine {
	e := &Engine{Address: address}
	e.Load = func(ctx context.Context, order Order) (State, error) {
		body, err := json.Marshal(order)
		if err != nil {
			return State{}, fmt.Errorf("encode order: %w", err)
		}
		return call(ctx, client, http.MethodPost, address, "/admin/load", body)
	}
	e.QueryState = func(ctx context.Context) (State, error) {
		return call(ctx, client, http.MethodGet, address, "/admin/state", nil)
	}
	return e
}

func call(ctx context.Context, client *http.Client, method string, engine netip.AddrPort, path string, body []byte) (State, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+engine.String()+path, bytes.NewReader(body))
	if err != nil {
		return State{}, fmt.Errorf("engine %s: %w", engine, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return State{}, fmt.Errorf("engine %s: %w", engine, err)
	}
	defer func() { _ = response.Body.Close() }()
	limitedBody := io.LimitReader(response.Body, maxResponseBytes)
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return State{}, fmt.Errorf("engine %s: %w: %w", engine, ErrRefused, ErrFenced)
	default:
		message, _ := io.ReadAll(limitedBody)
		return State{}, fmt.Errorf("engine %s: %w: %s: %s", engine, ErrRefused, response.Status, bytes.TrimSpace(message))
	}
	var state State
	if err := json.NewDecoder(limitedBody).Decode(&state); err != nil {
		return State{}, fmt.Errorf("engine %s: decode state: %w", engine, err)
	}
	return state, nil
}

// Fence sends load orders to one engine, and none with a token below the highest
// one. Set the fields before use.
type Fence struct {
	Engine *Engine
	// NotBefore is the earliest time of the first order, for engines that check
	// no tokens. Zero means immediately.
	NotBefore time.Time
	// OrderHold is how long an order without a response may still be in progress at
	// an engine that checks no tokens; 0 for an engine that checks them.
	OrderHold time.Duration
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	// mu guards highest and unansweredUntil. It is not held during a load.
	mu      sync.Mutex
	highest uint64
	// unansweredUntil is when an order without a response can no longer take
	// effect.
	unansweredUntil time.Time
}

// Raise records a token. It returns false for a token below the highest one.
func (f *Fence) Raise(token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token < f.highest {
		return false
	}
	f.highest = token
	return true
}

func (f *Fence) now() time.Time { return helpers.Now(f.Now) }

// Load orders the engine to load a version and checks the digest that the engine
// reports for the loaded bytes.
func (f *Fence) Load(ctx context.Context, order Order, fileDigest manifest.Digest) error {
	if err := f.waitUnanswered(ctx); err != nil {
		return err
	}
	if !f.Raise(order.Token) {
		return fmt.Errorf("order %d: %w", order.Token, ErrFenced)
	}
	state, err := f.Engine.Load(ctx, order)
	if err != nil {
		f.recordUnanswered(err)
		return fmt.Errorf("order %d: %w", order.Token, err)
	}
	if state.Manifest != order.Manifest || state.Digest != fileDigest.String() {
		return fmt.Errorf("order %d: engine %s holds version %q with digest %q instead of %q with %q",
			order.Token, f.Engine.Address, state.Manifest, state.Digest, order.Manifest, fileDigest)
	}
	return nil
}

// waitUnanswered waits until no earlier order can still be in progress.
func (f *Fence) waitUnanswered(ctx context.Context) error {
	f.mu.Lock()
	until := f.unansweredUntil
	f.mu.Unlock()
	if f.NotBefore.After(until) {
		until = f.NotBefore
	}
	wait := until.Sub(f.now())
	if wait <= 0 {
		return nil
	}
	if !helpers.Pause(wait, ctx.Done()) {
		return ctx.Err()
	}
	return nil
}

// recordUnanswered delays the next order after an order without a response.
func (f *Fence) recordUnanswered(err error) {
	if f.OrderHold == 0 || errors.Is(err, ErrRefused) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unansweredUntil = f.now().Add(f.OrderHold)
}
