package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/platform/standin"
)

// This file stops routers while streams run on connections that their callers keep, and checks that a stop cuts no
// response.

const (
	// streamingCallers is the number of callers that send one stream after the other while a router stops. They
	// start evenly spread over streamLead before it.
	streamingCallers = 12
	streamLead       = 4 * time.Second
	// cutGrace is the part of the drain at whose end a response may be cut that an upstream still sends, if its
	// request was sent within earlyPeriod of the signal.
	cutGrace    = settings.DefaultRouterLoaderDrain / 6
	earlyPeriod = 3 * time.Second
)

// stopWithStreams stops a router while callers send it streams, each on one connection for as long as it is kept.
func (f *fleet) stopWithStreams(router *router) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	for range streamingCallers {
		callers.Go(func() { f.sendStreams(ctx, router) })
		f.wait(streamLead / streamingCallers)
	}
	f.injectOnce(RouterStopStreams, router.name, func() {
		router.stop(stopTimeout)
		cancel()
		callers.Wait()
		f.restart(router.process)
	})
}

// sendStreams sends long streams on one connection until the router closes that.
func (f *fleet) sendStreams(ctx context.Context, router *router) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	c := f.callerWith(client, router)
	for ctx.Err() == nil && !f.isCanceled() {
		outcome := c.send(context.WithoutCancel(ctx), request{path: standin.LongestPath + "x", key: constantKey})
		f.oracle.RecordOutcome(outcome)
		if outcome.Unsent {
			return
		}
	}
}

// checkStop checks a connection that broke while its router was stopping. A router that got
// SIGTERM, and no other fault, must not break a connection that carries a request.
func (o *Oracle) checkStop(outcome Outcome) {
	stopped := outcome.ConditionAfter.state == Stopping || outcome.ConditionAfter.state == Down && outcome.ConditionBefore.state == Stopping
	same := outcome.ConditionBefore.starts == outcome.ConditionAfter.starts
	if outcome.Unsent || !stopped || !same || outcome.ConditionAfter.lastFaultSignal.After(outcome.ConditionAfter.started) {
		return
	}
	if outcome.Status != 0 && o.faultActive(outcome.Started, outcome.Ended, outcome.Router, "upstream", "link", "loader", "all", "engine") {
		return // the upstream or its link may have broken the response
	}
	if outcome.outlastsDrain() {
		set(&o.allowedCuts, outcome.Router, true)
		return
	}
	if outcome.Ended.Sub(outcome.Started) >= routeTimeout {
		return // the router may not hold it for longer
	}
	o.violatef(CheckStop, outcome.ID, "%s broke a connection while it was stopping, %s after the request was sent, status %d: %v",
		outcome.Router, outcome.Ended.Sub(outcome.Started).Round(time.Millisecond), outcome.Status, outcome.Err)
}

// allowsCuts reports whether a router has cut responses that it was allowed to cut, which its exit status tells.
func (o *Oracle) allowsCuts(router string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.allowedCuts[router]
}

// outlastsDrain reports whether a response was cut at the end of its router's drain that the upstream had begun, and
// whose request was sent so soon after the signal that callers could not know of the stop.
func (outcome *Outcome) outlastsDrain() bool {
	signal := outcome.ConditionAfter.stopSignal
	return outcome.Status != 0 && outcome.Started.Before(signal.Add(earlyPeriod)) &&
		outcome.Ended.After(signal.Add(settings.DefaultRouterLoaderDrain-cutGrace))
}
