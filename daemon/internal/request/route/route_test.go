package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
)

// fixture is a selector with a fake clock and a membership table.
type fixture struct {
	selector *Selector
	table    *members.Table
	now      time.Time
	service  *api.Resource
}

func newFixture(agents ...*wire.Member) *fixture {
	f := &fixture{table: &members.Table{}, now: time.Unix(1000, 0), service: &api.Resource{Kind: api.KindService, Name: "s", Service: &api.ServiceSpec{}}}
	f.selector = &Selector{Hall: "here", Now: func() time.Time { return f.now }}
	for _, agent := range agents {
		agent.Address, agent.ReadyService, agent.ReadyManifest = "127.0.0.1:1", "s", "v1"
		if agent.GetHall() == "" {
			agent.Hall = "here"
		}
	}
	f.table.Merge(agents)
	return f
}

func (f *fixture) choose(tried ...string) string {
	choice, _ := f.selector.Choose(Query{Service: f.service, Members: f.table.View(), Tried: tried})
	return choice.Host
}

func TestChoosePrefersEligibleHostsOfLocalHall(t *testing.T) {
	tests := []struct {
		name   string
		agents []*wire.Member
		tried  []string
		want   string
	}{
		{"no hosts", nil, nil, ""},
		{"local hall first", []*wire.Member{{Name: "a"}, {Name: "b", Hall: "there"}}, nil, "a"},
		{"remote hall if no local host is eligible", []*wire.Member{{Name: "a", Leaving: true}, {Name: "b", Hall: "there"}}, nil, "b"},
		{"remote hall if the local host was tried", []*wire.Member{{Name: "a"}, {Name: "b", Hall: "there"}}, []string{"a"}, "b"},
		{"leaving host", []*wire.Member{{Name: "a", Leaving: true}}, nil, ""},
		{"suspect host", []*wire.Member{{Name: "a", Suspect: true}, {Name: "b"}}, nil, "b"},
		{"all hosts tried", []*wire.Member{{Name: "a"}}, []string{"a"}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.want, newFixture(test.agents...).choose(test.tried...))
		})
	}
}

func TestChooseRespectsHallsOfService(t *testing.T) {
	f := newFixture(&wire.Member{Name: "a"}, &wire.Member{Name: "b", Hall: "there"})
	f.service.Service.Halls = []string{"there"}
	assert.Equal(t, "b", f.choose())
}

func TestChooseFollowsExpectedLoad(t *testing.T) {
	f := newFixture(&wire.Member{Name: "a"}, &wire.Member{Name: "b"})
	counts := map[string]int{}
	for range 10 {
		counts[f.choose()]++
	}
	assert.Equal(t, map[string]int{"a": 5, "b": 5}, counts, "requests in flight spread evenly")
	for range 5 {
		f.selector.Done("b", ResultAnswered)
	}
	f.selector.Report("b", 50) // requests of other entries
	assert.Equal(t, "a", f.choose())
	f.now = f.now.Add(time.Minute)
	assert.Equal(t, "b", f.choose(), "an old report loses its weight")
}

func TestFailingHostIsEjected(t *testing.T) {
	f := newFixture(&wire.Member{Name: "a"}, &wire.Member{Name: "b"}, &wire.Member{Name: "c"})
	fail := func(host string) {
		f.selector.mu.Lock()
		f.selector.get(host).inFlight++
		f.selector.mu.Unlock()
		f.selector.Done(host, ResultFailed)
	}
	chosen := func() map[string]bool {
		seen := map[string]bool{}
		for range 60 {
			host := f.choose()
			seen[host] = true
			f.selector.Done(host, ResultCanceled)
		}
		return seen
	}
	fail("a")
	assert.Equal(t, map[string]bool{"b": true, "c": true}, chosen())
	f.now = f.now.Add(ejectBase)
	assert.Len(t, chosen(), 3, "the host is eligible again after ejectBase")
	for range 20 {
		fail("a")
	}
	f.now = f.now.Add(ejectMax - time.Millisecond)
	assert.Len(t, chosen(), 2, "consecutive failures extend the ejection")
	fail("b")
	assert.Len(t, chosen(), 3, "no host is ejected if most hosts fail")
	f.now = f.now.Add(ejectMax)
	fail("a")
	f.selector.Done(func() string { f.now = f.now.Add(ejectMax); return f.choose() }(), ResultAnswered)
	assert.Len(t, chosen(), 3)
}

func TestPruneDropsFormerMembers(t *testing.T) {
	f := newFixture(&wire.Member{Name: "a"})
	require.Equal(t, "a", f.choose())
	empty := &members.Table{}
	f.selector.Prune(empty.View())
	assert.Len(t, f.selector.hosts, 1, "a request is still in flight")
	f.selector.Done("a", ResultAnswered)
	f.selector.Prune(empty.View())
	assert.Empty(t, f.selector.hosts)
}
