package dispatch

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestRefusesEarlyOnOverload: a request is refused if even the best upstream would respond
// late, but not if its load is unknown.
func TestRefusesEarlyOnOverload(t *testing.T) {
	engine := &provider.EngineSpec{Model: "m", PromptRate: 20000}
	tests := []struct {
		name             string
		engine           *provider.EngineSpec
		objective        time.Duration
		running, waiting int
		sent             int
		want             bool
	}{
		{"free", engine, 400 * time.Millisecond, 13, 0, 0, false},
		{"one prompt is read first", engine, 400 * time.Millisecond, 9, 1, 0, false},
		{"the last free place may be in use", engine, 400 * time.Millisecond, 15, 0, 0, true},
		{"many prompts are read first", engine, 400 * time.Millisecond, 0, 3, 0, true},
		{"a long objective", engine, 4 * time.Second, 16, 3, 0, false},
		{"no objective", engine, 0, 16, 9, 0, false},
		{"sent before: the work done would be lost", engine, 400 * time.Millisecond, 16, 9, 1, false},
		{"no engine", nil, 400 * time.Millisecond, 16, 9, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := &request{
				Dispatcher: &Dispatcher{LoadTracker: &LoadTracker{Now: frozenNow}}, Request: httptest.NewRequest("GET", "/", nil), sent: test.sent,
				trace: &Trace{}, service: &provider.Service{Name: "s", Engine: test.engine}, route: &provider.Route{Objective: test.objective},
			}
			saturate(q.LoadTracker)
			choice := balance.Choice{Upstream: &provider.Upstream{Places: 16}, Running: test.running, Waiting: test.waiting}
			assert.Equal(t, test.want, q.overloaded(choice))
		})
	}
}

// TestToleratesShortPeaks: the same wait is refused only if places have been in use for some
// time.
func TestToleratesShortPeaks(t *testing.T) {
	q := &request{
		Dispatcher: &Dispatcher{LoadTracker: &LoadTracker{Now: frozenNow}}, Request: httptest.NewRequest("GET", "/", nil),
		trace: &Trace{}, service: &provider.Service{Name: "s", Engine: &provider.EngineSpec{Model: "m"}}, route: &provider.Route{Objective: 400 * time.Millisecond},
	}
	choice := balance.Choice{Upstream: &provider.Upstream{Places: 16}, Running: 16}
	assert.False(t, q.overloaded(choice))
	saturate(q.LoadTracker)
	assert.True(t, q.overloaded(choice))
}

// frozenNow is a clock that does not advance.
func frozenNow() time.Time { return time.Unix(1000, 0) }

func saturate(tracker *LoadTracker) {
	tracker.RecordFull("s", true)
	tracker.services["s"].saturation = 1
}

// TestSaturationFollowsElapsedTime: the number of requests that see a full service must not
// change the share.
func TestSaturationFollowsElapsedTime(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := &LoadTracker{Now: func() time.Time { return now }}
	for range 100 {
		assert.Zero(t, tracker.RecordFull("s", true), "no time has passed")
	}
	now = now.Add(saturationTimeConstant)
	assert.InDelta(t, 0.63, tracker.RecordFull("s", true), 0.01)
	now = now.Add(10 * saturationTimeConstant)
	assert.InDelta(t, 0, tracker.RecordFull("s", false), 0.01)
}

// TestLessUrgentRequestsAreRefusedSooner: they leave places to more urgent ones.
func TestLessUrgentRequestsAreRefusedSooner(t *testing.T) {
	q := &request{
		Dispatcher: &Dispatcher{LoadTracker: &LoadTracker{Now: frozenNow}}, Request: httptest.NewRequest("GET", "/", nil),
		trace: &Trace{}, service: &provider.Service{Name: "s", Engine: &provider.EngineSpec{Model: "m"}}, route: &provider.Route{Objective: 400 * time.Millisecond},
	}
	saturate(q.LoadTracker)
	choice := balance.Choice{Upstream: &provider.Upstream{Places: 16}, Running: 13}
	assert.False(t, q.overloaded(choice))
	q.rank = 1
	assert.True(t, q.overloaded(choice))
}

// TestHoldTimeIsSmoothed: a single long request changes the average little.
func TestHoldTimeIsSmoothed(t *testing.T) {
	tracker := &LoadTracker{}
	assert.Equal(t, initialHoldTime, tracker.HoldTime("s"))
	tracker.RecordServed("s", time.Minute)
	assert.Less(t, tracker.HoldTime("s"), 2*initialHoldTime)
	for range 500 {
		tracker.RecordServed("s", 400*time.Millisecond)
	}
	assert.InDelta(t, 0.4, tracker.HoldTime("s").Seconds(), 0.05)
	assert.Equal(t, initialHoldTime, tracker.HoldTime("t"), "services differ")
}
