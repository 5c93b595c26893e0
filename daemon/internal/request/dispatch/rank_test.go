package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/fairshare"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// rankedRequest returns a request of an account with priority 1, beside one with priority 0, on the
// last of the routes with the given priorities.
func rankedRequest(t *testing.T, routes ...int) *request {
	t.Helper()
	urgent, normal := 0, 1
	configuration := &provider.Configuration{
		Accounts: []provider.Account{{Name: "a", Priority: &normal}, {Name: "b", Priority: &urgent}},
		Services: []provider.Service{{Name: "s", Engine: &provider.EngineSpec{Model: "m"}}},
	}
	for i, priority := range routes {
		configuration.Routes = append(configuration.Routes, provider.Route{Name: fmt.Sprint(i), Priority: priority, Shares: []provider.Share{{Service: "s", Weight: 1}}})
	}
	compiler := &replica.Compiler{Decode: func(provider.Entry) (provider.Record, error) {
		return provider.Record{Configuration: configuration}, nil
	}}
	compiler.Apply([]provider.Entry{{Key: "c", Revision: 1}})
	q := newFleet(t, 1, nil).request("short-objective", 0)
	q.view = compiler.View()
	q.service, q.route, q.account = q.view.Service("s"), &configuration.Routes[len(routes)-1], &configuration.Accounts[0]
	q.setRank()
	return q
}

// TestRoutesOfOnePriorityAreUndivided guards against changes for services whose routes all have the
// same priority: rank, reserve and queue class follow the account alone, and queries name no caller.
func TestRoutesOfOnePriorityAreUndivided(t *testing.T) {
	q := rankedRequest(t, 1, 1, 1)
	assert.Equal(t, []int{1, 2}, []int{q.rank, q.ranks})
	assert.Equal(t, 2, admission.Reserve(admission.Service{Saturation: 1}, q.admissionRequest()))
	assert.Equal(t, 9, priorityClass(q.rank, q.ranks, priorityClasses-1))
	q.trace.Retried = true
	assert.Equal(t, places.Caller{}, q.placeRequest(places.Limit{}, &admission.Search{}, true).Caller)
	q.LoadTracker.Now = func() time.Time { return time.Now().Add(time.Hour) }
	q.setRank()
	assert.Equal(t, []int{1, 2}, []int{q.rank, q.ranks}, "the urgent rank counts without requests")
}

// TestDividedServiceLeavesReserveToLoaders guards against places that the router and the loader both
// keep free, against a reserve that is missing when no loader answers, and against ranks without
// requests that take queue classes.
func TestDividedServiceLeavesReserveToLoaders(t *testing.T) {
	q := rankedRequest(t, 0, 1, 2)
	now := time.Now()
	q.LoadTracker = &LoadTracker{Now: func() time.Time { return now }}
	q.setRank()
	assert.Equal(t, []int{5, 6}, []int{q.rank, q.ranks})
	assert.Zero(t, admission.Reserve(admission.Service{Saturation: 1}, q.admissionRequest()))

	q.trace.Retried = true
	search := &admission.Search{}
	search.AddDenied(places.EngineLoad{DeniedBy: fairshare.ByRank})
	assert.True(t, search.AllFull(), "a place that is kept for others is not free")
	caller := q.placeRequest(places.Limit{}, search, true).Caller
	assert.Equal(t, places.Caller{Account: "a", Rank: 5, Ranks: 6, Retry: true, Denied: 1, Last: true}, caller)
	q.sent = 1
	caller = q.placeRequest(places.Limit{}, &admission.Search{}, false).Caller
	assert.Equal(t, places.Caller{Account: "a", Rank: 5, Ranks: 6, Denied: 1}, caller, "a second send is the same request")

	upstream := &provider.Upstream{ID: "u", Places: 12, Address: netip.MustParseAddrPort("10.0.0.1:1")}
	q.sent, q.trace.Retried, q.route.Objective = 0, false, 100*time.Millisecond
	busy := balance.Choice{Upstream: upstream, Running: 7}
	q.LoadTracker.RecordFull("s", true)
	now = now.Add(4 * time.Second)
	q.LoadTracker.RecordFull("s", true)
	assert.True(t, q.overloaded(busy), "without a loader four places stay free")

	now = now.Add(time.Minute)
	q.setRank()
	assert.Equal(t, []int{0, 1}, []int{q.rank, q.ranks}, "no other rank had requests")
	q.LoadTracker.RecordFull("s", true)
	assert.False(t, q.overloaded(busy))
}
