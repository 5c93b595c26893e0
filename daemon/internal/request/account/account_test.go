package account

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/outcome"
)

func TestFindAuthenticatesBearerKey(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	resource := &api.Resource{Kind: api.KindAccount, Name: "a", Account: &api.AccountSpec{KeyDigests: []string{hex.EncodeToString(sum[:])}}}
	value, err := tables.EncodeResource(resource, 0)
	require.NoError(t, err)
	table := &tables.Table{}
	table.Replace([]platform.Item{{Key: tables.ResourceKey(api.KindAccount, "a"), Value: value, Revision: 1}}, 1)
	tests := []struct {
		header string
		status int
	}{
		{"Bearer secret", 0},
		{"", http.StatusUnauthorized},
		{"Basic secret", http.StatusUnauthorized},
		{"Bearer ", http.StatusForbidden},
		{"Bearer Secret", http.StatusForbidden},
	}
	for _, test := range tests {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Authorization", test.header)
		found, refusal := Find(table.View(), r)
		if test.status == 0 {
			require.Nil(t, refusal)
			assert.Equal(t, "a", found.Name)
			continue
		}
		require.NotNil(t, refusal, test.header)
		assert.Equal(t, test.status, refusal.Status)
		assert.Equal(t, api.OutcomeNotRun, refusal.Outcome)
	}
}

func TestLimiterEnforcesRateAndConcurrency(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := &Limiter{}
	a := &api.Resource{Name: "a", Revision: 1, Account: &api.AccountSpec{RatePerSecond: 2, Concurrency: 3}}
	_, refusal := limiter.Admit(a, now)
	require.Nil(t, refusal)
	release, refusal := limiter.Admit(a, now)
	require.Nil(t, refusal)
	_, refusal = limiter.Admit(a, now)
	require.NotNil(t, refusal, "rate limit exceeded")
	assert.Equal(t, outcome.ReasonAccountLimit, refusal.Reason)
	assert.Equal(t, 500*time.Millisecond, refusal.RetryAfter, "Retry-After is the time until the next token")
	_, refusal = limiter.Admit(a, now.Add(refusal.RetryAfter))
	require.Nil(t, refusal)
	_, refusal = limiter.Admit(a, now.Add(time.Hour))
	require.NotNil(t, refusal, "concurrency limit exceeded")
	release()
	release()
	_, refusal = limiter.Admit(a, now.Add(time.Hour))
	require.Nil(t, refusal)
	raised := &api.Resource{Name: "a", Revision: 2, Account: &api.AccountSpec{}}
	_, refusal = limiter.Admit(raised, now)
	require.Nil(t, refusal, "a new revision takes effect at once")
	other := &api.Resource{Name: "b", Account: &api.AccountSpec{Concurrency: 1}}
	_, refusal = limiter.Admit(other, now)
	require.Nil(t, refusal, "limits are per account")
}
