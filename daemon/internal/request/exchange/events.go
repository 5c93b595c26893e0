package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// ErrPartialEvent says that a stream ended within an event.
var ErrPartialEvent = errors.New("the stream ended within an event")

// Event is one whole event of a stream, its closing blank line included.
type Event struct {
	Bytes []byte
	// ID is the event's number; HasID tells whether it has one.
	ID    int64
	HasID bool
}

// Events splits a stream into whole events. It holds no more than one event
// and what arrived with it.
type Events struct {
	body io.Reader
	// framed says that the answer's own framing tells where it ends, so that
	// bytes behind the last event are part of it.
	framed bool
	buffer []byte
	start  int // of what was not handed out yet
	err    error
}

// NewEvents reads from the body of an answer. Framed answers have a length or
// come in chunks; the others end with their connection.
func NewEvents(body io.Reader, framed bool) *Events {
	const firstBuffer = 4 << 10
	return &Events{body: body, framed: framed, buffer: make([]byte, 0, firstBuffer)}
}

// Next returns the next whole event; its bytes hold until the next call. The
// error is io.EOF only where the stream ended well, after a whole event.
func (e *Events) Next() (Event, error) {
	for {
		if end := endOfEvent(e.buffer[e.start:]); end > 0 {
			event := parseEvent(e.buffer[e.start : e.start+end])
			e.start += end
			return event, nil
		}
		if e.err == nil {
			e.fill()
			continue
		}
		if e.framed && errors.Is(e.err, io.EOF) && e.start < len(e.buffer) {
			rest := Event{Bytes: e.buffer[e.start:]}
			e.start = len(e.buffer)
			return rest, nil
		}
		return Event{}, e.ending()
	}
}

// Buffered reports whether a whole event waits.
func (e *Events) Buffered() bool { return endOfEvent(e.buffer[e.start:]) > 0 }

func (e *Events) ending() error {
	if !errors.Is(e.err, io.EOF) {
		return e.err
	}
	if e.start < len(e.buffer) {
		return ErrPartialEvent
	}
	return io.EOF
}

func (e *Events) fill() {
	const chunk = 4 << 10
	if e.start > 0 {
		e.buffer = append(e.buffer[:0], e.buffer[e.start:]...)
		e.start = 0
	}
	if len(e.buffer) > maxEvent {
		e.err = fmt.Errorf("an event of over %d bytes", maxEvent)
		return
	}
	if cap(e.buffer)-len(e.buffer) < chunk {
		e.buffer = append(make([]byte, 0, 2*cap(e.buffer)+chunk), e.buffer...)
	}
	n, err := e.body.Read(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer = e.buffer[:len(e.buffer)+n]
	e.err = err
}

// endOfEvent returns the length of the first event, blank line included, or 0.
func endOfEvent(data []byte) int {
	end := 0
	if at := bytes.Index(data, []byte("\n\n")); at >= 0 {
		end = at + len("\n\n")
	}
	if at := bytes.Index(data, []byte("\r\n\r\n")); at >= 0 && (end == 0 || at < end) {
		end = at + len("\r\n\r\n")
	}
	return end
}

func parseEvent(data []byte) Event {
	event := Event{Bytes: data}
	for line := range bytes.Lines(data) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			event.ID, event.HasID = id, true
		}
	}
	return event
}
