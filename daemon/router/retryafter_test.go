package router_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// answerRetryAfter refuses each request as not run and asks for a pause in seconds.
func answerRetryAfter(seconds string) upstreamFunc {
	return func(req *http.Request, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nNot-Run: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
			req.Header.Get("Request-Id"), seconds)
	}
}

// TestUpstreamGetsNoRequestsBeforeItsRetryAfter guards against an idle upstream that refuses
// everything and is the best choice by its load for each request.
func TestUpstreamGetsNoRequestsBeforeItsRetryAfter(t *testing.T) {
	// refusalPause is longer than the pause after a refusal without a Retry-After.
	const burst, refusalPause = 10, 100 * time.Millisecond
	for name, loaderPort := range admissionPaths {
		t.Run(name, func(t *testing.T) {
			_, cfg, refusing, _ := startPair(t, loaderPort(t), answerRetryAfter("30"), answerOK)
			callUntilReceived(t, cfg, refusing)
			received := refusing.received.Load()
			for i := range 4 * burst {
				if i%burst == 0 {
					<-time.After(refusalPause)
				}
				assert.Equal(t, http.StatusOK, call(t, cfg, fmt.Sprint("id-", i), "GET", "/safe/x", "").status)
			}
			assert.Equal(t, received, refusing.received.Load())
		})
	}
}

// TestNoSecondSendBeforeRetryAfter guards against retries, resumed streams and hedges at an
// upstream that asked for a pause.
func TestNoSecondSendBeforeRetryAfter(t *testing.T) { assertNoSecondSend(t, answerRetryAfter("30")) }

// TestCallersLearnShortestRetryAfter expects a refusal at once if all upstreams of a service ask
// for a pause, with a Retry-After of at least the shortest one.
func TestCallersLearnShortestRetryAfter(t *testing.T) {
	_, cfg, first, second := startPair(t, 0, answerRetryAfter("20"), answerRetryAfter("40"))
	callUntilReceived(t, cfg, first)
	callUntilReceived(t, cfg, second)
	received := first.received.Load() + second.received.Load()
	for i := range 10 {
		got := call(t, cfg, fmt.Sprint("id-", i), "GET", "/safe/x", "")
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Greater(t, seconds, 10.0)
		assert.Less(t, seconds, 40.0)
	}
	assert.Equal(t, received, first.received.Load()+second.received.Load())
}

// TestInvalidRetryAfterShutsNobodyOut guards against a healthy upstream that gets no requests
// because a value cannot be parsed.
func TestInvalidRetryAfterShutsNobodyOut(t *testing.T) {
	for _, value := range []string{"-5", "nan", "x", "", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		_, cfg, refusing, _ := startPair(t, 0, answerRetryAfter(value), answerOK)
		callUntilReceived(t, cfg, refusing)
		received := refusing.received.Load()
		await(t, "requests", func() bool {
			call(t, cfg, "id", "GET", "/safe/x", "")
			return refusing.received.Load() > received
		})
	}
}
