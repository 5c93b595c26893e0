package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file handles responses that end with their connection because they have neither a length
// nor chunks. The end of such a connection looks the same whether the response is complete or the
// upstream crashed, so the upstream is probed:
//
//   - listening: the response is complete.
//   - crashed: the response is incomplete, like one whose connection broke.
//   - unknown: the caller gets what has arrived, since it may be complete, but the response is no
//     evidence that the upstream survived the request.
//
// The end is read late if the caller reads slowly or this process does not run for a while. The upstream may
// have crashed long before then and its successor listen at the address. The list of upstreams tells them
// apart, once the successor has written its record.
//
// Rejected: treating each such response as incomplete, which fails all requests of upstreams that
// never mark the end.

const (
	// lateUnread is the time without reads, or without running, after which an upstream may have crashed and
	// another one may have started at its address unnoticed. It is shorter than a restart.
	lateUnread = 500 * time.Millisecond
	// recordDelay is how long after it began to listen a new upstream may have no record here.
	recordDelay = 1500 * time.Millisecond
	// recordCheckInterval is the interval of checks for a record.
	recordCheckInterval = 50 * time.Millisecond
)

// unmarkedBody is the body of a response that ends with its connection. It measures how long the
// connection was not read.
type unmarkedBody struct {
	io.ReadCloser
	// returned is when the last read returned, and unread the total time between reads. A
	// prefetching reader writes them, and synchronizes with its consumer.
	returned time.Time
	unread   time.Duration
}

func (b *unmarkedBody) Read(p []byte) (int, error) {
	b.unread += clock.Since(b.returned)
	n, err := b.ReadCloser.Read(p)
	b.returned = clock.Now()
	return n, err
}

// watchEnd returns the body of a response that ends with its connection, and nil if the end of the
// response is marked. It must be called before the response is read.
func watchEnd(response *http.Response) *unmarkedBody {
	if dial.HasMarkedEnd(response) {
		return nil
	}
	body := &unmarkedBody{ReadCloser: response.Body, returned: clock.Now()}
	response.Body = body
	return body
}

// probeAfterClose returns the state of the upstream after its response has ended with its
// connection, and the zero value for a response whose end is marked. It does not modify the
// request.
func (q *request) probeAfterClose(choice balance.Choice, body *unmarkedBody) livenessprobe.State {
	switch {
	case body == nil:
		return ""
	case q.ProbeUpstream == nil:
		return livenessprobe.Unknown
	}
	state := q.ProbeUpstream(choice.Upstream)
	if state == livenessprobe.Listening && q.replaced(choice.Upstream, q.mayBeLate(body)) {
		return livenessprobe.Crashed
	}
	return state
}

// mayBeLate reports whether the upstream may have closed the connection long before it was probed.
func (q *request) mayBeLate(body *unmarkedBody) bool {
	return body.unread+q.stopped()-q.stoppedBefore > lateUnread
}

// replaced reports whether another upstream has started at the address of an upstream since the request
// arrived. If the end of the response was read late, it waits for the record of one.
func (q *request) replaced(sentTo *provider.Upstream, late bool) bool {
	if q.view == nil {
		return false
	}
	known := append(startsAt(q.view.Upstreams, sentTo.Address), startOf(sentTo))
	isNew := func(s start) bool { return !slices.Contains(known, s) }
	ctx, cancel := context.WithTimeout(q.Context(), recordDelay)
	defer cancel()
	for {
		if slices.ContainsFunc(startsAt(q.View().Upstreams, sentTo.Address), isNew) {
			return true
		}
		if !late || !helpers.Pause(recordCheckInterval, ctx.Done()) {
			return false
		}
	}
}

// start identifies a start of an upstream, which may restart under the same ID.
type start struct {
	id string
	at int64
}

func startOf(u *provider.Upstream) start { return start{u.ID, u.Started.UnixMilli()} }

// startsAt returns the starts of the listed upstreams with an address.
func startsAt(services map[string][]*provider.Upstream, address netip.AddrPort) []start {
	var starts []start
	for _, listed := range services {
		for _, u := range listed {
			if u.Address == address {
				starts = append(starts, startOf(u))
			}
		}
	}
	return starts
}

// checkClose records the state of the upstream after the response of the answered attempt has
// ended, and returns livenessprobe.ErrClosedByCrash if the response is incomplete.
func (q *request) checkClose(choice balance.Choice, body *unmarkedBody) error {
	state := q.probeAfterClose(choice, body)
	q.trace.Attempts[q.answeredAttempt].AfterClose = state
	if state == livenessprobe.Crashed {
		return livenessprobe.ErrClosedByCrash
	}
	return nil
}

// survived reports whether the upstream is known to have survived the attempt, whose response has
// ended.
func (a *Attempt) survived() bool {
	return a.AfterClose == "" || a.AfterClose == livenessprobe.Listening
}
