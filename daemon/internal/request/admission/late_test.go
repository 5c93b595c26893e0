package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
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

// TestLastQueryIgnoresAnEstimatedEnd guards against requests that all engines deny because of an
// estimated length, and against limits for requests that any engine must admit.
func TestLastQueryIgnoresAnEstimatedEnd(t *testing.T) {
	times := enginetime.Limits{First: 400 * time.Millisecond, Gap: 300 * time.Millisecond, Left: 6 * time.Second}
	end := late(enginetime.End)
	sevenEnds := []places.EngineLoad{end, end, end, end, end, end, end}
	firstByteAlone := enginetime.Limits{First: times.First}

	assert.Equal(t, times, searchAfter(admission.Request{}, end).Times(times, false), "not the last query")
	assert.Equal(t, firstByteAlone, searchAfter(admission.Request{}, end).Times(times, true), "no other engine is left")
	assert.Equal(t, firstByteAlone, searchAfter(admission.Request{}, sevenEnds...).Times(times, false))
	sevenEnds[3] = late(enginetime.Gap)
	assert.Equal(t, times, searchAfter(admission.Request{}, sevenEnds...).Times(times, false), "an engine denied for another reason")
	sevenEnds[3] = fullEngine
	assert.Equal(t, times, searchAfter(admission.Request{}, sevenEnds...).Times(times, false), "an engine is full")
	assert.Equal(t, enginetime.Limits{}, searchAfter(admission.Request{Sent: true}, sevenEnds...).Times(times, false), "the work done would be lost")
}
