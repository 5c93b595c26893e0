package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

// This file brings about the requests under which upstreams end, and entries that cannot be
// read.

const (
	// deadlyEvery is the pause after which a caller comes back with a deadly request, and
	// deadlyBack the time until an upstream that ended under one is back.
	deadlyEvery = 250 * time.Millisecond
	deadlyBack  = 1500 * time.Millisecond
)

// sendDeadly has one caller come to one router after the other for a while, always with the
// same request.
func (f *fleet) sendDeadly(lasts time.Duration) {
	path := fmt.Sprintf("%s%d", standin.CrashPath, f.deadly.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	f.once(RequestsCrash, path, func() {
		for visit := 0; ctx.Err() == nil && !f.stopped(); visit++ {
			router := f.routers[visit%len(f.routers)]
			c := &caller{router: router.process, address: router.callers, oracle: f.oracle, number: &f.deadlySent, client: client}
			c.send(ctx, request{path: path, key: constantKey})
			wait(deadlyEvery, ctx.Done())
		}
	})
}

func (f *fleet) stopped() bool {
	select {
	case <-f.stop:
		return true
	default:
		return false
	}
}

// endDeadly ends the upstream of a host under a request; another one is there a while later.
func (f *fleet) endDeadly(h *host) { go f.crash(h, deadlyBack) }

// spoil has something else stand in the entry of a host's upstream for a while.
func (f *fleet) spoil(h *host, which int, lasts time.Duration) {
	if !h.claim() {
		return
	}
	defer h.release()
	f.once(EntriesSpoiled, h.address.String(), func() {
		u := h.current()
		u.CorruptRecord(standin.InvalidUpstreamRecords[which%len(standin.InvalidUpstreamRecords)])
		f.oracle.Left(u.Record.ID)
		f.wait(lasts)
		f.oracle.Back(u.Record.ID)
		u.CorruptRecord(nil)
	})
}

// rename has the host's next upstream be another one.
func (h *host) rename() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.names++
}
