package router_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/broadcast"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// endMark is how an upstream marks the end of a response.
type endMark int

const (
	markedByLength endMark = iota
	markedByChunks
	unmarked // the response ends with its connection
)

func (m endMark) String() string { return [...]string{"length", "chunks", "close"}[m] }

// head returns the head of a signed success with a body of the given length.
func (m endMark) head(req *http.Request, length int) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: sig\r\n", req.Header.Get("Request-Id"))
	switch m {
	case markedByLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	case markedByChunks:
		head += "Transfer-Encoding: chunked\r\n"
	case unmarked:
	}
	return head + "\r\n"
}

// encode returns a part of the body as it is sent.
func (m endMark) encode(part string) string {
	if m == markedByChunks && part != "" {
		return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return part
}

// respond answers with a complete response and closes the connection if that marks its end.
func (m endMark) respond(body string) upstreamFunc {
	return func(req *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, m.head(req, len(body))+m.encode(body))
		switch m {
		case markedByLength:
		case markedByChunks:
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		case unmarked:
			_ = conn.Close()
		}
	}
}

// closedResponses returns a router's count of responses that ended with their connection while the
// upstream was in the given state afterwards.
func closedResponses(t *testing.T, cfg settings.Router, state string) string {
	t.Helper()
	resp, err := http.Get("http://" + cfg.Listen.Metrics.String() + "/metrics")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, "responses_closed{") && strings.Contains(line, `upstream="`+state+`"`) {
			return strings.TrimSpace(line[strings.LastIndex(line, " "):])
		}
	}
	return ""
}

// TestUpstreamIsProbedAfterResponseWithoutMarkedEnd guards against a crash that leaves no trace
// because the response seems to have ended with its connection.
func TestUpstreamIsProbedAfterResponseWithoutMarkedEnd(t *testing.T) {
	for target, body := range map[string]string{"/safe/x": "a body", "/unsafe/x": "a body", "/stream/x": wantEvents(3), "/safe/long": strings.Repeat("long", 40<<10)} {
		for _, mark := range []endMark{markedByLength, markedByChunks, unmarked} {
			t.Run(target+" "+mark.String(), func(t *testing.T) {
				_, _, cfg := startServing(t, "u1", mark.respond(body))
				got := call(t, cfg, "id-1", "POST", target, "body")
				require.NoError(t, got.err)
				assert.Equal(t, body, got.body)
				if mark != unmarked {
					assert.Empty(t, closedResponses(t, cfg, "listening"))
					return
				}
				await(t, "counted", func() bool { return closedResponses(t, cfg, "listening") == "1" })
			})
		}
	}
}

// TestCrashBehindSlowCallerIsNoticed guards against a truncated response that looks complete, because the upstream
// crashed and its successor had started at the address before the caller read on.
func TestCrashBehindSlowCallerIsNoticed(t *testing.T) {
	for target, part := range map[string]string{"/safe/long": strings.Repeat("x", 1<<20), "/stream/x": strings.Repeat("data: token\n\n", 64<<10)} {
		t.Run(target, func(t *testing.T) {
			crashed := make(chan struct{})
			var requests atomic.Int64
			s, u, cfg := startServing(t, "u1", func(req *http.Request, conn net.Conn) {
				if requests.Add(1) > 1 {
					closeConnection(req, conn) // the stream does not resume
					return
				}
				_, _ = io.WriteString(conn, unmarked.head(req, 0))
				const full = 300 * time.Millisecond // more than the caller's connection and this one hold takes longer
				for {
					_ = conn.SetWriteDeadline(time.Now().Add(full))
					if n, err := io.WriteString(conn, part); err != nil {
						_, _ = io.WriteString(conn, part[n:])
						break
					}
				}
				_ = conn.Close()
				close(crashed)
			})
			reached := make(chan struct{})
			got := make(chan reply, 1)
			go func() {
				got <- callAndObserve(t, cfg, "id-1", "POST", target, "body", func() {
					close(reached)
					<-crashed
					successor := u.record()
					successor.ID = "u2"
					s.register(successor)
					awaitListed(s, cfg, "u/u2")
				})
			}()
			<-reached
			assert.Error(t, (<-got).err, "the response must not look complete")
		})
	}
}

