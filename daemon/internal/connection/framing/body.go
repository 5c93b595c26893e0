package framing

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

// state is the position within the body of a request.
type state int

const (
	// ended is the state after the body. The next byte begins another request.
	ended state = iota
	// inLength is the state within a body of known length.
	inLength
	inChunkSize
	inChunkExtension
	// inChunk is the state within the data of a chunk and the line end after it.
	inChunk
	inTrailer
	// unbounded is the state after a head that leaves the length of the body open.
	unbounded
)

// Body tracks the position in the body of a request. The zero value has ended.
type Body struct {
	state state
	// left is the number of bytes that are left of the body or of the current chunk.
	left int64
	// digits is the number of digits of the current chunk's size.
	digits int
	// trailer scans the lines after the last chunk.
	trailer Head
}

// BodyOf returns the body that follows a complete head.
func BodyOf(head []byte) Body {
	requestLine, lines, _ := bytes.Cut(head, []byte("\n"))
	length, chunked, lengths := int64(0), false, 0
	for line := range bytes.Lines(lines) {
		if line[0] == ' ' || line[0] == '\t' {
			return Body{state: unbounded} // continues the line before, which may declare the length
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case isHeader(name, "Content-Length"):
			lengths++
			parsed, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
			if err != nil {
				return Body{state: unbounded}
			}
			length = int64(parsed)
		case isHeader(name, "Transfer-Encoding"):
			lengths++
			chunked = strings.EqualFold(string(bytes.TrimSpace(value)), "chunked")
			if !chunked {
				return Body{state: unbounded}
			}
		}
	}
	switch {
	case lengths > 1, chunked && !bytes.HasSuffix(bytes.TrimSpace(requestLine), []byte("HTTP/1.1")):
		return Body{state: unbounded}
	case chunked:
		return Body{state: inChunkSize}
	case length > 0:
		return Body{state: inLength, left: length}
	default:
		return Body{}
	}
}

func isHeader(name []byte, header string) bool {
	return len(name) == len(header) && strings.EqualFold(string(name), header)
}

// Ended reports whether the body has ended.
func (b *Body) Ended() bool { return b.state == ended }

// Unbounded reports whether no request can follow on the connection, because the head left the length open.
func (b *Body) Unbounded() bool { return b.state == unbounded }

// Scan scans further bytes and returns how many of them belong to the body.
func (b *Body) Scan(data []byte) int {
	scanned := 0
	for scanned < len(data) && b.state != ended {
		scanned += b.step(data[scanned:])
	}
	return scanned
}

// step scans some bytes, at least one.
func (b *Body) step(data []byte) int {
	switch b.state {
	case inLength, inChunk:
		return b.skip(data)
	case inChunkSize:
		b.chunkSize(data[0])
		return 1
	case inChunkExtension:
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			return len(data)
		}
		b.beginChunk()
		return end + 1
	case inTrailer:
		scanned, end := b.trailer.Scan(data)
		if end {
			*b = Body{}
		}
		return scanned
	default:
		return len(data)
	}
}

// skip scans bytes of known length.
func (b *Body) skip(data []byte) int {
	n := int(min(int64(len(data)), b.left))
	b.left -= int64(n)
	switch {
	case b.left > 0:
	case b.state == inChunk:
		b.state, b.digits = inChunkSize, 0
	default:
		b.state = ended
	}
	return n
}

// chunkSize scans a byte of the size of a chunk.
func (b *Body) chunkSize(c byte) {
	const base, maxDigits = 16, 15
	digit, isDigit := hexDigit(c)
	switch {
	case isDigit && b.digits < maxDigits:
		b.left = b.left*base + digit
		b.digits++
	case c == '\n' && b.digits > 0:
		b.beginChunk()
	case b.digits > 0 && (c == '\r' || c == ';' || c == ' ' || c == '\t'):
		b.state = inChunkExtension
	default:
		b.state = unbounded // malformed; the parser rejects it
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (value int64, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	default:
		return 0, false
	}
}

// beginChunk begins the data of a chunk, or the trailer after the last one.
func (b *Body) beginChunk() {
	const lineEnd = 2
	if b.left == 0 {
		b.state = inTrailer
		return
	}
	b.state, b.left = inChunk, min(b.left, math.MaxInt64-lineEnd)+lineEnd
}
