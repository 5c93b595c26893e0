package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/outcome"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/relay"
)

// Headers between entry and agent. They never reach callers or upstreams: each hop
// deletes those that it receives.
const (
	HeaderService  = "Wheelcleat-Routed-Service"
	HeaderManifest = "Wheelcleat-Routed-Manifest"
	// HeaderServes accompanies a wrong-version refusal and carries the version that
	// the host serves; it is absent while the host admits no requests.
	HeaderServes = "Wheelcleat-Serves-Manifest"
	// HeaderInFlight carries the number of requests in flight at the host.
	HeaderInFlight = "Wheelcleat-In-Flight"
)

// PathPrefix precedes the upstream path in requests from entries to agents.
const PathPrefix = "/route"

// Handler serves the requests that entries route to the agent.
type Handler struct {
	Gate      *Gate
	Name      string
	Upstream  netip.AddrPort
	Transport http.RoundTripper
	// Probe checks whether the upstream still runs after a response that ended with its
	// connection. If nil, each such response counts as complete.
	Probe     *livenessprobe.Probe
	Telemetry *telemetry.Telemetry
	requests  tally.Counter
}

// Register registers the handler on a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	h.requests = h.Telemetry.Scope.Counter("agent_requests")
	mux.Handle(PathPrefix+"/", h)
}

// ServeHTTP admits a request and forwards it to the upstream.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.requests.Inc(1)
	target := Target{Service: r.Header.Get(HeaderService), Manifest: r.Header.Get(HeaderManifest)}
	inFlight, release, refusal := h.Gate.Admit(target)
	w.Header().Set(HeaderInFlight, strconv.Itoa(inFlight))
	w.Header().Set(api.HeaderHost, h.Name)
	if refusal != nil {
		h.log(r, target, "refuse", string(refusal.Reason))
		h.setServedVersion(w, target, refusal)
		refusal.Write(w)
		return
	}
	defer release()
	h.forward(w, r, target)
}

// setServedVersion lets the entry retry at once with the version that the host
// serves, since the entry's view of the hosts may be stale.
func (h *Handler) setServedVersion(w http.ResponseWriter, target Target, refusal *outcome.Refusal) {
	if refusal.Reason != outcome.ReasonWrongVersion {
		return
	}
	if manifest, open := h.Gate.AdmittedVersion(target.Service); open {
		w.Header().Set(HeaderServes, manifest)
	}
}

func (h *Handler) log(r *http.Request, target Target, choice, reason string) {
	h.Telemetry.LogDecision(telemetry.Decision{
		Step: "admit", Choice: choice, Reason: reason,
		Details: map[string]any{"request": r.Header.Get(api.HeaderRequestID), "service": target.Service, "manifest": target.Manifest},
	})
}

// forward sends an admitted request to the upstream and relays the response.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, target Target) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	r.Header.Del(HeaderService)
	r.Header.Del(HeaderManifest)
	hop := &relay.Hop{
		Transport: h.Transport,
		Peer:      h.Upstream,
		Path:      strings.TrimPrefix(r.URL.RequestURI(), PathPrefix),
	}
	response, err := relay.Send(r.Context(), r, hop) //nolint:bodyclose // relay.CopyBody closes it
	if err != nil {
		h.writeFailure(w, r, target, err)
		return
	}
	dropReservedHeaders(response.Header)
	response.Header.Set(api.HeaderOutcome, string(api.OutcomeDone))
	response.Header.Set(api.HeaderVersion, target.Manifest)
	relay.WriteHead(w, response)
	err = relay.CopyBody(w, response)
	if err == nil && h.crashedAtEnd(r.Context(), response) {
		err = livenessprobe.ErrClosedByCrash
	}
	if err != nil {
		h.log(r, target, "cut", err.Error())
		panic(http.ErrAbortHandler) // a normal return would make the truncated response look complete
	}
}

// crashedAtEnd reports whether a response that has ended is incomplete because the upstream crashed.
func (h *Handler) crashedAtEnd(ctx context.Context, response *http.Response) bool {
	return h.Probe != nil && !dial.HasMarkedEnd(response) && h.Probe.Check(ctx, h.Upstream) == livenessprobe.Crashed
}

// dropReservedHeaders prevents an upstream from setting headers that only wheelcleat may set.
func dropReservedHeaders(header http.Header) {
	for _, name := range []string{api.HeaderOutcome, api.HeaderVersion, api.HeaderHost, HeaderInFlight, HeaderServes, outcome.HeaderReason} {
		header.Del(name)
	}
}

func (h *Handler) writeFailure(w http.ResponseWriter, r *http.Request, target Target, err error) {
	refusal := HopRefusal(err, r.Context().Err())
	h.log(r, target, string(refusal.Outcome), refusal.Message)
	refusal.Write(w)
}

// unreachableRetryAfter is the Retry-After value sent when a hop was unreachable.
const unreachableRetryAfter = time.Second

// HopRefusal maps the error of a failed hop to a refusal: not-run if the peer never
// received the request, else unknown.
func HopRefusal(err, contextErr error) *outcome.Refusal {
	var failure *relay.Failure
	forwarded := !errors.As(err, &failure) || failure.MaybeReceived
	expired := contextErr != nil
	switch {
	case expired && forwarded:
		return outcome.Unknown(http.StatusGatewayTimeout, outcome.ReasonDeadline, fmt.Sprintf("the time ran out after the request was handed over: %s", err))
	case expired:
		return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonDeadline, "the time ran out before the request was handed over").WithRetryAfter(unreachableRetryAfter)
	case forwarded:
		return outcome.Unknown(http.StatusBadGateway, outcome.ReasonAnswerLost, err.Error())
	default:
		return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonUnreachable, err.Error()).WithRetryAfter(unreachableRetryAfter)
	}
}
