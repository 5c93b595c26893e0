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
	// takeover is how long a chunk is overdue before another host requests it.
	takeover = 900 * time.Millisecond
	// earlyTakeover is the same for an early host.
	earlyTakeover = 250 * time.Millisecond
)

// TestTimelineResumesWhereAnOutageStoppedIt: after an outage no more chunks are due than before
// it, and none is so overdue that other hosts take over.
func TestTimelineResumesWhereAnOutageStoppedIt(t *testing.T) {
	start := time.Unix(1000, 0)
	timeline := &pace.Timeline{Chunks: chunks, CopyTime: copyTime}
	timeline.Start(start)
	now := start
	for range 20 {
		now = now.Add(chunkGap)
		timeline.ChunkReceived(now)
		timeline.NewChunkSeen(20, now)
	}
	dueBefore := timeline.DueChunks(now, 20)
	timeline.OriginFailed(20, now)
	now = now.Add(6 * time.Second)
	assert.LessOrEqual(t, timeline.DueChunks(now, 20), dueBefore)
	assert.Less(t, timeline.OriginOverdue(20, now), takeover)

	timeline.NewChunkSeen(21, now) // another host reports a new chunk
	assert.Equal(t, dueBefore, timeline.DueChunks(now, 21))
	assert.LessOrEqual(t, timeline.OriginOverdue(20, now), time.Duration(0))
	now = now.Add(10 * chunkGap)
	assert.Equal(t, dueBefore+10, timeline.DueChunks(now, 21), "the timeline runs at the origin's rate without further reports")
}

// TestChunkOfCrashedHostBecomesOverdueDuringOutage guards against a chunk that no host ever
// requests because its assigned host crashed during an outage: an early host takes it over
// within 5 s and any other within 16 s, although the origin keeps failing.
func TestChunkOfCrashedHostBecomesOverdueDuringOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	timeline := &pace.Timeline{Chunks: chunks, CopyTime: copyTime}
	timeline.Start(start)
	timeline.OriginFailed(0, start)
	assert.Less(t, timeline.OriginOverdue(0, start.Add(3*time.Second)), earlyTakeover)
	assert.Greater(t, timeline.OriginOverdue(0, start.Add(5*time.Second)), earlyTakeover)
	assert.Greater(t, timeline.OriginOverdue(0, start.Add(16*time.Second)), takeover)
}

// TestTakeoverWaitRestartsAfterOriginFailure: when a takeover fails, the origin and not the
// assigned host is the cause, so the host must not request the same chunk as that host when the
// origin recovers.
func TestTakeoverWaitRestartsAfterOriginFailure(t *testing.T) {
	start := time.Unix(1000, 0)
	timeline := &pace.Timeline{Chunks: chunks, CopyTime: copyTime}
	timeline.Start(start)
	now := start.Add(2 * time.Second)
	assert.Greater(t, timeline.OriginOverdue(0, now), takeover)
	timeline.OriginFailed(0, now)
	assert.LessOrEqual(t, timeline.OriginOverdue(0, now.Add(6*time.Second)), takeover/2)
	assert.Greater(t, timeline.PeerOverdue(0, now.Add(6*time.Second)), 7*time.Second, "a chunk that a peer has stays overdue")
	timeline.OriginAnswered(5, now.Add(6*time.Second))
	assert.LessOrEqual(t, timeline.OriginOverdue(0, now.Add(6*time.Second)), time.Duration(0))
}

// TestLocalStallCountsUntilNextChunk: while other hosts have the chunks, the entire stall of this
// host counts as overdue time; once a chunk arrives only the first StallThreshold of it does.
func TestLocalStallCountsUntilNextChunk(t *testing.T) {
	start := time.Unix(1000, 0)
	timeline := &pace.Timeline{Chunks: chunks, CopyTime: copyTime}
	timeline.Start(start)
	now := start
	for i := range chunks {
		now = now.Add(chunkGap)
		timeline.NewChunkSeen(i+1, now)
	}
	assert.Equal(t, chunks, timeline.DueChunks(now, chunks))
	assert.Equal(t, now.Sub(start)-chunkGap, timeline.OriginOverdue(0, now))
	timeline.ChunkReceived(now)
	assert.Equal(t, pace.StallThreshold-chunkGap, timeline.OriginOverdue(0, now))
}

