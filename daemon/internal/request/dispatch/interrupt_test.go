package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
)

// TestInterruptReasonFollowsError: logs must distinguish a connection that the upstream closed from
// a send that this router canceled.
func TestInterruptReasonFollowsError(t *testing.T) {
	q := &request{Dispatcher: &Dispatcher{Pool: &balance.Pool{}}, Request: httptest.NewRequest("GET", "/", nil), trace: &Trace{}}
	q.Pool.Report("u1", balance.LoadReport{Loading: true})
	for reason, err := range map[InterruptReason]error{
		InterruptUpstream: errors.New("connection reset by peer"),
		InterruptTimeout:  fmt.Errorf("send to u1: %w", errSuperseded),
		InterruptVersion:  fmt.Errorf("send to u1: %w", errOutdated),
		InterruptDeadline: fmt.Errorf("stream from u1: %w", context.DeadlineExceeded),
	} {
		attempt := Attempt{Upstream: "u1"}
		q.recordInterrupt(&attempt, err)
		assert.Equal(t, reason, attempt.Interrupt)
		assert.Equal(t, err.Error(), attempt.Cause)
		assert.True(t, attempt.Loading)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	q.Request = q.WithContext(canceled)
	assert.Equal(t, InterruptCaller, q.interruptReason(errors.New("context canceled")))
}

// TestPanicIsReported: a panicking handler still reports its request, and a response that is
// truncated on purpose keeps its own outcome.
func TestPanicIsReported(t *testing.T) {
	for outcome, failure := range map[Outcome]any{OutcomePanicked: "internal error", OutcomeTruncated: http.ErrAbortHandler} {
		var reported *Trace
		d := &Dispatcher{
			Report: func(trace *Trace) { reported = trace },
			View: func() *replica.View {
				panic(failure)
			},
		}
		q := &request{Dispatcher: d, trace: &Trace{}}
		if outcome == OutcomeTruncated {
			q.setOutcome(OutcomeTruncated, 0, "")
		}
		assert.PanicsWithValue(t, failure, func() {
			defer q.finish()
			d.View()
		})
		assert.Equal(t, outcome, reported.Outcome)
	}
}
