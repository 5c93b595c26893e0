package pace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/version/pace"
)

const (
	chunks   = 96
	copyTime = 2600 * time.Millisecond
	chunkGap = copyTime / chunks
	// standIn is how long a chunk is overdue until another host asks for it.
	standIn = 900 * time.Millisecond
	// early is the same for a host that is to be done first.
	early = 250 * time.Millisecond
)

// TestAnOutageDoesNotCount replays an origin that is gone for 6 s in the middle of a
// version: at its return hardly more is due than when it went, and nothing is so
// overdue that others stand in.
func TestAnOutageDoesNotCount(t *testing.T) {
	start := time.Unix(1000, 0)
	p := &pace.Pace{Chunks: chunks, CopyTime: copyTime}
	p.Begin(start)
	now := start
	for range 20 {
		now = now.Add(chunkGap)
		p.Came(now)
		p.Seen(20, now)
	}
	gone := p.Due(now, 20)
	p.Failed(20, now)
	now = now.Add(6 * time.Second)
	assert.LessOrEqual(t, p.Due(now, 20), gone)
	assert.Less(t, p.Late(20, now), standIn)

	p.Seen(21, now) // another host has a chunk that nobody had
	assert.Equal(t, gone, p.Due(now, 21))
	assert.LessOrEqual(t, p.Late(20, now), time.Duration(0))
	now = now.Add(10 * chunkGap)
	assert.Equal(t, gone+10, p.Due(now, 21), "it goes on at the origin's pace, whatever is heard of others")
}

// TestAChunkThatNobodyBringsIsOverdueAtLast: the host to which a chunk falls died
// during the outage; this one stands in within 16 s although nothing ever comes, and an early one, which waits a
// quarter of a second, within 5 s.
func TestAChunkThatNobodyBringsIsOverdueAtLast(t *testing.T) {
	start := time.Unix(1000, 0)
	p := &pace.Pace{Chunks: chunks, CopyTime: copyTime}
	p.Begin(start)
	p.Failed(0, start)
	assert.Less(t, p.Late(0, start.Add(3*time.Second)), early)
	assert.Greater(t, p.Late(0, start.Add(5*time.Second)), early)
	assert.Greater(t, p.Late(0, start.Add(16*time.Second)), standIn)
}

// TestWhoStandsInForAnotherWaitsAnew: it finds the origin gone, so the other host is not
// the cause, and at the return it does not ask for what that one is asking for already.
func TestWhoStandsInForAnotherWaitsAnew(t *testing.T) {
	start := time.Unix(1000, 0)
	p := &pace.Pace{Chunks: chunks, CopyTime: copyTime}
	p.Begin(start)
	now := start.Add(2 * time.Second)
	assert.Greater(t, p.Late(0, now), standIn)
	p.Failed(0, now)
	assert.LessOrEqual(t, p.Late(0, now.Add(6*time.Second)), standIn/2)
	assert.Greater(t, p.Waited(0, now.Add(6*time.Second)), 7*time.Second, "but what another host has it waits for")
	p.Answered(5, now.Add(6*time.Second))
	assert.LessOrEqual(t, p.Late(0, now.Add(6*time.Second)), time.Duration(0))
}

// TestOwnSlownessCounts: while others have chunks that this host has not, its own pause
// counts in what it waits for, but for the part that is no pause once one comes.
func TestOwnSlownessCounts(t *testing.T) {
	start := time.Unix(1000, 0)
	p := &pace.Pace{Chunks: chunks, CopyTime: copyTime}
	p.Begin(start)
	now := start
	for i := range chunks {
		now = now.Add(chunkGap)
		p.Seen(i+1, now)
	}
	assert.Equal(t, chunks, p.Due(now, chunks))
	assert.Equal(t, now.Sub(start)-chunkGap, p.Late(0, now))
	p.Came(now)
	assert.Equal(t, pace.Standstill-chunkGap, p.Late(0, now))
}

// TestFewAreAskedForThatNobodyHas: a host that finds the origin gone by nothing but the
// silence asks for a few chunks more, and no more however long it lasts.
func TestFewAreAskedForThatNobodyHas(t *testing.T) {
	start := time.Unix(1000, 0)
	p := &pace.Pace{Chunks: chunks, CopyTime: copyTime}
	p.Begin(start)
	now := start.Add(copyTime / 4)
	p.Seen(10, now)
	assert.LessOrEqual(t, p.Due(now.Add(6*time.Second), 10), 10+24)
	assert.Greater(t, p.Late(0, now.Add(6*time.Second)), 6*time.Second, "but a host may have died")
	now = now.Add(6 * time.Second)
	p.Seen(11, now)
	due := p.Due(now, 11)
	assert.LessOrEqual(t, due, 11+24)
	assert.Equal(t, due+8, p.Due(now.Add(8*chunkGap), 11), "then it goes on")
}

// TestAllAreDueWhereThePaceIsNotKnown: nothing is waited for.
func TestAllAreDueWhereThePaceIsNotKnown(t *testing.T) {
	p := &pace.Pace{Chunks: chunks}
	p.Begin(time.Unix(1000, 0))
	assert.Equal(t, chunks, p.Due(time.Unix(1000, 0), 0))
}

// TestUnderWayTakesWhatTheOriginTakes for all chunks that are asked of it at the same time,
// and no time where that is not known.
func TestUnderWayTakesWhatTheOriginTakes(t *testing.T) {
	quick := &pace.Pace{Chunks: 96, CopyTime: 2580 * time.Millisecond}
	slow := &pace.Pace{Chunks: 96, CopyTime: 4310 * time.Millisecond}
	assert.InDelta(t, 0.32, quick.UnderWay().Seconds(), 0.01)
	assert.InDelta(t, 0.54, slow.UnderWay().Seconds(), 0.01)
	assert.Zero(t, (&pace.Pace{}).UnderWay())
}
