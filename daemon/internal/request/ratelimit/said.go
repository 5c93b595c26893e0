package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// This file reads what an answer says of its upstream's limit.

// Kind is what an answer says.
type Kind int

// The kinds.
const (
	// Silent answers say nothing: they are not the upstream's, or what they say cannot be
	// read.
	Silent Kind = iota
	// Unlimited answers name no limit.
	Unlimited
	// Limited answers name one.
	Limited
)

// Said is what one answer says.
type Said struct {
	Kind Kind
	// PerSecond is the limit, 0 or more, in requests a second.
	PerSecond float64
	// Unread is what could not be read, "" where all could.
	Unread string
}

// mostShown bounds what is kept of a value that cannot be read, in bytes.
const mostShown = 40

// String returns what was said for logs, nothing where no limit was named.
func (s Said) String() string {
	switch {
	case s.Unread != "":
		return "unread " + strconv.Quote(s.Unread)
	case s.Kind == Limited:
		return strconv.FormatFloat(s.PerSecond, 'g', -1, 64)
	default:
		return ""
	}
}

// Parse reads the values of an answer's header. Of several the lowest counts, because the
// upstream is in need; what is no decimal number of 0 or more is passed over, and neither
// names a limit nor ends one.
func Parse(values []string) Said {
	if len(values) == 0 {
		return Said{Kind: Unlimited}
	}
	said := Said{PerSecond: math.Inf(1)}
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			said.take(strings.TrimSpace(text))
		}
	}
	if said.Kind == Silent {
		said.PerSecond = 0
	}
	return said
}

func (s *Said) take(text string) {
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || !decimal(text) || perSecond < 0 {
		s.Unread = text[:min(len(text), mostShown)]
		if text == "" {
			s.Unread = "nothing"
		}
		return
	}
	s.Kind, s.PerSecond = Limited, min(s.PerSecond, perSecond)
}

// decimal reports whether a number is written in decimal digits: "inf", "nan" and
// hexadecimal ones, which the parser takes, are not.
func decimal(text string) bool { return strings.Trim(text, "0123456789.+-eE") == "" }