// TestPausedTimelineBoundsChunksDue: a host that sees no new chunk, and no failure of the origin
// either, requests a few more chunks and no more than these however long the pause is.
func TestPausedTimelineBoundsChunksDue(t *testing.T) {
	start := time.Unix(1000, 0)
	timeline := &pace.Timeline{Chunks: chunks, CopyTime: copyTime}
	timeline.Start(start)
	now := start.Add(copyTime / 4)
	timeline.NewChunkSeen(10, now)
	assert.LessOrEqual(t, timeline.DueChunks(now.Add(6*time.Second), 10), 10+24)
	assert.Greater(t, timeline.OriginOverdue(0, now.Add(6*time.Second)), 6*time.Second, "the assigned host may have crashed")
	now = now.Add(6 * time.Second)
	timeline.NewChunkSeen(11, now)
	due := timeline.DueChunks(now, 11)
	assert.LessOrEqual(t, due, 11+24)
	assert.Equal(t, due+8, timeline.DueChunks(now.Add(8*chunkGap), 11), "the timeline has resumed")
}

func TestAllChunksAreDueWhereCopyTimeIsUnknown(t *testing.T) {
	timeline := &pace.Timeline{Chunks: chunks}
	timeline.Start(time.Unix(1000, 0))
	assert.Equal(t, chunks, timeline.DueChunks(time.Unix(1000, 0), 0))
}

// TestInFlightTimeFollowsCopyTime also covers an unknown copy time, which gives 0.
func TestInFlightTimeFollowsCopyTime(t *testing.T) {
	fast := &pace.Timeline{Chunks: 96, CopyTime: 2580 * time.Millisecond}
	slow := &pace.Timeline{Chunks: 96, CopyTime: 4310 * time.Millisecond}
	assert.InDelta(t, 0.32, fast.InFlightTime().Seconds(), 0.01)
	assert.InDelta(t, 0.54, slow.InFlightTime().Seconds(), 0.01)
	assert.Zero(t, (&pace.Timeline{}).InFlightTime())
}

// TestLateStarterCatchesUp guards against a fleet that waits at the end for the chunks of a host that started
// late, because it was restarted or got the manifest late.
func TestLateStarterCatchesUp(t *testing.T) {
	const seen = 80
	start := time.Unix(1000, 0)
	timeline := &pace.Timeline{Chunks: chunks, CopyTime: copyTime}
	timeline.Start(start)
	timeline.NewChunkSeen(seen, start)
	assert.Greater(t, timeline.DueChunks(start, seen), seen)
	assert.Greater(t, timeline.DueChunks(start.Add(time.Second), seen), seen, "the timeline is paused")
	assert.Equal(t, chunks, timeline.DueChunks(start, chunks-1))
}

// TestSuspensionIsNotOverdue guards against hosts that take over chunks from each other when a fetch is resumed.
func TestSuspensionIsNotOverdue(t *testing.T) {
	start := time.Unix(1000, 0)
	timeline := &pace.Timeline{Chunks: chunks, CopyTime: copyTime}
	timeline.Start(start)
	before := timeline.PeerOverdue(0, start)
	timeline.OriginWithheld(start)
	now := start.Add(5 * time.Second)
	timeline.Resume(5*time.Second, now)
	assert.Equal(t, before, timeline.PeerOverdue(0, now))
	assert.Less(t, timeline.OriginOverdue(0, now), earlyTakeover)
	assert.Zero(t, timeline.Quiet(now))
	assert.True(t, timeline.OriginFails())
	timeline.OriginAnswered(1, now)
	assert.False(t, timeline.OriginFails())
}
