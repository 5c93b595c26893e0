package telemetry

import (
	"bytes"
	"log"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against plain text and unlimited output from libraries in the log.
func TestStandardWritesRateLimitedJSONLines(t *testing.T) {
	var output bytes.Buffer
	standard := NewStandardLogWriter(&output)
	logger := log.New(standard, "", 0)
	for range 3 * maxLinesPerSecond {
		logger.Printf("http: panic serving %q:\nstack", "caller")
	}
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	assert.GreaterOrEqual(t, len(lines), maxLinesPerSecond)
	assert.Less(t, len(lines), 3*maxLinesPerSecond)
	assert.Contains(t, lines[0], `"text":"http: panic serving \"caller\":\nstack"`)
	standard.limiter.SetLimit(1e9)
	logger.Print("later")
	text := output.String()
	assert.Contains(t, text[strings.LastIndex(strings.TrimSpace(text), "\n"):], `"leftOut":`)
}
