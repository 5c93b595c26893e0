// Package hostile checks that each process of the system outlives clients that do not keep to the protocol or to the
// limits of the configuration: it does not end, its memory and its open descriptors stay within its limits, and it
// answers ordinary requests while the connections of the crowd are open.
package hostile

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

// testCrowd starts each kind of process, lets a crowd of clients misbehave at all its listeners, and checks the process.
func testCrowd(t *testing.T, behave behavior) {
	t.Helper()
	for name, start := range processes {
		t.Run(name, func(t *testing.T) {
			d := start(t, &faults{})
			sendCrowd(t, d.targets, behave)
			d.check(t)
		})
	}
}

// form returns which of several forms the client with a number sends, so that each listener gets all of them.
func form(number, forms int) int {
	const mostListeners = 4
	return number / mostListeners % forms
}

// requestLine begins a request for the path of a target's ordinary request.
func requestLine(method string, target target) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", method, target.path, callersHost, callersKey)
}

// ordinary is a complete ordinary request.
func ordinary(target target) string {
	return requestLine("GET", target) + standin.HeaderRequestID + ": crowd\r\n\r\n"
}

// TestHeadsOverTheLimitInShortLines guards against heads that take many times their size in memory, since each line
// is stored on its own.
func TestHeadsOverTheLimitInShortLines(t *testing.T) {
	const size = 60 << 10
	lines := shortLines(size)
	testCrowd(t, func(target target, _ int) client { return client{first: requestLine("GET", target) + lines + "\r\n"} })
}

// TestHeadsOverTheLimitInOneLine guards against many long header lines that are read at the same time.
func TestHeadsOverTheLimitInOneLine(t *testing.T) {
	const size = 66 << 10
	line := "X: " + strings.Repeat("x", size)
	testCrowd(t, func(target target, _ int) client { return client{first: requestLine("GET", target) + line} })
}

// TestEndlessHeadsInShortLines guards against heads that go on without end in short lines.
func TestEndlessHeadsInShortLines(t *testing.T) {
	testCrowd(t, func(target target, _ int) client {
		return client{first: requestLine("GET", target), then: &endlessLines{}}
	})
}

// TestEndlessHeadsInOneLine guards against a header line without end.
func TestEndlessHeadsInOneLine(t *testing.T) {
	testCrowd(t, func(target target, _ int) client {
		return client{first: requestLine("GET", target) + "X: ", then: &endless{text: "x"}}
	})
}

// endlessRequestLine is the behavior of a client that sends a request line without end.
func endlessRequestLine(target, int) client {
	return client{first: "GET /", then: &endless{text: "x"}}
}

// TestEndlessRequestLines guards against a request line without end.
func TestEndlessRequestLines(t *testing.T) { testCrowd(t, endlessRequestLine) }

// TestEndlessRequestLinesOnTwoProcessors guards against heads that stay in memory after the process has refused them,
// for as long as the goroutines of their connections wait for a processor.
func TestEndlessRequestLinesOnTwoProcessors(t *testing.T) {
	t.Setenv("GOMAXPROCS", "2") // of the processes that the test starts
	testCrowd(t, endlessRequestLine)
}

// TestEndlessHeadsOfLaterRequests guards against a server that bounds only the first head of a connection.
func TestEndlessHeadsOfLaterRequests(t *testing.T) {
	testCrowd(t, func(target target, _ int) client {
		return client{first: ordinary(target) + requestLine("GET", target), then: &endlessLines{}}
	})
}

// TestEmptyLinesBeforeFirstRequests guards against a server that skips empty lines before a request without end.
func TestEmptyLinesBeforeFirstRequests(t *testing.T) {
	testCrowd(t, func(target, int) client { return client{then: &endless{text: "\r\n"}} })
}

// TestEmptyLinesBeforeLaterRequests guards against the same on a connection that has served a request.
func TestEmptyLinesBeforeLaterRequests(t *testing.T) {
	testCrowd(t, func(target target, number int) client {
		first := ordinary(target)
		if form(number, 2) == 0 { // empty lines after a request with a body are handled on their own by net/http
			first = requestLine("POST", target) + "Content-Length: 1\r\n\r\nx"
		}
		return client{first: first, then: &endless{text: "\r\n"}}
	})
}

// TestUnfinishedHeadsWithinTheLimit guards against clients that each send less than the limit, but never the end.
func TestUnfinishedHeadsWithinTheLimit(t *testing.T) {
	const size = 15 << 10
	forms := []string{shortLines(size), "X: " + strings.Repeat("x", size)}
	testCrowd(t, func(target target, number int) client {
		return client{first: requestLine("GET", target) + forms[form(number, len(forms))]}
	})
}

