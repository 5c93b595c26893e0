package exchange_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

var headers = provider.Headers{
	RequestID: "Id", Signature: "Signature", NotRun: "Not-Run", Limit: "Limit", Deadline: "Deadline",
	Account: "Account", ExpectedUpstream: "Expect-Upstream", ExpectedVersion: "Expect-Version", Priority: "Priority",
}

// TestWhatAnswersSayOfALimit: any answer of the upstream's own may name one, also a refusal or a
// broken one; only a sound one ends it; and one of another upstream, or to another request, which
// may be old, says nothing.
func TestWhatAnswersSayOfALimit(t *testing.T) {
	const none, two = "", "2"
	for name, c := range map[string]struct {
		limit  string
		status int
		header map[string]string
		fate   exchange.Fate
		want   ratelimit.Kind
	}{
		"good, names one":           {two, 200, map[string]string{"Signature": "s"}, exchange.Answered, ratelimit.Limited},
		"good, names none":          {none, 200, map[string]string{"Signature": "s"}, exchange.Answered, ratelimit.Unlimited},
		"failure, names one":        {two, 500, nil, exchange.Answered, ratelimit.Limited},
		"refusal, names one":        {two, 503, map[string]string{"Not-Run": "1"}, exchange.Refused, ratelimit.Limited},
		"refusal, names none":       {none, 503, map[string]string{"Not-Run": "1"}, exchange.Refused, ratelimit.Unlimited},
		"bare refusal, names one":   {two, 503, nil, exchange.Unknown, ratelimit.Limited},
		"bare refusal, names none":  {none, 503, nil, exchange.Unknown, ratelimit.Silent},
		"unsigned, names none":      {none, 200, nil, exchange.Unknown, ratelimit.Silent},
		"of another upstream":       {two, 421, nil, exchange.Misdirected, ratelimit.Silent},
		"to another request":        {two, 200, map[string]string{"Signature": "s", "Id": "other"}, exchange.Unknown, ratelimit.Silent},
		"to another, names none":    {none, 200, map[string]string{"Signature": "s", "Id": "other"}, exchange.Unknown, ratelimit.Silent},
		"names what cannot be read": {"x", 200, map[string]string{"Signature": "s"}, exchange.Answered, ratelimit.Silent},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			for key, value := range c.header {
				w.Header().Set(key, value)
			}
			if c.limit != none {
				w.Header().Set("Limit", c.limit)
			}
			w.WriteHeader(c.status)
		}))
		client := &exchange.Client{Headers: headers, Kept: &http.Transport{}, Fresh: &http.Transport{}}
		incoming := httptest.NewRequest(http.MethodGet, "/x", nil)
		incoming.Header.Set("Id", "own")
		result := client.Do(context.Background(), exchange.Send{
			Incoming: incoming, Upstream: &provider.Upstream{ID: "u", Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, Priority: -1,
		})
		assert.Equal(t, c.fate, result.Fate, "%s: %v", name, result.Err)
		assert.Equal(t, c.want, result.Said.Kind, name)
		if result.Response != nil {
			_ = result.Response.Body.Close()
		}
		server.Close()
	}
}
