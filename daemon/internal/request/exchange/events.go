package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/buffer"
)

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// eventStreamType is the media type of a stream of server-sent events.
	eventStreamType = "text/event-stream"
)

// ErrPartialEvent means that a stream ended within an event.
var ErrPartialEvent = errors.New("the stream ended within an event")

// Event is one complete server-sent event, including the blank line that ends it.
type Event struct {
	Bytes []byte
	// ID is the numeric event id, valid if HasID is set.
	ID    int64
	HasID bool
}

// firstBuffer is the initial size of the buffer of a stream, in bytes.
const firstBuffer = 4 << 10

// Events splits a stream of server-sent events. It buffers at most one event
// and the bytes that arrived with it.
type Events struct {
	body io.Reader
	// budget bounds what the buffers of all streams take beyond their first size, which is reserved there.
	budget *buffer.Budget
	// restComplete means that bytes after the last event belong to the body.
	restComplete bool
	buffered     []byte
	start        int // offset of the first unread byte in buffer
	err          error
}

// NewEvents reads events from the body of a response. The body may end within an event only if its
// end is marked and it is not declared to be an event stream, in which readers ignore such an event. Large events
// are buffered as far as the budget allows; Release ends that.
func NewEvents(response *http.Response, budget *buffer.Budget) *Events {
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	restComplete := dial.HasMarkedEnd(response) && mediaType != eventStreamType
	return &Events{body: response.Body, restComplete: restComplete, buffered: make([]byte, 0, firstBuffer), budget: budget}
}

// Next returns the next complete event; its bytes are valid until the next call.
// The error is io.EOF only if the stream ended at an event boundary.
func (e *Events) Next() (Event, error) {
	for {
		if end := endOfEvent(e.buffered[e.start:]); end > 0 {
			event := parseEvent(e.buffered[e.start : e.start+end])
			e.start += end
			return event, nil
		}
		if e.err == nil {
			e.fill()
			continue
		}
		if e.restComplete && errors.Is(e.err, io.EOF) && e.start < len(e.buffered) {
			rest := Event{Bytes: e.buffered[e.start:]}
			e.start = len(e.buffered)
			return rest, nil
		}
		return Event{}, e.endError()
	}
}

// Buffered reports whether a complete event is buffered.
func (e *Events) Buffered() bool { return endOfEvent(e.buffered[e.start:]) > 0 }

func (e *Events) endError() error {
	if !errors.Is(e.err, io.EOF) {
		return e.err
	}
	if e.start < len(e.buffered) {
		return ErrPartialEvent
	}
	return io.EOF
}

func (e *Events) fill() {
	if e.start > 0 {
		e.buffered = append(e.buffered[:0], e.buffered[e.start:]...)
		e.start = 0
	}
	if len(e.buffered) > maxEventBytes {
		e.err = fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		return
	}
	if len(e.buffered) == cap(e.buffered) && !e.grow() {
		e.err = buffer.ErrFull
		return
	}
	n, err := e.body.Read(e.buffered[len(e.buffered):cap(e.buffered)])
	e.buffered = e.buffered[:len(e.buffered)+n]
	e.err = err
}

// grow doubles the buffer, if the budget allows that.
func (e *Events) grow() bool {
	more := cap(e.buffered)
	if !e.budget.Reserve(more) {
		return false
	}
	e.buffered = append(make([]byte, 0, 2*more), e.buffered...)
	return true
}

// Release returns the buffer to the budget. Next must not be called after it.
func (e *Events) Release() {
	e.budget.Release(cap(e.buffered) - firstBuffer)
	e.buffered = nil
}

// endOfEvent returns the length of the first event including its blank line, or 0 if
// there is no complete event.
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