// TestManyHeadsWithinTheLimit guards against the memory of many complete heads of the largest allowed size.
func TestManyHeadsWithinTheLimit(t *testing.T) {
	const size = 15 << 10
	lines := shortLines(size)
	testCrowd(t, func(target target, number int) client {
		return client{first: requestLine("GET", target) + fmt.Sprintf("%s: crowd-%d\r\n", standin.HeaderRequestID, number) + lines + "\r\n"}
	})
}

// TestSilentConnections guards against connections without a request that use up the descriptors.
func TestSilentConnections(t *testing.T) {
	testCrowd(t, func(target, int) client { return client{} })
}

// TestRequestsWithUnreadResponses guards against clients that send one request after the other and read no response.
func TestRequestsWithUnreadResponses(t *testing.T) {
	const sent = 128 << 10
	testCrowd(t, func(target target, _ int) client {
		return client{then: io.LimitReader(&endless{text: ordinary(target)}, sent), ignoresResponses: true}
	})
}

// TestBodiesThatNeverArrive guards against requests whose body is announced and never sent. They use up the
// descriptors, and those that are refused wait for the rest of the body.
func TestBodiesThatNeverArrive(t *testing.T) {
	testCrowd(t, func(target target, number int) client {
		path := target
		if form(number, 2) == 0 {
			path.path = "/nothing-here"
		}
		return client{first: requestLine("POST", path) + "Content-Length: 1000\r\n\r\nx"}
	})
}

// TestUnfinishedBodies guards against bodies within the limit that stay unfinished.
func TestUnfinishedBodies(t *testing.T) {
	const announced, sent = "1000000", 900_000
	testCrowd(t, func(target target, number int) client {
		framing := "Content-Length: " + announced + "\r\n\r\n"
		if form(number, 2) == 0 {
			framing = "Transfer-Encoding: chunked\r\n\r\nf4240\r\n"
		}
		return client{first: requestLine("POST", target) + framing, then: io.LimitReader(&endless{text: "x"}, sent)}
	})
}

// TestEndlessBodies guards against chunked bodies without end: in chunks, in the extension of a chunk, and in trailers.
func TestEndlessBodies(t *testing.T) {
	testCrowd(t, func(target target, number int) client {
		first := requestLine("POST", target) + "Transfer-Encoding: chunked\r\n\r\n"
		switch form(number, 3) {
		case 0:
			return client{first: first, then: &endless{text: "1\r\nx\r\n"}}
		case 1:
			return client{first: first + "1;", then: &endless{text: "x"}}
		default:
			return client{first: first + "0\r\n", then: &endlessLines{}}
		}
	})
}

// TestUnfinishedHeadsBesideBodies guards against limits for heads, for bodies and for connections that each hold, and
// together take more memory than the process has.
func TestUnfinishedHeadsBesideBodies(t *testing.T) {
	d := startRouter(t, &faults{})
	callers := d.targets[0]
	callers.path = "/unsafe/x"
	const fillBytes, uploads, uploadTime = 40, 20, 6 * time.Second
	end := time.Now().Add(uploadTime)
	var clients sync.WaitGroup
	for range uploads {
		clients.Go(func() {
			for time.Now().Before(end) && d.lives() {
				callers.upload(maxBodyBytes)
			}
		})
	}
	head := requestLine("GET", callers) + strings.Repeat("X-Fill: "+strings.Repeat("a", fillBytes)+"\r\n", maxHeaderBytes/(fillBytes+20))
	for range crowdSize {
		clients.Go(func() {
			for time.Now().Before(end) && d.lives() {
				callers.sendUnfinished(head, end)
			}
		})
	}
	clients.Wait()
	d.check(t)
}

// TestEndlessBodiesOfControlCalls guards against bodies without end of calls whose generated servers read all of them.
func TestEndlessBodiesOfControlCalls(t *testing.T) {
	paths := map[string][]string{
		"entry": {"Control/Sync", "Control/Follow", "Control/Report", "Control/Snapshot"},
		"agent": {"Peer/Have"},
	}
	for process, calls := range paths {
		t.Run(process, func(t *testing.T) {
			d := processes[process](t, &faults{})
			peers := d.targets[len(d.targets)-1]
			var clients sync.WaitGroup
			for _, name := range calls {
				for _, mediaType := range []string{"application/protobuf", "application/json"} {
					clients.Go(func() { peers.sendEndless("/twirp/wheelcleat."+name, mediaType) })
				}
			}
			clients.Wait()
			d.checkMemory(t)
		})
	}
}
