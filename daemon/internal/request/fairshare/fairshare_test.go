package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// engine is an engine of 12 places that serves one request after the other from each place.
type engine struct {
	Divider
	now   time.Time
	inUse []time.Time // when each place in use is freed
}

const places = 12

func newEngine() *engine { return &engine{now: epoch} }

// ask queries for a place, and starts the request if it is granted.
func (e *engine) ask(q Query, hold time.Duration) Reason {
	e.inUse = slices.DeleteFunc(e.inUse, func(at time.Time) bool { return !at.After(e.now) })
	room := Room{Fits: len(e.inUse) < places, InUse: len(e.inUse), Max: places - 1}
	reason := e.Decide(q, room, e.now)
	if reason == Granted {
		e.Grant(q, room, e.now)
		e.inUse = append(e.inUse, e.now.Add(hold))
	}
	return reason
}

// searchEnd is a query that no other follows.
func searchEnd(account string, rank int) Query {
	return Query{Account: account, Rank: rank, Ranks: 6, First: true, Last: true}
}

// TestPlacesAreKeptForABoundedTime guards, for random queries, against a place that fits and is
// denied for longer than MaxHold, and against denials of which nobody could make use: without a claim
// of another rank or account within claimTTL, or while the engine has further places.
func TestPlacesAreKeptForABoundedTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEngine()
		var since time.Time // when the place was first denied
		var claims []time.Time
		for range rapid.IntRange(50, 300).Draw(t, "queries") {
			e.now = e.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			q := searchEnd(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "account")), rapid.IntRange(0, 5).Draw(t, "rank"))
			q.Retry = rapid.IntRange(0, 3).Draw(t, "retry") == 0
			before := len(e.inUse)
			reason := e.ask(q, time.Duration(rapid.IntRange(100, 2400).Draw(t, "hold"))*time.Millisecond)
			if reason != ByRank && reason != ByShare {
				since = time.Time{}
			} else {
				if since.IsZero() {
					since = e.now
				}
				assert.Less(t, e.now.Sub(since), MaxHold)
				assert.GreaterOrEqual(t, len(e.inUse), places-keptPlaces)
				assert.True(t, len(claims) > 0 && e.now.Sub(claims[len(claims)-1]) < claimTTL)
			}
			if reason != Granted && !q.Retry {
				claims = append(claims, e.now)
			}
			assert.LessOrEqual(t, len(e.inUse), before+1)
		}
	})
}

// TestSingleCallerGetsEveryFreePlace guards against places that are kept for nobody: a caller that
// asks alone is denied only when the engine is full, whatever its rank and use.
func TestSingleCallerGetsEveryFreePlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEngine()
		for i := range 200 { // others asked before
			e.now = e.now.Add(5 * time.Millisecond)
			e.ask(searchEnd(fmt.Sprint(i%5), i%6), time.Second)
		}
		e.now = e.now.Add(claimTTL)
		rank := rapid.IntRange(0, 5).Draw(t, "rank")
		for range 400 {
			e.now = e.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "pause")) * time.Millisecond)
			assert.Contains(t, []Reason{Granted, Full}, e.ask(searchEnd("alone", rank), time.Second))
		}
	})
}

// source is the requests of one account in one rank.
type source struct {
	account   string
	rank      int
	perSecond float64
}

// serve lets each source's requests arrive at random at 45 engines for 6 s, each of which queries up to
// eight of the engines, 3 ms apart: of two at random the one with fewer places in use when it was last
// queried. It returns how many requests of each source were asked and
// granted after the first 2 s. The rates of sources are per engine.
func serve(sources []source, seed uint64) (asked, granted []float64) {
	type search struct{ source, queries int }
	asked, granted = make([]float64, len(sources)), make([]float64, len(sources))
	rng, due := rand.New(rand.NewPCG(1, seed)), map[int][]search{}
	var fleet [45]*engine
	for i := range fleet {
		fleet[i] = newEngine()
	}
	for ms := range 6000 {
		for i, s := range sources {
			if rng.Float64() < s.perSecond*float64(len(fleet))/1000 {
				due[ms] = append(due[ms], search{source: i})
			}
		}
		rng.Shuffle(len(due[ms]), func(i, j int) { due[ms][i], due[ms][j] = due[ms][j], due[ms][i] })
		for _, s := range due[ms] {
			e := fleet[rng.IntN(len(fleet))]
			if other := fleet[rng.IntN(len(fleet))]; len(other.inUse) < len(e.inUse) {
				e = other
			}
			e.now = epoch.Add(time.Duration(ms) * time.Millisecond)
			q := Query{Account: sources[s.source].account, Rank: sources[s.source].rank, Ranks: 6, First: s.queries == 0, Last: s.queries == 7}
			reason := e.ask(q, 800*time.Millisecond+time.Duration(rng.IntN(800))*time.Millisecond)
			if ms >= 2000 && q.First {
				asked[s.source]++
			}
			switch {
			case reason == Granted && ms >= 2000:
				granted[s.source]++
			case reason != Granted && !q.Last:
				due[ms+3] = append(due[ms+3], search{s.source, s.queries + 1})
			}
		}
		delete(due, ms)
	}
	return asked, granted
}

