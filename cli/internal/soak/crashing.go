package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

const (
	// crashingRetryInterval is the pause between two sends of a crashing request.
	// crashRestartDelay is the time until an upstream that such a request crashed restarts.
	crashingRetryInterval = 250 * time.Millisecond
	crashRestartDelay     = 1500 * time.Millisecond
)

// Variants of crashing requests. The target of a step selects one, modulo their number.
const (
	crashMarked   = iota // one request, repeated; its response has chunks
	crashUnmarked        // one request, repeated; its response has neither a length nor chunks
	crashOfPart          // requests of which no two are alike, with one part of their prompts in common
	crashVariants
)

// crashingRequest returns the n-th of the requests of one step. Steps have different numbers.
func crashingRequest(variant int, step int64, n int) request {
	switch variant % crashVariants {
	case crashUnmarked:
		return request{path: fmt.Sprintf("%s%d", standin.UnmarkedCrashPath, step), key: constantKey}
	case crashOfPart:
		part := fmt.Sprintf("%s%04x", standin.CrashPart, step)
		return request{path: fmt.Sprintf("%spart-%d-%d", standin.StreamPath, step, n), key: constantKey, parts: []string{systemPart, documentPart(n), part, ownPart(n)}}
	default:
		return request{path: fmt.Sprintf("%s%d", standin.CrashPath, step), key: constantKey}
	}
}

// Parts of the prompts of all streams: one that each has, and some of which each has one.
const (
	systemPart = "aa00"
	documents  = 4
)

func documentPart(n int) string { return fmt.Sprintf("bb%02x", n%documents) }

// ownPart returns the last part of a prompt, which no other request has.
func ownPart(n int) string { return fmt.Sprintf("cc%08x", n) }

// sendCrashing sends crashing requests of one variant, to the routers in round-robin order, until
// the duration has passed.
func (f *fleet) sendCrashing(variant int, duration time.Duration) {
	number := f.crashingRequests.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	client := newStepClient()
	f.injectOnce(RequestsCrash, fmt.Sprint(number), func() {
		for i := 0; ctx.Err() == nil && !f.isCanceled(); i++ {
			c := f.stepCaller(f.routers[i%len(f.routers)], client)
			c.send(ctx, crashingRequest(variant, number, i))
			wait(crashingRetryInterval, ctx.Done())
		}
	})
}

// newStepClient returns a client for the requests of a step, each on a connection of its own.
func newStepClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
}

// stepCaller returns a caller that sends requests of a step to a router.
func (f *fleet) stepCaller(router *router, client *http.Client) *caller {
	return &caller{router: router.process, address: router.callers, oracle: f.oracle, requestCount: &f.requestCount, client: client}
}

func (f *fleet) isCanceled() bool { return isClosed(f.canceled) }

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// crashDuringRequest crashes the upstream of a host on which a crashing request has started,
// and restarts it after crashRestartDelay. The returned channel is closed when the upstream does
// not listen any more; it is nil if another step holds the host.
func (f *fleet) crashDuringRequest(h *host) <-chan struct{} {
	if !h.claim() {
		return nil
	}
	stopped := make(chan struct{})
	go f.crashClaimed(h, crashRestartDelay, func() { close(stopped) })
	return stopped
}

// corruptEntry replaces the store entry of a host's upstream by a value that cannot be
// decoded, for the given duration.
func (f *fleet) corruptEntry(h *host, index int, duration time.Duration) {
	if !h.claim() {
		return
	}
	defer h.release()
	f.injectOnce(EntriesCorrupt, h.address.String(), func() {
		u := h.currentUpstream()
		u.CorruptRecord(standin.InvalidUpstreamRecords[index%len(standin.InvalidUpstreamRecords)])
		f.oracle.RecordLeaving(u.Record.ID)
		f.wait(duration)
		f.oracle.RecordRestored(u.Record.ID)
		u.CorruptRecord(nil)
	})
}

// nextID gives the host's next upstream a new id.
func (h *host) nextID() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation++
}