// TestCrashDoesNotLookLikeCompleteResponse guards against a crash that clears the content which
// caused it, because the end of the connection was taken for the end of the response.
func TestCrashDoesNotLookLikeCompleteResponse(t *testing.T) {
	event := "id: 1\ndata: token\n\n"
	parts := map[string]string{
		"before the body": "", "after an event": event, "within an event": event + "id: 2\nda", "after all but a byte": event + "data: [DONE]\n", "after the body": event + "data: [DONE]\n\n",
	}
	for place, part := range parts {
		for _, mark := range []endMark{markedByLength, markedByChunks, unmarked} {
			for _, target := range []string{"/stream/x", "/safe/x", "/unsafe/x"} {
				t.Run(fmt.Sprintf("%s %s %s", place, mark, target), func(t *testing.T) {
					startCrashFleet(t, mark.begin(part)).sendUntilQuarantined(t, target)
				})
			}
		}
	}
}

// begin sends the head and the first part of a response, of which the end is still missing.
func (m endMark) begin(part string) upstreamFunc {
	return func(req *http.Request, conn net.Conn) {
		const rest = 100
		_, _ = io.WriteString(conn, m.head(req, len(part)+rest)+m.encode(part))
	}
}

// TestStreamResumesAfterCrashBetweenEvents guards against a stream that looks complete to its
// caller because the upstream crashed between two events.
func TestStreamResumesAfterCrashBetweenEvents(t *testing.T) {
	for _, mark := range []endMark{markedByLength, markedByChunks, unmarked} {
		t.Run(mark.String(), func(t *testing.T) {
			s := &testStore{}
			s.configure(baseConfiguration(1))
			first := startCrashingUpstream(t, "first", mark.begin(wantEvents(3)))
			s.register(first.record())
			cfg := startRouter(t, s, "r1")
			await(t, "ready", func() bool { return ready(cfg) })
			second := startUpstream(t, "second", events(6, true, ""))
			begin := first.begin
			first.begin = func(req *http.Request, conn net.Conn) {
				s.register(second.record())
				awaitListed(s, cfg, "u/second")
				begin(req, conn)
			}

			got := call(t, cfg, "id-1", "POST", "/stream/x", crashingBody)
			require.NoError(t, got.err)
			assert.Equal(t, wantEvents(6), got.body)
			assert.Equal(t, "3", second.lastRequest().Header.Get("Last-Event-Id"))
		})
	}
}

// statusHead returns the head of a signed response with the given status.
func (m endMark) statusHead(req *http.Request, status, length int) string {
	return strings.Replace(m.head(req, length), "200 OK", fmt.Sprint(status, " X"), 1)
}

// TestEachWayOfSendingDetectsCrash guards against a crash that is taken for the end of a response
// in one of the ways by which a request reaches an upstream after its first send.
func TestEachWayOfSendingDetectsCrash(t *testing.T) {
	ways := map[string]func(t *testing.T, mark endMark){
		"second send":    crashAfterSecondSend,
		"resumed stream": crashAfterResumption,
		"error response": crashAfterErrorResponse,
		"trial":          crashAfterTrial,
	}
	for way, run := range ways {
		for _, mark := range []endMark{markedByLength, markedByChunks, unmarked} {
			t.Run(way+" "+mark.String(), func(t *testing.T) {
				run(t, mark)
			})
		}
	}
}

// crashAfterSecondSend lets the first upstream stay silent and the second one crash.
func crashAfterSecondSend(t *testing.T, mark endMark) {
	s, first, cfg := startServing(t, "first", answerOK)
	second := startCrashingUpstream(t, "second", mark.begin("part"))
	first.registerBeforeAnswering(s, cfg, second.upstream, func(_ *http.Request, conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1)) // until the router closes the connection
	})
	got := call(t, cfg, "id-1", "POST", "/safe/x", crashingBody)
	assert.Equal(t, http.StatusBadGateway, got.status)
	await(t, "the crash is known", func() bool { return crashesListedBy(cfg) == 1 })
}

// crashAfterResumption breaks a stream, which resumes at an upstream that crashes between events.
func crashAfterResumption(t *testing.T, mark endMark) {
	s, first, cfg := startServing(t, "first", answerOK)
	second := startCrashingUpstream(t, "second", mark.begin("id: 4\ndata: token\n\n"))
	first.registerBeforeAnswering(s, cfg, second.upstream, events(3, false, ""))
	got := call(t, cfg, "id-1", "POST", "/stream/x", crashingBody)
	require.Error(t, got.err, "the stream does not look complete")
	assert.Equal(t, wantEvents(4), got.body)
	await(t, "the crash is known", func() bool { return crashesListedBy(cfg) == 1 })
}

