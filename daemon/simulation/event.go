package simulation

import (
	"container/heap"
	"time"
)

// eventLoop is the virtual clock. Events run in order of their time, and in order of insertion at
// the same time. The zero value is ready to use.
type eventLoop struct {
	now   time.Duration
	queue eventHeap
	seq   int
}

// event is a scheduled function.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// at schedules a function at a time, or now if that has passed.
func (e *eventLoop) at(at time.Duration, fn func()) {
	e.seq++
	heap.Push(&e.queue, event{at: max(at, e.now), seq: e.seq, fn: fn})
}

// after schedules a function after a delay.
func (e *eventLoop) after(wait time.Duration, fn func()) { e.at(e.now+wait, fn) }

// run processes events until none remain.
func (e *eventLoop) run() {
	for e.queue.Len() > 0 {
		next := heap.Pop(&e.queue).(event) //nolint:forcetypeassert // only events are pushed
		e.now = next.at
		next.fn()
	}
}

// runUntil processes events up to a time, or until done reports true.
func (e *eventLoop) runUntil(end time.Duration, done func() bool) {
	for e.queue.Len() > 0 && e.queue[0].at <= end && !done() {
		next := heap.Pop(&e.queue).(event) //nolint:forcetypeassert // only events are pushed
		e.now = next.at
		next.fn()
	}
}

// eventHeap orders events by time and sequence number.
type eventHeap []event

func (q eventHeap) Len() int      { return len(q) }
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventHeap) Push(x any)   { *q = append(*q, x.(event)) } //nolint:forcetypeassert // only events are pushed

func (q eventHeap) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q *eventHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
