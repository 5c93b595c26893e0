// Package buffer bounds the bytes that a router buffers for slow callers and slow upstreams.
// The dispatcher wraps request bodies and response bodies with it.
//
// A response is read ahead of the caller up to a limit, so that the upstream does not hit its
// write timeout while the caller reads slowly. All buffered request and response bytes count
// against one budget, which keeps many slow callers from exhausting memory. Once the budget is
// spent, an upstream is read only as fast as the caller reads.
//
// Rejected: a limit per caller only, which many callers together exceed; closing the slowest
// connection, whose response is complete at the upstream and may still be delivered.
package buffer

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ErrFull means that the budget is spent.
var ErrFull = errors.New("the memory budget for buffered bodies is spent")

// Budget limits the number of buffered bytes. The zero value is unlimited.
type Budget struct {
	// MaxBytes is the limit in bytes; 0 means unlimited.
	MaxBytes int64

	reserved atomic.Int64
}

// Reserve reserves n bytes and reports false, without reserving any, if they exceed the limit.
func (b *Budget) Reserve(n int) bool {
	if b.reserved.Add(int64(n)) > b.MaxBytes && b.MaxBytes > 0 {
		b.reserved.Add(-int64(n))
		return false
	}
	return true
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int) { b.reserved.Add(-int64(n)) }

// Reserved returns the number of reserved bytes.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// Body reads a request body. Its memory counts against the budget until Release.
type Body struct {
	Reader io.Reader
	Budget *Budget

	reserved int
}

const (
	// minBodyBuffer is the size of the first buffer of a body whose length is not known.
	minBodyBuffer = 4 << 10
	// earlyShare is the share of a body of known length that has arrived when its whole buffer is allocated. A
	// client that declares a length and sends nothing thus takes little.
	earlyShare = 4
)

// ReadAll reads the whole body. length is its declared length, negative if unknown. It fails with ErrFull if the budget
// is spent, which counts what the buffers take, also both of them while one replaces the other.
func (b *Body) ReadAll(length int64) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			grown, err := b.grow(data, length)
			if err != nil {
				return data, err
			}
			data = grown
		}
		n, err := b.Reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// grow returns a larger buffer with the same data. One byte more than the declared length lets a read return the end.
func (b *Body) grow(data []byte, length int64) ([]byte, error) {
	size := max(minBodyBuffer, 2*cap(data))
	if whole := int(length) + 1; length >= 0 && whole > len(data) && size >= whole/earlyShare {
		size = whole
	}
	if !b.Budget.Reserve(size) {
		return nil, ErrFull
	}
	b.reserved += size
	grown := append(make([]byte, 0, size), data...)
	b.Budget.Release(cap(data))
	b.reserved -= cap(data)
	return grown, nil
}

// Release returns the memory of the body to the budget.
func (b *Body) Release() {
	b.Budget.Release(b.reserved)
	b.reserved = 0
}

// PrefetchReader is a response body that a goroutine reads ahead of the consumer. Read must not be
// called concurrently; Close may be called from any goroutine.
type PrefetchReader struct {
	body   io.ReadCloser
	budget *Budget
	limit  int

	mu sync.Mutex
	// changed is broadcast when bytes were buffered or consumed, or Close was called.
	changed sync.Cond
	// buffer holds the bytes read from the body and not yet consumed; they are reserved in
	// the budget.
	buffer bytes.Buffer
	// waiting is set while Read waits for data. One chunk is then read even if the budget is
	// spent, since the stream would stall otherwise.
	waiting, closed bool
	// err is the error that ended the body, io.EOF included.
	err error
}

// chunkBytes is the size of a single read.
const chunkBytes = 4 << 10

// Prefetch starts to read a body ahead of the consumer, buffering at most limit bytes. Close ends
// it.
func Prefetch(body io.ReadCloser, budget *Budget, limit int) *PrefetchReader {
	r := &PrefetchReader{body: body, budget: budget, limit: limit}
	r.changed.L = &r.mu
	go r.run()
	return r
}

func (r *PrefetchReader) run() {
	chunk := make([]byte, chunkBytes)
	for r.waitForRoom() {
		n, err := r.body.Read(chunk)
		if !r.add(chunk[:n], err) {
			return
		}
	}
}

// waitForRoom waits until a chunk may be read and reports false after Close.
func (r *PrefetchReader) waitForRoom() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && !r.hasRoom() {
		r.changed.Wait()
	}
	return !r.closed
}

// hasRoom reports whether a chunk may be read. The caller must hold mu. While Read waits on an
// empty buffer, a chunk is admitted regardless of the limits; it still counts against the
// budget.
func (r *PrefetchReader) hasRoom() bool {
	if r.waiting && r.buffer.Len() == 0 {
		return true
	}
	return r.buffer.Len()+chunkBytes <= r.limit && (r.budget.MaxBytes == 0 || r.budget.Reserved()+chunkBytes <= r.budget.MaxBytes)
}

// add buffers a chunk and reports whether to continue reading.
func (r *PrefetchReader) add(chunk []byte, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.budget.reserved.Add(int64(len(chunk)))
	r.buffer.Write(chunk)
	r.err = err
	r.changed.Broadcast()
	return err == nil
}

// Read returns buffered bytes and waits while there are none.
func (r *PrefetchReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.buffer.Len() == 0 {
		if r.closed {
			return 0, io.ErrClosedPipe
		}
		if r.err != nil {
			return 0, r.err
		}
		r.waiting = true
		r.changed.Broadcast()
		r.changed.Wait()
	}
	r.waiting = false
	n, _ := r.buffer.Read(p) // the buffer is not empty, so there is no error
	r.budget.Release(n)
	r.changed.Broadcast()
	return n, nil
}

// Close closes the body and discards the buffered bytes.
func (r *PrefetchReader) Close() error {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		r.budget.Release(r.buffer.Len())
		r.buffer = bytes.Buffer{}
		r.changed.Broadcast()
	}
	r.mu.Unlock()
	return r.body.Close()
}
