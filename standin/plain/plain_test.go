package plain

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// TestOnlyExecutedRequestsAreCounted guards against a request that is recorded as run although the
// connection was closed before it, or is not recorded although it was closed after it.
func TestOnlyExecutedRequestsAreCounted(t *testing.T) {
	var fault atomic.Value
	fault.Store(Fault{})
	s := &Server{Fault: func(string) Fault { return fault.Load().(Fault) }}
	server, err := serve.Loopback(s)
	require.NoError(t, err)
	defer server.Close()
	post := func(id, body string) (string, error) {
		req, err := http.NewRequest(http.MethodPost, server.URL()+"/v1/credit", strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set(api.HeaderRequestID, id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		return string(data), err
	}
	body, err := post("a", `{"ledger":"x","amount":5}`)
	require.NoError(t, err)
	assert.JSONEq(t, `{"request":"a","ledger":"x","balance":5}`, body)
	fault.Store(Fault{CutBefore: true})
	_, err = post("b", `{"ledger":"x","amount":5}`)
	require.Error(t, err)
	fault.Store(Fault{CutAfter: true})
	_, err = post("c", `{"ledger":"x","amount":5}`)
	require.Error(t, err)
	fault.Store(Fault{})
	_, err = post("d", `no`)
	require.NoError(t, err)
	assert.Equal(t, map[string]int{"a": 1, "c": 1}, s.Runs())
	assert.Equal(t, int64(10), s.Balance("x"))
}
