package lab

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// Policy is a way to decide. The zero value is the one that routers have.
type Policy struct {
	Name string
	// CameBack makes, for each play, what says whether a router takes a caller for one who
	// came back; nil means as routers do.
	CameBack func() knows
	// Ways vary how places are looked for; nil means as routers do.
	Ways *admission.Policy
	// Back is when a refused caller is to come back; nil means as routers do.
	Back func(draw *rand.Rand, left time.Duration) time.Duration
}

// knows says whether a router takes a caller for one who came back.
type knows func(r *router, c *caller) bool

// byTimes is how routers know.
func byTimes(r *router, c *caller) bool {
	return r.callers.IsRetry(admission.Arrival{Route: c.kind.Name, Remaining: c.left(), Declared: c.kind.Deadline})
}

// newKnows makes what a play asks.
func (p Policy) newKnows() knows {
	if p.CameBack == nil {
		return byTimes
	}
	return p.CameBack()
}

// cameBack asks whether a caller came back, and counts how often the answer is right.
func (p *play) cameBack(r *router, c *caller) bool {
	known := p.knows(r, c)
	switch {
	case known && c.refusals > 0:
		c.backKnown = 1
	case known:
		c.takenForBack = 1
	}
	return known
}

func (p Policy) back(draw *rand.Rand, c *caller) time.Duration {
	if p.Back != nil {
		return p.Back(draw, c.left())
	}
	return admission.RetryAfter(admission.EnginesFull, draw.Float64())
}

// between draws a time to come back between two.
func between(least, most time.Duration) func(*rand.Rand, time.Duration) time.Duration {
	return func(draw *rand.Rand, _ time.Duration) time.Duration {
		return least + time.Duration(draw.Float64()*float64(most-least))
	}
}

// ways are the standing ways with one changed.
func ways(change func(w *admission.Policy)) *admission.Policy {
	w := admission.DefaultPolicy()
	change(&w)
	return &w
}

// Policies are the ways that can be compared, the standing one first.
func Policies() []Policy {
	const second = time.Second
	return []Policy{
		{Name: "now"},
		{Name: "back-unknown", CameBack: func() knows { return nobody }},
		{Name: "back-same-time", CameBack: sameTime},
		{Name: "back-sketch", CameBack: sketch},
		{Name: "back-known", CameBack: func() knows { return oracle }},
		{Name: "return-soon", Back: between(second*3/10, second*9/10)},
		{Name: "return-late", Back: between(second*16/10, second*2)},
		{Name: "return-wide", Back: between(second*3/10, second*2)},
		{Name: "look-5", Ways: ways(func(w *admission.Policy) { w.MaxQueries, w.MaxOvercommit = 5, 0 })},
		{Name: "look-8", Ways: ways(func(w *admission.Policy) { w.MaxQueries, w.MaxOvercommit = 8, 0 })},
		{Name: "look-5-beyond-1", Ways: ways(func(w *admission.Policy) { w.MaxQueries, w.MaxOvercommit = 5, 1 })},
		{Name: "look-8-beyond-1", Ways: ways(func(w *admission.Policy) { w.MaxQueries, w.MaxOvercommit = 8, 1 })},
		{Name: "look-8-beyond-2", Ways: ways(func(w *admission.Policy) { w.MaxQueries, w.MaxOvercommit = 8, 2 })},
		{Name: "look-8-wait-soon", Ways: ways(func(w *admission.Policy) { w.MaxQueries, w.QueriesPerStep, w.MaxOvercommit = 8, 1, 1 })},
		{Name: "look-10-beyond-1", Ways: ways(func(w *admission.Policy) { w.MaxQueries, w.MaxOvercommit = 10, 1 })},
		{Name: "back-any-place", Ways: ways(func(w *admission.Policy) { w.RetryReserve = 0 })},
		{Name: "back-half-free", Ways: ways(func(w *admission.Policy) { w.RetryReserve = 0.5 })},
	}
}

// PolicyNames are the names of all policies.
func PolicyNames() []string {
	var names []string
	for _, p := range Policies() {
		names = append(names, p.Name)
	}
	return names
}

// FindPolicy returns a policy by its name.
func FindPolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("policy %q: use one of %s", name, strings.Join(PolicyNames(), ", "))
}

// sameTime is the way before: whoever has less than the longest time of a route came back,
// unless half of its callers do.
func sameTime() knows {
	type seen struct {
		longest    time.Duration
		all, whole int
	}
	routes := map[*router]map[string]*seen{}
	return func(r *router, c *caller) bool {
		if routes[r] == nil {
			routes[r] = map[string]*seen{}
		}
		s, left := routes[r][c.kind.Name], c.left()
		if s == nil || float64(left)*0.98 > float64(s.longest) {
			s = &seen{longest: left}
			routes[r][c.kind.Name] = s
		}
		s.all++
		whole := float64(left) >= 0.98*float64(s.longest)
		if whole {
			s.whole++
		}
		return !whole && s.all >= 8 && 2*s.whole >= s.all
	}
}

// sketch is the way in which routers tell each other the digests of what they refused, which
// all know sketchDelay later. It stands for an exchange without loss: a smaller one takes
// some first callers for others, and costs each router some bytes for each refusal of all.
func sketch() knows {
	const sketchDelay = 40 * time.Millisecond
	refused := map[uint64]time.Duration{}
	return func(_ *router, c *caller) bool {
		now := c.play.events.now
		at, known := refused[c.content]
		if !known {
			refused[c.content] = now // one that is served does not come again
		}
		return known && now-at >= sketchDelay
	}
}

// nobody takes nobody for one who came back.
func nobody(*router, *caller) bool { return false }

// oracle knows who did.
func oracle(_ *router, c *caller) bool { return c.refusals > 0 }
