// Package activate orders an engine to load a version.
//
// An order carries the fencing token of the placement that it follows from. An
// engine that checks fences refuses an order below the highest token it has
// seen, so an agent that was replaced and wakes cannot undo its successor's
// order. For an engine that checks nothing the agent itself keeps the fence:
// it never sends an order below its highest one, and a new agent waits out the
// time in which an order of its predecessor may still be under way.
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

// ErrFenced means that a higher token has been seen; the order must not be followed.
var ErrFenced = errors.New("fenced off by a newer order")

// ErrRefused means that the engine answered that it did not follow the order, so nothing
// of the order is still under way.
var ErrRefused = errors.New("the engine refused the order")

// Order tells an engine what to load.
type Order struct {
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
	// Weights is where the engine reads the whole file.
	Weights string `json:"weights"`
	Size    int64  `json:"size"`
	Token   uint64 `json:"token"`
}

// State is what an engine says it holds.
type State struct {
	Manifest string `json:"manifest"`
	// Digest is the digest over the bytes that the engine has read.
	Digest string `json:"digest"`
	Token  uint64 `json:"token"`
}

// Engine is the adapter to a model engine.
type Engine struct {
	Peer netip.AddrPort
	// Load sends an order and returns what the engine holds afterwards.
	Load func(ctx context.Context, order Order) (State, error)
	// Holds asks what the engine holds now.
	Holds func(ctx context.Context) (State, error)
}

// maxAnswerBytes bounds an engine's answer.
const maxAnswerBytes = 1 << 20

// NewEngine returns the engine at an address.
func NewEngine(address netip.AddrPort, client *http.Client) *Engine {
	e := &Engine{Peer: address}
	e.Load = func(ctx context.Context, order Order) (State, error) {
		body, err := json.Marshal(order)
		if err != nil {
			return State{}, fmt.Errorf("encode order: %w", err)
		}
		return call(ctx, client, http.MethodPost, address, "/admin/load", body)
	}
	e.Holds = func(ctx context.Context) (State, error) {
		return call(ctx, client, http.MethodGet, address, "/admin/state", nil)
	}
	return e
}

func call(ctx context.Context, client *http.Client, method string, peer netip.AddrPort, path string, body []byte) (State, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+peer.String()+path, bytes.NewReader(body))
	if err != nil {
		return State{}, fmt.Errorf("engine %s: %w", peer, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return State{}, fmt.Errorf("engine %s: %w", peer, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer := io.LimitReader(response.Body, maxAnswerBytes)
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return State{}, fmt.Errorf("engine %s: %w: %w", peer, ErrRefused, ErrFenced)
	default:
		text, _ := io.ReadAll(answer)
		return State{}, fmt.Errorf("engine %s: %w with %s: %s", peer, ErrRefused, response.Status, bytes.TrimSpace(text))
	}
	var state State
	if err := json.NewDecoder(answer).Decode(&state); err != nil {
		return State{}, fmt.Errorf("engine %s: read state: %w", peer, err)
	}
	return state, nil
}

// Fence orders the loads of one engine. Set the fields before use.
type Fence struct {
	Engine *Engine
	// NotBefore is when the first order may go out: a new agent holds back
	// towards an engine that checks no fence. Zero means at once.
	NotBefore time.Time
	// Hold is how long an order without an answer may still be under way at an
	// engine that checks no fence; 0 for one that does.
	Hold time.Duration
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	// mu guards highest and heldUntil. It is not held during a load.
	mu      sync.Mutex
	highest uint64
	// heldUntil is when an order without an answer can no longer take effect.
	heldUntil time.Time
}

// Raise notes a token and reports whether it is the highest seen, or equal.
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

// Load orders the engine to load a version and checks that it holds just the
// declared bytes afterwards.
func (f *Fence) Load(ctx context.Context, order Order, whole manifest.Digest) error {
	if err := f.hold(ctx); err != nil {
		return err
	}
	if !f.Raise(order.Token) {
		return fmt.Errorf("order %d: %w", order.Token, ErrFenced)
	}
	state, err := f.Engine.Load(ctx, order)
	if err != nil {
		f.noteFailed(err)
		return fmt.Errorf("order %d: %w", order.Token, err)
	}
	if state.Manifest != order.Manifest || state.Digest != whole.String() {
		return fmt.Errorf("order %d: engine %s holds version %q with digest %q, not %q with %q",
			order.Token, f.Engine.Peer, state.Manifest, state.Digest, order.Manifest, whole)
	}
	return nil
}

// hold waits until no other order can still be under way.
func (f *Fence) hold(ctx context.Context) error {
	f.mu.Lock()
	until := f.heldUntil
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

// noteFailed holds back the next order after one without an answer.
func (f *Fence) noteFailed(err error) {
	if f.Hold == 0 || errors.Is(err, ErrRefused) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heldUntil = f.now().Add(f.Hold)
}
