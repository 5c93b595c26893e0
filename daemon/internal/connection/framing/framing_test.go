package framing_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/framing"
)

// scan returns the sizes of the requests in a text, which arrives in pieces of the given size, and whether the last
// one leaves its length open.
func scan(text string, piece int) (sizes []int, open bool) {
	var head framing.Head
	var body framing.Body
	size, inHead := 0, true
	for begin := 0; begin < len(text); begin += piece {
		data := []byte(text[begin:min(begin+piece, len(text))])
		for len(data) > 0 {
			n, ended := 0, false
			if inHead {
				n, ended = head.Scan(data)
				size += n
				if ended {
					body, inHead = framing.BodyOf([]byte(text[sum(sizes):sum(sizes)+size])), false
				}
			} else {
				n = body.Scan(data)
				size += n
			}
			data = data[n:]
			if !inHead && body.Ended() {
				sizes, size, inHead, head = append(sizes, size), 0, true, framing.Head{}
			}
		}
	}
	return sizes, !inHead && body.Unbounded()
}

func sum(sizes []int) int {
	total := 0
	for _, size := range sizes {
		total += size
	}
	return total
}

var requests = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\nHost: h\n\n",
	"POST / HTTP/1.1\r\nHost: h\r\ncontent-length:  3 \r\n\r\nabc",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nA;x=y\r\n0123456789\r\n2 \r\n\r\n\r\n0\r\nT: 1\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nX: y\r\nContent-Length: 1\r\n\r\n\n",
}

// TestRequestsEndWhereTheParserEndsThem guards against a disagreement with net/http about where a request ends. The
// head of the next request would not be bounded, or the body would be taken for a head.
func TestRequestsEndWhereTheParserEndsThem(t *testing.T) {
	text := strings.Join(requests, "") + strings.Join(requests, "")
	var want []int
	for range 2 {
		for _, request := range requests {
			want = append(want, len(request))
		}
	}
	parsed := bufio.NewReader(strings.NewReader(text))
	for _, size := range want {
		request, err := http.ReadRequest(parsed)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, request.Body)
		require.NoError(t, err)
		_ = size
	}
	_, err := http.ReadRequest(parsed)
	require.ErrorIs(t, err, io.EOF, "the parser finds as many requests")
	for piece := 1; piece < 20; piece++ {
		sizes, open := scan(text, piece)
		assert.Equal(t, want, sizes, "in pieces of %d bytes", piece)
		assert.False(t, open)
	}
}

// TestAmbiguousHeadsEndTheConnection guards against request smuggling: where two parsers could see different bodies, no
// request may follow.
func TestAmbiguousHeadsEndTheConnection(t *testing.T) {
	for _, lines := range []string{
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length: 3\r\nContent-Length: 4\r\n",
		"Content-Length: +3\r\n",
		"Content-Length: 3, 3\r\n",
		"Content-Length:\r\n 3\r\n",
		"Content-Length: 99999999999999999999\r\n",
		"Transfer-Encoding: gzip, chunked\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: identity\r\n",
	} {
		_, open := scan("POST / HTTP/1.1\r\nHost: h\r\n"+lines+"\r\nabcabcabc", 1)
		assert.True(t, open, "%q", lines)
	}
	_, open := scan("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1)
	assert.True(t, open, "an older protocol has no chunks")
	_, open = scan("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 1)
	assert.True(t, open, "a malformed chunk")
}

func TestHeadCountsLinesAndEmptyLines(t *testing.T) {
	var head framing.Head
	data := head.SkipEmptyLines([]byte("\r\n\nGET / HTTP/1.1\r\nA: b\r\n\r\nrest"))
	assert.Equal(t, 3, head.EmptyLines)
	scanned, ended := head.Scan(data)
	assert.True(t, ended)
	assert.Equal(t, "rest", string(data[scanned:]))
	assert.Equal(t, framing.Head{Size: scanned, Lines: 3, EmptyLines: 3}.Lines, head.Lines)
	assert.Equal(t, scanned, head.Size)
}

// FuzzRequests compares where requests end with net/http, for heads that it accepts.
func FuzzRequests(f *testing.F) {
	for _, request := range requests {
		f.Add(request+requests[0], 3)
	}
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if piece < 1 {
			return
		}
		source := strings.NewReader(text)
		parsed := bufio.NewReader(source)
		var want []int
		for total := 0; ; {
			request, err := http.ReadRequest(parsed)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				break
			}
			end := len(text) - source.Len() - parsed.Buffered()
			want, total = append(want, end-total), end
		}
		sizes, open := scan(text, piece)
		if open && len(sizes) < len(want) {
			want = want[:len(sizes)]
		}
		if len(sizes) < len(want) {
			t.Fatalf("%q: the parser ends requests after %v bytes, the scanner after %v", text, want, sizes)
		}
		for i, size := range want {
			if sizes[i] != size {
				t.Fatalf("%q: the parser ends requests after %v bytes, the scanner after %v", text, want, sizes)
			}
		}
	})
}
