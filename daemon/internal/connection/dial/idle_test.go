package dial_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
)

// TestIdleConnectionsAreClosedAfterTimeout guards against a chain of calls that time out one after the other over
// idle connections that have all fallen silent.
func TestIdleConnectionsAreClosedAfterTimeout(t *testing.T) {
	var dials atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	client := &http.Client{Transport: dial.NewHostTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return dial.Host(ctx, network, address)
	}, time.Minute)}
	get := func() {
		resp, err := client.Get(server.URL)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		require.NoError(t, resp.Body.Close())
	}
	get()
	dial.CloseIdleAfterTimeout(client, nil)
	dial.CloseIdleAfterTimeout(client, errors.New("status 503"))
	get()
	assert.EqualValues(t, 1, dials.Load(), "the connection answered")
	dial.CloseIdleAfterTimeout(client, fmt.Errorf("watch: %w", context.DeadlineExceeded))
	get()
	assert.EqualValues(t, 2, dials.Load(), "the idle connection may be silent")
}
