package router

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
)

// TestFailuresAreNotHiddenBySuccess: lines about served requests are bounded,
// those about failures have a bound of their own, and what is left out is said.
func TestFailuresAreNotHiddenBySuccess(t *testing.T) {
	var lines bytes.Buffer
	made, err := telemetry.New(telemetry.Options{Level: "info", Output: &lines})
	require.NoError(t, err)
	defer made.Close()
	r := newRecorder(made)
	for range 3 * servedLines {
		r.request(&dispatch.Trace{ID: "served", Started: time.Now(), Outcome: dispatch.OutcomeServed})
	}
	r.request(&dispatch.Trace{ID: "failed", Started: time.Now(), Outcome: dispatch.OutcomeUnknown})
	text := lines.String()
	assert.Less(t, bytes.Count(lines.Bytes(), []byte(`"served"`)), 4*servedLines)
	assert.Contains(t, text, `"request":"failed"`)
	assert.Contains(t, text, `"message":"request lines left out"`)
	assert.Equal(t, 1, bytes.Count(lines.Bytes(), []byte("left out")), "once a second at most")
}