// TestSharesAreMaxMinFair guards against shares of engine time that differ over some seconds by more than
// 5 in 100 of the whole from the max-min fair ones, apart from sampling noise, and against accounts
// that get nothing.
func TestSharesAreMaxMinFair(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { checkMaxMinFair(t, 1, 1.6, 0.05) })
}

// TestSharesAreMaxMinFairBelowRoom guards against the same while the other accounts ask for less than the
// room, so that places are not scarce all the time.
func TestSharesAreMaxMinFairBelowRoom(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { checkMaxMinFair(t, 0.4, 1, 0.05) })
}

// TestSharesAreNearMaxMinFairBelowRoom guards against a larger difference than the known one of 8 in 100.
func TestSharesAreNearMaxMinFairBelowRoom(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { checkMaxMinFair(t, 0.4, 1, 0.08) })
}

// checkMaxMinFair checks the shares of a busy account that asks for 0.4 to 0.6 times the room, and of others
// that together ask for minLoad to maxLoad times the room.
func checkMaxMinFair(t *rapid.T, minLoad, maxLoad, allowed float64) {
	const room = 10 // requests a second and engine
	var sources []source
	sum := 0.0
	for i, rate := range rapid.SliceOfN(rapid.Float64Range(1, 4), 2, 9).Draw(t, "others") {
		sources = append(sources, source{fmt.Sprint(i), 3, rate})
		sum += rate
	}
	load := rapid.Float64Range(minLoad, maxLoad).Draw(t, "load of the others")
	for i := range sources {
		sources[i].perSecond *= load * room / sum
	}
	sources = append(sources, source{"busy", 3, rapid.Float64Range(0.4, 0.6).Draw(t, "busy") * room})
	asked, granted := serve(sources, rapid.Uint64().Draw(t, "seed"))
	total := 0.0
	for _, grants := range granted {
		total += grants
	}
	level, remaining := 0.0, total
	for i, demand := range slices.Sorted(slices.Values(asked)) {
		if level = remaining / float64(len(asked)-i); demand >= level {
			break
		}
		remaining -= demand
	}
	for i, grants := range granted {
		share := min(asked[i], level) / total
		tolerance := allowed + 2*math.Sqrt(share*(1-share)/total)
		assert.InDelta(t, share, grants/total, tolerance, "account %d: %v of %v", i, granted, asked)
		assert.Positive(t, grants)
	}
}

// TestNoRankStarves guards against a rank that is served less than half as often as all, or more
// often than a more urgent one by more than 5 in 100.
func TestNoRankStarves(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var sources []source
		for rank := range 3 {
			rate := rapid.Float64Range(2, 10).Draw(t, "requests a second")
			for account := range 4 {
				sources = append(sources, source{fmt.Sprint(account), rank, rate / 4})
			}
		}
		asked, granted := serve(sources, rapid.Uint64().Draw(t, "seed"))
		var ratios, noise [3]float64 // noise is twice the standard error
		var allAsked, allGranted float64
		for rank := range ratios {
			var a, g float64
			for i := rank * 4; i < rank*4+4; i++ {
				a, g = a+asked[i], g+granted[i]
			}
			allAsked, allGranted, ratios[rank] = allAsked+a, allGranted+g, g/a
			noise[rank] = 2 * math.Sqrt(max(0, ratios[rank]*(1-ratios[rank]))/a)
		}
		assert.Greater(t, ratios[2], allGranted/allAsked/2-noise[2], "%v", ratios)
		const tolerance = 0.05
		assert.GreaterOrEqual(t, ratios[0], ratios[1]-tolerance-noise[0]-noise[1], "%v", ratios)
		assert.GreaterOrEqual(t, ratios[1], ratios[2]-tolerance-noise[1]-noise[2], "%v", ratios)
	})
}

