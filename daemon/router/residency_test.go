package router_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// twoRegions is a store with an upstream in each of two halls, in two regions, and a router
// in the first.
type twoRegions struct {
	*surroundings
	north, south *upstream
	router       settings.Router
}

func startTwoRegions(t *testing.T, configuration provider.Configuration) *twoRegions {
	t.Helper()
	r := &twoRegions{
		surroundings: &surroundings{}, north: startUpstream(t, "north", good), south: startUpstream(t, "south", good),
	}
	r.configure(configuration)
	for _, u := range []*upstream{r.north, r.south} {
		record := u.record()
		record.Hall = u.id
		r.list(record)
	}
	p, set := newRouter(t, r.surroundings, settings.Router{Name: "r1", Hall: "north", Regions: []settings.HallRegion{
		{Hall: "north", Region: "region of north"}, {Hall: "south", Region: "region of south"},
	}})
	require.NoError(t, p.Start())
	t.Cleanup(func() { _ = p.Stop(t.Context()) })
	r.router = set
	await(t, "ready", func() bool { return ready(set) })
	return r
}

// ask sends some requests and returns how many had each status.
func (r *twoRegions) ask(t *testing.T, what string) map[int]int {
	t.Helper()
	statuses := map[int]int{}
	for i := range 12 {
		statuses[call(t, r.router, fmt.Sprintf("%s-%d", what, i), "GET", "/safe/x", "").status]++
	}
	return statuses
}

// TestRequestsStayInTheirRegions: those of a route and of an account both bind, whatever other
// regions could serve, and where no upstream is left the request is refused at once.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for name, bind := range map[string]func(*provider.Configuration){
		"a route's": func(c *provider.Configuration) {
			for i := range c.Routes {
				c.Routes[i].Homes = []string{"region of south"}
			}
		},
		"an account's": func(c *provider.Configuration) { c.Accounts[0].Homes = []string{"region of south"} },
		"both": func(c *provider.Configuration) {
			for i := range c.Routes {
				c.Routes[i].Homes = []string{"region of south", "region of north"}
			}
			c.Accounts[0].Homes = []string{"region of south", "region of west"}
		},
	} {
		t.Run(name, func(t *testing.T) {
			configuration := basic(1)
			bind(&configuration)
			r := startTwoRegions(t, configuration)
			assert.Equal(t, map[int]int{http.StatusOK: 12}, r.ask(t, "home"))
			assert.Zero(t, r.north.ran.Load())
			assert.Equal(t, int64(12), r.south.ran.Load())

			failing := upstreamFunc(func(request *http.Request, connection net.Conn) {
				whole(request, connection, http.StatusInternalServerError, "failed", "")
			})
			r.south.answer.Store(&failing)
			assert.Equal(t, map[int]int{http.StatusInternalServerError: 12}, r.ask(t, "failing"))
			assert.Zero(t, r.north.ran.Load(), "second sends are bound too")

			r.remove("u/south")
			await(t, "the upstream is gone", func() bool {
				return call(t, r.router, "gone", "GET", "/safe/x", "").status == http.StatusServiceUnavailable
			})
			started := time.Now()
			got := call(t, r.router, "none", "GET", "/safe/x", "")
			assert.Equal(t, http.StatusServiceUnavailable, got.status)
			assert.NotEmpty(t, got.header.Get("Retry-After"))
			assert.Less(t, time.Since(started), 4*time.Second, "before the deadline of 5 s")
			assert.Zero(t, r.north.ran.Load())
		})
	}
}

// TestUnknownRegionServesNothing: a list that names no region there is, is no leave to run
// anywhere.
func TestUnknownRegionServesNothing(t *testing.T) {
	configuration := basic(1)
	configuration.Accounts[0].Homes = []string{"moon"}
	r := startTwoRegions(t, configuration)
	assert.Equal(t, map[int]int{http.StatusServiceUnavailable: 12}, r.ask(t, "nowhere"))
	assert.Zero(t, r.north.ran.Load()+r.south.ran.Load())
}

func (r *twoRegions) evacuate(hall string) {
	r.put("e/"+hall, encodeRecord(provider.Record{Evacuated: hall}))
}

// reached reports whether an upstream gets requests now.
func (r *twoRegions) reached(t *testing.T, u *upstream) bool {
	t.Helper()
	before := u.ran.Load()
	r.ask(t, "reach")
	return u.ran.Load() > before
}

// TestEvacuatedHallGetsNothing until it is taken back; where all are evacuated requests are
// refused at once, and a hall that there is not changes nothing.
func TestEvacuatedHallGetsNothing(t *testing.T) {
	r := startTwoRegions(t, basic(1))
	r.evacuate("nowhere")
	r.evacuate("north")
	await(t, "the hall is left", func() bool { return !r.reached(t, r.north) })
	assert.Equal(t, map[int]int{http.StatusOK: 12}, r.ask(t, "south"))
	assert.False(t, r.reached(t, r.north))

	r.evacuate("south")
	await(t, "no hall is left", func() bool {
		return r.ask(t, "none")[http.StatusServiceUnavailable] == 12
	})
	ran := r.north.ran.Load() + r.south.ran.Load()
	assert.NotEmpty(t, call(t, r.router, "refused", "GET", "/safe/x", "").header.Get("Retry-After"))
	assert.Equal(t, ran, r.north.ran.Load()+r.south.ran.Load())

	r.remove("e/north")
	await(t, "the hall is taken back", func() bool { return r.reached(t, r.north) })
	assert.False(t, r.reached(t, r.south))
}

// TestEvacuationIsHeardWithoutTheStore: a router that the store turns away hears of it from
// another one.
func TestEvacuationIsHeardWithoutTheStore(t *testing.T) {
	r := startTwoRegions(t, basic(1))
	other := startRouterIn(t, r.surroundings, "south", "other", r.router.Listen.Peers)
	await(t, "ready", func() bool { return ready(other) })
	r.down.Store("r1", true)
	r.evacuate("north")
	await(t, "the hall is left", func() bool { return !r.reached(t, r.north) })
}
