package lab

import (
	"container/heap"
	"time"
)

// events is the simulated clock: what is to happen, in the order of its time and, at the
// same time, of its coming in. The zero value is ready to use.
type events struct {
	now    time.Duration
	queue  eventQueue
	number int
}

// event is something to happen at a time.
type event struct {
	at     time.Duration
	number int
	do     func()
}

// at has something happen at a time, now at the earliest.
func (e *events) at(at time.Duration, do func()) {
	e.number++
	heap.Push(&e.queue, event{at: max(at, e.now), number: e.number, do: do})
}

// after has something happen after some time.
func (e *events) after(wait time.Duration, do func()) { e.at(e.now+wait, do) }

// run has everything happen until nothing is left.
func (e *events) run() {
	for e.queue.Len() > 0 {
		next := heap.Pop(&e.queue).(event) //nolint:forcetypeassert // only events are pushed
		e.now = next.at
		next.do()
	}
}

// runUntil has everything happen up to a time, or until done reports true.
func (e *events) runUntil(end time.Duration, done func() bool) {
	for e.queue.Len() > 0 && e.queue[0].at <= end && !done() {
		next := heap.Pop(&e.queue).(event) //nolint:forcetypeassert // only events are pushed
		e.now = next.at
		next.do()
	}
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) } //nolint:forcetypeassert // only events are pushed

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
