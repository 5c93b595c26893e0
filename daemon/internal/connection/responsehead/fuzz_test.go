package responsehead

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzScan checks that a head is judged alike however it is split, and that net/http, where it parses what the scanner
// allows, finds the fields and the status that were sent.
func FuzzScan(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: x\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 X\r\nA : x\r\n\r\nHTTP/1.1 000 X\n\n"))
	f.Add([]byte("HTTP/1.0 200\nA: x\n y\n\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		var whole, split Scanner
		err := whole.Scan(response)
		var splitErr error
		for i := range response {
			if splitErr = split.Scan(response[i : i+1]); splitErr != nil {
				break
			}
		}
		if (err == nil) != (splitErr == nil) || whole != split {
			t.Fatalf("split: %v %+v, whole: %v %+v", splitErr, split, err, whole)
		}
		if err != nil || !whole.Ended() {
			return
		}
		parsed, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(response)), nil)
		if err != nil {
			return
		}
		_ = parsed.Body.Close()
		if parsed.StatusCode < 100 || parsed.StatusCode > 599 || parsed.ProtoMajor != 1 {
			t.Fatalf("%s %d", parsed.Proto, parsed.StatusCode)
		}
		for name := range parsed.Header {
			if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == ':' }) {
				t.Fatalf("name %q", name)
			}
		}
	})
}
