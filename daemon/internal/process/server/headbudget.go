package server

import (
	"container/list"
	"sync"
)

const (
	// defaultHeadMemory is the budget for heads, in bytes, of a process whose memory limit is not known.
	defaultHeadMemory = 8 << 20
	// freeHeadBytes is the memory of a head that the budget does not count. The number of connections bounds it, so
	// requests with small heads are served whatever the others take.
	freeHeadBytes = 16 << 10
	// bytesPerHeadLine and copiesOfHead estimate the memory that a request takes for its head: a line becomes a map
	// entry, a slice and strings, in the request and in the copies that are sent to upstreams.
	bytesPerHeadLine, copiesOfHead = 400, 4
)

// HeadBudget bounds the memory of the heads that a process reads or has read for requests in progress. All listeners
// of the process share it. The zero value is a budget of 8 MiB.
//
// Heads that have not arrived completely make room for others, those that have waited for the longest time first. So
// clients that do not complete their heads cannot keep others out. A single head within the limits always has room.
type HeadBudget struct {
	// MaxBytes is the budget in bytes; 0 means 8 MiB.
	MaxBytes int64

	mu       sync.Mutex
	reserved int64
	// partial holds the reservations of heads that have not arrived completely, the oldest first.
	partial list.List
}

// reservation is the share of one connection in a HeadBudget. The zero value holds nothing. The budget's mu guards
// its fields.
type reservation struct {
	bytes int64
	// head holds the bytes of a head that has not arrived completely. They are kept here so that evicting the head
	// frees them at once: its connection may not run for a while.
	head []byte
	// element is the entry in HeadBudget.partial, nil if there is none.
	element *list.Element
	// evicted is set once another head got the room.
	evicted bool
	// evict closes the connection. It is set before the first use.
	evict func()
}

// appendPartial adds bytes to a head that has not arrived completely and may reach limit bytes. It reports false if
// there is no room. Memory is reserved before it is allocated.
func (b *HeadBudget) appendPartial(r *reservation, data []byte, limit int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted {
		return false
	}
	if r.element == nil {
		r.element = b.partial.PushBack(r)
	}
	if needed := len(r.head) + len(data); needed > cap(r.head) {
		const growth = 2
		grown := max(needed, min(growth*cap(r.head), limit))
		if !b.resize(r, int64(grown)*copiesOfHead) {
			return false
		}
		r.head = append(make([]byte, 0, grown), r.head...)
	}
	r.head = append(r.head, data...)
	return true
}

// complete reserves the memory of a complete head, until release, and returns the bytes that appendPartial has kept.
// It reports false if there is no room.
func (b *HeadBudget) complete(r *reservation, size, lines int) (head []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted {
		return nil, false
	}
	b.forget(r)
	if !b.resize(r, int64(size)*copiesOfHead+int64(lines)*bytesPerHeadLine) {
		return nil, false
	}
	head, r.head = r.head, nil
	return head, true
}

// release returns what a connection holds.
func (b *HeadBudget) release(r *reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(r)
	b.reserved -= r.bytes
	r.bytes, r.head = 0, nil
}

// resize changes what a connection holds. It evicts partial heads if there is no room. The caller holds mu.
func (b *HeadBudget) resize(r *reservation, memory int64) bool {
	counted := max(0, memory-freeHeadBytes)
	b.reserved += counted - r.bytes
	r.bytes = counted
	limit := b.MaxBytes
	if limit <= 0 {
		limit = defaultHeadMemory
	}
	for b.reserved > limit && b.reserved > r.bytes {
		oldest, ok := b.oldestPartial()
		if !ok || oldest == r {
			return false
		}
		b.forget(oldest)
		b.reserved -= oldest.bytes
		oldest.bytes, oldest.head, oldest.evicted = 0, nil, true
		oldest.evict()
	}
	return true
}

// oldestPartial returns the reservation of the partial head that has waited for the longest time. The caller holds mu.
func (b *HeadBudget) oldestPartial() (*reservation, bool) {
	front := b.partial.Front()
	if front == nil {
		return nil, false
	}
	r, ok := front.Value.(*reservation)
	return r, ok
}

// forget removes a reservation from the partial heads. The caller holds mu.
func (b *HeadBudget) forget(r *reservation) {
	if r.element != nil {
		b.partial.Remove(r.element)
		r.element = nil
	}
}
