package buffer_test

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/buffer"
)

// countingBody counts the bytes read from it.
type countingBody struct {
	io.Reader
	read   int
	closed bool
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read += n
	return n, err
}

func (b *countingBody) Close() error {
	b.closed = true
	return nil
}

// TestUnreadResponsesStayWithinBudget guards against memory that grows with the number of slow
// callers, and against responses truncated by the budget.
func TestUnreadResponsesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const readers, responseBytes, limit, budgetBytes = 1000, 64 << 10, 32 << 10, 4 << 20
		want := bytes.Repeat([]byte("answer "), responseBytes/7)
		budget := &buffer.Budget{MaxBytes: budgetBytes}
		var bodies []*buffer.PrefetchReader
		for range readers {
			bodies = append(bodies, buffer.Prefetch(&countingBody{Reader: bytes.NewReader(want)}, budget, limit))
		}
		synctest.Wait()
		// Concurrent reads check the budget before they reserve, so each may exceed it by a chunk.
		assert.LessOrEqual(t, budget.Reserved(), int64(budgetBytes+readers*(4<<10)))
		assert.Positive(t, budget.Reserved())
		for _, body := range bodies {
			got, err := io.ReadAll(body)
			require.NoError(t, err)
			assert.Equal(t, want, got)
			require.NoError(t, body.Close())
		}
		synctest.Wait()
		assert.Zero(t, budget.Reserved())
	})
}

// TestResponseIsReadAheadUpToLimit guards against upstream write timeouts caused by a slow
// caller.
func TestResponseIsReadAheadUpToLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &buffer.Budget{}
		response := &countingBody{Reader: strings.NewReader(strings.Repeat("x", 1<<20))}
		body := buffer.Prefetch(response, budget, 64<<10)
		synctest.Wait()
		assert.Equal(t, 64<<10, response.read)
		require.NoError(t, body.Close())
		assert.True(t, response.closed)
		synctest.Wait()
		assert.Zero(t, budget.Reserved(), "Close returns the buffered bytes to the budget")
		_, err := body.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.ErrClosedPipe)
	})
}

// TestErrorFollowsBufferedBytes guards against dropping the bytes received before a response
// failed.
func TestErrorFollowsBufferedBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errReset := errors.New("connection reset")
		body := buffer.Prefetch(&countingBody{Reader: io.MultiReader(strings.NewReader("begin"), &failingReader{errReset})}, &buffer.Budget{}, 1<<10)
		got, err := io.ReadAll(body)
		require.ErrorIs(t, err, errReset)
		assert.Equal(t, "begin", string(got))
		require.NoError(t, body.Close())
	})
}

type failingReader struct{ err error }

func (f *failingReader) Read([]byte) (int, error) { return 0, f.err }

// TestBodyBeyondBudgetIsRejected also checks that Release returns what a rejected body reserved.
func TestBodyBeyondBudgetIsRejected(t *testing.T) {
	budget := &buffer.Budget{MaxBytes: 100}
	first := &buffer.Body{Reader: strings.NewReader(strings.Repeat("a", 80)), Budget: budget}
	_, err := first.ReadAll(80)
	require.NoError(t, err)
	second := &buffer.Body{Reader: strings.NewReader(strings.Repeat("b", 80)), Budget: budget}
	_, err = second.ReadAll(80)
	require.ErrorIs(t, err, buffer.ErrFull)
	second.Release()
	first.Release()
	assert.Zero(t, budget.Reserved())
}

// TestBudgetCountsBuffersOfBodies guards against bodies that take more memory than the budget counts, because of the
// buffers that they grow out of, and against counting several times what a body needs.
func TestBudgetCountsBuffersOfBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("body"), rapid.IntRange(0, 1<<16).Draw(t, "quarter of the length"))
		length := rapid.SampledFrom([]int64{-1, int64(len(want))}).Draw(t, "declared length")
		budget := &buffer.Budget{}
		peak := int64(0)
		body := &buffer.Body{Budget: budget, Reader: readerFunc(func(p []byte) (int, error) {
			peak = max(peak, budget.Reserved())
			assert.GreaterOrEqual(t, budget.Reserved(), int64(cap(p)), "the buffer is counted")
			n := copy(p[:min(len(p), 1+rapid.IntRange(0, 1<<14).Draw(t, "read"))], want)
			want = want[n:]
			if len(want) == 0 {
				return n, io.EOF
			}
			return n, nil
		})}
		expected := bytes.Clone(want)
		got, err := body.ReadAll(length)
		assert.NoError(t, err)
		assert.True(t, bytes.Equal(expected, got))
		assert.GreaterOrEqual(t, budget.Reserved(), int64(len(got)))
		if length >= 0 {
			assert.LessOrEqual(t, peak, max(length+1, 4<<10), "one buffer of the declared length at the end")
		}
		body.Release()
		assert.Zero(t, budget.Reserved())
	})
}

// TestDeclaredLengthTakesNoMemory guards against clients that declare long bodies and do not send them.
func TestDeclaredLengthTakesNoMemory(t *testing.T) {
	errReset := errors.New("connection reset")
	budget := &buffer.Budget{}
	body := &buffer.Body{Budget: budget, Reader: &failingReader{errReset}}
	_, err := body.ReadAll(1 << 30)
	require.ErrorIs(t, err, errReset)
	assert.LessOrEqual(t, budget.Reserved(), int64(4<<10))
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestSmallReadsUseMemoryInProportion guards against allocating a full chunk for each small read
// of an event stream, memory that the budget would not count.
func TestSmallReadsUseMemoryInProportion(t *testing.T) {
	const event, events, streams = 100, 300, 100
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	budget := &buffer.Budget{}
	var bodies []*buffer.PrefetchReader
	synctest.Test(t, func(*testing.T) {
		for range streams {
			body := iotest.DataErrReader(io.LimitReader(&smallReads{event}, event*events))
			bodies = append(bodies, buffer.Prefetch(&countingBody{Reader: body}, budget, 64<<10))
		}
		synctest.Wait()
	})
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Equal(t, int64(event*events*streams), budget.Reserved())
	assert.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(4*event*events*streams))
	runtime.KeepAlive(bodies)
}

// smallReads is an endless body that returns at most max bytes per read.
type smallReads struct{ max int }

func (r *smallReads) Read(p []byte) (int, error) { return min(r.max, len(p)), nil }
