package gate

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/outcome"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/relay"
)

// Headers between entry and agent. Callers never see them: each hop drops
// what its peer sent under these names.
const (
	HeaderService  = "Wheelcleat-Routed-Service"
	HeaderManifest = "Wheelcleat-Routed-Manifest"
	// HeaderServes carries, with a refusal for the version, the version that the
	// host serves now; it is absent while the host admits nothing.
	HeaderServes = "Wheelcleat-Serves-Manifest"
	// HeaderInFlight carries the exact number of requests at the host.
	HeaderInFlight = "Wheelcleat-In-Flight"
)

// PathPrefix is where an agent takes requests; the rest is the upstream's path.
const PathPrefix = "/route"

// Handler is the agent's end of a request's path.
type Handler struct {
	Gate      *Gate
	Name      string
	Upstream  netip.AddrPort
	Transport *http.Transport
	Telemetry *telemetry.Telemetry
	requests  tally.Counter
}

// Register adds the handler to a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	h.requests = h.Telemetry.Scope.Counter("agent_requests")
	mux.Handle(PathPrefix+"/", h)
}

// ServeHTTP admits a request and hands it to the upstream.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.requests.Inc(1)
	stamp := Stamp{Service: r.Header.Get(HeaderService), Manifest: r.Header.Get(HeaderManifest)}
	inFlight, leave, refusal := h.Gate.Enter(stamp)
	w.Header().Set(HeaderInFlight, strconv.Itoa(inFlight))
	w.Header().Set(api.HeaderHost, h.Name)
	if refusal != nil {
		h.log(r, stamp, "refuse", string(refusal.Reason))
		h.tellVersion(w, stamp, refusal)
		refusal.Write(w)
		return
	}
	defer leave()
	h.hand(w, r, stamp)
}

// tellVersion lets the entry come back at once with the version served now,
// which its view of the hosts may lag behind.
func (h *Handler) tellVersion(w http.ResponseWriter, stamp Stamp, refusal *outcome.Refusal) {
	if refusal.Reason != outcome.ReasonWrongVersion {
		return
	}
	if manifest, open := h.Gate.Serves(stamp.Service); open {
		w.Header().Set(HeaderServes, manifest)
	}
}

func (h *Handler) log(r *http.Request, stamp Stamp, choice, reason string) {
	h.Telemetry.LogDecision(telemetry.Decision{
		Step: "admit", Choice: choice, Reason: reason,
		Details: map[string]any{"request": r.Header.Get(api.HeaderRequestID), "service": stamp.Service, "manifest": stamp.Manifest},
	})
}

// hand sends an admitted request to the upstream.
func (h *Handler) hand(w http.ResponseWriter, r *http.Request, stamp Stamp) {
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
		h.fail(w, r, stamp, err)
		return
	}
	dropOwnHeaders(response.Header)
	response.Header.Set(api.HeaderOutcome, string(api.OutcomeDone))
	response.Header.Set(api.HeaderVersion, stamp.Manifest)
	relay.WriteHead(w, response)
	if err := relay.CopyBody(w, response); err != nil {
		h.log(r, stamp, "cut", err.Error())
		panic(http.ErrAbortHandler) // the caller must not take the part for the whole
	}
}

// dropOwnHeaders keeps an upstream from speaking in wheelcleat's name.
func dropOwnHeaders(header http.Header) {
	for _, name := range []string{api.HeaderOutcome, api.HeaderVersion, api.HeaderHost, HeaderInFlight, HeaderServes, outcome.HeaderReason} {
		header.Del(name)
	}
}

func (h *Handler) fail(w http.ResponseWriter, r *http.Request, stamp Stamp, err error) {
	refusal := Refuse(err, r.Context().Err())
	h.log(r, stamp, string(refusal.Outcome), refusal.Message)
	refusal.Write(w)
}

// unreachableRetry is the time after which a caller may come back when a hop
// could not be reached.
const unreachableRetry = time.Second

// Refuse says what a failed hop means for the request: not run where the peer
// never got it, else unknown.
func Refuse(err, contextErr error) *outcome.Refusal {
	var failure *relay.Failure
	handedOver := !errors.As(err, &failure) || failure.MaybeReceived
	expired := contextErr != nil
	switch {
	case expired && handedOver:
		return outcome.Unknown(http.StatusGatewayTimeout, outcome.ReasonDeadline, fmt.Sprintf("the time ran out after the request was handed over: %s", err))
	case expired:
		return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonDeadline, "the time ran out before the request was handed over").Retry(unreachableRetry)
	case handedOver:
		return outcome.Unknown(http.StatusBadGateway, outcome.ReasonAnswerLost, err.Error())
	default:
		return outcome.NotRun(http.StatusServiceUnavailable, outcome.ReasonUnreachable, err.Error()).Retry(unreachableRetry)
	}
}
