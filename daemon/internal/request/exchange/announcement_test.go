package exchange

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// announce reads the announcement of a response with the given status and headers.
func announce(kind Kind, status int, err error, header http.Header) Announcement {
	c := &Client{Headers: provider.Headers{Limit: "Limit", Leaving: "Leaving"}}
	return c.readAnnouncement(Result{Kind: kind, Err: err}, &http.Response{StatusCode: status, Header: header})
}

// TestInvalidRetryAfterIsIgnored guards against an upstream that is shut out, or sent to too
// early, by a value that is no number of seconds.
func TestInvalidRetryAfterIsIgnored(t *testing.T) {
	for _, c := range []struct {
		values  []string
		want    time.Duration
		invalid bool
	}{
		{nil, 0, false},
		{[]string{"3"}, 3 * time.Second, false},
		{[]string{" 0.25 "}, 250 * time.Millisecond, false},
		{[]string{"0"}, 0, false},
		{[]string{"2", "5"}, 5 * time.Second, false},
		{[]string{"2", "x"}, 2 * time.Second, true},
		{[]string{"99999999999999999999"}, maxRetryAfter, false},
		{[]string{"-1"}, 0, true},
		{[]string{"+1"}, 0, true},
		{[]string{"1e3"}, 0, true},
		{[]string{"inf"}, 0, true},
		{[]string{"nan"}, 0, true},
		{[]string{""}, 0, true},
		{[]string{"1.2.3"}, 0, true},
		{[]string{"Wed, 21 Oct 2026 07:28:00 GMT"}, 0, true},
	} {
		a := announce(Refused, http.StatusServiceUnavailable, nil, http.Header{"Retry-After": c.values})
		assert.Equal(t, c.want, a.RetryAfter, "%q", c.values)
		assert.Equal(t, c.invalid, a.Invalid != "", "%q", c.values)
	}
	a := announce(Refused, http.StatusServiceUnavailable, nil, http.Header{"Retry-After": {strings.Repeat("x", 1000), strings.Repeat("y", 1000)}})
	assert.LessOrEqual(t, len(a.Invalid), maxInvalidBytes)
	a = announce(Answered, http.StatusOK, nil, http.Header{"Retry-After": {"3"}})
	assert.Zero(t, a.RetryAfter, "only a refusal asks for a pause")
}

// TestOnlyOwnResponseAnnounces guards against an upstream that is shut out by the response of
// another one, or by one to an older request.
func TestOnlyOwnResponseAnnounces(t *testing.T) {
	header := http.Header{"Leaving": {"1"}, "Retry-After": {"3"}}
	unavailable := http.StatusServiceUnavailable
	assert.Equal(t, Announcement{}, announce(Misdirected, http.StatusMisdirectedRequest, nil, header))
	assert.Equal(t, Announcement{}, announce(Unknown, unavailable, errRequestIDMismatch, header))
	a := announce(Unknown, unavailable, errUndeclaredRefusal, header)
	assert.True(t, a.Leaving)
	assert.Equal(t, 3*time.Second, a.RetryAfter)
	assert.False(t, a.Accepted)
}

// TestInvalidLeavingIsIgnored guards against an upstream that is shut out for good by a value
// that does not state that it leaves.
func TestInvalidLeavingIsIgnored(t *testing.T) {
	for value, want := range map[string]bool{"1": true, "true": true, "0": false, "false": false, "": false, "2": false, "soon": false} {
		a := announce(Answered, http.StatusOK, nil, http.Header{"Leaving": {value}})
		assert.Equal(t, want, a.Leaving, "%q", value)
	}
	assert.False(t, announce(Answered, http.StatusOK, nil, http.Header{}).Leaving)
	assert.True(t, announce(Answered, http.StatusOK, nil, http.Header{"Leaving": {"1", "x"}}).Leaving)
}
