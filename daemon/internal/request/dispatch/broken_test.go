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

// TestWhoEndedASend: a line tells an upstream that ended its connection from a send that
// this router gave up, and whether the upstream was known to take a version.
func TestWhoEndedASend(t *testing.T) {
	q := &request{Dispatcher: &Dispatcher{Pool: &balance.Pool{}}, Request: httptest.NewRequest("GET", "/", nil), story: &Story{}}
	q.Pool.Report("u1", balance.LoadReport{Loading: true})
	for breaker, err := range map[Breaker]error{
		BrokenByUpstream: errors.New("connection reset by peer"),
		BrokenBySilence:  fmt.Errorf("send to u1: %w", errOvertaken),
		BrokenByVersion:  fmt.Errorf("send to u1: %w", errOutdated),
		BrokenByDeadline: fmt.Errorf("stream from u1: %w", context.DeadlineExceeded),
	} {
		try := Try{Upstream: "u1"}
		q.broken(&try, err)
		assert.Equal(t, breaker, try.BrokenBy)
		assert.Equal(t, err.Error(), try.Cause)
		assert.True(t, try.Loading)
	}
	left, leave := context.WithCancel(context.Background())
	leave()
	q.Request = q.WithContext(left)
	assert.Equal(t, BrokenByCaller, q.breakerOf(errors.New("context canceled")))
}

// TestAPanicIsTold: the connection ends without an answer, and the story says so; a
// stream that is cut on purpose keeps its own ending.
func TestAPanicIsTold(t *testing.T) {
	for outcome, failure := range map[Ending]any{EndPanicked: "a fault", EndCut: http.ErrAbortHandler} {
		var told *Story
		d := &Dispatcher{
			Report: func(story *Story) { told = story },
			View: func() *replica.View {
				panic(failure)
			},
		}
		q := &request{Dispatcher: d, story: &Story{}}
		if outcome == EndCut {
			q.end(EndCut, 0, "")
		}
		assert.PanicsWithValue(t, failure, func() {
			defer q.ended()
			d.View()
		})
		assert.Equal(t, outcome, told.Outcome)
	}
}
