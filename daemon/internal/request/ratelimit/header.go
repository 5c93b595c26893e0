package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// This file parses the header in which a response states its upstream's limit.

// Kind classifies what a response states about the limit.
type Kind int

// Values of Kind.
const (
	// Unspecified means that the response says nothing about the limit: it is not the upstream's,
	// or its header is invalid.
	Unspecified Kind = iota
	// Unlimited means that the response states no limit.
	Unlimited
	// Limited means that the response states a limit.
	Limited
)

// ResponseLimit is the limit that one response states.
type ResponseLimit struct {
	Kind Kind
	// PerSecond is the limit in requests per second, 0 or more.
	PerSecond float64
	// Invalid is the last header value that could not be parsed, truncated; "" if there is none.
	Invalid string
}

// maxInvalidBytes bounds ResponseLimit.Invalid.
const maxInvalidBytes = 40

// String returns the limit for logs, "" if the response states none.
func (l ResponseLimit) String() string {
	switch {
	case l.Invalid != "":
		return "unread " + strconv.Quote(l.Invalid)
	case l.Kind == Limited:
		return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
	default:
		return ""
	}
}

// Parse parses the values of the limit header. Of several limits the lowest counts, since it
// protects the upstream. A value that is not a decimal number of 0 or more is skipped and
// neither sets nor lifts a limit.
func Parse(values []string) ResponseLimit {
	if len(values) == 0 {
		return ResponseLimit{Kind: Unlimited}
	}
	parsed := ResponseLimit{PerSecond: math.Inf(1)}
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			parsed.add(strings.TrimSpace(text))
		}
	}
	if parsed.Kind == Unspecified {
		parsed.PerSecond = 0
	}
	return parsed
}

func (l *ResponseLimit) add(text string) {
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || !decimal(text) || perSecond < 0 {
		l.Invalid = text[:min(len(text), maxInvalidBytes)]
		if text == "" {
			l.Invalid = "nothing"
		}
		return
	}
	l.Kind, l.PerSecond = Limited, min(l.PerSecond, perSecond)
}

// decimal reports whether a number is in decimal notation. strconv.ParseFloat also accepts
// "inf", "nan" and hexadecimal numbers.
func decimal(text string) bool { return strings.Trim(text, "0123456789.+-eE") == "" }
