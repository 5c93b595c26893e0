// Package intake accepts callers' requests at an entry and proxies each to a host until it
// has one final response. The entry process registers it on its callers' port.
//
// A request is retried at another host only if the first one did not run it: the agent
// refused it, or no connection was made. Retries draw on a budget that is a share of the
// service's recent requests, so that they cannot multiply an overload. A retry after a
// version mismatch is free: the host is not overloaded, this entry's view of it is stale,
// and such refusals are frequent while a version changes.
package intake

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/drain"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/account"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/outcome"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/route"
)

const (
	// defaultTimeout applies if neither the caller nor the service names one.
	defaultTimeout = 60 * time.Second
	// maxTimeout bounds the timeout that a caller may request.
	maxTimeout = time.Hour
	// maxAttempts bounds the attempts to send a request to a host.
	maxAttempts = 4
	// maxBufferedBody is the size up to which a repeatable body is buffered for a retry. Larger
	// bodies, and those of requests that run at most once, are not read from the caller until
	// the agent has admitted the request.
	maxBufferedBody = 64 << 10
	// defaultRetryAfter is the Retry-After value sent when no host serves the service, or when a
	// refusal of an agent carries none.
	defaultRetryAfter = time.Second
)

// pathPrefix is the path under which callers reach services.
const pathPrefix = "/v1/services/"

// Handler serves callers' requests at an entry.
type Handler struct {
	Table          *tables.Table
	Members        *members.Table
	Selector       *route.Selector
	AccountLimiter *account.Limiter
	RetryBudgets   *RetryBudgets
	Transport      http.RoundTripper
	Telemetry      *telemetry.Telemetry
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// Drain decides which requests still begin while the process is stopping. Nil means that it never stops.
	Drain *drain.Drain

	metrics handlerMetrics
}

type handlerMetrics struct {
	requests  tally.Counter
	retries   tally.Counter
	outcomes  map[api.Outcome]tally.Counter
	truncated tally.Counter
	seconds   tally.Timer
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Register adds the handler to a router.
func (h *Handler) Register(router *bunrouter.Router) {
	scope := h.Telemetry.Scope
	h.metrics = handlerMetrics{
		requests: scope.Counter("requests"), retries: scope.Counter("retries"),
		truncated: scope.Counter("answers_cut"), seconds: scope.Timer("request_seconds"),
		outcomes: map[api.Outcome]tally.Counter{},
	}
	for _, o := range []api.Outcome{api.OutcomeDone, api.OutcomeNotRun, api.OutcomeUnknown} {
		h.metrics.outcomes[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("answers")
	}
	for _, method := range methods {
		router.Handle(method, pathPrefix+":service/*path", h.serve)
	}
}

// proxyRequest is the state of one request at the entry.
type proxyRequest struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	id      string
	service *api.Resource
	account *api.Resource
	// atMostOnce is set for a request that must not run twice.
	atMostOnce bool
	// body is the buffered body of a repeatable request, nil if none is buffered.
	body []byte
	// tried names the hosts that refused the request.
	tried []string
	// corrected is the host to retry next, with the version that it serves now; nil if any host
	// may be chosen. The host refused the request because of its version.
	corrected *route.Choice
}

func (h *Handler) serve(w http.ResponseWriter, r bunrouter.Request) error {
	started := time.Now()
	h.metrics.requests.Inc(1)
	defer func() { h.metrics.seconds.Record(time.Since(started)) }()
	p := &proxyRequest{handler: h, w: w, r: r.Request}
	if refusal := p.handle(r.Param("service"), started); refusal != nil {
		p.refuse(refusal)
	}
	return nil
}

// refuse writes the final response of a request that has none from an upstream.
func (p *proxyRequest) refuse(refusal *outcome.Refusal) {
	p.handler.metrics.outcomes[refusal.Outcome].Inc(1)
	p.logDecision("", string(refusal.Outcome), refusal.Error(), 0)
	refusal.Write(p.w)
}

// logDecision logs one decision on the request.
func (p *proxyRequest) logDecision(host, choice, reason string, candidates int) {
	details := map[string]any{"request": p.id, "host": host, "candidates": candidates, "tried": p.tried}
	if p.service != nil {
		details["service"] = p.service.Name
	}
	if p.account != nil {
		details["account"] = p.account.Name
	}
	p.handler.Telemetry.LogDecision(telemetry.Decision{
		Step: "route", Choice: choice, Reason: reason, Revision: p.handler.Table.View().Revision, Details: details,
	})
}

// handle validates the request and sends it to hosts. A refusal that it returns is the final
// response and must still be written.
func (p *proxyRequest) handle(service string, now time.Time) *outcome.Refusal {
	view := p.handler.Table.View()
	p.id = p.r.Header.Get(api.HeaderRequestID)
	if p.id == "" {
		p.id = newRequestID()
	}
	p.w.Header().Set(api.HeaderRequestID, p.id)
	callerAccount, refusal := account.Find(view, p.r)
	if refusal != nil {
		return refusal
	}
	p.account = callerAccount
	if p.service = view.Services[service]; p.service == nil {
		return outcome.NotRun(http.StatusNotFound, outcome.ReasonNoService, fmt.Sprintf("service %q is not declared", service))
	}
	p.atMostOnce = p.service.Service.NotRepeatable || strings.EqualFold(p.r.Header.Get(api.HeaderRepeatable), "no")
	timeout, refusal := p.timeout()
	if refusal != nil {
		return refusal
	}
	if p.r.ContentLength > p.handler.MaxBodyBytes {
		return outcome.NotRun(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, fmt.Sprintf("the body may take %d bytes", p.handler.MaxBodyBytes))
	}
	release, refusal := p.handler.AccountLimiter.Admit(callerAccount, now)
	if refusal != nil {
		return refusal
	}
	defer release()
	ctx, cancel := context.WithTimeout(p.r.Context(), timeout)
	defer cancel()
	return p.run(ctx)
}

func newRequestID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// timeout returns the caller's timeout, else the service's.
func (p *proxyRequest) timeout() (time.Duration, *outcome.Refusal) {
	if text := p.r.Header.Get(api.HeaderTimeout); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return 0, outcome.NotRun(http.StatusBadRequest, outcome.ReasonMalformed, fmt.Sprintf("%s: %q is not a duration such as \"1.2s\"", api.HeaderTimeout, text))
		}
		return min(requested, maxTimeout), nil
	}
	if declared := p.service.Service.Limits.Timeout.Std(); declared > 0 {
		return declared, nil
	}
	return defaultTimeout, nil
}

