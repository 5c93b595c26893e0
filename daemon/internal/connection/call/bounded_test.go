package call_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestBoundedBodies guards against a bound that is one byte off, and against a body that looks complete where it was
// cut.
func TestBoundedBodies(t *testing.T) {
	const limit = 100
	for length, want := range map[int]error{0: nil, limit - 1: nil, limit: nil, limit + 1: provider.ErrTooLarge, 100 * limit: provider.ErrTooLarge} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", length))
		}))
		t.Cleanup(server.Close)
		client := &http.Client{Transport: call.Bounded{Transport: http.DefaultTransport, MaxBytes: limit}}
		resp, err := client.Get(server.URL)
		require.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, resp.Body.Close())
		require.ErrorIs(t, err, want, "%d bytes", length)
		if want == nil {
			assert.Len(t, data, length)
		}
	}
}
