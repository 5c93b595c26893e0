package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/platform/standin"
)

// Times of a planned stop. A request that a stop may cut is one that was sent within lateAfter of the signal and
// on which the upstream is still at work in the last sixth of the drain.
const (
	lateAfter = 3 * time.Second
	lossSlack = 200 * time.Millisecond
)

// stopCaller is a caller that sends one request after the other on a connection that it keeps, and opens another
// one when that is closed.
type stopCaller struct {
	path string
	// deadline is the time that the caller declares, 0 if it declares none.
	deadline time.Duration
	// pause is the time between the head and the body of a request, and before the first one on a connection.
	pause time.Duration
}

// slowUpstream answers requests as their paths say, and records those that reach it.
type slowUpstream struct {
	mu      sync.Mutex
	reached map[string]bool
	// ended holds the times at which it ended its work on a request.
	ended map[string]time.Time
}

func (u *slowUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequestID)
	u.mu.Lock()
	u.reached[id] = true
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.ended[id] = time.Now()
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(standin.HeaderSignature, "plain")
	w.Header().Set(standin.HeaderRequestID, id)
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	form, text, _ := strings.Cut(rest, "-")
	duration, _ := time.ParseDuration(text)
	const pieces = 10
	if form == "whole" {
		waitFor(r, duration)
		_, _ = io.WriteString(w, "ok")
		return
	}
	if form == "events" {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for i := range pieces {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
		waitFor(r, duration/pieces)
	}
}

func waitFor(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// sentRequest is what a caller saw of one request.
type sentRequest struct {
	stopCaller
	id string
	// sent is when the last byte was sent.
	sent, ended time.Time
	status      int
	err         error
}

// run sends requests until the process accepts no connections, and returns what came of them.
func (c stopCaller) run(address string, name string) []sentRequest {
	var requests []sentRequest
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return requests
		}
		requests = c.runOn(conn, name, requests)
		_ = conn.Close()
	}
}

// runOn sends requests until the connection ends, and appends what came of them.
func (c stopCaller) runOn(conn net.Conn, name string, requests []sentRequest) []sentRequest {
	<-time.After(c.pause)
	reader := bufio.NewReader(conn)
	for {
		r := sentRequest{id: fmt.Sprint(name, "-", len(requests)), stopCaller: c}
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Length: 4\r\n", c.path, callersHost, callersKey, standin.HeaderRequestID, r.id)
		if c.deadline > 0 {
			head += standin.HeaderDeadline + ": " + strconv.FormatInt(c.deadline.Milliseconds(), 10) + "\r\n"
		}
		_, err := io.WriteString(conn, head+"\r\nbo")
		<-time.After(c.pause)
		if err == nil {
			_, err = io.WriteString(conn, "dy")
		}
		if err != nil {
			return requests // the request was not sent
		}
		r.sent = time.Now()
		var response *http.Response
		if response, r.err = http.ReadResponse(reader, nil); r.err == nil {
			r.status = response.StatusCode
			_, r.err = io.Copy(io.Discard, response.Body)
		}
		r.ended = time.Now()
		requests = append(requests, r)
		if r.err != nil || response.Close {
			return requests
		}
	}
}

// TestPlannedStopAnswersLateRequests guards against requests that a stopping router takes and passes on late in its
// drain, and cuts without an answer at its end.
func TestPlannedStopAnswersLateRequests(t *testing.T) {
	var callers []stopCaller
	for _, route := range []string{"safe", "unsafe", "stream"} {
		for _, deadline := range []time.Duration{0, 9 * time.Second, 4 * time.Second} {
			for _, form := range []string{"whole-50ms", "whole-700ms", "whole-2s", "whole-5s", "whole-1h", "events-700ms", "events-2s", "events-5s", "pieces-2s"} {
				for _, pause := range []time.Duration{0, 60 * time.Millisecond, 1200 * time.Millisecond} {
					callers = append(callers, stopCaller{"/" + route + "/" + form, deadline, pause})
				}
			}
		}
	}
	u := &slowUpstream{reached: map[string]bool{}, ended: map[string]time.Time{}}
	d := startRouter(t, &faults{handlers: map[string]http.Handler{"plain": u}})
	address := d.targets[0].address.String()
	var running sync.WaitGroup
	var mu sync.Mutex
	var requests []sentRequest
	for i, c := range callers {
		running.Go(func() {
			got := c.run(address, fmt.Sprint("caller-", i))
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, got...)
		})
	}
	<-time.After(1500 * time.Millisecond)
	signaled := time.Now()
	require.NoError(t, d.command.Process.Signal(syscall.SIGTERM))
	running.Wait()
	<-d.exited
	u.mu.Lock()
	defer u.mu.Unlock()
	late, answered := 0, 0
	for _, r := range requests {
		if r.sent.Sub(signaled) > lateAfter {
			late++
		}
		if r.err == nil {
			answered++
			if r.status == http.StatusServiceUnavailable && strings.HasPrefix(r.path, "/unsafe/") {
				assert.False(t, u.reached[r.id], "%s, said not to have run, reached the upstream", r.path)
			}
			continue
		}
		assert.True(t, u.mayBeCut(r, signaled), "%s, sent %s after the signal, ended %s after it: %v; reached the upstream: %t",
			r.path, r.sent.Sub(signaled), r.ended.Sub(signaled), r.err, u.reached[r.id])
	}
	t.Logf("%d requests, %d of them late in the drain, %d answered", len(requests), late, answered)
	assert.Positive(t, late)
}

// mayBeCut reports whether a request may have ended without an answer.
func (u *slowUpstream) mayBeCut(r sentRequest, signaled time.Time) bool {
	if r.deadline > 0 && r.ended.Sub(r.sent)+lossSlack >= r.deadline-r.pause {
		return true
	}
	if !u.reached[r.id] {
		return r.ended.Sub(r.sent) <= lossSlack
	}
	drain := settings.DefaultRouterLoaderDrain
	worked, ok := u.ended[r.id]
	return r.sent.Sub(signaled) <= lateAfter && (!ok || worked.Sub(signaled) >= drain*5/6)
}
