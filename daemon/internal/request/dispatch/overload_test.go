package dispatch

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestOverloadIsRefusedEarly: a request is refused when even the best upstream
// would begin it late, and never because little is known.
func TestOverloadIsRefusedEarly(t *testing.T) {
	engine := &provider.EngineSpec{Model: "m", PromptRate: 20000}
	tests := []struct {
		name            string
		engine          *provider.EngineSpec
		objective       time.Duration
		waiting, beyond int
		sent            int
		want            bool
	}{
		{"free", engine, 400 * time.Millisecond, 0, 0, 0, false},
		{"one is read first", engine, 400 * time.Millisecond, 1, 0, 0, false},
		{"one must end first", engine, 400 * time.Millisecond, 0, 1, 0, true},
		{"many are read first", engine, 400 * time.Millisecond, 3, 0, 0, true},
		{"a patient route", engine, 4 * time.Second, 3, 3, 0, false},
		{"no objective", engine, 0, 9, 9, 0, false},
		{"sent before: what was done would be lost", engine, 400 * time.Millisecond, 9, 9, 1, false},
		{"no engine", nil, 400 * time.Millisecond, 9, 9, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := &request{
				Dispatcher: &Dispatcher{Pace: &Pace{}}, Request: httptest.NewRequest("GET", "/", nil), sent: test.sent,
				service: &provider.Service{Name: "s", Engine: test.engine}, route: &provider.Route{Objective: test.objective},
			}
			choice := balance.Choice{Upstream: &provider.Upstream{Places: 16}, Waiting: test.waiting, Beyond: test.beyond}
			assert.Equal(t, test.want, q.overloaded(choice))
		})
	}
}

// TestPaceFollowsWhatEnds, slowly: one long request says little.
func TestPaceFollowsWhatEnds(t *testing.T) {
	pace := &Pace{}
	assert.Equal(t, firstOccupied, pace.Occupied("s"))
	pace.Ended("s", time.Minute)
	assert.Less(t, pace.Occupied("s"), 2*firstOccupied)
	for range 500 {
		pace.Ended("s", 400*time.Millisecond)
	}
	assert.InDelta(t, 0.4, pace.Occupied("s").Seconds(), 0.05)
	assert.Equal(t, firstOccupied, pace.Occupied("t"), "services differ")
}
