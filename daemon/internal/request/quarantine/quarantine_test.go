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

func end(upstream string, started int64) quarantine.End {
	return quarantine.End{Upstream: upstream, Started: time.UnixMilli(started)}
}

func note(number int, ends ...quarantine.End) quarantine.Note {
	return quarantine.Note{Content: named(number), Ends: ends}
}

// TestVerdictsFollowTheEnds: each end counts once, by whomever it is told, and an upstream
// that started again under its id counts anew.
func TestVerdictsFollowTheEnds(t *testing.T) {
	table := &quarantine.Table{}
	assert.Equal(t, quarantine.Free, table.Judge(named(1), start))
	assert.True(t, table.Take(note(1, end("a", 1)), start))
	assert.False(t, table.Take(note(1, end("a", 1), end("a", 1)), start), "the same end, told again")
	assert.Equal(t, quarantine.Free, table.Judge(named(1), start))
	assert.True(t, table.Take(note(1, end("a", 1), end("a", 2)), start))
	assert.Equal(t, quarantine.Once, table.Judge(named(1), start))
	assert.True(t, table.Take(note(1, end("b", 1)), start))
	assert.Equal(t, quarantine.Held, table.Judge(named(1), start))
	assert.Equal(t, quarantine.Free, table.Judge(named(2), start))
	assert.Len(t, table.Note(named(1)).Ends, 3)

	assert.True(t, table.Take(quarantine.Note{Content: named(1), Cleared: true}, start))
	assert.False(t, table.Take(quarantine.Note{Content: named(1), Cleared: true}, start))
	assert.Equal(t, quarantine.Free, table.Judge(named(1), start))
	assert.Empty(t, table.Notes())
}

// TestAnEndByTheSameEntryIsAnother where the request was sent after the one before was heard
// of: the entry of an upstream that started again may be read late.
func TestAnEndByTheSameEntryIsAnother(t *testing.T) {
	table := &quarantine.Table{}
	first := table.End(named(1), "a", time.UnixMilli(1), start)
	assert.Equal(t, end("a", 1), first)
	table.Take(note(1, first), start.Add(time.Second))
	assert.Equal(t, first, table.End(named(1), "a", time.UnixMilli(1), start.Add(time.Second)), "under way when it ended")
	again := table.End(named(1), "a", time.UnixMilli(1), start.Add(2*time.Second))
	assert.Equal(t, 1, again.Again)
	assert.True(t, table.Take(note(1, again), start.Add(2*time.Second)))
	assert.Equal(t, quarantine.Once, table.Judge(named(1), start.Add(2*time.Second)))
	assert.Zero(t, table.End(named(1), "a", time.UnixMilli(2), start.Add(3*time.Second)).Again)
	assert.Equal(t, 2, table.End(named(1), "a", time.UnixMilli(1), start.Add(3*time.Second)).Again)
}

// TestHeldBackForABoundedTime: then one upstream is risked, and one more end holds the
// content back for twice as long.
func TestHeldBackForABoundedTime(t *testing.T) {
	table := &quarantine.Table{}
	now := start
	table.Take(note(1, end("a", 1), end("b", 1), end("c", 1)), now)
	for round, held := range []time.Duration{10 * time.Minute, 20 * time.Minute, 40 * time.Minute} {
		now = now.Add(held - time.Second)
		assert.Equal(t, quarantine.Held, table.Judge(named(1), now))
		now = now.Add(time.Second)
		assert.Equal(t, quarantine.Once, table.Judge(named(1), now))
		table.Take(note(1, end(fmt.Sprint("d", round), 1)), now)
		assert.Equal(t, quarantine.Held, table.Judge(named(1), now))
	}

	table.Take(note(2, end("a", 1), end("b", 1)), now)
	assert.Equal(t, quarantine.Free, table.Judge(named(2), now.Add(10*time.Minute)), "what was never held back is forgotten")
}

// TestManyContentsPushOutNone that is held back: the table is bounded against a caller who
// sends thousands.
func TestManyContentsPushOutNone(t *testing.T) {
	table := &quarantine.Table{}
	table.Take(note(0, end("a", 1), end("b", 1), end("c", 1)), start)
	const many = 10000
	for i := 1; i <= many; i++ {
		table.Take(note(i, end("a", 1)), start.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, quarantine.Held, table.Judge(named(0), start.Add(many*time.Millisecond)))
	assert.LessOrEqual(t, len(table.Notes()), 4096)
	assert.Equal(t, []quarantine.End{end("a", 1)}, table.Note(named(many)).Ends, "the newest is kept")
}

// TestRoutersAgree: whatever the order in which notes come, and however often, routers that
// had the same ones give the same verdicts.
func TestRoutersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		notes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Note {
			ends := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.End {
				return end(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream"), rapid.Int64Range(1, 2).Draw(t, "started"))
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
