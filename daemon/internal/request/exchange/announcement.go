package exchange

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
)

// This file reads what a response states about the upstream that sent it, as opposed to the
// request. All such headers are read here and passed on together, so that none is read for one
// kind of result and overlooked for another.

// Announcement is what a response states about its upstream. The zero value states nothing.
type Announcement struct {
	// Limit is the rate limit for all routers together.
	Limit ratelimit.ResponseLimit
	// Leaving means that the upstream is about to end and must get no new requests.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests from this process, 0 if it does not
	// state that.
	RetryAfter time.Duration
	// Accepted is set if the upstream accepted the request, even if the request failed there.
	Accepted bool
	// Invalid holds the header values that could not be parsed, truncated; "" if there are none.
	Invalid string
}

// maxInvalidBytes bounds Announcement.Invalid.
const maxInvalidBytes = 80

// maxRetryAfter bounds Announcement.RetryAfter, because an upstream that is shut out for hours by
// a faulty value would not be noticed.
const maxRetryAfter = 10 * time.Minute

// readAnnouncement reads what a response states about the upstream. It ignores responses of other
// upstreams, and those to other requests, which may be old. The absence of a limit counts only if
// the result is known, since an invalid response may lack the header.
func (c *Client) readAnnouncement(result Result, response *http.Response) Announcement {
	if result.Kind == Misdirected || errors.Is(result.Err, errRequestIDMismatch) {
		return Announcement{}
	}
	a := Announcement{Limit: ratelimit.Parse(response.Header.Values(c.Headers.Limit)), Accepted: result.Kind == Answered}
	if result.Kind == Unknown && a.Limit.Kind == ratelimit.Unlimited {
		a.Limit = ratelimit.ResponseLimit{}
	}
	a.readLeaving(response.Header.Values(c.Headers.Leaving))
	if response.StatusCode == http.StatusServiceUnavailable {
		a.readRetryAfter(response.Header.Values("Retry-After"))
	}
	return a
}

func (a *Announcement) readLeaving(values []string) {
	for _, value := range values {
		leaving, err := strconv.ParseBool(strings.TrimSpace(value))
		if err != nil {
			a.addInvalid(value)
		}
		a.Leaving = a.Leaving || leaving
	}
}

// readRetryAfter parses a number of seconds, which may be a fraction. Of several values the
// longest counts, since it protects the upstream. Dates are not supported, because the clocks of
// hosts differ.
func (a *Announcement) readRetryAfter(values []string) {
	for _, value := range values {
		text := strings.TrimSpace(value)
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || strings.Trim(text, "0123456789.") != "" {
			a.addInvalid(value)
			continue
		}
		wait := time.Duration(math.Min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
		a.RetryAfter = max(a.RetryAfter, wait)
	}
}

func (a *Announcement) addInvalid(value string) {
	text := strconv.Quote(value[:min(len(value), maxInvalidBytes/2)])
	a.Invalid = strings.TrimSpace(a.Invalid + " " + text)
	a.Invalid = a.Invalid[:min(len(a.Invalid), maxInvalidBytes)]
}
