package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

var start = time.Unix(1000, 0)

func named(number int) content.Name {
	var name content.Name
	binary.BigEndian.PutUint64(name[:], uint64(number))
	return name
}

// end is one of some depth.
func end(upstream string, started int64, depth int) quarantine.End {
	return quarantine.End{Upstream: upstream, Started: time.UnixMilli(started), Depth: depth}
}

func note(number int, ends ...quarantine.End) quarantine.Note {
	return quarantine.Note{Content: named(number), Ends: ends}
}

// ended is an end that counts.
func ended(table *quarantine.Table, sent quarantine.Sent, now time.Time) quarantine.End {
	one, counts := table.End(sent, now)
	if !counts {
		panic("the end does not count")
	}
	return one
}

// TestVerdictsFollowTheDepth: each end counts once, by whomever it is told, and an upstream
// that started again under its id counts anew.
func TestVerdictsFollowTheDepth(t *testing.T) {
	table := &quarantine.Table{}
	assert.Equal(t, quarantine.Free, table.Judge(named(1), start))
	assert.True(t, table.Take(note(1, end("a", 1, 1)), start))
	assert.False(t, table.Take(note(1, end("a", 1, 1), end("a", 1, 1)), start), "the same end, told again")
	assert.Equal(t, quarantine.Free, table.Judge(named(1), start))
	assert.True(t, table.Take(note(1, end("a", 1, 1), end("a", 2, 2)), start))
	assert.Equal(t, quarantine.Once, table.Judge(named(1), start))
	assert.True(t, table.Take(note(1, end("b", 1, 2)), start))
	assert.Equal(t, quarantine.Once, table.Judge(named(1), start), "no deeper")
	assert.True(t, table.Take(note(1, end("b", 1, 3)), start), "known deeper elsewhere")
	assert.Equal(t, quarantine.Held, table.Judge(named(1), start))
	assert.Equal(t, quarantine.Free, table.Judge(named(2), start))
	assert.Len(t, table.Note(named(1)).Ends, 3)
	assert.True(t, table.Note(named(1)).Deep())
	assert.False(t, note(2, end("a", 1, 2)).Deep())

	assert.True(t, table.Take(quarantine.Note{Content: named(1), Cleared: true}, start))
	assert.False(t, table.Take(quarantine.Note{Content: named(1), Cleared: true}, start))
	assert.Equal(t, quarantine.Free, table.Judge(named(1), start))
	assert.Empty(t, table.Notes())
}

// TestEndsThatComeTogetherAreOneDeep: a hall loses its power, and with it twenty upstreams
// that all run the same popular request. It would be refused everywhere for ten minutes.
func TestEndsThatComeTogetherAreOneDeep(t *testing.T) {
	table := &quarantine.Table{}
	const upstreams = 20
	now := start
	for i := range upstreams {
		now = now.Add(5 * time.Millisecond)
		one := ended(table, quarantine.Sent{Content: named(1), Upstream: fmt.Sprint("u", i), At: start}, now)
		assert.Equal(t, 1, one.Depth)
		table.Take(note(1, one), now)
	}
	assert.Equal(t, quarantine.Free, table.Judge(named(1), now))
	now = now.Add(time.Second)
	next := ended(table, quarantine.Sent{Content: named(1), Upstream: "v", At: now}, now)
	assert.Equal(t, 2, next.Depth)
	assert.True(t, table.Take(note(1, next), now), "a deeper one counts in a full record too")
	assert.Equal(t, quarantine.Once, table.Judge(named(1), now))
}

// TestAHastyCallerIsHeldBack: visits that follow each other at once, whose upstreams end at
// once, are deep although their ends come within a few milliseconds.
func TestAHastyCallerIsHeldBack(t *testing.T) {
	table := &quarantine.Table{}
	now := start
	for depth, want := range []quarantine.Verdict{quarantine.Free, quarantine.Once, quarantine.Held} {
		sent := quarantine.Sent{Content: named(1), Upstream: fmt.Sprint("u", depth), At: now.Add(time.Millisecond)}
		now = now.Add(2 * time.Millisecond)
		table.Take(note(1, ended(table, sent, now)), now)
		assert.Equal(t, want, table.Judge(named(1), now))
	}
}