// TestSumsSurviveDisorder guards, for queries that are lost, doubled or late and for false sizes,
// against sums of accounts and ranks that differ, counts that are not finite, and state that grows
// without bound.
func TestSumsSurviveDisorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Divider{}
		now, granted := epoch, 0.0
		for range rapid.IntRange(1, 600).Draw(t, "queries") {
			now = now.Add(time.Duration(rapid.IntRange(-20, 60).Draw(t, "pause")) * time.Millisecond)
			q := Query{
				Account: fmt.Sprint(rapid.IntRange(0, 2*maxAccounts).Draw(t, "account")),
				Rank:    rapid.IntRange(-1, 2*maxRanks).Draw(t, "rank"), Ranks: rapid.IntRange(0, 2*maxRanks).Draw(t, "ranks"),
				Retry: rapid.Bool().Draw(t, "retry"), First: rapid.Bool().Draw(t, "first"), Last: rapid.Bool().Draw(t, "last"),
				Size: rapid.SampledFrom([]float64{0, -1, 1, 1000, 1e9, math.NaN(), math.Inf(1)}).Draw(t, "size"),
			}
			room := Room{Fits: rapid.Bool().Draw(t, "fits"), InUse: rapid.IntRange(0, 14).Draw(t, "in use"), Max: 11}
			for range rapid.IntRange(1, 2).Draw(t, "copies") {
				if d.Decide(q, room, now) == Granted {
					d.Grant(q, room, now)
					granted += maxCost
				}
			}
			assert.LessOrEqual(t, len(d.accounts), maxAccounts+1)
			assert.LessOrEqual(t, len(d.kept), room.Max+1)
		}
		var accounts, ranks float64
		for _, a := range d.accounts {
			accounts += a.time
		}
		for i := range d.ranks {
			ranks += d.ranks[i].time
		}
		assert.InDelta(t, d.total.time, ranks, 1e-6)
		assert.InDelta(t, d.total.time, accounts, maxCost*forgotten*maxAccounts)
		assert.LessOrEqual(t, accounts, ranks+1e-6)
		assert.LessOrEqual(t, d.total.time, granted)
		assert.False(t, math.IsNaN(d.Share()))
	})
}

// TestRepeatedQueriesOfOneRequestDoNotCount guards against shares that follow how many engines a search
// queried: only its first query counts as demand.
func TestRepeatedQueriesOfOneRequestDoNotCount(t *testing.T) {
	d := &Divider{}
	full := Room{InUse: 12, Max: 11}
	for i := range 8 {
		d.Decide(Query{Account: "a", Rank: 1, Ranks: 3, First: i == 0}, full, epoch)
	}
	d.Decide(Query{Account: "b", Rank: 1, Ranks: 3, First: true, Retry: true}, full, epoch)
	assert.InDelta(t, 1, d.accounts["a"].requests, 1e-9)
	assert.Zero(t, d.accounts["b"].requests, "a retry is the same request")
}

// TestDivisionStartsWithRanks guards against changes for services whose requests carry no rank, and
// against a restarted loader that divides by a past that it does not know.
func TestDivisionStartsWithRanks(t *testing.T) {
	d := &Divider{}
	assert.False(t, d.Applies(Query{Account: "a"}, epoch))
	assert.False(t, d.Applies(Query{Account: "a", Ranks: 1}, epoch))
	assert.True(t, d.Applies(searchEnd("a", 0), epoch))
	d.Decide(searchEnd("a", 0), Room{InUse: 12, Max: 11}, epoch)
	assert.True(t, d.Applies(Query{}, epoch), "a query of another build")
	assert.False(t, d.Applies(Query{}, epoch.Add(window)))
	fits := Room{Fits: true, InUse: 11, Max: 11}
	assert.Equal(t, Granted, d.Decide(searchEnd("b", 5), fits, epoch.Add(settleFor/2)))
	later := epoch.Add(settleFor)
	d.Decide(searchEnd("a", 0), Room{InUse: 12, Max: 11}, later)
	assert.Equal(t, ByRank, d.Decide(searchEnd("b", 5), fits, later))
	assert.Equal(t, Granted, d.Decide(searchEnd("b", 5), fits, later.Add(maxRankHold)))
}

// TestAbsentRanksDoNotCount guards against requests that leave room for ranks which nobody uses, and
// against a router that mixes up ranks right after its start.
func TestAbsentRanksDoNotCount(t *testing.T) {
	r := &RecentRanks{}
	position, present := r.Add(4, 6, epoch)
	assert.Equal(t, []int{4, 6}, []int{position, present})
	r.Add(3, 6, epoch.Add(recentFor))
	position, present = r.Add(4, 6, epoch.Add(recentFor+time.Second))
	assert.Equal(t, []int{1, 2}, []int{position, present})
	position, present = r.Add(0, 2, epoch.Add(recentFor+time.Second))
	assert.Equal(t, []int{0, 2}, []int{position, present}, "the configuration changed")
}
