package places_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/fairshare"
)

// TestScarcePlaceIsKeptForMoreUrgentRank guards against a place that a less urgent request takes right
// after a more urgent one was refused, against a place that stays empty, and against a denial whose
// reason is lost on the way to the router. A request without a rank of its service is decided as before.
func TestScarcePlaceIsKeptForMoreUrgentRank(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	ledger := &places.Ledger{Now: c.read}
	var responses []places.Response
	address := serve(t, places.Handler(ledger, func(resp places.Response) { responses = append(responses, resp) }))
	client := &places.Client{Client: http.DefaultClient}
	reserve := func(rank, ranks int) places.Response {
		resp, err := client.Reserve(context.Background(), address, places.Request{
			Limit: places.Limit{InUse: 11}, Caller: places.Caller{Account: "a", Rank: rank, Ranks: ranks, Last: true},
		})
		require.NoError(t, err)
		return resp
	}
	ledger.Observe(places.EngineLoad{}, true)
	for range 6 { // the rank gets what it asks for, so its minimum does not protect it
		assert.True(t, reserve(2, 3).Granted)
		c.now = c.now.Add(settled)
		ledger.Observe(places.EngineLoad{}, true)
	}
	ledger.Observe(places.EngineLoad{Running: 12}, true)
	full := reserve(0, 3)
	assert.False(t, full.Granted)
	assert.Empty(t, full.DeniedBy, "the engine is full")

	ledger.Observe(places.EngineLoad{Running: 11}, true)
	kept := reserve(2, 3)
	assert.False(t, kept.Granted)
	assert.Equal(t, fairshare.ByRank, kept.DeniedBy)
	assert.Equal(t, places.Caller{Account: "a", Rank: 2, Ranks: 3, Last: true}, responses[len(responses)-1].Caller)
	assert.True(t, reserve(0, 3).Granted)

	ledger.Observe(places.EngineLoad{Running: 12}, true)
	reserve(0, 3)
	c.now = c.now.Add(settled)
	ledger.Observe(places.EngineLoad{Running: 11}, true)
	assert.False(t, reserve(2, 3).Granted)
	c.now = c.now.Add(fairshare.MaxHold)
	assert.True(t, reserve(2, 3).Granted, "nobody took the place")

	undivided := &places.Ledger{Now: c.read}
	for _, running := range []int{12, 11} {
		undivided.Observe(places.EngineLoad{Running: running}, true)
		for range 2 {
			_, granted := undivided.Reserve(places.Request{Limit: places.Limit{InUse: 11}, Size: places.Size{PromptTokens: 900}})
			assert.Equal(t, running == 11, granted)
			c.now = c.now.Add(settled)
			undivided.Observe(places.EngineLoad{Running: running}, true)
		}
	}
}
