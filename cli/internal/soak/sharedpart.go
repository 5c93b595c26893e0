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
	// minSoundShare is the share of the sound requests that must begin at their first attempt, against their share in
	// calm, from twice quarantineBound after the crash number partQuarantineAfter, or the last one if there are fewer. It
	// is checked from minSoundRequests on.
	minSoundShare    = 0.5
	minSoundRequests = 8
)

// soundRequest is a request that shares its first part with crashing ones.
type soundRequest struct {
	id, router string
	sentAt     time.Time
}

// sharedPartStep sends the requests of one step.
type sharedPartStep struct {
	fleet  *fleet
	client *http.Client
	number int64
	// shared is the part that all requests have, and crashing the one that crashes upstreams.
	shared, crashing string
	// crashingRouter is the index of the router that gets the crashing requests.
	crashingRouter int
	requests       sync.WaitGroup

	mu    sync.Mutex
	sound []soundRequest
}

// sendSharedPart sends sound requests, and after calmTime crashing ones with the same first part besides. It needs two
// routers.
func (f *fleet) sendSharedPart(target int) {
	if len(f.routers) < 2 {
		return
	}
	number := f.crashingRequests.Add(1)
	s := &sharedPartStep{
		fleet: f, number: number, shared: fmt.Sprintf("dd%04x", number), crashing: fmt.Sprintf("%s%04x", standin.CrashPart, number),
		client:         newStepClient(),
		crashingRouter: target % len(f.routers),
	}
	began := time.Now()
	f.injectOnce(PartShared, s.crashing, func() {
		s.run(began)
		s.requests.Wait()
	})
	f.oracle.checkShared(s.crashing, began.Add(calmTime), s.sound)
}

// run sends requests until the step ends or the run is canceled.
func (s *sharedPartStep) run(began time.Time) {
	groups, crashes := 0, 0
	for elapsed := time.Duration(0); elapsed < calmTime+crashingTime && !s.fleet.isCanceled(); elapsed = time.Since(began) {
		if elapsed >= time.Duration(groups)*soundInterval {
			s.sendSound(groups)
			groups++
		}
		if elapsed >= calmTime+time.Duration(crashes)*sharedCrashInterval {
			s.requests.Go(func() { s.send(s.fleet.routers[s.crashingRouter], s.shared, s.crashing) })
			crashes++
		}
		s.fleet.wait(sharedCrashInterval / 4)
	}
}

// sendSound sends a group of sound requests to the routers that get no crashing ones.
func (s *sharedPartStep) sendSound(group int) {
	routers := s.fleet.routers
	for i := range soundGroup {
		router := routers[(s.crashingRouter+1+(group+i)%(len(routers)-1))%len(routers)]
		s.requests.Go(func() {
			at := time.Now()
			outcome := s.send(router, s.shared)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sound = append(s.sound, soundRequest{outcome.ID, outcome.Router, at})
		})
	}
}

// send sends a request with the given parts and one of its own.
func (s *sharedPartStep) send(router *router, parts ...string) Outcome {
	c := s.fleet.stepCaller(router, s.client)
	n := s.fleet.requestCount.Add(1)
	path := fmt.Sprintf("%sshared-%d-%d", standin.StreamPath, s.number, n)
	return c.send(context.Background(), request{path: path, key: constantKey, parts: append(parts, ownPart(int(n)))})
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
	lateFrom := crashes[min(len(crashes), partQuarantineAfter)-1].Add(2 * quarantineBound)
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
