package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stalledOutput is an output that blocks until resume is closed.
type stalledOutput struct {
	entered chan struct{}
	resume  chan struct{}
	bytes.Buffer
}

func (s *stalledOutput) Write(line []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.resume
	return s.Buffer.Write(line)
}

// Guards against a stalled reader of the log that blocks requests.
func TestStalledOutputDropsAndCountsLines(t *testing.T) {
	const excess = 37
	output := &stalledOutput{entered: make(chan struct{}, 1), resume: make(chan struct{})}
	b := NewBoundedWriter(output)
	line := func(i int) {
		n, err := fmt.Fprintf(b, "line %d\n", i)
		require.NoError(t, err)
		assert.Positive(t, n)
	}
	line(0)
	<-output.entered // the output has received the first line, so the queue is empty
	for i := range queueCapacity + excess {
		line(i + 1)
	}
	close(output.resume)
	b.Close()
	text := output.String()
	assert.Equal(t, queueCapacity+1, strings.Count(text, "line "))
	assert.Contains(t, text, fmt.Sprintf(`"message":"log lines dropped","fields":{"count":%d}`, excess))
	assert.Equal(t, 1, strings.Count(text, "dropped"))
}

// Guards against a panic in the handler of an aborted request that logs after Close.
func TestWriteAfterCloseIsDropped(t *testing.T) {
	output := &bytes.Buffer{}
	b := NewBoundedWriter(output)
	_, err := b.Write([]byte("before\n"))
	require.NoError(t, err)
	b.Close()
	_, err = b.Write([]byte("after\n"))
	require.NoError(t, err)
	assert.Equal(t, "before\n", output.String())
}
