package router_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/responsehead/headtest"
)

// respondRaw answers with a text in which ID stands for the ID of the request, and closes the connection.
func respondRaw(text string) upstreamFunc {
	return func(req *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", req.Header.Get("Request-Id")))
		_ = conn.Close()
	}
}

// Parts of a response that is signed and whole, but for what a test adds.
const (
	signedLines = "Request-Id: ID\r\nSignature: sig\r\n"
	eventBody   = "id: 1\ndata: token\n\n"
)

// malformedHeads returns responses with malformed heads, by what is wrong.
func malformedHeads() map[string]string {
	heads := map[string]string{}
	for _, line := range headtest.StatusLines {
		heads[fmt.Sprintf("%q", line)] = line + "\r\n" + signedLines + "\r\n" + eventBody
	}
	for _, line := range headtest.FieldLines {
		heads[fmt.Sprintf("%q", line)] = "HTTP/1.1 200 OK\r\n" + signedLines + line + "\r\n\r\n" + eventBody
		heads[fmt.Sprintf("first %q", line)] = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + signedLines + "\r\n" + eventBody
		heads[fmt.Sprintf("interim %q", line)] = "HTTP/1.1 103 X\r\nA: x\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + signedLines + "\r\n" + eventBody
	}
	return heads
}

// assertOwnFailure checks that a caller got a failure of the router, which has no signature.
func assertOwnFailure(t *testing.T, got reply) {
	t.Helper()
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusBadGateway, got.status, "%q", got.body)
	assert.Empty(t, got.header.Get("Signature"))
	assert.Equal(t, "unknown\n", got.body)
}

// TestMalformedHeadsAreNoResponses guards against responses that reach callers although their heads cannot be trusted:
// a part of it may have been ignored, or have had another meaning for its sender.
func TestMalformedHeadsAreNoResponses(t *testing.T) {
	for _, target := range []string{"/unsafe/x", "/safe/x", "/stream/x"} {
		t.Run(target, func(t *testing.T) {
			t.Parallel()
			_, u, cfg := startServing(t, "u1", closeConnection)
			heads := malformedHeads()
			for name, response := range heads {
				t.Run(name, func(t *testing.T) {
					malformed := respondRaw(response)
					u.answer.Store(&malformed)
					assertOwnFailure(t, call(t, cfg, "id-1", "POST", target, "body"))
				})
			}
			assert.EqualValues(t, len(heads), u.received.Load())
		})
	}
}

// TestMalformedHeadIsRepeated expects the response of a second upstream, where the request may run twice.
func TestMalformedHeadIsRepeated(t *testing.T) {
	for name, response := range malformedHeads() {
		for _, target := range []string{"/safe/x", "/stream/x"} {
			t.Run(name+" "+target, func(t *testing.T) {
				t.Parallel()
				s, first, cfg := startServing(t, "first", respondRaw(response))
				second := startUpstream(t, "second", answerOK)
				first.registerBeforeAnswering(s, cfg, second, respondRaw(response))
				got := call(t, cfg, "id-1", "POST", target, "body")
				require.NoError(t, got.err)
				assert.Equal(t, http.StatusOK, got.status)
				assert.Equal(t, "answer to id-1", got.body)
				assert.Equal(t, "sig", got.header.Get("Signature"))
			})
		}
	}
}

// TestResumedStreamWithMalformedHead guards against events of a response whose head is malformed.
func TestResumedStreamWithMalformedHead(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 000 OK\r\n" + signedLines, "HTTP/1.1 200 OK\r\n" + signedLines + "Bad Name: x\r\n", "HTTP/1.1 200 OK\r\n" + signedLines + " folded\r\n"} {
		t.Run(fmt.Sprintf("%q", start), func(t *testing.T) {
			t.Parallel()
			s, first, cfg := startServing(t, "first", events(1, false, ""))
			second := startUpstream(t, "second", respondRaw(start+"\r\nid: 2\ndata: token\n\n"))
			first.registerBeforeAnswering(s, cfg, second, events(1, false, ""))
			got := call(t, cfg, "id-1", "POST", "/stream/x", "body")
			require.Error(t, got.err)
			assert.Equal(t, wantEvents(1), got.body)
			assert.NotZero(t, second.received.Load())
		})
	}
}
