package replica

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file decides when the changes were made that a follower reads from the store.
//
// A change was made after the store last composed an answer without it. The answer shows that only by when its
// call began and how long the store held it, not by when it was read: it may have arrived slowly, or have waited
// for this process. A watch that ends without a change was held for as long as the call asked. One that was held
// and then returns a change returns it when it is made.
//
// While the store compacts its history it tells watches nothing, and then cuts them. So that a watch was held shows
// something only if the next one succeeds. That it was accepted, with all the changes until then, always does.
//
// Failed calls show nothing, since the store may turn away this process alone.

const (
	// deliveryTime is the longest time in which a change is expected to arrive that is made while a watch is
	// held. A watch that takes longer than maxAnswerTime was held, since the store answers at once what it
	// has. The former suffices for that if the watch followed the one before within maxWatchGap, because
	// hardly anything can have been made between them.
	deliveryTime  = 200 * time.Millisecond
	maxAnswerTime = firstByteTimeout
	maxWatchGap   = 50 * time.Millisecond
)

// readTimes is when the store is known to have composed answers without any change that this replica lacks. Both are
// times since the follower's start, 0 for never. Only the follower's own calls change them.
type readTimes struct {
	// complete holds whatever the next call returns, and watched if a watch succeeds next.
	complete, watched time.Duration
}

// storeRead is one call to the store.
type storeRead struct {
	began, ended time.Duration
	// firstData is when the first part of the answer arrived, or ended if that is not known.
	firstData time.Duration
	// stopped reports whether the process did not run for some of the time.
	stopped bool
}

// beginRead begins a call to the store. The function that it returns must be called when the call has ended.
func (f *Follower) beginRead() (end func() storeRead) {
	f.firstData.Store(0)
	read, stopped := storeRead{began: f.elapsed()}, f.stopped()
	return func() storeRead {
		read.ended = f.elapsed()
		read.firstData = read.ended
		if first := time.Duration(f.firstData.Load()); first > 0 {
			read.firstData = first
		}
		read.stopped = f.stopped() != stopped
		return read
	}
}

// watchedSpan returns when the changes were made that a watch returned, and records that it succeeded.
func (f *Follower) watchedSpan(read storeRead, wait time.Duration, changed bool) provider.Span {
	held := f.heldUntil(read, wait, changed)
	since := max(f.reads.watched, held)
	f.reads.complete = read.began
	f.reads.watched = max(f.reads.watched, held, read.began)
	return f.spanSince(since)
}

// heldUntil returns until when the store held a watch at least, 0 if it may have answered at once.
func (f *Follower) heldUntil(read storeRead, wait time.Duration, changed bool) time.Duration {
	if !changed {
		if read.ended-read.began < wait {
			return 0
		}
		return read.began + wait
	}
	if read.stopped {
		return 0 // the change may have waited for this process
	}
	answerTime := maxAnswerTime
	if f.reads.watched > 0 && read.began-f.reads.watched <= maxWatchGap {
		answerTime = deliveryTime
	}
	if read.firstData-read.began <= answerTime {
		return 0
	}
	return read.firstData - answerTime
}

// listedSpan returns when the changes were made that a list has, and records that it succeeded.
func (f *Follower) listedSpan(read storeRead) provider.Span {
	since := f.reads.complete
	f.reads.complete, f.reads.watched = read.began, read.began
	return f.spanSince(since)
}

// spanSince returns when a change was made that this follower receives now and that was made after a time.
func (f *Follower) spanSince(since time.Duration) provider.Span {
	span := provider.Span{Before: f.now()}
	if since > 0 {
		span.After = f.start.Add(since)
	}
	return span
}
