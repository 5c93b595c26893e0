package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestUpstreamThatLeavesDuringPlaceRequestIsSkipped guards against a send to an upstream whose
// statement arrives between the choice and the send.
func TestUpstreamThatLeavesDuringPlaceRequestIsSkipped(t *testing.T) {
	f := newFleet(t, 3, nil)
	q := f.request("long-objective", 0)
	leaving := ""
	q.RequestPlace = func(_ context.Context, engine *provider.Upstream, _ places.Request) (places.EngineLoad, bool, error) {
		if leaving == "" {
			leaving = engine.ID
			f.pool.MarkLeaving(engine)
		}
		return places.EngineLoad{}, true, nil
	}
	choice, err := q.choosePlace(context.Background())
	require.NoError(t, err)
	assert.NotEqual(t, leaving, choice.Upstream.ID)
	choice.Done(0)
	for _, upstream := range f.view.Upstreams["s"] {
		if upstream.ID != leaving {
			f.pool.MarkLeaving(upstream)
		}
	}
	_, err = q.choosePlace(context.Background())
	require.ErrorIs(t, err, errNoUpstream)
}

// TestUpstreamWhoseRecordChangesDuringPlaceRequestIsSkipped guards against a send to an upstream that has left,
// as the router knows by then, because it was chosen before.
func TestUpstreamWhoseRecordChangesDuringPlaceRequestIsSkipped(t *testing.T) {
	errNoAnswer := errors.New("no answer")
	for name, answer := range map[string]error{"its loader grants a place": nil, "no loader answers": errNoAnswer} {
		for _, removed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, record removed: %t", name, removed), func(t *testing.T) {
				f := newFleet(t, 3, nil)
				q := f.request("long-objective", 0)
				left := ""
				q.RequestPlace = func(_ context.Context, engine *provider.Upstream, _ places.Request) (places.EngineLoad, bool, error) {
					if left == "" {
						left = engine.ID
						changed := *engine
						changed.Leaving = true
						f.records[left] = provider.Record{Upstream: &changed}
						f.apply(provider.Entry{Key: left, Revision: 2, Deleted: removed})
					}
					return places.EngineLoad{}, answer == nil, answer
				}
				choice, err := q.choosePlace(context.Background())
				require.NoError(t, err)
				assert.NotEqual(t, left, choice.Upstream.ID)
				choice.Done(0)
			})
		}
	}
}
