// Package quarantine decides what becomes of a request under which upstreams ended.
//
// The load that it answers: one request ends each engine that begins to run it, and its
// caller comes back about twice a second, at any router, with the same content. Each engine
// takes some ten requests of others along, which are sent again and look just like the
// cause. So an end is evidence against all that ran there, and no more than that: the
// request that is beside the cause is elsewhere the next time, while the cause is there
// each time. A whole answer clears a content at once.
//
// The limits, from a replay of that load (7 routers, 20 engines, 150 requests a second, 40
// seeds of 30 s): without quarantine 75 engines end. With two ends a request is sent to one
// upstream only, and with three to none; sends of it that have not begun are taken back. So
// 3.3 engines end where news takes 20 ms from router to router, 5.9 where it takes a second,
// and none of 120,000 others is held back. Holding back at two would have 2.2 end, but 15
// others held back (115 where news takes a second), and more where engines end for reasons
// of their own; sends that are not taken back would have 4.2 end.
//
// The package has no clock and no network. Routers tell each other of each end and keep
// the same table (package evidence); what is held back lies in the store as well.
//
// Rejected: blame by how long a request had run, since engines end while they read a prompt
// as well as after hours; one router that judges for all, which has to be found and may be
// cut off.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
)

const (
	// heldAt is the number of ends from which a content is held back, and onceAt the one
	// from which it is sent to one upstream only.
	heldAt, onceAt = 3, 2
	// heldFor is how long a content is held back after its last end. Then one more end
	// holds it back again, for twice as long, until longestHeld.
	heldFor, longestHeld = 10 * time.Minute, 3 * time.Hour
	// mostContents bounds the table: 4,096 are 1 MB. Contents with the fewest ends go
	// first, so that a caller who sends a thousand others does not free the one that is
	// held back.
	mostContents = 4096
	// mostEnds bounds the ends of a content that are kept, for those who read them.
	mostEnds = 16
)

// Verdict is what may be done with a request.
type Verdict int

// The verdicts.
const (
	// Free requests are sent as their route allows.
	Free Verdict = iota
	// Once means one upstream, and no second after or beside it.
	Once
	// Held requests are sent to none.
	Held
)

// String returns the verdict's name in logs.
func (v Verdict) String() string { return [...]string{"free", "once", "held"}[v] }

// End is one upstream's end under a content.
type End struct {
	// Upstream is its id, and Started when it had started, zero where it does not tell: one
	// that starts again under its id may end again.
	Upstream string    `json:"upstream"`
	Started  time.Time `json:"started,omitzero"`
	// Again counts the ends before of what went by the same id and start, because the entry
	// of one that started again may be read late.
	Again int `json:"again,omitempty"`
}

func (e End) equal(other End) bool { return e.sameEntry(other) && e.Again == other.Again }

func (e End) sameEntry(other End) bool {
	return e.Upstream == other.Upstream && e.Started.Equal(other.Started)
}

// Note is what is known of a content, as one router tells it to another.
type Note struct {
	Content content.Name `json:"content"`
	Ends    []End        `json:"ends,omitempty"`
	// Cleared says that it was answered whole, or that an operator has lifted what stood
	// against it.
	Cleared bool `json:"cleared,omitempty"`
}

// Table is what a router knows. The zero value is empty and ready to use. It is not safe
// for use by several goroutines.
type Table struct {
	contents map[content.Name]*record
}

// heard is an end and when it was heard of.
type heard struct {
	End
	at time.Time
}

// record is what is known of one content.
type record struct {
	// ends are the ends that count, each once, oldest first.
	ends []heard
	// last is when the newest end was heard of.
	last time.Time
	// held is for how long the content is held back after that, 0 while it was not yet.
	held time.Duration
}

