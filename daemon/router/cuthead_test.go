package router_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cutHead returns the first bytes of the head of a signed success with a body of one event.
func cutHead(mark endMark, req *http.Request, length int) string {
	return mark.head(req, len(eventBody))[:length]
}

// headLength returns the length of the whole head for an ID of the same length as cutID returns.
func headLength(mark endMark) int {
	return len(mark.head(&http.Request{Header: http.Header{"Request-Id": {cutID(0)}}}, len(eventBody)))
}

func cutID(length int) string { return fmt.Sprintf("id-%03d", length) }

// connEnds are the ways in which an upstream ends a connection after it has read the request.
var connEnds = map[string]func(net.Conn){"close": func(conn net.Conn) { _ = conn.Close() }, "reset": reset}

// TestHeadCutInItsMiddleIsNoResponse guards against a success with a body that is short or empty, because its upstream
// stopped in the middle of the head.
func TestHeadCutInItsMiddleIsNoResponse(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for endName, end := range connEnds {
		for _, mark := range []endMark{markedByLength, markedByChunks, unmarked} {
			for _, target := range []string{"/unsafe/x", "/safe/x", "/stream/x"} {
				for _, before := range []string{"", interim} {
					t.Run(fmt.Sprint(endName, " ", mark, " ", target, " ", len(before)), func(t *testing.T) {
						t.Parallel()
						var cut atomic.Int64
						_, u, cfg := startServing(t, "u1", func(req *http.Request, conn net.Conn) {
							_, _ = io.WriteString(conn, before+cutHead(mark, req, int(cut.Load())))
							end(conn)
						})
						for length := range headLength(mark) {
							cut.Store(int64(length))
							assertOwnFailure(t, call(t, cfg, cutID(length), "POST", target, "body"))
						}
						assert.EqualValues(t, headLength(mark), u.received.Load())
					})
				}
			}
		}
	}
}

// TestHeadCutBehindWholeResponseIsNoResponse is TestHeadCutInItsMiddleIsNoResponse for a connection that was used before.
func TestHeadCutBehindWholeResponseIsNoResponse(t *testing.T) {
	for endName, end := range connEnds {
		for _, target := range []string{"/safe/x", "/stream/x"} {
			t.Run(endName+" "+target, func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				var wholeOn, cutOn atomic.Pointer[net.Conn]
				_, _, cfg := startServing(t, "u1", func(req *http.Request, conn net.Conn) {
					if strings.HasPrefix(req.Header.Get("Request-Id"), "whole") {
						wholeOn.Store(&conn)
						writeAnswer(req, conn, http.StatusOK, eventBody, "")
						return
					}
					cutOn.Store(&conn)
					_, _ = io.WriteString(conn, cutHead(markedByLength, req, int(cut.Load())))
					end(conn)
				})
				reused := 0
				for length := range headLength(markedByLength) {
					cut.Store(int64(length))
					got := call(t, cfg, fmt.Sprint("whole-", length), "POST", target, "body")
					require.NoError(t, got.err)
					require.Equal(t, eventBody, got.body)
					assertOwnFailure(t, call(t, cfg, cutID(length), "POST", target, "body"))
					if *wholeOn.Load() == *cutOn.Load() {
						reused++
					}
				}
				assert.NotZero(t, reused, "connections that were used before")
			})
		}
	}
}

// TestSecondHeadCutInItsMiddleIsNoResponse is TestHeadCutInItsMiddleIsNoResponse for second sends and resumed streams.
func TestSecondHeadCutInItsMiddleIsNoResponse(t *testing.T) {
	firsts := map[string]struct {
		answer       upstreamFunc
		target, want string
	}{
		"second send":    {closeConnection, "/safe/x", "unknown\n"},
		"resumed stream": {events(1, false, ""), "/stream/x", wantEvents(1)},
	}
	for name, first := range firsts {
		for endName, end := range connEnds {
			for _, cut := range []int{0, 8, 12, 17, 40, 60, 70} {
				t.Run(fmt.Sprint(name, " ", endName, " ", cut), func(t *testing.T) {
					t.Parallel()
					s, u1, cfg := startServing(t, "first", first.answer)
					second := startUpstream(t, "second", func(req *http.Request, conn net.Conn) {
						_, _ = io.WriteString(conn, cutHead(markedByChunks, req, cut))
						end(conn)
					})
					u1.registerBeforeAnswering(s, cfg, second, first.answer)
					got := call(t, cfg, "id-1", "POST", first.target, "body")
					assert.True(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
					assert.Equal(t, first.want, got.body)
					assert.EqualValues(t, 1, second.received.Load())
				})
			}
		}
	}
}
