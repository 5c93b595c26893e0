package hostlist

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/standin/serve"
)

func TestLag(t *testing.T) {
	now := time.Unix(1000, 0)
	lag := time.Duration(0)
	s := &Server{Now: func() time.Time { return now }, Lag: func() time.Duration { return lag }}
	s.Set(Host{Name: "a", Role: RoleAgent, Hall: "x", State: StateLive})
	assert.Len(t, s.Current("").Hosts, 1)
	assert.Empty(t, s.Current("y").Hosts, "another hall")
	lag = 5 * time.Second
	s.Set(Host{Name: "a", Role: RoleAgent, Hall: "x", State: StateLeaving})
	assert.Equal(t, StateLive, s.Current("").Hosts[0].State, "the list lags")
	now = now.Add(5 * time.Second)
	assert.Equal(t, StateLeaving, s.Current("").Hosts[0].State)
	s.Remove("a")
	assert.Len(t, s.Current("").Hosts, 1)
	now = now.Add(5 * time.Second)
	assert.Empty(t, s.Current("").Hosts)
}

func TestHTTP(t *testing.T) {
	down := false
	s := &Server{Down: func() bool { return down }}
	server, err := serve.Loopback(s)
	require.NoError(t, err)
	defer server.Close()
	s.Set(Host{Name: "a", Role: RoleAgent, Hall: "x", State: StateLive})
	get := func(tag string) (int, string, string) {
		request, err := http.NewRequest(http.MethodGet, server.URL()+"/hosts", nil)
		require.NoError(t, err)
		request.Header.Set("If-None-Match", tag)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, "", ""
		}
		defer func() { _ = response.Body.Close() }()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, response.Header.Get("ETag"), string(body)
	}
	status, tag, body := get("")
	assert.Equal(t, http.StatusOK, status)
	assert.Contains(t, body, `"name":"a"`)
	status, _, _ = get(tag)
	assert.Equal(t, http.StatusNotModified, status)
	s.Remove("a")
	status, _, _ = get(tag)
	assert.Equal(t, http.StatusOK, status)
	down = true
	status, _, _ = get("")
	assert.Zero(t, status)
}
