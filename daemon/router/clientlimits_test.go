package router_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// statusOf sends a text on a new connection, which stays open, and returns the status of the response.
func statusOf(t *testing.T, cfg settings.Router, text string) int {
	t.Helper()
	conn, err := net.Dial("tcp", cfg.Listen.Callers.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// TestHeadLimitOfConfigurationApplies guards against a router that reads larger heads than the configuration allows,
// or refuses those that it allows.
func TestHeadLimitOfConfigurationApplies(t *testing.T) {
	const limit, requestLine = 100 << 10, 4 << 10
	s, _, cfg := startServing(t, "u1", answerOK)
	request := func(size int) string {
		start := "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\nAuthorization: Bearer key-1\r\nX: "
		return start + strings.Repeat("x", size-len(start)) + "\r\n\r\n"
	}
	for version, c := range []struct{ limit, size, status int }{
		{0, limit, http.StatusRequestHeaderFieldsTooLarge},
		{limit, limit, http.StatusOK},
		{limit / 2, limit, http.StatusRequestHeaderFieldsTooLarge},
		{limit / 2, limit/2 + requestLine + 10, http.StatusRequestHeaderFieldsTooLarge},
		{limit / 2, limit / 2, http.StatusOK},
	} {
		configuration := baseConfiguration(uint64(version) + 2)
		configuration.Limits.MaxHeaderBytes = c.limit
		s.configure(configuration)
		await(t, fmt.Sprintf("a head of %d bytes gets %d at a limit of %d", c.size, c.status, c.limit), func() bool {
			return statusOf(t, cfg, request(c.size)) == c.status
		})
	}
}

// TestHeadTimeoutOfConfigurationApplies guards against a router that waits longer for a head than the configuration says.
func TestHeadTimeoutOfConfigurationApplies(t *testing.T) {
	s, _, cfg := startServing(t, "u1", answerOK)
	configuration := baseConfiguration(2)
	configuration.Limits.HeaderTimeout = 100 * time.Millisecond
	s.configure(configuration)
	await(t, "a head that does not arrive in time", func() bool {
		// A router that does not have the configuration yet waits for longer. The next connection finds the new limit.
		conn, err := net.Dial("tcp", cfg.Listen.Callers.String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetDeadline(time.Now().Add(time.Second)))
		_, err = io.WriteString(conn, "GET /safe/x HTTP/1.1\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return false
		}
		return assert.NoError(t, resp.Body.Close()) && resp.StatusCode == http.StatusRequestTimeout
	})
}

// TestRefusalDoesNotWaitForTheBody guards against callers that learn of a refusal only once they have sent all of a
// body that nobody reads.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	_, _, cfg := startServing(t, "u1", answerOK)
	const start, body = " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\nAuthorization: Bearer ", "\r\nContent-Length: 1000\r\n\r\nx"
	assert.Equal(t, http.StatusNotFound, statusOf(t, cfg, "POST /nothing/x"+start+"key-1"+body))
	assert.Equal(t, http.StatusUnauthorized, statusOf(t, cfg, "POST /safe/x"+start+"unknown"+body))
}
