package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

const (
	// leftBound is the time after a caller left within which its request must no longer be sent to
	// an upstream, and an upstream that runs it must be told, unless it may run at most once.
	leftBound = 500 * time.Millisecond
	// A caller that leaves waits for up to maxPatience, and sends every second body in two parts up
	// to maxBodyPause apart. The next one follows after leavingInterval.
	maxPatience     = 400 * time.Millisecond
	maxBodyPause    = 100 * time.Millisecond
	leavingInterval = 20 * time.Millisecond
)

// sendAndLeave sends requests to the routers in turn until the duration has passed, whose callers close
// their connections at any time: before the body is complete, before the response or during it.
func (f *fleet) sendAndLeave(duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	f.injectOnce(CallersLeave, "", func() {
		var callers sync.WaitGroup
		for i := 0; ctx.Err() == nil && !f.isCanceled(); i++ {
			router := f.routers[i%len(f.routers)]
			callers.Go(func() { f.sendAndLeaveOnce(router) })
			wait(leavingInterval, ctx.Done())
		}
		callers.Wait()
	})
}

// callerWith returns a caller that sends single requests to a router with a client.
func (f *fleet) callerWith(client *http.Client, router *router) *caller {
	return &caller{
		router: router.process, address: router.callers, oracle: f.oracle,
		newestConfiguration: &f.newestConfiguration, requestCount: &f.requestCount, client: client,
	}
}

// sendAndLeaveOnce sends a request to a router, and closes the connection unless the response is complete
// by then.
func (f *fleet) sendAndLeaveOnce(router *router) {
	ctx, cancel := context.WithTimeout(context.Background(), rand.N(maxPatience))
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c := f.callerWith(client, router)
	sent := c.nextRequest()
	if rand.IntN(2) == 0 {
		sent.bodyPause = rand.N(maxBodyPause)
	}
	outcome := c.send(ctx, sent)
	if ctx.Err() != nil && outcome.Err != nil {
		f.oracle.RecordLeft(outcome.ID)
		return
	}
	f.oracle.RecordOutcome(outcome)
}

// RecordLeft records that the caller of a request has closed its connection.
func (o *Oracle) RecordLeft(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.leftAt, id, time.Now())
}

// RecordRunEnded records that an upstream has ended a run.
func (o *Oracle) RecordRunEnded(run standin.Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if late, ok := o.sinceLeft(run.ID, time.Now()); ok && !strings.HasPrefix(run.Path, unsafePath) {
		o.violatef(CheckLeft, run.ID, "%s ran a request until %s after its caller had left", run.Upstream, late.Round(time.Millisecond))
	}
}

// checkLeft checks a request that arrived at an upstream. It must be called with mu held.
func (o *Oracle) checkLeft(id, upstream string, now time.Time) {
	if late, ok := o.sinceLeft(id, now); ok {
		o.violatef(CheckLeft, id, "%s received a request from %s %s after its caller had left", upstream, o.routerOf[id], late.Round(time.Millisecond))
	}
}

// sinceLeft returns how long ago the caller of a request left, and whether its router had to act on that
// by now. It must be called with mu held.
func (o *Oracle) sinceLeft(id string, now time.Time) (time.Duration, bool) {
	left, ok := o.leftAt[id]
	since := now.Sub(left)
	return since, ok && since > leftBound+o.slack(left) && !o.faultActive(left, now, o.routerOf[id], "router", "all", "link")
}
