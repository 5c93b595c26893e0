package ratelimit_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
)

// TestParseLimitHeader checks that the lowest limit wins and that an invalid value neither sets
// nor lifts a limit.
func TestParseLimitHeader(t *testing.T) {
	for _, c := range []struct {
		values []string
		kind   ratelimit.Kind
		want   float64
		text   string
	}{
		{nil, ratelimit.Unlimited, 0, ""},
		{[]string{"2.3"}, ratelimit.Limited, 2.3, "2.3"},
		{[]string{" 0 "}, ratelimit.Limited, 0, "0"},
		{[]string{"1e3"}, ratelimit.Limited, 1000, "1000"},
		{[]string{"5", "2"}, ratelimit.Limited, 2, "2"},
		{[]string{"5, 2"}, ratelimit.Limited, 2, "2"},
		{[]string{"5, x"}, ratelimit.Limited, 5, `unread "x"`},
		{[]string{""}, ratelimit.Unspecified, 0, `unread "nothing"`},
		{[]string{"-1"}, ratelimit.Unspecified, 0, `unread "-1"`},
		{[]string{"nan"}, ratelimit.Unspecified, 0, `unread "nan"`},
		{[]string{"inf"}, ratelimit.Unspecified, 0, `unread "inf"`},
		{[]string{"1e999"}, ratelimit.Unspecified, 0, `unread "1e999"`},
		{[]string{"0x10"}, ratelimit.Unspecified, 0, `unread "0x10"`},
		{[]string{"2/s"}, ratelimit.Unspecified, 0, `unread "2/s"`},
	} {
		parsed := ratelimit.Parse(c.values)
		assert.Equal(t, c.kind, parsed.Kind, "%q", c.values)
		assert.InDelta(t, c.want, parsed.PerSecond, 0, "%q", c.values)
		assert.Equal(t, c.text, parsed.String(), "%q", c.values)
	}
	long := ratelimit.Parse([]string{strings.Repeat("x", 1000)})
	assert.Less(t, len(long.String()), 60, "a long value is truncated for the log")
}
