// Package holding bounds the bytes that a router holds for callers that send or read slowly,
// and for upstreams that do.
//
// The load that it answers: a thousand callers that read a few bytes a second. A router that
// reads no faster than its caller has the upstream cut an answer that it made, since it waits
// for a few seconds only; one that reads everything ahead runs out of memory. So a stream is
// read ahead by a bounded part, all bodies and parts share one budget, and where that is spent
// the upstream is read no faster than the caller reads.
//
// Rejected: a bound for each caller alone, which a thousand callers exceed together; cutting
// the slowest caller, whose answer is made and may still arrive.
package holding

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ErrFull says that the budget is spent.
var ErrFull = errors.New("too many bytes are held for slow callers")

// Budget counts the bytes that are held. The zero value has no bound.
type Budget struct {
	// Most is how many bytes may be held; 0 means any number.
	Most int64

	held atomic.Int64
}

// Take counts some bytes, and reports false where they are too many.
func (b *Budget) Take(n int) bool {
	if b.held.Add(int64(n)) > b.Most && b.Most > 0 {
		b.held.Add(-int64(n))
		return false
	}
	return true
}

// Give takes bytes back that were counted.
func (b *Budget) Give(n int) { b.held.Add(-int64(n)) }

// Held returns how many bytes are held.
func (b *Budget) Held() int64 { return b.held.Load() }

// Body reads a caller's body and counts it until Release.
type Body struct {
	Reader io.Reader
	Budget *Budget

	taken int
}

// Read reads a part, and fails with ErrFull where the budget is spent.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if !b.Budget.Take(n) {
		return 0, ErrFull
	}
	b.taken += n
	return n, err
}

// Release gives back what was read.
func (b *Body) Release() {
	b.Budget.Give(b.taken)
	b.taken = 0
}

// Ahead reads an answer's body ahead of whoever reads it. Read is for one goroutine; Close
// may be called from any.
type Ahead struct {
	body   io.ReadCloser
	budget *Budget
	most   int

	mu sync.Mutex
	// changed is signalled when a part was read or taken, or Close was called.
	changed sync.Cond
	// held is what was read and not taken; the budget counts it.
	held bytes.Buffer
	// wanted says that Read waits, so that a part is read even where the budget is spent.
	wanted, closed bool
	// err is what ended the body, io.EOF included.
	err error
}

// partBytes is the most that is read at once.
const partBytes = 4 << 10

// ReadAhead begins to read a body ahead by some bytes at most. Close ends it.
func ReadAhead(body io.ReadCloser, budget *Budget, most int) *Ahead {
	a := &Ahead{body: body, budget: budget, most: most}
	a.changed.L = &a.mu
	go a.run()
	return a
}

func (a *Ahead) run() {
	part := make([]byte, partBytes)
	for a.mayRead() {
		n, err := a.body.Read(part)
		if !a.add(part[:n], err) {
			return
		}
	}
}

// mayRead waits until a part may be read, and reports false once that is never.
func (a *Ahead) mayRead() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.closed && !a.hasRoom() {
		a.changed.Wait()
	}
	return !a.closed
}

// hasRoom reports whether a part may be read; the caller holds mu. A part that somebody waits
// for is counted, but never refused.
func (a *Ahead) hasRoom() bool {
	if a.wanted && a.held.Len() == 0 {
		return true
	}
	return a.held.Len()+partBytes <= a.most && (a.budget.Most == 0 || a.budget.Held()+partBytes <= a.budget.Most)
}

// add takes a part that was read, and reports whether there may be more.
func (a *Ahead) add(part []byte, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.budget.held.Add(int64(len(part)))
	a.held.Write(part)
	a.err = err
	a.changed.Broadcast()
	return err == nil
}

// Read returns what was read ahead, and waits where that is nothing.
func (a *Ahead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.held.Len() == 0 {
		if a.closed {
			return 0, io.ErrClosedPipe
		}
		if a.err != nil {
			return 0, a.err
		}
		a.wanted = true
		a.changed.Broadcast()
		a.changed.Wait()
	}
	a.wanted = false
	n, _ := a.held.Read(p) // it holds something
	a.budget.Give(n)
	a.changed.Broadcast()
	return n, nil
}

// Close ends the body and drops what was read ahead.
func (a *Ahead) Close() error {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		a.budget.Give(a.held.Len())
		a.held = bytes.Buffer{}
		a.changed.Broadcast()
	}
	a.mu.Unlock()
	return a.body.Close()
}
