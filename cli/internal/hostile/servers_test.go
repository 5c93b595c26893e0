package hostile

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

// faults makes a server on which a process depends send bytes without end. The zero value has no faults.
type faults struct {
	// server is the name of the faulty server, and response what it sends, nil while it has no fault.
	server   string
	response atomic.Pointer[endlessBytes]
	// sent is the number of bytes that it has sent of the present response, and asked the number of faulty
	// responses that it began.
	sent, asked atomic.Int64
	// began is closed when the server becomes faulty. It ends the responses that wait for a change.
	began chan struct{}
	// handlers replace the handlers of stand-ins, by name.
	handlers map[string]http.Handler
	// store is the platform's store, if the process uses one.
	store *standin.Store
	// plain is the address of the upstream of ordinary requests.
	plain netip.AddrPort
}

// begin makes the server send a response from now on.
func (f *faults) begin(response endlessBytes) {
	f.sent.Store(0)
	if f.response.Swap(&response) == nil {
		close(f.began)
	}
}

// endlessBytes is the start of a response and the bytes that follow it without end.
type endlessBytes struct{ start, repeat string }

// maxEndless bounds the bytes of one kind that a faulty server sends, many times the memory of a process.
const maxEndless = 1 << 30

// endlessAnswers are responses without end, or bytes that are no response, by what does not end.
func endlessAnswers() map[string]endlessBytes {
	long := strings.Repeat("x", 64<<10)
	lines := strings.Repeat("Name: value\r\n", 4<<10)
	closed := "\r\nConnection: close\r\n\r\n"
	return map[string]endlessBytes{
		"a status line":      {"HTTP/1.1 200 ", long},
		"header lines":       {"HTTP/1.1 200 OK\r\n", lines},
		"a header line":      {"HTTP/1.1 200 OK\r\nName: ", long},
		"interim responses":  {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n", 1<<10)},
		"a body":             {"HTTP/1.1 200 OK" + closed, long},
		"a string in JSON":   {"HTTP/1.1 200 OK\r\nContent-Type: application/json" + closed + `{"revision":1,"value":"`, long},
		"blanks before JSON": {"HTTP/1.1 200 OK\r\nContent-Type: application/json" + closed, strings.Repeat(" ", 64<<10)},
		"a message":          {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf" + closed, long},
		"a body of an error": {"HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json" + closed + `{"msg":"`, long},
		"a conflict":         {"HTTP/1.1 409 Conflict\r\nContent-Type: application/json" + closed + `{"revision":"`, long},
		"lines":              {"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson" + closed, strings.Repeat("{}\n", 16<<10)},
		"chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("x", 16<<10) + "\r\n"},
		"trailers":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", lines},
	}
}

// wrap returns a handler that answers as the given one until the faults of the named server are active.
func (f *faults) wrap(name string, handler http.Handler) http.Handler {
	if replacement, ok := f.handlers[name]; ok {
		return replacement
	}
	if name != f.server {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := f.response.Load()
		if response == nil {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			go func() {
				select {
				case <-f.began:
					cancel()
				case <-ctx.Done():
				}
			}()
			handler.ServeHTTP(w, r.WithContext(ctx))
			return
		}
		f.asked.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, response.start)
		for err == nil && f.sent.Add(int64(len(response.repeat))) < maxEndless {
			_, err = io.WriteString(conn, response.repeat)
		}
	})
}

// servers are the servers that each kind of process calls, by the names of their stand-ins.
var servers = map[string][]string{
	"router": {"store", "plain", "peer"},
	"loader": {"store", "engine", "origin"},
	"entry":  {"key-value", "host list", "peer"},
	"agent":  {"host list", "entry"},
}

// TestAnswersWithoutEnd guards against a server that exhausts the memory of a process which calls it, by a response
// without end or by bytes that are no response.
func TestAnswersWithoutEnd(t *testing.T) {
	for process, names := range servers {
		for _, server := range names {
			t.Run(process+"/"+server, func(t *testing.T) {
				t.Parallel()
				f := &faults{server: server, began: make(chan struct{})}
				d := processes[process](t, f)
				for what, response := range endlessAnswers() {
					f.begin(response)
					f.sendRequests(d)
					t.Logf("%s: %d MiB sent", what, f.sent.Load()>>20)
					d.checkMemory(t)
				}
				assert.Positive(t, f.asked.Load(), "the process calls the server")
			})
		}
	}
}

// sendRequests sends requests to the callers' port of a process that has one, for as long as the process may call
// the faulty server meanwhile.
func (f *faults) sendRequests(d *daemon) {
	const callers, faultTime = 32, time.Second
	end := time.Now().Add(faultTime)
	var requests sync.WaitGroup
	for range callers {
		requests.Go(func() {
			for d.targets[0].name == "callers" && d.lives() && time.Now().Before(end) {
				_ = d.targets[0].request()
			}
		})
	}
	select {
	case <-time.After(time.Until(end)):
	case <-d.exited:
	}
	requests.Wait()
}
