// Package holding bounds the bytes that a router buffers for slow clients and slow upstreams.
// The dispatcher wraps request bodies and response bodies with it.
//
// A response is read ahead of the client up to a limit, so that the upstream does not hit its
// write timeout while the client reads slowly. All buffered request and response bytes count
// against one budget, which keeps many slow clients from exhausting memory. Once the budget is
// spent, an upstream is read only as fast as its client reads.
//
// Rejected: a limit per client only, which many clients together exceed; closing the slowest
// connection, whose response is complete at the upstream and may still be delivered.
package holding

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ErrFull means that the budget is spent.
var ErrFull = errors.New("buffer budget for request and response bodies exhausted")

// Budget limits the number of buffered bytes. The zero value is unlimited.
type Budget struct {
	// Most is the limit in bytes; 0 means unlimited.
	Most int64

	held atomic.Int64
}

// Reserve reserves n bytes and reports false, without reserving any, if they exceed the limit.
func (b *Budget) Reserve(n int) bool {
	if b.held.Add(int64(n)) > b.Most && b.Most > 0 {
		b.held.Add(-int64(n))
		return false
	}
	return true
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int) { b.held.Add(-int64(n)) }

// Held returns the number of reserved bytes.
func (b *Budget) Held() int64 { return b.held.Load() }

// Body reads a request body. The bytes read count against the budget until Release.
type Body struct {
	Reader io.Reader
	Budget *Budget

	reserved int
}

// Read implements io.Reader. It fails with ErrFull if the budget is spent.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if !b.Budget.Reserve(n) {
		return 0, ErrFull
	}
	b.reserved += n
	return n, err
}

// Release returns the bytes read to the budget.
func (b *Body) Release() {
	b.Budget.Release(b.reserved)
	b.reserved = 0
}

// Ahead is a response body that a goroutine reads ahead of the consumer. Read must not be
// called concurrently; Close may be called from any goroutine.
type Ahead struct {
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

// ReadAhead starts to read ahead of the consumer, buffering at most limit bytes. Close ends
// it.
func ReadAhead(body io.ReadCloser, budget *Budget, limit int) *Ahead {
	a := &Ahead{body: body, budget: budget, limit: limit}
	a.changed.L = &a.mu
	go a.run()
	return a
}

func (a *Ahead) run() {
	chunk := make([]byte, chunkBytes)
	for a.waitForRoom() {
		n, err := a.body.Read(chunk)
		if !a.add(chunk[:n], err) {
			return
		}
	}
}

// waitForRoom waits until a chunk may be read and reports false after Close.
func (a *Ahead) waitForRoom() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.closed && !a.hasRoom() {
		a.changed.Wait()
	}
	return !a.closed
}

// hasRoom reports whether a chunk may be read. The caller must hold mu. While Read waits on an
// empty buffer, a chunk is admitted regardless of the limits; it still counts against the
// budget.
func (a *Ahead) hasRoom() bool {
	if a.waiting && a.buffer.Len() == 0 {
		return true
	}
	return a.buffer.Len()+chunkBytes <= a.limit && (a.budget.Most == 0 || a.budget.Held()+chunkBytes <= a.budget.Most)
}

// add buffers a chunk and reports whether to continue reading.
func (a *Ahead) add(chunk []byte, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.budget.held.Add(int64(len(chunk)))
	a.buffer.Write(chunk)
	a.err = err
	a.changed.Broadcast()
	return err == nil
}

// Read returns buffered bytes and waits while there are none.
func (a *Ahead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.buffer.Len() == 0 {
		if a.closed {
			return 0, io.ErrClosedPipe
		}
		if a.err != nil {
			return 0, a.err
		}
		a.waiting = true
		a.changed.Broadcast()
		a.changed.Wait()
	}
	a.waiting = false
	n, _ := a.buffer.Read(p) // the buffer is not empty, so there is no error
	a.budget.Release(n)
	a.changed.Broadcast()
	return n, nil
}

// Close closes the body and discards the buffered bytes.
func (a *Ahead) Close() error {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		a.budget.Release(a.buffer.Len())
		a.buffer = bytes.Buffer{}
		a.changed.Broadcast()
	}
	a.mu.Unlock()
	return a.body.Close()
}
