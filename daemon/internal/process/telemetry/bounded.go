package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// boundedLines is how many lines wait for a slow reader of the log.
const boundedLines = 2048

// Bounded is a writer of log lines that never blocks: lines wait in a bounded
// queue, and what does not fit is dropped, counted and said so in a line of its
// own once there is room. Blocking was rejected, because a reader of the log
// that stops would stop requests.
type Bounded struct {
	lines chan []byte
	// mu guards closed; lines are sent under it, which never waits, so that none is sent
	// to a closed queue.
	mu      sync.RWMutex
	closed  bool
	dropped atomic.Int64
	done    chan struct{}
}

// NewBounded writes to output until Close.
func NewBounded(output io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go b.run(output)
	return b
}

// NewWithBounded starts a telemetry whose lines go to the options' output through
// a bounded writer. Close the telemetry first, then the writer.
func NewWithBounded(options Options) (*Telemetry, *Bounded, error) {
	if options.Output == nil {
		options.Output = io.Discard
	}
	output := NewBounded(options.Output)
	options.Output = output
	t, err := New(options)
	if err != nil {
		output.Close()
		return nil, nil, err
	}
	return t, output, nil
}

// Write takes one line; it always reports success. Lines after Close are dropped: handlers of
// requests that were cut may still write.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close ends the writer once the waiting lines are written.
func (b *Bounded) Close() {
	b.mu.Lock()
	b.closed = true
	close(b.lines)
	b.mu.Unlock()
	<-b.done
}

func (b *Bounded) run(output io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		_, _ = output.Write(line)
		if n := b.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(output, `{"level":"warn","message":"log lines dropped","fields":{"count":%d}}`+"\n", n)
		}
	}
}
