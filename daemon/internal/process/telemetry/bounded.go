package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueCapacity is the capacity of the queue of lines.
const queueCapacity = 2048

// BoundedWriter is a writer of log lines that never blocks. Lines are queued, and lines that
// exceed the queue are dropped and counted; the count is logged once the output accepts lines
// again. Blocking was rejected, because a stalled reader of the log would stall requests.
type BoundedWriter struct {
	lines chan []byte
	// mu guards closed. Lines are queued under its read lock, so that none is sent on the
	// closed channel; queueing does not block.
	mu      sync.RWMutex
	closed  bool
	dropped atomic.Int64
	done    chan struct{}
}

// NewBoundedWriter returns a writer that writes to output until Close.
func NewBoundedWriter(output io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go b.run(output)
	return b
}

// NewWithBoundedWriter returns a Telemetry that logs to the options' output through a
// BoundedWriter. The Telemetry must be closed before the writer.
func NewWithBoundedWriter(options Options) (*Telemetry, *BoundedWriter, error) {
	if options.Output == nil {
		options.Output = io.Discard
	}
	output := NewBoundedWriter(options.Output)
	options.Output = output
	t, err := New(options)
	if err != nil {
		output.Close()
		return nil, nil, err
	}
	return t, output, nil
}

// Write queues one line and always reports success. It drops lines after Close, because
// handlers of aborted requests may still log then.
func (b *BoundedWriter) Write(line []byte) (int, error) {
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

// Close writes the queued lines and ends the writer.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	b.closed = true
	close(b.lines)
	b.mu.Unlock()
	<-b.done
}

func (b *BoundedWriter) run(output io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		_, _ = output.Write(line)
		if n := b.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(output, `{"level":"warn","message":"log lines dropped","fields":{"count":%d}}`+"\n", n)
		}
	}
}
