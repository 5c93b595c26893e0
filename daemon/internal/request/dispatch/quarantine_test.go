package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// requestWithVerdict returns a repeatable request whose content has the given verdict.
func requestWithVerdict(verdict *quarantine.Verdict) *request {
	return &request{
		Dispatcher: &Dispatcher{
			Pool: &balance.Pool{}, RetryBudget: &RetryBudget{Slack: 100, Window: time.Minute},
			CheckContent: func([]content.Digest) quarantine.Verdict { return *verdict },
		},
		Request: httptest.NewRequest("GET", "/", nil), trace: &Trace{}, sent: 1,
		route: &provider.Route{Mode: provider.ModeSafe, MaxAttempts: 3}, service: &provider.Service{Name: "s"},
	}
}

// TestVerdictLimitsRetries: content that crashed two upstreams is retried only if it has not
// run, and quarantined content never.
func TestVerdictLimitsRetries(t *testing.T) {
	kinds := []exchange.Kind{exchange.Unknown, exchange.Unsent, exchange.Refused, exchange.Misdirected}
	for verdict, want := range map[quarantine.Verdict][]bool{
		quarantine.Unrestricted:  {true, true, true, true},
		quarantine.SingleAttempt: {false, true, true, true},
		quarantine.Quarantined:   {false, false, false, false},
	} {
		q := requestWithVerdict(&verdict)
		for i, kind := range kinds {
			assert.Equal(t, want[i], q.mayRetry(kind), "%s after %s", verdict, kind)
		}
		assert.Equal(t, verdict == quarantine.Unrestricted, q.mayHedge(), "%s", verdict)
	}
}

// TestTrialIsSentDuringQuarantine guards against canceling a trial because of the quarantine that it tries, and against
// sending it to several upstreams.
func TestTrialIsSentDuringQuarantine(t *testing.T) {
	verdict := quarantine.Quarantined
	q := requestWithVerdict(&verdict)
	tried := []content.Digest{content.Part("a")}
	q.AdmitContent = func([]content.Digest) quarantine.Admission {
		return quarantine.Admission{Verdict: quarantine.SingleAttempt, Trials: tried}
	}
	assert.True(t, q.admitContent())
	assert.Equal(t, tried, q.trace.Trials)
	ctx, cancel := context.WithCancelCause(context.Background())
	q.cancelQuarantined(&pendingSend{cancel: cancel})
	assert.NoError(t, ctx.Err())
	assert.False(t, q.mayRetry(exchange.Unknown))
	assert.False(t, q.mayHedge())

	var abandoned []content.Digest
	q.AbandonTrials = func(trials []content.Digest) { abandoned = trials }
	q.abandonTrial()
	assert.Empty(t, abandoned, "it was sent")
	q.sent = 0
	q.abandonTrial()
	assert.Equal(t, tried, abandoned)
}

// TestQuarantineCancelsPendingSends: only sends without a response head are canceled.
func TestQuarantineCancelsPendingSends(t *testing.T) {
	verdict := quarantine.SingleAttempt
	q := requestWithVerdict(&verdict)
	ctx, cancel := context.WithCancelCause(context.Background())
	withoutHead := &pendingSend{cancel: cancel}
	withHeadCtx, cancelWithHead := context.WithCancelCause(context.Background())
	withHead := &pendingSend{cancel: cancelWithHead}
	withHead.settled.Store(true) // its response head has arrived

	q.cancelQuarantined(withoutHead, withHead, nil)
	assert.NoError(t, ctx.Err())
	verdict = quarantine.Quarantined
	q.cancelQuarantined(withoutHead, withHead, nil)
	assert.ErrorIs(t, context.Cause(ctx), errQuarantined)
	assert.NoError(t, withHeadCtx.Err())
	assert.Equal(t, InterruptQuarantine, q.interruptReason(context.Cause(ctx)))
}

// TestOnlySharedPartsAreTracked guards against blaming a request's own part, and against one request
// that fills the tables of all routers.
func TestOnlySharedPartsAreTracked(t *testing.T) {
	request := func(ids ...string) *request {
		var parts []provider.PromptPart
		for _, id := range ids {
			parts = append(parts, provider.PromptPart{ID: id})
		}
		return &request{Dispatcher: &Dispatcher{PromptParts: func(http.Header) []provider.PromptPart { return parts }}, Request: httptest.NewRequest("GET", "/", nil)}
	}
	assert.Equal(t, []content.Digest{content.Part("a"), content.Part("b")}, request("a", "b", "a", "own").sharedParts())
	assert.Empty(t, request().sharedParts())
	assert.Empty(t, request("own").sharedParts())
	assert.Equal(t, []content.Digest{content.Part("a"), content.Part("b")}, request("a", "", "b", "").sharedParts(), "parts without an ID")
	many := make([]string, 1000)
	for i := range many {
		many[i] = strconv.Itoa(i)
	}
	assert.Len(t, request(many...).sharedParts(), maxSharedParts)
}
