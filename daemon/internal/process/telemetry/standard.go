package telemetry

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// standardLines bounds the lines a second that libraries may write.
const standardLines = 20

// Standard is an output for Go's standard logger that makes each text a JSON line, a
// bounded number a second. The HTTP library writes there when a handler panics, with its
// stack, and when an upstream sends an answer that nobody asked for: as plain text they
// are lost to whoever reads the log by its fields.
type Standard struct {
	output  io.Writer
	limiter *rate.Limiter
	// leftOut counts the texts that the bound kept back since the last line.
	leftOut int
}

// NewStandard returns an output that writes lines to another one.
func NewStandard(output io.Writer) *Standard {
	return &Standard{output: output, limiter: rate.NewLimiter(standardLines, standardLines)}
}

// standardLine is one line.
type standardLine struct {
	Fields    standardFields `json:"fields"`
	Level     string         `json:"level"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
}

type standardFields struct {
	Text    string `json:"text"`
	LeftOut int    `json:"leftOut,omitempty"`
}

// Write takes one text; it always reports success. The standard logger calls it from one
// goroutine at a time.
func (s *Standard) Write(text []byte) (int, error) {
	if !s.limiter.Allow() {
		s.leftOut++
		return len(text), nil
	}
	line, err := json.Marshal(standardLine{
		Fields: standardFields{Text: strings.TrimSpace(string(text)), LeftOut: s.leftOut},
		Level:  "warn", Timestamp: time.Now(), Message: "a library says",
	})
	if err == nil {
		_, _ = s.output.Write(append(line, '\n'))
		s.leftOut = 0
	}
	return len(text), nil
}
