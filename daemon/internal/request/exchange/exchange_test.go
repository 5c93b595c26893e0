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

// TestLimitIsTakenFromResponsesOfTheUpstream guards against a limit set or lifted by a response
// of another upstream or to another request, and against one lifted by an invalid response. A
// refusal or an invalid response may still set a limit.
func TestLimitIsTakenFromResponsesOfTheUpstream(t *testing.T) {
	const none, two = "", "2"
	for name, c := range map[string]struct {
		limit  string
		status int
		header map[string]string
		kind   exchange.Kind
		want   ratelimit.Kind
	}{
		"success with limit":               {two, 200, map[string]string{"Signature": "s"}, exchange.Answered, ratelimit.Limited},
		"success without limit":            {none, 200, map[string]string{"Signature": "s"}, exchange.Answered, ratelimit.Unlimited},
		"server error with limit":          {two, 500, nil, exchange.Answered, ratelimit.Limited},
		"declared refusal with limit":      {two, 503, map[string]string{"Not-Run": "1"}, exchange.Refused, ratelimit.Limited},
		"declared refusal without limit":   {none, 503, map[string]string{"Not-Run": "1"}, exchange.Refused, ratelimit.Unlimited},
		"undeclared refusal with limit":    {two, 503, nil, exchange.Unknown, ratelimit.Limited},
		"undeclared refusal without limit": {none, 503, nil, exchange.Unknown, ratelimit.Unspecified},
		"unsigned without limit":           {none, 200, nil, exchange.Unknown, ratelimit.Unspecified},
		"other upstream with limit":        {two, 421, nil, exchange.Misdirected, ratelimit.Unspecified},
		"other request with limit":         {two, 200, map[string]string{"Signature": "s", "Id": "other"}, exchange.Unknown, ratelimit.Unspecified},
		"other request without limit":      {none, 200, map[string]string{"Signature": "s", "Id": "other"}, exchange.Unknown, ratelimit.Unspecified},
		"success with invalid limit":       {"x", 200, map[string]string{"Signature": "s"}, exchange.Answered, ratelimit.Unspecified},
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
		client := &exchange.Client{Headers: headers, Pooled: &http.Transport{}, Unpooled: &http.Transport{}}
		incoming := httptest.NewRequest(http.MethodGet, "/x", nil)
		incoming.Header.Set("Id", "own")
		result := client.Do(context.Background(), exchange.Attempt{
			Incoming: incoming, Upstream: &provider.Upstream{ID: "u", Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, Priority: -1,
		})
		assert.Equal(t, c.kind, result.Kind, "%s: %v", name, result.Err)
		assert.Equal(t, c.want, result.Announcement.Limit.Kind, name)
		if result.Response != nil {
			_ = result.Response.Body.Close()
		}
		server.Close()
	}
}
