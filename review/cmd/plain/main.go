// Command plain is a stand-in of an application runner. It answers each request with a document that
// has neither a length nor chunks and ends with its connection, and prints one JSON line for each
// event.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

var (
	address = flag.String("address", "", "address to listen on")
	id      = flag.String("id", "", "id of this runner")
	size    = flag.Int("size", 0, "bytes of a document")
)

var output sync.Mutex

func emit(event string, fields map[string]any) {
	output.Lock()
	defer output.Unlock()
	fields["event"] = event
	line, _ := json.Marshal(fields)
	_, _ = os.Stdout.Write(append(line, '\n'))
}

func main() {
	flag.Parse()
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	emit("beat", map[string]any{"entry": map[string]any{
		"service": "docs", "address": *address, "zone": "zone-a", "version": "v1", "capacity": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": 0, "born": time.Now().UnixMilli(),
	}})
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(1)
		}
		go serve(conn)
	}
}

// serve serves the requests of a connection, which ends with its first answer.
func serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a probe, or a connection that was not used
	}
	attempt := request.Header.Get("Attempt-Id")
	if request.Header.Get("Expected-Instance") != *id {
		emit("rejected", map[string]any{"id": attempt, "status": http.StatusMisdirectedRequest})
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt)
		return
	}
	emit("run", map[string]any{"id": attempt, "size": *size})
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s.%s\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n\r\n", attempt, *id, attempt)
	const block = 64 << 10
	sent := 0
	for data := make([]byte, block); err == nil && sent < *size; {
		n := 0
		n, err = conn.Write(data[:min(block, *size-sent)])
		sent += n
	}
	emit("run-ended", map[string]any{"id": attempt, "sent": sent, "error": fmt.Sprint(err)})
}