// TestAnEndByTheSameEntryIsAnother where the request was sent after the one before was heard
// of: the entry of an upstream that started again may be read late.
func TestAnEndByTheSameEntryIsAnother(t *testing.T) {
	table := &quarantine.Table{}
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	sent := func(seconds int, started int64) quarantine.Sent {
		return quarantine.Sent{Content: named(1), Upstream: "a", Started: time.UnixMilli(started), At: at(seconds)}
	}
	first := ended(table, sent(0, 1), at(1))
	assert.Equal(t, end("a", 1, 1), first)
	table.Take(note(1, first), at(1))
	assert.Zero(t, ended(table, sent(1, 1), at(1)).Again, "under way when it ended")
	again := ended(table, sent(2, 1), at(3))
	assert.Equal(t, 1, again.Again)
	assert.True(t, table.Take(note(1, again), at(3)))
	assert.Equal(t, quarantine.Once, table.Judge(named(1), at(3)))
	assert.Equal(t, 2, ended(table, sent(4, 1), at(5)).Again)
	assert.Zero(t, ended(table, sent(4, 2), at(5)).Again)
}

// TestHeldBackForABoundedTime: then one router sends it once, and one more end holds the
// content back for four times as long.
func TestHeldBackForABoundedTime(t *testing.T) {
	table := &quarantine.Table{}
	now := start
	table.Take(note(1, end("a", 1, 1), end("b", 1, 2), end("c", 1, 3)), now)
	for round, held := range []time.Duration{15 * time.Second, time.Minute, 4 * time.Minute} {
		now = now.Add(held - time.Second)
		assert.Equal(t, quarantine.Held, table.Admit(named(1), true, now))
		now = now.Add(time.Second)
		assert.Equal(t, quarantine.Held, table.Admit(named(1), false, now), "it is for another router to try")
		assert.Equal(t, quarantine.Once, table.Admit(named(1), true, now))
		assert.Equal(t, quarantine.Held, table.Admit(named(1), true, now), "one at a time")
		assert.Equal(t, quarantine.Once, table.Judge(named(1), now), "the one that was let in goes on")
		one := ended(table, quarantine.Sent{Content: named(1), Upstream: fmt.Sprint("d", round), At: now}, now.Add(time.Second))
		assert.Equal(t, 3, one.Depth)
		table.Take(note(1, one), now)
		assert.Equal(t, quarantine.Held, table.Judge(named(1), now))
	}
	now = now.Add(16 * time.Minute)
	assert.Equal(t, quarantine.Once, table.Admit(named(1), true, now))
	now = now.Add(10 * time.Second)
	assert.Equal(t, quarantine.Once, table.Admit(named(1), true, now), "nothing came of the one before")
	table.Take(quarantine.Note{Content: named(1), Cleared: true}, now)
	assert.Equal(t, quarantine.Free, table.Admit(named(1), false, now))

	table.Take(note(2, end("a", 1, 1), end("b", 1, 2)), now)
	assert.Equal(t, quarantine.Once, table.Admit(named(2), false, now), "not held back")
	assert.Equal(t, quarantine.Free, table.Judge(named(2), now.Add(10*time.Minute)), "what was never held back is forgotten")
}

// TestManyContentsPushOutNone that is held back: the table is bounded against a caller who
// sends thousands.
func TestManyContentsPushOutNone(t *testing.T) {
	table := &quarantine.Table{}
	table.Take(note(0, end("a", 1, 1), end("b", 1, 2), end("c", 1, 3)), start)
	const many = 10000
	for i := 1; i <= many; i++ {
		table.Take(note(i, end("a", 1, 1)), start.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, quarantine.Held, table.Judge(named(0), start.Add(many*time.Millisecond)))
	assert.LessOrEqual(t, len(table.Notes()), 4096)
	assert.Equal(t, []quarantine.End{end("a", 1, 1)}, table.Note(named(many)).Ends, "the newest is kept")
}

// TestRoutersAgree: whatever the order in which notes come, and however often, routers that
// had the same ones give the same verdicts.
func TestRoutersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		notes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Note {
			ends := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.End {
				return end(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream"), rapid.Int64Range(1, 2).Draw(t, "started"), rapid.IntRange(1, 3).Draw(t, "depth"))
			}), 1, 3).Draw(t, "ends")
			return note(rapid.IntRange(1, 3).Draw(t, "content"), ends...)
		}), 1, 20).Draw(t, "notes")
		one, other := &quarantine.Table{}, &quarantine.Table{}
		for _, n := range notes {
			one.Take(n, start)
		}
		for _, n := range rapid.Permutation(append(notes, notes...)).Draw(t, "order") {
			other.Take(n, start)
		}
		for number := range 4 {
			assert.Equal(t, one.Judge(named(number), start), other.Judge(named(number), start))
			assert.ElementsMatch(t, one.Note(named(number)).Ends, other.Note(named(number)).Ends)
		}
	})
}