// Take takes what is known of a content elsewhere, or was seen here. It reports whether
// that was news.
func (t *Table) Take(note Note, now time.Time) bool {
	if note.Cleared {
		return t.clear(note.Content)
	}
	known := t.contents[note.Content]
	if known != nil {
		known.expire(now)
	}
	var fresh []End
	for _, end := range note.Ends {
		if (known == nil || !known.has(end)) && !slices.ContainsFunc(fresh, end.equal) {
			fresh = append(fresh, end)
		}
	}
	if len(fresh) == 0 || known != nil && len(known.ends) >= mostEnds {
		return false
	}
	if known == nil {
		known = t.add(note.Content, now)
	}
	known.take(fresh, now)
	return true
}

func (r *record) has(end End) bool {
	return slices.ContainsFunc(r.ends, func(known heard) bool { return known.equal(end) })
}

func (r *record) take(fresh []End, now time.Time) {
	before := len(r.ends)
	for _, end := range fresh {
		r.ends = append(r.ends, heard{end, now})
	}
	r.last = now
	if before < heldAt && len(r.ends) >= heldAt {
		r.held = min(max(heldFor, 2*r.held), longestHeld)
	}
}

// expire forgets what is too old to count: of a content that was held back so much that
// one more end holds it back again, of others all.
func (r *record) expire(now time.Time) {
	if now.Sub(r.last) < max(r.held, heldFor) {
		return
	}
	r.ends = r.ends[:min(len(r.ends), onceAt)]
	if r.held == 0 {
		r.ends = nil
	}
}

func (t *Table) clear(name content.Name) bool {
	_, known := t.contents[name]
	delete(t.contents, name)
	return known
}

// End names the end of an upstream under a send of a content that was sent at some time:
// those by the same id and start that were heard of before are others.
func (t *Table) End(name content.Name, upstream string, started, sent time.Time) End {
	end := End{Upstream: upstream, Started: started}
	if known := t.contents[name]; known != nil {
		for _, before := range known.ends {
			if before.sameEntry(end) && before.at.Before(sent) {
				end.Again = max(end.Again, before.Again+1)
			}
		}
	}
	return end
}

// Judge says what may be done with a request.
func (t *Table) Judge(name content.Name, now time.Time) Verdict {
	known := t.contents[name]
	if known == nil {
		return Free
	}
	known.expire(now)
	switch ends := len(known.ends); {
	case ends >= heldAt:
		return Held
	case ends >= onceAt:
		return Once
	default:
		return Free
	}
}

// Note returns what is known of a content.
func (t *Table) Note(name content.Name) Note {
	note := Note{Content: name}
	if known := t.contents[name]; known != nil {
		for _, end := range known.ends {
			note.Ends = append(note.Ends, end.End)
		}
	}
	return note
}

// Notes returns what is known of all contents.
func (t *Table) Notes() []Note {
	notes := make([]Note, 0, len(t.contents))
	for name := range t.contents {
		notes = append(notes, t.Note(name))
	}
	return notes
}

// add makes a record, in a full table in the place of one that says little.
func (t *Table) add(name content.Name, now time.Time) *record {
	if t.contents == nil {
		t.contents = map[content.Name]*record{}
	}
	if len(t.contents) >= mostContents {
		t.makeRoom(now)
	}
	r := &record{}
	t.contents[name] = r
	return r
}

// makeRoom drops what is too old to count and, where the table is still full, the eighth
// with the fewest ends, of those with as many the ones that were heard of longest ago. One
// at a time would cost a caller's thousand contents 0.3 ms each.
func (t *Table) makeRoom(now time.Time) {
	maps.DeleteFunc(t.contents, func(_ content.Name, r *record) bool {
		r.expire(now)
		return len(r.ends) == 0
	})
	if len(t.contents) < mostContents {
		return
	}
	names := slices.SortedFunc(maps.Keys(t.contents), func(a, b content.Name) int {
		one, other := t.contents[a], t.contents[b]
		return cmp.Or(cmp.Compare(len(one.ends), len(other.ends)), one.last.Compare(other.last))
	})
	for _, name := range names[:mostContents/8] {
		delete(t.contents, name)
	}
}
