// Package framing finds where the requests on an HTTP/1.1 connection begin and end, without storing or validating
// them. A server uses it to bound a head before net/http parses it, which stores each header line on its own.
//
// It does not have to decide what an ambiguous head means: such a head makes its request the last one on the
// connection, so that no disagreement with the parser can hide a request in the body of another one.
//
// Rejected: to count the lines in net/http's parser, which has no hook for that; to read bodies through a parser of
// our own, which would have to agree with net/http in every detail.
package framing

import "bytes"

// Head scans the head of a request. The zero value expects the first byte of a request.
type Head struct {
	// Size is the number of bytes of the head, and Lines the number of its lines, both as far as it was scanned.
	Size, Lines int
	// EmptyLines is the number of bytes of empty lines before the request line.
	EmptyLines int
	// lineLength is the length of the current line so far, and lineStart its first byte.
	lineLength int
	lineStart  byte
}

// SkipEmptyLines returns data without the empty lines that may precede a request line.
func (h *Head) SkipEmptyLines(data []byte) []byte {
	if h.Size > 0 {
		return data
	}
	rest := bytes.TrimLeft(data, "\r\n")
	h.EmptyLines += len(data) - len(rest)
	return rest
}

// Scan scans further bytes of the head. It returns how many of them belong to the head and whether it ends there.
func (h *Head) Scan(data []byte) (scanned int, ended bool) {
	for scanned < len(data) {
		line := data[scanned:]
		end := bytes.IndexByte(line, '\n')
		if end >= 0 {
			line = line[:end]
		}
		if h.lineLength == 0 && len(line) > 0 {
			h.lineStart = line[0]
		}
		h.lineLength += len(line)
		scanned += len(line)
		h.Size += len(line)
		if end < 0 {
			return scanned, false
		}
		scanned++
		h.Size++
		if h.endLine() {
			return scanned, true
		}
	}
	return scanned, false
}

// endLine ends the current line and reports whether it is empty, which ends the head.
func (h *Head) endLine() bool {
	empty := h.lineLength == 0 || h.lineLength == 1 && h.lineStart == '\r'
	h.lineLength = 0
	h.Lines++
	return empty
}
