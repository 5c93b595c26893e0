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

// world is a router with a clock and a membership.
type world struct {
	router  *Router
	table   *members.Table
	now     time.Time
	service *api.Resource
}

func newWorld(agents ...*wire.Member) *world {
	w := &world{table: &members.Table{}, now: time.Unix(1000, 0), service: &api.Resource{Kind: api.KindService, Name: "s", Service: &api.ServiceSpec{}}}
	w.router = &Router{Hall: "here", Now: func() time.Time { return w.now }}
	for _, agent := range agents {
		agent.Address, agent.ReadyService, agent.ReadyManifest = "127.0.0.1:1", "s", "v1"
		if agent.GetHall() == "" {
			agent.Hall = "here"
		}
	}
	w.table.Merge(agents)
	return w
}

func (w *world) choose(tried ...string) string {
	choice, _ := w.router.Choose(Query{Service: w.service, Members: w.table.View(), Tried: tried})
	return choice.Host
}

func TestChoice(t *testing.T) {
	tests := []struct {
		name   string
		agents []*wire.Member
		tried  []string
		want   string
	}{
		{"nobody", nil, nil, ""},
		{"own hall first", []*wire.Member{{Name: "a"}, {Name: "b", Hall: "there"}}, nil, "a"},
		{"other hall when the own has none", []*wire.Member{{Name: "a", Leaving: true}, {Name: "b", Hall: "there"}}, nil, "b"},
		{"other hall when the own refused", []*wire.Member{{Name: "a"}, {Name: "b", Hall: "there"}}, []string{"a"}, "b"},
		{"not a leaving one", []*wire.Member{{Name: "a", Leaving: true}}, nil, ""},
		{"not a suspect one", []*wire.Member{{Name: "a", Suspect: true}, {Name: "b"}}, nil, "b"},
		{"all tried", []*wire.Member{{Name: "a"}}, []string{"a"}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.want, newWorld(test.agents...).choose(test.tried...))
		})
	}
}

func TestHallsOfTheService(t *testing.T) {
	w := newWorld(&wire.Member{Name: "a"}, &wire.Member{Name: "b", Hall: "there"})
	w.service.Service.Halls = []string{"there"}
	assert.Equal(t, "b", w.choose())
}

func TestLeastLoad(t *testing.T) {
	w := newWorld(&wire.Member{Name: "a"}, &wire.Member{Name: "b"})
	counts := map[string]int{}
	for range 10 {
		counts[w.choose()]++
	}
	assert.Equal(t, map[string]int{"a": 5, "b": 5}, counts, "requests in flight spread evenly")
	for range 5 {
		w.router.Done("b", ResultAnswered)
	}
	w.router.Report("b", 50) // other entries load it
	assert.Equal(t, "a", w.choose())
	w.now = w.now.Add(time.Minute)
	assert.Equal(t, "b", w.choose(), "an old report fades")
}

func TestEjection(t *testing.T) {
	w := newWorld(&wire.Member{Name: "a"}, &wire.Member{Name: "b"}, &wire.Member{Name: "c"})
	fail := func(host string) {
		w.router.mu.Lock()
		w.router.get(host).inFlight++
		w.router.mu.Unlock()
		w.router.Done(host, ResultFailed)
	}
	chosen := func() map[string]bool {
		seen := map[string]bool{}
		for range 60 {
			host := w.choose()
			seen[host] = true
			w.router.Done(host, ResultCallerGone)
		}
		return seen
	}
	fail("a")
	assert.Equal(t, map[string]bool{"b": true, "c": true}, chosen())
	w.now = w.now.Add(ejectBase)
	assert.Len(t, chosen(), 3, "it comes back")
	for range 20 {
		fail("a")
	}
	w.now = w.now.Add(ejectMax - time.Millisecond)
	assert.Len(t, chosen(), 2, "repeated failures keep it out longer")
	fail("b")
	assert.Len(t, chosen(), 3, "with most of them failing, none is left out")
	w.now = w.now.Add(ejectMax)
	fail("a")
	w.router.Done(func() string { w.now = w.now.Add(ejectMax); return w.choose() }(), ResultAnswered)
	assert.Len(t, chosen(), 3)
}

func TestKeepDropsTheGone(t *testing.T) {
	w := newWorld(&wire.Member{Name: "a"})
	require.Equal(t, "a", w.choose())
	empty := &members.Table{}
	w.router.Keep(empty.View())
	assert.Len(t, w.router.upstreams, 1, "still has a request")
	w.router.Done("a", ResultAnswered)
	w.router.Keep(empty.View())
	assert.Empty(t, w.router.upstreams)
}