// crashAfterErrorResponse lets an upstream crash while it sends an error.
func crashAfterErrorResponse(t *testing.T, mark endMark) {
	s := &testStore{}
	s.configure(baseConfiguration(1))
	u := startCrashingUpstream(t, "u1", func(req *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, mark.statusHead(req, http.StatusInternalServerError, 100)+mark.encode("part"))
	})
	s.register(u.record())
	cfg := startRouter(t, s, "r1")
	await(t, "ready", func() bool { return ready(cfg) })
	got := call(t, cfg, "id-1", "POST", "/safe/x", crashingBody)
	assert.NotEqual(t, http.StatusInternalServerError, got.status, "the error did not arrive whole")
	await(t, "the crash is known", func() bool { return crashesListedBy(cfg) == 1 })
}

// crashAfterTrial sends a request whose quarantine has expired to each router. Only one of them
// tries it, and the crash renews the quarantine.
func crashAfterTrial(t *testing.T, mark endMark) {
	f := startCrashFleet(t, mark.begin("part"))
	expired := quarantine.Report{
		Content:  content.Request{Account: "library", Method: "POST", Host: "h.example", Target: "/safe/x", Body: []byte(crashingBody)}.Digest(),
		Crashes:  []quarantine.Crash{{Upstream: "x1", Depth: 1}, {Upstream: "x2", Depth: 2}, {Upstream: "x3", Depth: 3}},
		Duration: 15 * time.Second, Age: 15 * time.Second,
	}
	for _, cfg := range f.routers {
		postSuspect(t, cfg, expired)
	}
	for round := range 2 {
		for _, cfg := range f.routers {
			got := call(t, cfg, fmt.Sprint("trial-", cfg.Name, round), "POST", "/safe/x", crashingBody)
			assert.NotEqual(t, http.StatusOK, got.status)
			known := f.crashes() + int64(len(expired.Crashes))
			await(t, "all routers know the crash", func() bool {
				return !slices.ContainsFunc(f.routers, func(cfg settings.Router) bool { return crashesListedBy(cfg) != known })
			})
		}
	}
	assert.Equal(t, int64(1), f.crashes())
}

// postSuspect sends a report to a router, as another router does.
func postSuspect(t *testing.T, cfg settings.Router, report quarantine.Report) {
	t.Helper()
	body, err := json.Marshal(broadcast.Message[quarantine.Report]{Reports: []quarantine.Report{report}})
	require.NoError(t, err)
	resp, err := http.Post("http://"+cfg.Listen.Peers.String()+broadcast.SuspectsPath, "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// TestEventStreamThatEndsWithinEventResumes guards against an event stream that looks complete
// because its end is marked, though its last event is not whole.
func TestEventStreamThatEndsWithinEventResumes(t *testing.T) {
	for _, mark := range []endMark{markedByLength, markedByChunks, unmarked} {
		t.Run(mark.String(), func(t *testing.T) {
			s, first, cfg := startServing(t, "first", answerOK)
			second := startUpstream(t, "second", events(6, true, ""))
			ending := mark.respond(wantEvents(3) + "id: 4\nda")
			first.registerBeforeAnswering(s, cfg, second, func(req *http.Request, conn net.Conn) {
				ending(req, eventStreamConn{conn})
			})
			got := call(t, cfg, "id-1", "POST", "/stream/x", "body")
			require.NoError(t, got.err)
			require.Equal(t, wantEvents(6), got.body)
			assert.Equal(t, "3", second.lastRequest().Header.Get("Last-Event-Id"))
		})
	}
}

// eventStreamConn declares the responses that are written to a connection to be event streams.
type eventStreamConn struct{ net.Conn }

// Write implements io.Writer.
func (c eventStreamConn) Write(data []byte) (int, error) {
	text := strings.Replace(string(data), "Signature: sig\r\n", "Signature: sig\r\nContent-Type: text/event-stream; charset=utf-8\r\n", 1)
	if _, err := io.WriteString(c.Conn, text); err != nil {
		return 0, err
	}
	return len(data), nil
}
