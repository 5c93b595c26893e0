package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// turn is when an upstream whose limit is used up takes a request again.
const turn = 300 * time.Millisecond

// limitedBut has the loaders of all engines but one say that their limits are used up.
func (f *fleet) limitedBut(q *request, free string) {
	q.AskPlace = func(_ context.Context, engine *provider.Upstream, _ places.Limit) (places.Load, bool, error) {
		if engine.ID == free {
			return places.Load{}, true, nil
		}
		return places.Load{Wait: turn}, false, nil
	}
}

// TestAUsedUpLimitIsNoQuestion: engines whose limits are used up cost a request none of its
// questions, and nobody asks them again before their turn.
func TestAUsedUpLimitIsNoQuestion(t *testing.T) {
	engines := 2 * admission.DefaultPolicy().MaxQueries
	f := newFleet(t, engines, nil)
	q := f.request("hasty", 0)
	f.limitedBut(q, "u3")
	choice, err := q.place(context.Background())
	require.NoError(t, err)
	assert.Equal(t, "u3", choice.Upstream.ID)
	asked := len(q.story.Asked)

	second := f.request("hasty", 0)
	f.limitedBut(second, "u3")
	for range engines {
		choice, err = second.place(context.Background())
		require.NoError(t, err)
		assert.Equal(t, "u3", choice.Upstream.ID)
	}
	assert.LessOrEqual(t, asked+len(second.story.Asked), 2*engines, "each engine was asked once, but the free one")
	assert.Positive(t, q.story.Asked[0].Wait+q.story.Asked[asked-1].Wait+second.story.Asked[0].Wait, "lines say why")
}

// TestAllLimitsUsedUpIsARefusal that says so, and none is sent past them.
func TestAllLimitsUsedUpIsARefusal(t *testing.T) {
	f := newFleet(t, 5, nil)
	q := f.request("patient", 1)
	f.limitedBut(q, "")
	_, err := q.place(context.Background())
	require.ErrorIs(t, err, errLimited)
	assert.Equal(t, admission.EnginesFull, whyUnplaced(err), "its caller comes back when others do")
	for _, upstream := range f.view.Upstreams["s"] {
		assert.True(t, f.pool.Holds(upstream.ID))
	}
}

// TestManyUsedUpLimitsEndTheSearch: where most of hundreds of engines name limits a request does
// not ask them all.
func TestManyUsedUpLimitsEndTheSearch(t *testing.T) {
	const engines, most = 200, 20
	f := newFleet(t, engines, nil)
	q := f.request("patient", 0)
	f.limitedBut(q, "")
	_, err := q.place(context.Background())
	require.ErrorIs(t, err, errLimited)
	assert.LessOrEqual(t, len(q.story.Asked), most)
}

// TestWhoWasAskedFirstIsAskedAgain: an engine that gives no place to the first who asks may
// give one to the last. Where that was to be one whose limit is used up, it is asked once more.
func TestWhoWasAskedFirstIsAskedAgain(t *testing.T) {
	f := newFleet(t, 2, nil)
	q := f.request("hasty", 0)
	asked := map[string]int{}
	first := ""
	q.AskPlace = func(_ context.Context, engine *provider.Upstream, limit places.Limit) (places.Load, bool, error) {
		if first == "" {
			first = engine.ID
		}
		asked[engine.ID]++
		if engine.ID == first {
			return places.Load{Waiting: 1}, limit.Waiting > 0, nil
		}
		return places.Load{Wait: turn}, false, nil
	}
	choice, err := q.place(context.Background())
	require.NoError(t, err)
	assert.Equal(t, first, choice.Upstream.ID)
	assert.Equal(t, 2, asked[first])
}

// TestNoDoorLeadsPastALimit: where no loader answers, with news of the engine's load or
// without, and where there is none, this router's share of the limit is asked for, also by
// what was sent before.
func TestNoDoorLeadsPastALimit(t *testing.T) {
	errSilentLoader := errors.New("no answer")
	for name, c := range map[string]struct {
		prepare func(q *request)
		door    Door
	}{
		"no loader answers, fresh news": {func(q *request) {
			for _, upstream := range q.view.Upstreams["s"] {
				q.Pool.Tell(upstream.ID, balance.Told{Models: upstream.Models})
			}
		}, DoorNews},
		"no loader answers, old news": {func(q *request) { q.Pool = &balance.Pool{} }, DoorNews},
		"there is no loader":          {func(q *request) { q.AskPlace = nil }, DoorOwn},
	} {
		for sent := range 2 {
			f := newFleet(t, 4, func(int) (bool, error) { return false, errSilentLoader })
			q := f.request("patient", sent)
			c.prepare(q)
			var doors []Door
			q.Allow = func(upstream *provider.Upstream, door Door) (time.Duration, bool) {
				doors = append(doors, door)
				return turn, upstream.ID == "u2"
			}
			choice, err := q.place(context.Background())
			require.NoError(t, err, name)
			assert.Equal(t, "u2", choice.Upstream.ID, name)
			assert.Equal(t, c.door, q.doors["u2"], name)
			assert.Subset(t, []Door{c.door}, doors, name)

			q.Allow = func(*provider.Upstream, Door) (time.Duration, bool) { return turn, false }
			_, err = q.place(context.Background())
			require.ErrorIs(t, err, errLimited, name)
		}
	}
}
