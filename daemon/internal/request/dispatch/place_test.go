package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// fleet is engines with loaders whose answers a test sets.
type fleet struct {
	pool  *balance.Pool
	view  *mirror.View
	asked []places.Limit
	// given says whether the loader beside the engine that is asked as the n-th
	// gives a place.
	given func(n int) (bool, error)
}

func newFleet(t *testing.T, engines int, given func(n int) (bool, error)) *fleet {
	t.Helper()
	f := &fleet{pool: &balance.Pool{}, given: given}
	configuration := &provider.Configuration{
		Routes: []provider.Route{
			{Name: "hasty", Objective: 300 * time.Millisecond, Shares: []provider.Share{{Service: "s", Weight: 1}}},
			{Name: "patient", Objective: 900 * time.Millisecond, Shares: []provider.Share{{Service: "s", Weight: 1}}},
		},
		Services: []provider.Service{{Name: "s", Engine: &provider.EngineSpec{Model: "m", PromptRate: 20000, UsualPrompt: 1000}}},
	}
	records := map[string]provider.Record{"c": {Configuration: configuration}}
	for i := range engines {
		id := fmt.Sprint("u", i)
		records[id] = provider.Record{Upstream: &provider.Upstream{
			ID: id, Service: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8000), Places: 16, Models: []provider.Loaded{{Model: "m", Version: 1}},
		}}
		f.pool.Tell(id, balance.Told{Models: []provider.Loaded{{Model: "m", Version: 1}}})
	}
	compiler := &mirror.Compiler{Decode: func(entry provider.Entry) (provider.Record, error) { return records[entry.Key], nil }}
	var entries []provider.Entry
	for key := range records {
		entries = append(entries, provider.Entry{Key: key, Revision: 1})
	}
	compiler.Take(entries)
	f.view = compiler.View()
	return f
}

func (f *fleet) ask(_ context.Context, _ *provider.Upstream, limit places.Limit) (places.Load, bool, error) {
	f.asked = append(f.asked, limit)
	given, err := f.given(len(f.asked))
	return places.Load{Running: 10, Waiting: 1}, given, err
}

func (f *fleet) request(route string, sent int) *request {
	q := &request{
		Dispatcher: &Dispatcher{
			Pool: f.pool, Pace: &Pace{}, AskPlace: f.ask, View: func() *mirror.View { return f.view },
			Demand: func(*mirror.Declared) mirror.Demand { return mirror.Demand{} },
		},
		Request: httptest.NewRequest("GET", "/", nil), view: f.view, service: f.view.Service("s"), sent: sent, story: &Story{},
	}
	for i := range f.view.Configuration.Routes {
		if f.view.Configuration.Routes[i].Name == route {
			q.route = &f.view.Configuration.Routes[i]
		}
	}
	return q
}

// inFlight is what the pool holds of an upstream's requests of this router.
func (f *fleet) inFlight(t *testing.T) int {
	t.Helper()
	total := 0
	for _, upstream := range f.view.Upstreams["s"] {
		choice, ok := f.pool.Choose([]*provider.Upstream{upstream}, balance.Query{Model: "m"})
		require.True(t, ok)
		total += choice.InFlight
		choice.Done(balance.Abandoned)
	}
	return total
}

// TestPlaceIsAskedForInTurn: a no leads to another engine, and a yes ends it.
func TestPlaceIsAskedForInTurn(t *testing.T) {
	f := newFleet(t, 5, func(n int) (bool, error) { return n == 2, nil })
	q := f.request("hasty", 0)
	choice, err := q.place(context.Background())
	require.NoError(t, err)
	require.Len(t, q.story.Asked, 2)
	assert.NotEqual(t, q.story.Asked[0].Upstream, q.story.Asked[1].Upstream)
	assert.Equal(t, q.story.Asked[1].Upstream, choice.Upstream.ID)
	assert.Equal(t, 10, choice.Running)
	assert.Zero(t, f.asked[0].Waiting, "the first is asked for a place where nothing waits")
	assert.Equal(t, 16-1, f.asked[1].Taken, "and never for one beyond those of the engine")
	assert.Equal(t, 1, f.inFlight(t))
	choice.Done(balance.Served)
	assert.Zero(t, f.inFlight(t))
}

// TestNoPlaceIsARefusal after a few questions, and leaves nothing behind.
func TestNoPlaceIsARefusal(t *testing.T) {
	for engines, want := range map[int]int{1: 1, 2: 2, 9: admission.DefaultPolicy().MaxQueries} {
		f := newFleet(t, engines, func(int) (bool, error) { return false, nil })
		_, err := f.request("hasty", 0).place(context.Background())
		require.ErrorIs(t, err, errOverloaded)
		assert.Len(t, f.asked, want)
		assert.Zero(t, f.inFlight(t))
	}
}

// TestSilentLoaderIsNoRefusal: without an answer the news of loads decides.
func TestSilentLoaderIsNoRefusal(t *testing.T) {
	f := newFleet(t, 3, func(int) (bool, error) { return false, errors.New("no answer") })
	choice, err := f.request("hasty", 0).place(context.Background())
	require.NoError(t, err)
	assert.NotNil(t, choice.Upstream)
	assert.Len(t, f.asked, 1)
}

// TestLoaderWithoutNewsIsPassedOver: one that does not answer, and whose news is old,
// may be cut off with its engine. Where all are, news decides all the same.
func TestLoaderWithoutNewsIsPassedOver(t *testing.T) {
	for answering, want := range map[int]int{2: 2, admission.MaxUnresponsive + 1: admission.MaxUnresponsive} {
		f := newFleet(t, 5, func(n int) (bool, error) {
			if n < answering {
				return false, errors.New("no answer")
			}
			return true, nil
		})
		f.pool.Now = func() time.Time { return time.Now().Add(freshNews) }
		choice, err := f.request("hasty", 0).place(context.Background())
		require.NoError(t, err)
		assert.NotNil(t, choice.Upstream)
		assert.Len(t, f.asked, want)
		assert.Equal(t, 1, f.inFlight(t))
	}
}

// TestUnknownEnginesAreAskedToo: a router does not follow the loads of most engines of a
// large fleet. Where such a loader does not answer another engine is asked.
func TestUnknownEnginesAreAskedToo(t *testing.T) {
	f := newFleet(t, 5, func(n int) (bool, error) {
		if n == 1 {
			return false, errors.New("no answer")
		}
		return true, nil
	})
	f.pool = &balance.Pool{}
	choice, err := f.request("hasty", 0).place(context.Background())
	require.NoError(t, err)
	assert.NotNil(t, choice.Upstream)
	assert.Len(t, f.asked, 2)
}

// TestSentBeforeTakesAnyPlace: what was done for it would be lost.
func TestSentBeforeTakesAnyPlace(t *testing.T) {
	f := newFleet(t, 9, func(int) (bool, error) { return false, nil })
	_, _ = f.request("hasty", 1).place(context.Background())
	assert.Equal(t, places.Limit{Waiting: math.MaxInt32, Taken: math.MaxInt32}, f.asked[len(f.asked)-1])
}

// TestRoutesOfAServiceHaveOneLimit, so that the patient do not take every place
// before the others may.
func TestRoutesOfAServiceHaveOneLimit(t *testing.T) {
	f := newFleet(t, 1, func(int) (bool, error) { return false, nil })
	_, _ = f.request("hasty", 0).place(context.Background())
	_, _ = f.request("patient", 0).place(context.Background())
	require.Len(t, f.asked, 2)
	assert.Equal(t, f.asked[0], f.asked[1])
}