// TestStaleNewsDoesNotUndoAClearing: messages about ends were on their way to a router when an
// operator lifted what stood against their content. They came after it, and the content was
// held back again, at that router alone, for as long as at first.
func TestStaleNewsDoesNotUndoAClearing(t *testing.T) {
	table := &quarantine.Table{}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	ends := []quarantine.End{end("a", 1, 1), end("b", 1, 2), end("c", 1, 3)}
	table.Take(note(1, ends[:2]...), at(0))
	assert.True(t, table.Take(quarantine.Note{Content: named(1), Cleared: true}, at(10)))
	assert.Empty(t, table.Note(named(1)).Ends)
	for _, stale := range ends {
		assert.False(t, table.Take(note(1, stale), at(300)), "%s was known, or is deeper than any end since could be", stale.Upstream)
	}
	assert.Equal(t, quarantine.Free, table.Judge(named(1), at(300)))
	assert.Empty(t, table.Notes())

	next := ended(table, quarantine.Sent{Content: named(1), Upstream: "a", Started: time.UnixMilli(1), At: at(400)}, at(500))
	assert.Equal(t, quarantine.End{Upstream: "a", Started: time.UnixMilli(1), Again: 1, Depth: 1}, next, "a new end by the same entry")
	assert.True(t, table.Take(note(1, next), at(500)))
	for depth := 2; depth <= 3; depth++ {
		assert.True(t, table.Take(note(1, end("d", int64(depth), depth)), at(500+depth)), "ends since the clearing count")
	}
	assert.Equal(t, quarantine.Held, table.Judge(named(1), at(600)))

	unaware := &quarantine.Table{}
	assert.False(t, unaware.Take(quarantine.Note{Content: named(1), Cleared: true}, at(10)), "nothing stood against it here")
	assert.False(t, unaware.Take(note(1, ends[2]), at(300)), "an end that it would have heard of before")
	later := &quarantine.Table{}
	later.Take(note(1, ends[:2]...), at(0))
	later.Take(quarantine.Note{Content: named(1), Cleared: true}, at(10))
	assert.True(t, later.Take(note(1, ends[2]), at(60_000)), "a clearing does not count for ever")
}

// TestWhatIsAnsweredWholeIsNotTheCause: three deadly requests ended four engines within 0.12 s,
// one after the other, and a request that many callers send alike ran at each of them: it was
// three ends deep and held back, though it had been answered whole a moment before.
func TestWhatIsAnsweredWholeIsNotTheCause(t *testing.T) {
	popular, deadly := named(1), named(2)
	table := &quarantine.Table{}
	now := start
	for i := range 4 {
		table.Whole(popular, now)
		now = now.Add(30 * time.Millisecond)
		for _, name := range []content.Name{popular, deadly} {
			one, counts := table.End(quarantine.Sent{Content: name, Upstream: fmt.Sprint("u", i), At: now.Add(-10 * time.Millisecond)}, now)
			assert.Equal(t, name == deadly, counts)
			if counts {
				table.Take(quarantine.Note{Content: name, Ends: []quarantine.End{one}}, now)
			}
		}
	}
	assert.Equal(t, quarantine.Free, table.Judge(popular, now))
	assert.Equal(t, quarantine.Held, table.Judge(deadly, now))

	now = now.Add(4 * time.Second)
	_, counts := table.End(quarantine.Sent{Content: popular, Upstream: "u9", At: now}, now)
	assert.True(t, counts, "what has become deadly since has no whole answers")
}
