package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

const maxRequestBytes = 4 << 20

// tokenDigits is the number of hex digits of a generated token.
const tokenDigits = 8

// Completion is the body of a completion request.
type Completion struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Response is the response to a request that does not stream.
type Response struct {
	Request  string   `json:"request"`
	Manifest string   `json:"manifest"`
	Tokens   []string `json:"tokens"`
}

// TokenEvent is one server-sent event of a streaming response. The stream ends with
// the line "data: [DONE]".
type TokenEvent struct {
	Request  string `json:"request"`
	Manifest string `json:"manifest"`
	Index    int    `json:"index"`
	Text     string `json:"text"`
}

// TokenText returns the token at an index. It depends only on the version, the
// prompt and the index, so that clients can check that a response is complete and
// belongs to their request.
func TokenText(version, prompt string, index int) string {
	return manifest.Sum(fmt.Appendf(nil, "%s\n%s\n%d", version, prompt, index)).String()[:tokenDigits]
}

// begin records a run and returns the loaded version with a context that is cancelled
// when the version is replaced. It reports false if no version is loaded.
func (s *Server) begin(id string) (State, context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Manifest == "" {
		return State{}, nil, false
	}
	if s.runs == nil {
		s.runs = map[string]Run{}
	}
	run := s.runs[id]
	run.Count++
	run.Manifest = s.state.Manifest
	s.runs[id] = run
	return s.state, s.current, true
}

// markCancelled records that the client of a run disconnected.
func (s *Server) markCancelled(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.runs[id]
	run.Cancelled = true
	s.runs[id] = run
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(api.HeaderRequestID)
	var fault Fault
	if s.Fault != nil {
		fault = s.Fault(id)
	}
	if fault.CutBefore {
		panic(http.ErrAbortHandler)
	}
	var request Completion
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	state, versionCtx, ok := s.begin(id)
	if !ok {
		http.Error(w, "no version is loaded", http.StatusServiceUnavailable)
		return
	}
	s.reports.add(s.now(), 1)
	defer func() { s.reports.add(s.now(), -1) }()
	g := generation{server: s, id: id, request: request, state: state, versionCtx: versionCtx, fault: fault}
	if !g.acquireSlot(r.Context()) {
		s.markCancelled(id)
		return
	}
	defer g.releaseSlot()
	g.respond(w, r)
}

// generation is one running completion.
type generation struct {
	server     *Server
	id         string
	request    Completion
	state      State
	versionCtx context.Context //nolint:containedctx // cancelled when the version is replaced
	fault      Fault
}

func (g *generation) acquireSlot(ctx context.Context) bool {
	if g.server.slots == nil {
		return true
	}
	select {
	case g.server.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *generation) releaseSlot() {
	if g.server.slots != nil {
		<-g.server.slots
	}
}

// pause waits and reports false if the client disconnected. It aborts the response if
// the version was replaced.
func (g *generation) pause(ctx context.Context, wait time.Duration) bool {
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		case <-g.versionCtx.Done():
		}
	}
	if g.versionCtx.Err() != nil {
		g.server.mu.Lock()
		g.server.aborted++
		g.server.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	return ctx.Err() == nil
}

func (g *generation) respond(w http.ResponseWriter, r *http.Request) {
	prefill := g.server.Prefill
	if g.server.cache.use(g.request.Prompt, g.server.now()) {
		prefill /= 2
	}
	if !g.pause(r.Context(), prefill) {
		g.server.markCancelled(g.id)
		return
	}
	if g.request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	var texts []string
	for index := range g.request.MaxTokens {
		if !g.pause(r.Context(), g.server.PerToken) {
			g.server.markCancelled(g.id)
			return
		}
		if g.fault.CutAfterTokens > 0 && index == g.fault.CutAfterTokens {
			panic(http.ErrAbortHandler)
		}
		text := TokenText(g.state.Manifest, g.request.Prompt, index)
		texts = append(texts, text)
		if g.request.Stream {
			g.sendToken(w, TokenEvent{Request: g.id, Manifest: g.state.Manifest, Index: index, Text: text})
		}
	}
	if g.fault.Stall {
		<-r.Context().Done()
		g.server.markCancelled(g.id)
		return
	}
	if g.request.Stream {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		return
	}
	serve.JSON(w, http.StatusOK, Response{Request: g.id, Manifest: g.state.Manifest, Tokens: texts})
}

func (g *generation) sendToken(w http.ResponseWriter, token TokenEvent) {
	data, err := json.Marshal(token)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}
