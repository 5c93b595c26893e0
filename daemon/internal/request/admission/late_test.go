package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

var (
	fullEngine = places.EngineLoad{Running: 12}
	freeEngine = places.EngineLoad{Running: 3}
)

// late returns the load of an engine with free places that denied a request for a reason.
func late(reason enginetime.Reason) places.EngineLoad {
	load := freeEngine
	load.Late.Reason = reason
	return load
}

func searchAfter(r admission.Request, denials ...places.EngineLoad) *admission.Search {
	search := &admission.Search{Service: admission.Service{Places: 12, Objective: 400 * time.Millisecond}, Request: r}
	for _, load := range denials {
		search.AddDenied(load)
	}
	return search
}

// TestDenialForTimeTellsNothingAboutFreePlaces guards against a service that counts as saturated
// because its slow engines deny long requests, and against one that counts as free for the places
// of these engines.
func TestDenialForTimeTellsNothingAboutFreePlaces(t *testing.T) {
	tests := []struct {
		name              string
		denials           []places.EngineLoad
		allFull, onlyLate bool
	}{
		{"full engines", []places.EngineLoad{fullEngine, fullEngine}, true, false},
		{"a free engine", []places.EngineLoad{fullEngine, freeEngine}, false, false},
		{"full engines and slow ones", []places.EngineLoad{fullEngine, late(enginetime.Gap)}, true, false},
		{"a free engine and slow ones", []places.EngineLoad{late(enginetime.End), freeEngine}, false, false},
		{"only slow engines", []places.EngineLoad{late(enginetime.End), late(enginetime.FirstByte)}, true, true},
	}
	for _, test := range tests {
		search := searchAfter(admission.Request{}, test.denials...)
		assert.Equal(t, test.onlyLate, search.OnlyLate(), test.name)
		if !test.onlyLate {
			assert.Equal(t, test.allFull, search.AllFull(), test.name)
		}
		denied, _ := search.Counts()
		assert.Equal(t, len(test.denials), denied, "the search goes on after a denial for time")
	}
}

// TestLastQueryGuardsAgainstWasteOnly guards against requests that all engines deny because of limits
// that none of them meets, against a last query that fills slow engines because the others are full, and
// against limits for requests that any engine must admit.
func TestLastQueryGuardsAgainstWasteOnly(t *testing.T) {
	times := enginetime.Limits{First: 400 * time.Millisecond, Gap: 300 * time.Millisecond, Left: 6 * time.Second}
	first, gap, end := late(enginetime.FirstByte), late(enginetime.Gap), late(enginetime.End)
	slow := places.EngineLoad{Running: 3, Waiting: 1, Pace: 2.5}
	beforeDeadline := enginetime.Limits{First: times.Left}
	withoutEnd := enginetime.Limits{First: times.First, Gap: times.Gap}
	tests := []struct {
		name    string
		denials []places.EngineLoad
		only    bool
		want    enginetime.Limits
	}{
		{"not the last query", []places.EngineLoad{end}, false, times},
		{"no other engine", nil, true, beforeDeadline},
		{"no other engine is left", []places.EngineLoad{end}, true, beforeDeadline},
		{"denied for each reason", []places.EngineLoad{first, gap, end, first, gap, end, end}, false, beforeDeadline},
		{"slow engines with a queue", []places.EngineLoad{slow, slow, slow, slow, first, first, slow}, false, beforeDeadline},
		{"a full engine", []places.EngineLoad{first, gap, end, first, gap, end, fullEngine}, false, beforeDeadline},
		{"mostly full engines", []places.EngineLoad{fullEngine, fullEngine, end, fullEngine, fullEngine, end, gap}, false, withoutEnd},
	}
	for _, test := range tests {
		assert.Equal(t, test.want, searchAfter(admission.Request{}, test.denials...).Times(times, test.only), test.name)
	}
	sent := searchAfter(admission.Request{Sent: true}, tests[3].denials...)
	assert.Equal(t, enginetime.Limits{}, sent.Times(times, false), "the work done would be lost")
}

// TestLastQueryIsNotEarly guards against an engine as fast as declared that denies the last query, as
// if an emptier engine could be found, because that query accepts no queue either.
func TestLastQueryIsNotEarly(t *testing.T) {
	spec := provider.EngineSpec{
		Places: 12, PromptRate: 19100, MeanPromptTokens: 900, MeanAnswerTokens: 92, StepTime: 8870 * time.Microsecond,
		StepTimePerRequest: 100 * time.Microsecond, StepsPerPass: 5, PromptTokensPerPass: 2048,
	}
	times := enginetime.Limits{First: 400 * time.Millisecond, Gap: 400 * time.Millisecond, Left: 6 * time.Second}
	granted := func(denials ...places.EngineLoad) bool {
		search := searchAfter(admission.Request{}, denials...)
		search.Service.ReadTime = time.Second // no queue is read within the objective
		limit := search.Limit(false)
		require.Zero(t, limit.Waiting)
		ledger := &places.Ledger{}
		ledger.SetEngine(spec)
		ledger.Observe(places.EngineLoad{Running: 10}, true)
		_, granted := ledger.Reserve(places.Request{Limit: limit, Size: places.Size{PromptTokens: 900, AnswerTokens: 520}, Times: search.Times(times, false)})
		return granted
	}
	assert.False(t, granted(), "the first query looks for an emptier engine")
	assert.True(t, granted(fullEngine, fullEngine, fullEngine, fullEngine, fullEngine, fullEngine, fullEngine))
}
