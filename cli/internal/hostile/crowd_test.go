package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of connections that the clients of a crowd keep open to one process. They are
	// divided among its listeners.
	crowdSize = 600
	// maxSent bounds what one client sends in an attempt to send without end.
	maxSent = 1 << 20
	// writeTimeout ends the attempt of a client to send to a process that no longer reads from it.
	writeTimeout = 2 * time.Second
)

// client is what one client of a crowd sends. The connection stays open afterwards, unless the process closes it.
type client struct {
	// first is sent once, and then what the reader returns, up to its end or to maxSent bytes.
	first string
	then  io.Reader
	// ignoresResponses is set if the client does not receive responses, so that the process soon cannot send any more.
	ignoresResponses bool
}

// behavior returns what the client with a number sends to a target.
type behavior func(target target, number int) client

// crowd is a set of connections that stay open until the test ends.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// sendCrowd opens the connections of a crowd and returns once each client has sent all that it can.
func sendCrowd(t *testing.T, targets []target, behave behavior) {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.close)
	var sending sync.WaitGroup
	for number := range crowdSize {
		target := targets[number%len(targets)]
		sending.Go(func() { c.send(target.address, behave(target, number)) })
	}
	sending.Wait()
}

// send runs one client. A process may refuse it at any time, so errors end it without failing the test.
func (c *crowd) send(address netip.AddrPort, client client) {
	conn, err := net.DialTimeout("tcp", address.String(), writeTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if tcp, ok := conn.(*net.TCPConn); ok && client.ignoresResponses {
		_ = tcp.SetReadBuffer(1)
	}
	if write(conn, strings.NewReader(client.first)) && client.then != nil {
		write(conn, io.LimitReader(client.then, maxSent))
	}
}

// write sends what a reader returns and reports whether all of it was sent.
func write(conn net.Conn, from io.Reader) bool {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(buffer[:n]); err != nil {
				return false
			}
		}
		if err != nil {
			return true
		}
	}
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// endless repeats a text without end.
type endless struct {
	text string
	rest string
}

func (e *endless) Read(p []byte) (int, error) {
	if e.rest == "" {
		e.rest = strings.Repeat(e.text, 1+len(p)/len(e.text))
	}
	n := copy(p, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// endlessLines returns header lines with distinct short names, without end.
type endlessLines struct {
	next int
	rest []byte
}

func (e *endlessLines) Read(p []byte) (int, error) {
	for len(e.rest) < len(p) {
		e.rest = fmt.Appendf(e.rest, "%x:\r\n", e.next)
		e.next++
	}
	n := copy(p, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// shortLines returns header lines with distinct short names, of at most size bytes in all.
func shortLines(size int) string {
	var lines bytes.Buffer
	for number := 0; ; number++ {
		line := fmt.Sprintf("%x:\r\n", number)
		if lines.Len()+len(line) > size {
			return lines.String()
		}
		lines.WriteString(line)
	}
}
