package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	Status   int
	Events   int
	Complete bool
	// KeepAlive is set if the client may send a further request on the connection.
	KeepAlive bool
	Err       error
}

// Stream is a request for an event stream.
type Stream struct {
	ID string
	// PromptTokens and AnswerTokens are those of Token-Usage; an event holds 5 tokens.
	PromptTokens, AnswerTokens int
	DeadlineMs                 int
}

// Send sends a request on an open connection and reads the whole answer. A caller keeps the
// connection if the answer allows it.
func Send(conn net.Conn, reader *bufio.Reader, s Stream, record *Record) Answer {
	body := "prompt"
	request := fmt.Sprintf("POST /chat/1 HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: %s\r\nModel: %s\r\nToken-Usage: %d,%d\r\nPrefix-Hash: 5c1e07a2:40,%s:%d\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		s.ID, Model, s.PromptTokens, s.AnswerTokens, s.ID, max(s.PromptTokens-40, 1), s.DeadlineMs, len(body), body)
	record.Printf("client sends %s on %s", s.ID, conn.LocalAddr())
	_ = conn.SetDeadline(time.Now().Add(time.Duration(s.DeadlineMs) * time.Millisecond))
	if _, err := io.WriteString(conn, request); err != nil {
		record.Printf("client could not send %s: %v", s.ID, err)
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		record.Printf("client gets no answer to %s: %v", s.ID, err)
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	answer := Answer{
		Status: resp.StatusCode, Events: strings.Count(string(data), "\n\n"), Complete: err == nil, KeepAlive: err == nil && !resp.Close, Err: err,
	}
	record.Printf("client gets %d for %s, signature %q, Retry-After %q, Connection %q, %d events, complete %t, error %v",
		answer.Status, s.ID, resp.Header.Get("Server-Signature"), resp.Header.Get("Retry-After"), resp.Header.Get("Connection"), answer.Events, answer.Complete, err)
	return answer
}

// SendNew sends a request on a new connection.
func SendNew(address string, s Stream, record *Record) Answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		record.Printf("client could not connect for %s: %v", s.ID, err)
		return Answer{Err: err}
	}
	defer func() { _ = conn.Close() }()
	return Send(conn, bufio.NewReader(conn), s, record)
}
