package dispatch

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// heldRequest is a request that may run twice, with a verdict on its content.
func heldRequest(verdict *quarantine.Verdict) *request {
	return &request{
		Dispatcher: &Dispatcher{
			Pool: &balance.Pool{}, Budget: &Budget{Slack: 100, Window: time.Minute},
			Judge: func(content.Digest) quarantine.Verdict { return *verdict },
		},
		Request: httptest.NewRequest("GET", "/", nil), story: &Story{}, sent: 1,
		route: &provider.Route{Mode: provider.ModeSafe, MaxAttempts: 3}, service: &provider.Service{Name: "s"},
	}
}

// TestVerdictsBoundSends: a content under which two upstreams ended goes to another upstream
// only where it has not run, and one that is held back to none.
func TestVerdictsBoundSends(t *testing.T) {
	fates := []exchange.Kind{exchange.Unknown, exchange.Unsent, exchange.Refused, exchange.Misdirected}
	for verdict, want := range map[quarantine.Verdict][]bool{
		quarantine.Unrestricted:  {true, true, true, true},
		quarantine.SingleAttempt: {false, true, true, true},
		quarantine.Quarantined:   {false, false, false, false},
	} {
		q := heldRequest(&verdict)
		for i, fate := range fates {
			assert.Equal(t, want[i], q.mayRepeat(fate), "%s after %s", verdict, fate)
		}
		assert.Equal(t, verdict == quarantine.Unrestricted, q.mayHaveSecond(), "%s", verdict)
	}
}

// TestWhatHasNotBegunIsTakenBack once its content is held back, and says why.
func TestWhatHasNotBegunIsTakenBack(t *testing.T) {
	verdict := quarantine.SingleAttempt
	q := heldRequest(&verdict)
	ctx, cancel := context.WithCancelCause(context.Background())
	waiting := &sending{cancel: cancel}
	begunContext, cancelBegun := context.WithCancelCause(context.Background())
	begun := &sending{cancel: cancelBegun}
	begun.settled.Store(true) // its head has come

	q.endHeld(waiting, begun, nil)
	assert.NoError(t, ctx.Err())
	verdict = quarantine.Quarantined
	q.endHeld(waiting, begun, nil)
	assert.ErrorIs(t, context.Cause(ctx), errHeld)
	assert.NoError(t, begunContext.Err())
	assert.Equal(t, BrokenByHold, q.breakerOf(context.Cause(ctx)))
}
