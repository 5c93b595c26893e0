package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// engineWith returns an upstream whose record in the store names a version.
func engineWith(id string, version int) *provider.Upstream {
	return &provider.Upstream{ID: id, Places: 12, Models: models(version)}
}

func models(version int) []provider.LoadedModel {
	if version == 0 {
		return nil
	}
	return []provider.LoadedModel{{Model: "m", Version: version}}
}

// TestReadinessFollowsReports guards against engines that count as able to serve while they load,
// close or lack the version, and against expected times that do not shrink with the age of a report.
func TestReadinessFollowsReports(t *testing.T) {
	const age = 300 * time.Millisecond
	query := Query{Model: "m", MinVersion: 2, Duration: time.Second}
	tests := []struct {
		name   string
		report LoadReport
		want   Readiness
	}{
		{"serves the version", LoadReport{Models: models(2)}, Readiness{In: []time.Duration{0}}},
		{"serves a later version", LoadReport{Models: models(3)}, Readiness{In: []time.Duration{0}}},
		{"is about to load", LoadReport{Models: models(1), NextVersion: 2, NextIn: time.Second}, Readiness{In: []time.Duration{700 * time.Millisecond}}},
		{"is loading", LoadReport{Loading: true, Models: models(2), NextVersion: 3, NextIn: time.Second}, Readiness{In: []time.Duration{700 * time.Millisecond}}},
		{"is overdue", LoadReport{Models: models(1), NextVersion: 2, NextIn: 250 * time.Millisecond}, Readiness{In: []time.Duration{overdueReadiness}}},
		{"the next version is too old", LoadReport{Models: models(1), NextVersion: 1, NextIn: time.Second}, Readiness{Unknown: 1}},
		{"no next version", LoadReport{Models: models(1)}, Readiness{Unknown: 1}},
		{"loads without a next version", LoadReport{Loading: true, Models: models(2)}, Readiness{Unknown: 1}},
		{"closes before the request ends", LoadReport{Models: models(2), ClosesIn: time.Second, NextVersion: 3, NextIn: 2 * time.Second}, Readiness{In: []time.Duration{1700 * time.Millisecond}}},
		{"closes after the request ends", LoadReport{Models: models(2), ClosesIn: 1500 * time.Millisecond}, Readiness{In: []time.Duration{0}}},
		{"is leaving", LoadReport{Leaving: true, Models: models(2)}, Readiness{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			pool := &Pool{Now: func() time.Time { return now }}
			pool.Report("u", test.report)
			now = now.Add(age)
			// A response to a request for a place renews the load but not the expected time.
			pool.ReportLoad("u", LoadReport{Loading: test.report.Loading, Leaving: test.report.Leaving})
			assert.Equal(t, test.want, pool.Readiness([]*provider.Upstream{engineWith("u", 1)}, query))
		})
	}
}

// TestReadinessWithoutReports guards against estimates from engines that this process knows only
// from the store, or whose hosts have stopped reporting.
func TestReadinessWithoutReports(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := &Pool{Now: func() time.Time { return now }}
	pool.Report("silent", LoadReport{Models: models(1), NextVersion: 2, NextIn: 3 * time.Second})
	now = now.Add(reportMaxAge + time.Millisecond)
	upstreams := []*provider.Upstream{engineWith("silent", 1), engineWith("old", 1), engineWith("new", 2)}
	assert.Equal(t, Readiness{Unknown: 2}, pool.Readiness(upstreams, Query{Model: "m", MinVersion: 2}))
	assert.Equal(t, Readiness{}, pool.Readiness(nil, Query{Model: "m"}))
}

// TestNewUpstreamsDoNotDelayReturns guards against callers of a full service that wait for upstreams
// that are added to it. Where all are new, their expected times count.
func TestNewUpstreamsDoNotDelayReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := &Pool{Now: func() time.Time { return now }}
	added := []*provider.Upstream{engineWith("new", 0), engineWith("silent", 0)}
	pool.Report("new", LoadReport{Loading: true, NextVersion: 2, NextIn: 4 * time.Second})
	pool.Report("old", LoadReport{Models: models(2)})
	query := Query{Model: "m", MinVersion: 2}
	assert.Equal(t, Readiness{In: []time.Duration{0}}, pool.Readiness(append(added, engineWith("old", 1)), query))
	assert.Equal(t, Readiness{In: []time.Duration{4 * time.Second}, Unknown: 1}, pool.Readiness(added, query))
}

// TestReadinessIsOrderedAndComplete guards against upstreams that are counted twice or not at all
// and against times in the past.
func TestReadinessIsOrderedAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		pool := &Pool{Now: func() time.Time { return now }}
		var upstreams []*provider.Upstream
		count := rapid.IntRange(0, 20).Draw(t, "count")
		for i := range count {
			id := string(rune('a' + i))
			upstreams = append(upstreams, engineWith(id, 1))
			pool.Report(id, LoadReport{
				Models: models(rapid.IntRange(0, 3).Draw(t, "held")), Loading: rapid.Bool().Draw(t, "loading"),
				NextVersion: rapid.IntRange(0, 3).Draw(t, "next"), NextIn: time.Duration(rapid.IntRange(0, 5000).Draw(t, "in")) * time.Millisecond,
				ClosesIn: time.Duration(rapid.IntRange(0, 3000).Draw(t, "closes")) * time.Millisecond,
			})
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "age")) * time.Millisecond)
		r := pool.Readiness(upstreams, Query{Model: "m", MinVersion: 2, Duration: time.Second})
		assert.Len(t, upstreams, len(r.In)+r.Unknown)
		assert.IsNonDecreasing(t, append([]time.Duration{0}, r.In...))
		assert.LessOrEqual(t, r.Serving(), len(r.In))
		for i, in := range r.In {
			assert.Equal(t, i < r.Serving(), in == 0)
		}
	})
}