// run sends the request to hosts until one has accepted it.
func (p *proxyRequest) run(ctx context.Context) *outcome.Refusal {
	p.r.Body = http.MaxBytesReader(p.w, p.r.Body, p.handler.MaxBodyBytes)
	if refusal := p.bufferBody(); refusal != nil {
		return refusal
	}
	if refusal := p.checkDrain(ctx); refusal != nil {
		return refusal
	}
	budget := p.handler.RetryBudgets.For(p.service)
	budget.CountRequest()
	var last *outcome.Refusal
	for attempt := range maxAttempts {
		if attempt > 0 {
			if last.Reason != outcome.ReasonWrongVersion && !budget.AllowRetry() {
				p.logDecision("", "no-retry", "the service's retry budget is used up", 0)
				return last
			}
			p.handler.metrics.retries.Inc(1)
		}
		choice, ok := p.choose()
		if !ok {
			return p.noUpstream(last)
		}
		p.logDecision(choice.Host, "try", choice.Reason, choice.Candidates)
		refusal, final := p.attempt(ctx, choice)
		if final {
			return refusal
		}
		last = refusal
		if p.corrected == nil {
			p.tried = append(p.tried, choice.Host)
		}
	}
	return last
}

// checkDrain refuses a request that may not end before a stopping entry does. An entry does not know how long requests
// take, so while the load balancer still sends some it accepts all.
func (p *proxyRequest) checkDrain(ctx context.Context) *outcome.Refusal {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	if p.handler.Drain.Accepts(0, clock.Now().Add(time.Until(deadline))) {
		return nil
	}
	p.w.Header().Set("Connection", "close")
	return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonStopping, "this entry is stopping, and the request may not end before it does")
}

// choose returns the host for the next attempt, false if there is none.
func (p *proxyRequest) choose() (route.Choice, bool) {
	selector := p.handler.Selector
	if p.corrected == nil {
		return selector.Choose(route.Query{Service: p.service, Members: p.handler.Members.View(), Tried: p.tried})
	}
	choice := *p.corrected
	p.corrected = nil
	selector.CountAttempt(choice)
	return choice, true
}

// noUpstream returns the response when no host remains to try: the last refusal, if any.
func (p *proxyRequest) noUpstream(last *outcome.Refusal) *outcome.Refusal {
	if last != nil {
		return last
	}
	return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonNoUpstream,
		fmt.Sprintf("no host serves %q now", p.service.Name)).WithRetryAfter(defaultRetryAfter)
}

// bufferBody reads a small repeatable body, so that it can be sent again.
func (p *proxyRequest) bufferBody() *outcome.Refusal {
	if p.atMostOnce || p.r.ContentLength <= 0 || p.r.ContentLength > maxBufferedBody {
		return nil
	}
	body, err := io.ReadAll(p.r.Body)
	if err != nil || int64(len(body)) != p.r.ContentLength {
		return outcome.NotRun(http.StatusBadRequest, outcome.ReasonMalformed, "the body was cut off")
	}
	p.body = body
	return nil
}
