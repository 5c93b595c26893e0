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

// twoRegions is a store with one upstream in each of two halls, which are in different regions,
// and a router in the first.
type twoRegions struct {
	*testStore
	north, south *upstream
	router       settings.Router
}

func startTwoRegions(t *testing.T, configuration provider.Configuration) *twoRegions {
	t.Helper()
	r := &twoRegions{
		testStore: &testStore{}, north: startUpstream(t, "north", answerOK), south: startUpstream(t, "south", answerOK),
	}
	r.configure(configuration)
	for _, u := range []*upstream{r.north, r.south} {
		record := u.record()
		record.Hall = u.id
		r.register(record)
	}
	p, cfg := newRouter(t, r.testStore, settings.Router{Name: "r1", Hall: "north", Regions: []settings.HallRegion{
		{Hall: "north", Region: "region of north"}, {Hall: "south", Region: "region of south"},
	}})
	require.NoError(t, p.Start())
	t.Cleanup(func() { _ = p.Stop(t.Context()) })
	r.router = cfg
	await(t, "ready", func() bool { return ready(cfg) })
	return r
}

// send sends 12 requests and returns the number of answers by status.
func (r *twoRegions) send(t *testing.T, idPrefix string) map[int]int {
	t.Helper()
	statuses := map[int]int{}
	for i := range 12 {
		statuses[call(t, r.router, fmt.Sprintf("%s-%d", idPrefix, i), "GET", "/safe/x", "").status]++
	}
	return statuses
}

// TestRequestsStayInAllowedRegions expects the regions of a route and of an account to apply
// together, also for retries. With no upstream left, requests are refused at once.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	for name, restrict := range map[string]func(*provider.Configuration){
		"a route's": func(c *provider.Configuration) {
			for i := range c.Routes {
				c.Routes[i].AllowedRegions = []string{"region of south"}
			}
		},
		"an account's": func(c *provider.Configuration) { c.Accounts[0].AllowedRegions = []string{"region of south"} },
		"both": func(c *provider.Configuration) {
			for i := range c.Routes {
				c.Routes[i].AllowedRegions = []string{"region of south", "region of north"}
			}
			c.Accounts[0].AllowedRegions = []string{"region of south", "region of west"}
		},
	} {
		t.Run(name, func(t *testing.T) {
			configuration := baseConfiguration(1)
			restrict(&configuration)
			r := startTwoRegions(t, configuration)
			assert.Equal(t, map[int]int{http.StatusOK: 12}, r.send(t, "home"))
			assert.Zero(t, r.north.received.Load())
			assert.Equal(t, int64(12), r.south.received.Load())

			failing := upstreamFunc(func(req *http.Request, conn net.Conn) {
				writeAnswer(req, conn, http.StatusInternalServerError, "failed", "")
			})
			r.south.answer.Store(&failing)
			assert.Equal(t, map[int]int{http.StatusInternalServerError: 12}, r.send(t, "failing"))
			assert.Zero(t, r.north.received.Load(), "retries stay in the regions too")

			r.remove("u/south")
			await(t, "the upstream is removed", func() bool {
				return call(t, r.router, "gone", "GET", "/safe/x", "").status == http.StatusServiceUnavailable
			})
			started := time.Now()
			got := call(t, r.router, "none", "GET", "/safe/x", "")
			assert.Equal(t, http.StatusServiceUnavailable, got.status)
			assert.NotEmpty(t, got.header.Get("Retry-After"))
			assert.Less(t, time.Since(started), 4*time.Second, "refused before the deadline of 5 s")
			assert.Zero(t, r.north.received.Load())
		})
	}
}

// TestUnknownRegionAllowsNoUpstream guards against treating a list without any known region like
// an empty list, which allows all regions.
func TestUnknownRegionAllowsNoUpstream(t *testing.T) {
	configuration := baseConfiguration(1)
	configuration.Accounts[0].AllowedRegions = []string{"moon"}
	r := startTwoRegions(t, configuration)
	assert.Equal(t, map[int]int{http.StatusServiceUnavailable: 12}, r.send(t, "nowhere"))
	assert.Zero(t, r.north.received.Load()+r.south.received.Load())
}

func (r *twoRegions) evacuate(hall string) {
	r.put("e/"+hall, encodeRecord(provider.Record{EvacuatedHall: hall}))
}

// reached reports whether an upstream receives requests.
func (r *twoRegions) reached(t *testing.T, u *upstream) bool {
	t.Helper()
	before := u.received.Load()
	r.send(t, "reach")
	return u.received.Load() > before
}

// TestEvacuatedHallGetsNoRequests expects no requests to an evacuated hall until the evacuation
// is withdrawn. With all halls evacuated requests are refused at once, and an unknown hall has no
// effect.
func TestEvacuatedHallGetsNoRequests(t *testing.T) {
	r := startTwoRegions(t, baseConfiguration(1))
	r.evacuate("nowhere")
	r.evacuate("north")
	await(t, "the hall gets no requests", func() bool { return !r.reached(t, r.north) })
	assert.Equal(t, map[int]int{http.StatusOK: 12}, r.send(t, "south"))
	assert.False(t, r.reached(t, r.north))

	r.evacuate("south")
	await(t, "no hall gets requests", func() bool {
		return r.send(t, "none")[http.StatusServiceUnavailable] == 12
	})
	received := r.north.received.Load() + r.south.received.Load()
	assert.NotEmpty(t, call(t, r.router, "refused", "GET", "/safe/x", "").header.Get("Retry-After"))
	assert.Equal(t, received, r.north.received.Load()+r.south.received.Load())

	r.remove("e/north")
	await(t, "the hall gets requests again", func() bool { return r.reached(t, r.north) })
	assert.False(t, r.reached(t, r.south))
}

// TestEvacuationPropagatesWithoutStore expects a router that cannot reach the store to receive an
// evacuation from a peer.
func TestEvacuationPropagatesWithoutStore(t *testing.T) {
	r := startTwoRegions(t, baseConfiguration(1))
	other := startRouterIn(t, r.testStore, "south", "other", r.router.Listen.Peers)
	await(t, "ready", func() bool { return ready(other) })
	r.unreachable.Store("r1", true)
	r.evacuate("north")
	await(t, "the hall gets no requests", func() bool { return !r.reached(t, r.north) })
}
