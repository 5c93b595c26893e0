// Package responsehead checks the heads of HTTP/1.1 responses beneath the parser of net/http, which is lenient: it
// accepts names of header fields with spaces, joins folded lines, and takes any three digits for a status. What it
// accepts is then forwarded, or the body is delimited in another way than its sender did.
//
// Heads are checked as bytes because the parsed header no longer shows all of that. Rejected: checking what was parsed,
// which misses folded lines and spaces around the status; a parser of our own, which would have to agree with net/http
// on bodies as well.
package responsehead

import (
	"fmt"
	"strings"
)

// state is the position within a head.
type state int

const (
	inStatusLine state = iota
	inReason
	atFieldStart
	inFieldName
	inFieldValue
	// atLineEnd and atHeadEnd are the states after the CR of a line and of the empty line.
	atLineEnd
	atHeadEnd
	// ended is the state after the final head.
	ended
)

// String names the position in errors.
func (s state) String() string {
	return [...]string{
		"in the status line", "in the reason", "at the start of a field line", "in the name of a field", "in the value of a field",
		"after the CR of a line", "after the CR of the empty line", "after the head",
	}[s]
}

// Error is a byte that RFC 9112 does not allow at its place.
type Error struct {
	Byte byte
	// Offset is the number of bytes before it, from the start of the first head.
	Offset int
	place  state
}

// Error names the byte and its place.
func (e *Error) Error() string {
	return fmt.Sprintf("malformed response head: byte %q %s, at offset %d", e.Byte, e.place, e.Offset)
}

// Scanner checks the heads of one response: interim ones and the final one. The zero value expects the first byte.
type Scanner struct {
	state state
	// column is the number of scanned bytes of the status line.
	column int
	// interim is set in the head of an interim response.
	interim bool
	offset  int
}

// Ended reports whether the final head was scanned.
func (s *Scanner) Ended() bool { return s.state == ended }

// Scan checks further bytes up to the end of the final head. The error is an *Error.
func (s *Scanner) Scan(data []byte) error {
	for _, c := range data {
		if s.state == ended {
			return nil
		}
		next, ok := s.next(c)
		if !ok {
			return &Error{Byte: c, Offset: s.offset, place: s.state}
		}
		s.state = next
		s.offset++
	}
	return nil
}

// next returns the state after a byte, and false if the byte is not allowed.
func (s *Scanner) next(c byte) (state, bool) {
	switch s.state {
	case inStatusLine:
		return s.statusLine(c)
	case inReason, inFieldValue:
		return s.text(c)
	case atFieldStart:
		switch c {
		case '\r':
			return atHeadEnd, true
		case '\n':
			return s.endHead(), true
		default:
			return inFieldName, isTokenByte(c)
		}
	case inFieldName:
		if c == ':' {
			return inFieldValue, true
		}
		return inFieldName, isTokenByte(c)
	case atLineEnd:
		return atFieldStart, c == '\n'
	case atHeadEnd:
		return s.endHead(), c == '\n'
	default:
		return ended, true
	}
}

// statusLinePattern is the status line up to the status; # stands for a digit.
const statusLinePattern = "HTTP/1.# ###"

// Columns of the first and the last digit of the status.
const (
	statusClass = len(statusLinePattern) - 3
	statusEnd   = len(statusLinePattern) - 1
)

// statusLine scans a byte of the version and the status. The space after the status is optional, as some servers omit it
// with an empty reason.
func (s *Scanner) statusLine(c byte) (state, bool) {
	column := s.column
	s.column++
	switch {
	case column > statusEnd:
		return s.lineEndOr(c, inReason), c == ' ' || c == '\r' || c == '\n'
	case column == statusClass:
		s.interim = c == '1'
		return inStatusLine, '1' <= c && c <= '5'
	case column == statusEnd && s.interim && c == '1':
		return inStatusLine, false // 101; no request asks for another protocol
	case statusLinePattern[column] == '#':
		return inStatusLine, '0' <= c && c <= '9'
	default:
		return inStatusLine, c == statusLinePattern[column]
	}
}

// text scans a byte of the reason or of the value of a field.
func (s *Scanner) text(c byte) (state, bool) {
	const firstVisible, del = ' ', 0x7f
	return s.lineEndOr(c, s.state), c >= firstVisible && c != del || c == '\t' || c == '\r' || c == '\n'
}

// lineEndOr returns the state after a byte that may end a line, and within if it does not.
func (s *Scanner) lineEndOr(c byte, within state) state {
	switch c {
	case '\r':
		return atLineEnd
	case '\n':
		return atFieldStart
	default:
		return within
	}
}

// endHead returns the state after a head. Another one follows that of an interim response.
func (s *Scanner) endHead() state {
	if !s.interim {
		return ended
	}
	s.column = 0
	return inStatusLine
}

// isTokenByte reports whether a byte may be part of the name of a field.
func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
