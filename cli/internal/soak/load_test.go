package soak

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

// recordStreams records streams that were sent with a key, of which some were served and the others refused.
func recordStreams(o *Oracle, key string, served, refused int) {
	for i := range served + refused {
		outcome := outcomeOf(standin.StreamPath+"x", http.StatusOK, streamBody())
		if i >= served {
			outcome = outcomeOf(standin.StreamPath+"x", http.StatusServiceUnavailable, "")
		}
		outcome.Key = key
		o.RecordOutcome(outcome)
	}
}

// TestChangesOfTheLoadAreChecked guards against a check that misses callers or an account that are not
// served, or that reports those which a fault may have affected or which sent too few requests.
func TestChangesOfTheLoadAreChecked(t *testing.T) {
	router := func(o *Oracle) { o.BeginFault(RouterKill, "router")() }
	upstream := func(o *Oracle) { o.BeginFault(UpstreamShed, "u")() }
	evacuation := func(o *Oracle) { o.BeginFault(HallEvacuate, "hall-1")() }
	other := func(o *Oracle) { o.BeginFault(RouterKill, "router-2")() }
	for _, c := range []struct {
		name            string
		kind            Kind
		fault           func(o *Oracle)
		served, refused int
		want            []Check
	}{
		{name: "all served", kind: EngineSlow, served: 100},
		{name: "some refused", kind: EngineSlow, served: 97, refused: 3, want: []Check{CheckServed}},
		{name: "refused during a shift", kind: DemandShift, served: 97, refused: 3, want: []Check{CheckServed}},
		{name: "refused after a fault", kind: EngineSlow, fault: upstream, served: 90, refused: 10},
		{name: "refused after an evacuation", kind: DemandShift, fault: evacuation, served: 90, refused: 10},
		{name: "refused after a fault of another router", kind: EngineSlow, fault: other, served: 90, refused: 10, want: []Check{CheckServed}},
		{name: "an account below a quarter", kind: AccountGreedy, fault: upstream, served: 4, refused: 16, want: []Check{CheckShares}},
		{name: "an account above a quarter", kind: AccountGreedy, fault: upstream, served: 5, refused: 15},
		{name: "an account that sent few requests", kind: AccountGreedy, fault: upstream, refused: 19},
		{name: "an account whose router was killed", kind: AccountGreedy, fault: router, refused: 20},
		{name: "an account below a quarter during another step", kind: EngineSlow, fault: upstream, refused: 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				oracle := &Oracle{Start: time.Now()}
				if c.fault != nil {
					c.fault(oracle)
				}
				recordStreams(oracle, accountKey(1), 0, 100) // not counted: before the step
				end := oracle.BeginLoad(c.kind)
				if c.kind == AccountGreedy {
					recordStreams(oracle, accountKey(2), 380, 20)
				}
				recordStreams(oracle, accountKey(1), c.served, c.refused)
				end()
				recordStreams(oracle, accountKey(1), 0, 100) // not counted: after the step
				var got []Check
				for _, v := range oracle.Violations() {
					got = append(got, v.Check)
				}
				assert.Equal(t, c.want, got)
			})
		})
	}
}

// TestDemandShiftMovesHalfOfAHallBack guards against callers that stay at another hall's routers, also if
// two shifts overlap.
func TestDemandShiftMovesHalfOfAHallBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{size: Size{Halls: 2}, oracle: &Oracle{}}
		for i := range 8 {
			r := &router{process: &process{name: fmt.Sprint(i)}, hall: f.halls()[i/4]}
			f.routers = append(f.routers, r)
			c := &caller{home: r}
			c.destination.Store(r)
			f.callers = append(f.callers, c)
		}
		count := func() (inFirst, home int) {
			for _, c := range f.callers {
				if c.destination.Load().hall == f.halls()[0] {
					inFirst++
				}
				if c.destination.Load() == c.home {
					home++
				}
			}
			return inFirst, home
		}
		go f.shiftDemand(0, 3*time.Second)
		synctest.Wait()
		inFirst, home := count()
		assert.Equal(t, []int{2, 6}, []int{inFirst, home})
		go f.shiftDemand(1, 2*time.Second)
		synctest.Wait()
		inFirst, home = count()
		assert.Equal(t, []int{4, 4}, []int{inFirst, home})
		f.wait(4 * time.Second)
		_, home = count()
		assert.Equal(t, len(f.callers), home)
	})
}
