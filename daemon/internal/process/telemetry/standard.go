package telemetry

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// maxLinesPerSecond is the maximum number of lines per second from libraries.
const maxLinesPerSecond = 20

// StandardLogWriter is an output for Go's standard logger that writes each text as a JSON
// line, at a limited rate. Package net/http logs there when a handler panics and when an
// upstream sends an unsolicited response; as plain text these messages would break the log's
// JSON format.
type StandardLogWriter struct {
	output  io.Writer
	limiter *rate.Limiter
	// dropped counts the texts that were dropped since the last line.
	dropped int
}

// NewStandardLogWriter returns a StandardLogWriter that writes to output.
func NewStandardLogWriter(output io.Writer) *StandardLogWriter {
	return &StandardLogWriter{output: output, limiter: rate.NewLimiter(maxLinesPerSecond, maxLinesPerSecond)}
}

// standardLine is one line of the log.
type standardLine struct {
	Fields    standardFields `json:"fields"`
	Level     string         `json:"level"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
}

type standardFields struct {
	Text    string `json:"text"`
	Dropped int    `json:"leftOut,omitempty"`
}

// Write logs one text and always reports success. The standard logger does not call it
// concurrently.
func (s *StandardLogWriter) Write(text []byte) (int, error) {
	if !s.limiter.Allow() {
		s.dropped++
		return len(text), nil
	}
	line, err := json.Marshal(standardLine{
		Fields: standardFields{Text: strings.TrimSpace(string(text)), Dropped: s.dropped},
		Level:  "warn", Timestamp: time.Now(), Message: "log output of a library",
	})
	if err == nil {
		_, _ = s.output.Write(append(line, '\n'))
		s.dropped = 0
	}
	return len(text), nil
}
