package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stalled is a reader of the log that stops until it is let go on.
type stalled struct {
	entered chan struct{}
	goOn    chan struct{}
	bytes.Buffer
}

func (s *stalled) Write(line []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.goOn
	return s.Buffer.Write(line)
}

// TestAReaderThatStopsBlocksNobody: lines beyond the queue are dropped and
// counted, and the count is written once the reader goes on.
func TestAReaderThatStopsBlocksNobody(t *testing.T) {
	const beyond = 37
	reader := &stalled{entered: make(chan struct{}, 1), goOn: make(chan struct{})}
	b := NewBounded(reader)
	line := func(i int) {
		n, err := fmt.Fprintf(b, "line %d\n", i)
		require.NoError(t, err)
		assert.Positive(t, n)
	}
	line(0)
	<-reader.entered // it holds the first line, so the queue is empty
	for i := range boundedLines + beyond {
		line(i + 1)
	}
	close(reader.goOn)
	b.Close()
	text := reader.String()
	assert.Equal(t, boundedLines+1, strings.Count(text, "line "))
	assert.Contains(t, text, fmt.Sprintf(`"message":"log lines dropped","fields":{"count":%d}`, beyond))
	assert.Equal(t, 1, strings.Count(text, "dropped"))
}

// TestLinesAfterTheEndAreDropped: a request that a stop cut wrote its line after the log had
// been closed, and its handler ended in a panic.
func TestLinesAfterTheEndAreDropped(t *testing.T) {
	output := &bytes.Buffer{}
	b := NewBounded(output)
	_, err := b.Write([]byte("before\n"))
	require.NoError(t, err)
	b.Close()
	_, err = b.Write([]byte("after\n"))
	require.NoError(t, err)
	assert.Equal(t, "before\n", output.String())
}
