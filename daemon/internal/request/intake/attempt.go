package intake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/gate"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/outcome"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/relay"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/route"
)

// attempt sends the request to one host. It returns true once the request has its final
// response: either written already, or the returned refusal.
func (p *proxyRequest) attempt(ctx context.Context, choice route.Choice) (*outcome.Refusal, bool) {
	selector := p.handler.Selector
	response, err := relay.Send(ctx, p.r, p.hop(ctx, choice))
	if err != nil {
		return p.handleSendError(ctx, choice, err)
	}
	if inFlight, err := strconv.Atoi(response.Header.Get(gate.HeaderInFlight)); err == nil {
		selector.Report(choice.Host, inFlight)
	}
	response.Header.Del(gate.HeaderInFlight)
	switch api.Outcome(response.Header.Get(api.HeaderOutcome)) {
	case api.OutcomeNotRun:
		_ = response.Body.Close()
		selector.Done(choice.Host, route.ResultRefused)
		p.corrected = correctedChoice(choice, response.Header.Get(gate.HeaderServes))
		return refusalOf(response, choice), false
	case api.OutcomeDone:
		p.stream(response, choice, route.ResultAnswered)
	default:
		p.stream(response, choice, route.ResultFailed)
	}
	return nil, true
}

// hop returns the request for a chosen host.
func (p *proxyRequest) hop(ctx context.Context, choice route.Choice) *relay.Hop {
	path := strings.TrimPrefix(p.r.URL.RequestURI(), pathPrefix)
	if slash := strings.IndexByte(path, '/'); slash >= 0 {
		path = path[slash:]
	}
	header := http.Header{}
	header.Set(gate.HeaderService, p.service.Name)
	header.Set(gate.HeaderManifest, choice.Manifest)
	header.Set(api.HeaderRequestID, p.id)
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(api.HeaderTimeout, time.Until(deadline).Round(time.Millisecond).String())
	}
	header["Authorization"] = nil // the account's key must not leave the entry
	hop := &relay.Hop{
		Transport: p.handler.Transport, Peer: choice.Address, Path: gate.PathPrefix + path,
		Header: header, ExpectContinue: p.body == nil,
	}
	if p.body != nil {
		hop.Body = bytes.NewReader(p.body)
	}
	return hop
}

func (p *proxyRequest) handleSendError(ctx context.Context, choice route.Choice, err error) (*outcome.Refusal, bool) {
	disconnected := p.r.Context().Err() != nil
	result := route.ResultFailed
	if disconnected {
		result = route.ResultCanceled
	}
	p.handler.Selector.Done(choice.Host, result)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.Unknown(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, fmt.Sprintf("the body may take %d bytes", tooLarge.Limit)), true
	}
	refusal := gate.HopRefusal(err, ctx.Err())
	final := refusal.Outcome != api.OutcomeNotRun || ctx.Err() != nil
	return refusal, final
}

// correctedChoice returns the choice with the version that the host named, nil if it named
// none or the one that was requested.
func correctedChoice(choice route.Choice, serves string) *route.Choice {
	if serves == "" || serves == choice.Manifest {
		return nil
	}
	choice.Manifest = serves
	choice.Reason = "the host serves another version than in its last heartbeat"
	return &choice
}

// refusalOf converts an agent's refusal into one of this entry, in case it becomes the final
// response.
func refusalOf(response *http.Response, choice route.Choice) *outcome.Refusal {
	reason := outcome.Reason(response.Header.Get(outcome.HeaderReason))
	refusal := outcome.NotRun(http.StatusServiceUnavailable, reason, fmt.Sprintf("host %s refused it (%s)", choice.Host, reason))
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		return refusal.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return refusal.WithRetryAfter(defaultRetryAfter)
}

// stream writes a response as it arrives. If it is truncated, the caller's connection is
// closed, so that the caller does not take it for complete.
func (p *proxyRequest) stream(response *http.Response, choice route.Choice, result route.Result) {
	_ = http.NewResponseController(p.w).EnableFullDuplex()
	p.w.Header().Del(api.HeaderRequestID) // the response carries it
	response.Header.Set(api.HeaderRequestID, p.id)
	relay.WriteHead(p.w, response)
	err := relay.CopyBody(p.w, response)
	switch {
	case err == nil:
	case relay.IsCallerDisconnect(err) || p.r.Context().Err() != nil:
		result = route.ResultCanceled
	default:
		result = route.ResultFailed
	}
	p.handler.Selector.Done(choice.Host, result)
	if err != nil {
		p.handler.metrics.truncated.Inc(1)
		p.logDecision(choice.Host, "cut", err.Error(), choice.Candidates)
		panic(http.ErrAbortHandler)
	}
	o := api.Outcome(response.Header.Get(api.HeaderOutcome))
	if counter := p.handler.metrics.outcomes[o]; counter != nil {
		counter.Inc(1)
	}
}
