package holding_test

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

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/holding"
)

// sender is a body that counts what was read of it.
type sender struct {
	io.Reader
	read   int
	closed bool
}

func (s *sender) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.read += n
	return n, err
}

func (s *sender) Close() error {
	s.closed = true
	return nil
}

// TestSlowReadersStayWithinTheBudget: a thousand answers of 64 KB that nobody reads are held
// to the budget, and each still arrives whole once it is read.
func TestSlowReadersStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const readersCount, answer, ahead, most = 1000, 64 << 10, 32 << 10, 4 << 20
		want := bytes.Repeat([]byte("answer "), answer/7)
		budget := &holding.Budget{Most: most}
		var bodies []*holding.Ahead
		for range readersCount {
			bodies = append(bodies, holding.ReadAhead(&sender{Reader: bytes.NewReader(want)}, budget, ahead))
		}
		synctest.Wait()
		// Parts that are read at the same time are seen by each other only once they are there.
		assert.LessOrEqual(t, budget.Held(), int64(most+readersCount*(4<<10)))
		assert.Positive(t, budget.Held())
		for _, body := range bodies {
			got, err := io.ReadAll(body)
			require.NoError(t, err)
			assert.Equal(t, want, got)
			require.NoError(t, body.Close())
		}
		synctest.Wait()
		assert.Zero(t, budget.Held())
	})
}

// TestSenderIsReadAheadOfASlowReader by a bounded part, so that it need not cut its answer.
func TestSenderIsReadAheadOfASlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &holding.Budget{}
		long := &sender{Reader: strings.NewReader(strings.Repeat("x", 1<<20))}
		body := holding.ReadAhead(long, budget, 64<<10)
		synctest.Wait()
		assert.Equal(t, 64<<10, long.read)
		require.NoError(t, body.Close())
		assert.True(t, long.closed)
		synctest.Wait()
		assert.Zero(t, budget.Held(), "what was read ahead is given back")
		_, err := body.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.ErrClosedPipe)
	})
}

// TestErrorComesAfterWhatWasReadBeforeIt: an answer that breaks off is passed on as far as it
// came.
func TestErrorComesAfterWhatWasReadBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broke := errors.New("broke off")
		body := holding.ReadAhead(&sender{Reader: io.MultiReader(strings.NewReader("begin"), &failing{broke})}, &holding.Budget{}, 1<<10)
		got, err := io.ReadAll(body)
		require.ErrorIs(t, err, broke)
		assert.Equal(t, "begin", string(got))
		require.NoError(t, body.Close())
	})
}

type failing struct{ err error }

func (f *failing) Read([]byte) (int, error) { return 0, f.err }

// TestBodiesBeyondTheBudgetAreRefused, and what they took is given back.
func TestBodiesBeyondTheBudgetAreRefused(t *testing.T) {
	budget := &holding.Budget{Most: 100}
	first := &holding.Body{Reader: strings.NewReader(strings.Repeat("a", 80)), Budget: budget}
	_, err := io.ReadAll(first)
	require.NoError(t, err)
	second := &holding.Body{Reader: strings.NewReader(strings.Repeat("b", 80)), Budget: budget}
	_, err = io.ReadAll(second)
	require.ErrorIs(t, err, holding.ErrFull)
	second.Release()
	first.Release()
	assert.Zero(t, budget.Held())
}

// TestSmallPartsAreHeldAsTheyAre: a stream that comes in parts of some bytes, as events do, is
// held in about as many bytes as the budget counts, not in a whole part's for each of them.
func TestSmallPartsAreHeldAsTheyAre(t *testing.T) {
	const event, events, streams = 100, 300, 100
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	budget := &holding.Budget{}
	var bodies []*holding.Ahead
	synctest.Test(t, func(*testing.T) {
		for range streams {
			body := iotest.DataErrReader(io.LimitReader(&inParts{event}, event*events))
			bodies = append(bodies, holding.ReadAhead(&sender{Reader: body}, budget, 64<<10))
		}
		synctest.Wait()
	})
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Equal(t, int64(event*events*streams), budget.Held())
	assert.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(4*event*events*streams))
	runtime.KeepAlive(bodies)
}

// inParts is a body that never gives more than a few bytes at once.
type inParts struct{ most int }

func (p *inParts) Read(b []byte) (int, error) { return min(p.most, len(b)), nil }
