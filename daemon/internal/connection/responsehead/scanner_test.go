package responsehead

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// scan scans a response in parts of a size, and returns how many bytes were allowed.
func scan(response string, size int) (s Scanner, allowed int) {
	for start := 0; start < len(response); start += size {
		err := s.Scan([]byte(response[start:min(start+size, len(response))]))
		var malformed *Error
		if errors.As(err, &malformed) {
			return s, malformed.Offset
		}
	}
	return s, len(response)
}

func TestWellFormedHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 599 A reason\tof \xfctext\r\n\r\n", "HTTP/1.1 204\r\n\r\n", "HTTP/1.1 200 \r\n\r\n",
		"HTTP/1.1 200 OK\n\n", "HTTP/1.1 200 OK\r\nA:\r\nB:1\r\nC: \tv a l\xfcue \t\r\n!#$%&'*+-.^_`|~09azAZ: x\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for size := 1; size <= len(head); size++ {
			s, allowed := scan(head, size)
			require.Equal(t, len(head), allowed, "%q", head)
			assert.True(t, s.Ended(), "%q", head)
		}
		for end := range head {
			s, allowed := scan(head[:end], 1)
			assert.Equal(t, end, allowed)
			assert.False(t, s.Ended(), "%q", head[:end])
		}
		s, _ := scan(head+"\x00 any body \r\n\r\n", len(head))
		assert.True(t, s.Ended(), "bodies are not checked")
	}
}

// TestMalformedHeads guards against heads that the parser of net/http accepts, and against accepting more than it does.
func TestMalformedHeads(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, head := range []struct{ allowed, rest string }{
		{"", "\r\n" + ok},
		{"", " " + ok},
		{"", "http/1.1 200 OK\r\n"},
		{"HTTP/", "2.0 200 OK\r\n"},
		{"HTTP/", "0.9 200 OK\r\n"},
		{"HTTP/1.1", "\r\n"},
		{"HTTP/1.1 ", " 200 OK\r\n"},
		{"HTTP/1.1", "\t200 OK\r\n"},
		{"HTTP/1.1 ", "000 X\r\n"},
		{"HTTP/1.1 ", "099 X\r\n"},
		{"HTTP/1.1 10", "1 X\r\n"},
		{"HTTP/1.1 ", "600 X\r\n"},
		{"HTTP/1.1 ", "999 X\r\n"},
		{"HTTP/1.1 ", "+20 X\r\n"},
		{"HTTP/1.1 2", "e2 X\r\n"},
		{"HTTP/1.1 20", " X\r\n"},
		{"HTTP/1.1 200", "0 X\r\n"},
		{"HTTP/1.1 200", "\tX\r\n"},
		{"HTTP/1.1 200 O", "\x01K\r\n"},
		{"HTTP/1.1 200 O", "\x7fK\r\n"},
		{"HTTP/1.1 200 O\r", "K\r\n"},
		{ok, " A: x\r\n"},
		{ok + "A: x\r\n", " folded: y\r\n"},
		{ok + "A: x\r\n", "\tfolded\r\n"},
		{ok + "Content-Length", " : 5\r\n"},
		{ok + "Content", " Length: 5\r\n"},
		{ok + "A", "\t: 5\r\n"},
		{ok + "A", "\x01B: 5\r\n"},
		{ok + "A", "\x00: 5\r\n"},
		{ok + "A", "\xfc: 5\r\n"},
		{ok + "A", "(: 5\r\n"},
		{ok, ": 5\r\n"},
		{ok + "No-Colon", "\r\n"},
		{ok + "A: ", "\x00\r\n"},
		{ok + "A: x\r", "\r\n"},
		{ok + "\r", "X"},
		{"HTTP/1.1 103 X\r\n\r\n", "\r\n" + ok},
		{"HTTP/1.1 103 X\r\nA", " : x\r\n\r\n" + ok},
		{"HTTP/1.1 103 X\r\n\r\n" + ok + "A", " : x\r\n"},
	} {
		t.Run(fmt.Sprintf("%q then %q", head.allowed, head.rest), func(t *testing.T) {
			response := head.allowed + head.rest + "\r\n"
			for _, size := range []int{1, 2, 3, len(response)} {
				s, allowed := scan(response, size)
				assert.Equal(t, len(head.allowed), allowed)
				assert.False(t, s.Ended())
			}
		})
	}
}
