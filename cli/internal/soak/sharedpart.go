package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

// This file checks that a part of prompts that crashes upstreams takes no other part with it: requests with the
// crashing part come at one router, and others that share their first part with these come at the others.

const (
	// soundInterval is the time between two groups of soundGroup sound requests.
	soundInterval, soundGroup = 2 * time.Second, 3
	// calmTime is the time of sound requests alone, and crashingTime that with crashing ones besides. No sound request is
	// under way when the crashing ones begin, which would clear the shared part.
	calmTime, crashingTime = 6500 * time.Millisecond, 15500 * time.Millisecond
	// sharedCrashInterval is the time between two crashing requests.
	sharedCrashInterval = 125 * time.Millisecond
	// maxCountedCrashes is the crash of a part after which its bounds apply, or the last if there are fewer.
	maxCountedCrashes = partQuarantineAfter
	// minSoundShare is the share of the sound requests that must begin at their first attempt, twice quarantineBound
	// after that crash, against their share in calm. It is checked from minSoundRequests on.
	minSoundShare    = 0.5
	minSoundRequests = 8
)

// soundRequest is a request that shares its first part with crashing ones.
type soundRequest struct {
	id, router string
	sentAt     time.Time
}

// sendSharedPart sends sound requests, and after calmTime crashing ones with the same first part besides.
func (f *fleet) sendSharedPart(target int) {
	number := f.crashingRequests.Add(1)
	shared, crashing := fmt.Sprintf("dd%04x", number), fmt.Sprintf("%s%04x", standin.CrashPart, number)
	ctx, cancel := context.WithTimeout(context.Background(), calmTime+crashingTime)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	send := func(router *router, n int64, parts ...string) Outcome {
		c := &caller{router: router.process, address: router.callers, oracle: f.oracle, requestCount: &f.requestCount, client: client}
		path := fmt.Sprintf("%sshared-%d-%d", standin.StreamPath, number, n)
		return c.send(ctx, request{path: path, key: constantKey, parts: append(parts, ownPart(int(n)))})
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	crashingRouter := target % len(f.routers)
	began, sound, crashes := time.Now(), 0, 0
	var recorded []soundRequest
	var mu sync.Mutex
	f.injectOnce(PartShared, crashing, func() {
		for ctx.Err() == nil && !f.isCanceled() {
			elapsed := time.Since(began)
			if elapsed >= time.Duration(sound)*soundInterval {
				sound++
				for i := range soundGroup {
					to := f.routers[(crashingRouter+1+(sound+i)%(len(f.routers)-1))%len(f.routers)]
					requests.Go(func() {
						at := time.Now()
						outcome := send(to, f.requestCount.Add(1), shared)
						mu.Lock()
						defer mu.Unlock()
						recorded = append(recorded, soundRequest{outcome.ID, outcome.Router, at})
					})
				}
			}
			if elapsed >= calmTime+time.Duration(crashes)*sharedCrashInterval {
				crashes++
				requests.Go(func() { send(f.routers[crashingRouter], f.requestCount.Add(1), shared, crashing) })
			}
			wait(sharedCrashInterval/4, ctx.Done())
		}
		requests.Wait()
	})
	f.oracle.checkShared(crashing, began.Add(calmTime), recorded)
}

// checkShared checks how many of the sound requests began at an upstream, before crashing ones were sent and once
// the crashing part must be told apart.
func (o *Oracle) checkShared(crashPart string, crashingFrom time.Time, requests []soundRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	crashes := o.crashingRuns[crashPart]
	if len(crashes) == 0 {
		return
	}
	lateFrom := crashes[min(len(crashes), maxCountedCrashes)-1].Add(2 * quarantineBound)
	var calm, calmBegan, late, lateBegan int
	for _, r := range requests {
		began := min(o.runs[r.id], 1)
		switch {
		case r.sentAt.Before(crashingFrom):
			calm, calmBegan = calm+1, calmBegan+began
		case r.sentAt.After(lateFrom.Add(o.slack(lateFrom))):
			late, lateBegan = late+1, lateBegan+began
		}
		if o.faultActive(crashingFrom.Add(-calmTime), time.Now(), r.router, "store", "router", "processes", "loader", "all", "link", "hall") {
			return
		}
	}
	if calm < minSoundRequests || late < minSoundRequests {
		return
	}
	if float64(lateBegan)/float64(late) < minSoundShare*float64(calmBegan)/float64(calm) {
		o.violatef(CheckShared, "", "%d of %d requests that share a part with crashing ones began, %d of %d before; upstreams crashed %d times",
			lateBegan, late, calmBegan, calm, len(crashes))
	}
}
