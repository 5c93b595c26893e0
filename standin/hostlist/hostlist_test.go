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

func TestChangesBecomeVisibleAfterLag(t *testing.T) {
	now := time.Unix(1000, 0)
	lag := time.Duration(0)
	s := &Server{Now: func() time.Time { return now }, Lag: func() time.Duration { return lag }}
	s.Set(Host{Name: "a", Role: RoleAgent, Hall: "x", State: StateLive})
	assert.Len(t, s.Current("").Hosts, 1)
	assert.Empty(t, s.Current("y").Hosts, "hosts of other halls are left out")
	lag = 5 * time.Second
	s.Set(Host{Name: "a", Role: RoleAgent, Hall: "x", State: StateLeaving})
	assert.Equal(t, StateLive, s.Current("").Hosts[0].State, "the change is not visible yet")
	now = now.Add(5 * time.Second)
	assert.Equal(t, StateLeaving, s.Current("").Hosts[0].State)
	s.Remove("a")
	assert.Len(t, s.Current("").Hosts, 1)
	now = now.Add(5 * time.Second)
	assert.Empty(t, s.Current("").Hosts)
}

func TestServesListWithETag(t *testing.T) {
	down := false
	s := &Server{Down: func() bool { return down }}
	server, err := serve.Loopback(s)
	require.NoError(t, err)
	defer server.Close()
	s.Set(Host{Name: "a", Role: RoleAgent, Hall: "x", State: StateLive})
	get := func(etag string) (int, string, string) {
		req, err := http.NewRequest(http.MethodGet, server.URL()+"/hosts", nil)
		require.NoError(t, err)
		req.Header.Set("If-None-Match", etag)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, "", ""
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, resp.Header.Get("ETag"), string(body)
	}
	status, etag, body := get("")
	assert.Equal(t, http.StatusOK, status)
	assert.Contains(t, body, `"name":"a"`)
	status, _, _ = get(etag)
	assert.Equal(t, http.StatusNotModified, status)
	s.Remove("a")
	status, _, _ = get(etag)
	assert.Equal(t, http.StatusOK, status)
	down = true
	status, _, _ = get("")
	assert.Zero(t, status)
}
