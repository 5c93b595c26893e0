package router_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFirstUpstreamIsKeptUntilSecondAnswers guards against closing a slow upstream before a
// second one has begun to answer: if the second one refuses, the first must still deliver the
// answer.
func TestFirstUpstreamIsKeptUntilSecondAnswers(t *testing.T) {
	slowHead := func(requested <-chan struct{}) upstreamFunc {
		return func(req *http.Request, conn net.Conn) {
			<-requested
			answerOK(req, conn)
		}
	}
	pausing := func(requested <-chan struct{}) upstreamFunc {
		return func(req *http.Request, conn net.Conn) {
			sendEvents(req, conn, 2)
			<-requested
			writeEvents(conn, 3, 4)
			_, _ = conn.Write([]byte("0\r\n\r\n"))
		}
	}
	tests := map[string]struct {
		target, body string
		first        func(requested <-chan struct{}) upstreamFunc
	}{
		"no head of a safe answer": {"/safe/x", "answer to id-1", slowHead},
		"no head of a stream":      {"/stream/x", "answer to id-1", slowHead},
		"no event of a stream":     {"/stream/x", wantEvents(4), pausing},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			requested := make(chan struct{})
			s, first, cfg := startServing(t, "first", answerOK)
			second := startUpstream(t, "second", func(req *http.Request, conn net.Conn) {
				answerNotRun(req, conn)
				close(requested)
			})
			first.listBeforeAnswering(s, cfg, second, test.first(requested))

			got := call(t, cfg, "id-1", "POST", test.target, "body")
			require.NoError(t, got.err)
			assert.Equal(t, http.StatusOK, got.status)
			assert.Equal(t, test.body, got.body)
			assert.Equal(t, int64(1), second.received.Load())
		})
	}
}

// TestSecondUpstreamReplacesUnresponsiveFirst expects the answer from a second upstream when the
// first one hangs, and a stream to resume after the last event.
func TestSecondUpstreamReplacesUnresponsiveFirst(t *testing.T) {
	hangAfter := func(to int) func(release <-chan struct{}) upstreamFunc {
		return func(release <-chan struct{}) upstreamFunc {
			return func(req *http.Request, conn net.Conn) {
				if to > 0 {
					sendEvents(req, conn, to)
				}
				<-release
			}
		}
	}
	tests := map[string]struct {
		target, body, lastEvent string
		first                   func(release <-chan struct{}) upstreamFunc
		second                  upstreamFunc
	}{
		"safe, no head":    {"/safe/x", "answer to id-1", "", hangAfter(0), answerOK},
		"stream, no head":  {"/stream/x", wantEvents(6), "", hangAfter(0), events(6, true, "")},
		"stream, no event": {"/stream/x", wantEvents(6), "2", hangAfter(2), events(6, true, "")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			s, first, cfg := startServing(t, "first", answerOK)
			second := startUpstream(t, "second", test.second)
			first.listBeforeAnswering(s, cfg, second, test.first(release))

			got := call(t, cfg, "id-1", "POST", test.target, "body")
			require.NoError(t, got.err)
			assert.Equal(t, test.body, got.body)
			assert.Equal(t, test.lastEvent, second.lastRequest().Header.Get("Last-Event-Id"))
			assert.Equal(t, int64(1), second.received.Load())
		})
	}
}

// TestBrokenStreamWaitsForUpstream breaks a stream while no other upstream is listed. The stream
// must wait for one until the deadline of its caller.
func TestBrokenStreamWaitsForUpstream(t *testing.T) {
	s, first, cfg := startServing(t, "first", answerOK)
	second := startUpstream(t, "second", events(6, true, ""))
	breaking := upstreamFunc(func(req *http.Request, conn net.Conn) {
		sendEvents(req, conn, 3)
		_ = conn.Close()
		s.list(second.record())
	})
	first.answer.Store(&breaking)

	got := call(t, cfg, "id-1", "POST", "/stream/x", "body")
	require.NoError(t, got.err)
	assert.Equal(t, wantEvents(6), got.body)
	assert.Equal(t, "3", second.lastRequest().Header.Get("Last-Event-Id"))
}

// awaitClose gives a router time to close a connection that it must keep open.
func awaitClose(conn net.Conn) {
	const waitTime = 300 * time.Millisecond
	_ = conn.SetReadDeadline(time.Now().Add(waitTime))
	_, _ = conn.Read(make([]byte, 1))
}

// sendEvents sends the head and the first events of a stream, without its end.
func sendEvents(req *http.Request, conn net.Conn, to int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: sig\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Request-Id"))
	writeEvents(conn, 1, to)
}

// TestHedgeOutlivesBrokenFirst breaks the first upstream while a second one has received the
// request but has not answered. Canceling the hedge would use up the last attempt that the
// route allows.
func TestHedgeOutlivesBrokenFirst(t *testing.T) {
	s, first, cfg := startServing(t, "first", answerOK)
	requested, broken := make(chan struct{}), make(chan struct{})
	rest := events(6, true, "")
	second := startUpstream(t, "second", func(req *http.Request, conn net.Conn) {
		close(requested)
		<-broken
		awaitClose(conn)
		rest(req, conn)
	})
	first.listBeforeAnswering(s, cfg, second, func(req *http.Request, conn net.Conn) {
		sendEvents(req, conn, 2)
		<-requested
		_ = conn.Close()
		close(broken)
	})

	got := call(t, cfg, "id-1", "POST", "/stream/x", "body")
	require.NoError(t, got.err)
	assert.Equal(t, wantEvents(6), got.body)
	assert.Equal(t, int64(1), second.received.Load())
}
