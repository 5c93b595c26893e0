// Package quarantine decides what becomes of a request under which upstreams ended.
//
// The load that it answers: one request ends each engine that begins to run it, and its
// caller comes back about twice a second, at any router, with the same content. Each engine
// takes some ten requests of others along, which are sent again and look just like the
// cause. So an end is evidence against all that ran there, and no more than that: the
// request that is beside the cause is elsewhere the next time, while the cause is there
// each time. A whole answer clears a content at once.
//
// Ends count by depth: an end is one deeper than the deepest of those that its router had
// heard of when it sent the request, or a moment before the end. Upstreams that end
// together, because their hall lost its power, are all of depth one, however many of them
// ran the same popular request; only a request that ends one after the other is deep. What
// was known when the request was sent does not do alone: visits of one caller overlap, and
// up to 7 engines ended before the try where 5 do at most.
//
// The limits, from a replay of the load (7 routers, 20 engines, 150 requests a second, 40
// seeds of 30 s): without quarantine 75 engines end. With two ends in depth a request is
// sent to one upstream only, and with three to none; sends of it that have not begun are
// taken back. After 15 s it is sent once, by one router. So 4.5 engines end where news takes
// 20 ms from router to router, one of them for that try, 8.9 where it takes a second, and
// none of 120,000 others is held back. Holding back at two, without a try, would have 2.2
// end, but 15 others held back (192 where news takes a second), and more where engines end
// for reasons of their own; sends that are not taken back would have 5.3 end.
//
// A content that was answered whole within the last two seconds is not the cause of an end:
// several deadly requests at once end engines one after the other, and a request that many
// callers send alike runs at each of them. One that is deadly is not answered whole.
//
// What was cleared stays cleared: for ten seconds, longer than any message takes, the ends that
// were known then are no news, and neither are ends deeper than one since could be.
//
// The package has no clock and no network. Routers tell each other of each end and keep
// the same table (package broadcast); what is held back lies in the store as well.
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
	// heldAt is the depth of ends from which a content is held back, and onceAt the one from
	// which it is sent to one upstream only.
	heldAt, onceAt = 3, 2
	// firstHeld is how long a content is held back at first. Then one router sends it once:
	// that ends one more upstream, and holds it back heldGrowth times as long, or clears what
	// was held back although other requests had ended its upstreams. A popular request would
	// be refused for that long; a deadly one ends some fifteen upstreams in a day.
	firstHeld  = 15 * time.Second
	heldGrowth = 4
	// longestHeld bounds that time; twice as long after its last end a content is forgotten.
	longestHeld = 3 * time.Hour
	// suspectFor is how long ends count of a content that was never held back.
	suspectFor = 10 * time.Minute
	// tryTime is how long the outcome of the one send is waited for.
	tryTime = 10 * time.Second
	// together is how long after one end another is still taken for as deep: those that are
	// killed together are heard of within a few milliseconds, or some ten over a narrow link.
	together = 100 * time.Millisecond
	// clearedFor is how long a clearing stands against messages that were under way.
	clearedFor = 10 * time.Second
	// wholeFor is how long a whole answer tells that a content is not the cause of an end, and
	// mostWhole how many such contents are known: 40 s of a hundred requests a second.
	wholeFor  = 2 * time.Second
	mostWhole = 4096
	// mostContents bounds the table: 4,096 are 1 MB. Contents with the shallowest ends
	// go first, so that a caller who sends a thousand others does not free the one that is
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
	// Depth is one more than that of the ends heard of before.
	Depth int `json:"depth"`
}

// equal reports whether two routers mean the same end. They may have known differently much.
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

// Deep reports whether the ends are deep enough to hold the content back, or were.
func (n Note) Deep() bool {
	return slices.ContainsFunc(n.Ends, func(end End) bool { return end.Depth >= heldAt })
}

// Table is what a router knows. The zero value is empty and ready to use. It is not safe
// for use by several goroutines.
type Table struct {
	contents map[content.Name]*record
	// whole are the contents that were answered whole since turned, and wholeBefore those of
	// the time before that.
	whole, wholeBefore map[content.Name]time.Time
	turned             time.Time
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
	// held is for how long the content is held back after that, 0 while it was not yet, and
	// released says that this time is over: one more end then holds it back again. tried is
	// when it was last sent for that, zero if it was not.
	held     time.Duration
	released bool
	tried    time.Time
	// cleared are the ends that a clearing undid, and clearedAt when that was.
	cleared   []heard
	clearedAt time.Time
}

// stale reports whether an end is older than the last clearing.
func (r *record) stale(end End, now time.Time) bool {
	if r.clearedAt.IsZero() || now.Sub(r.clearedAt) > clearedFor {
		return false
	}
	known := slices.ContainsFunc(r.cleared, func(undone heard) bool { return undone.equal(end) })
	return known || end.Depth > r.depth()+1
}

// depth is that of the deepest end.
func (r *record) depth() int {
	deepest := 0
	for _, end := range r.ends {
		deepest = max(deepest, end.Depth)
	}
	if r.released {
		return min(deepest, onceAt)
	}
	return deepest
}

// Take takes what is known of a content elsewhere, or was seen here. It reports whether
// that was news.
func (t *Table) Take(note Note, now time.Time) bool {
	if note.Cleared {
		return t.clear(note.Content, now)
	}
	if len(note.Ends) == 0 {
		return false
	}
	known := t.contents[note.Content]
	if known == nil {
		known = t.add(note.Content, now)
	}
	known.expire(now)
	before, news := known.depth(), false
	for _, end := range note.Ends {
		news = known.take(end, now) || news
	}
	if before < heldAt && known.depth() >= heldAt {
		known.held = min(max(firstHeld, heldGrowth*known.held), longestHeld)
	}
	return news
}

// take takes one end, and reports whether it is news: that it is known deeper is, because
// routers know differently much. The ends that say least are not kept in a full record.
func (r *record) take(end End, now time.Time) bool {
	at := slices.IndexFunc(r.ends, func(known heard) bool { return known.equal(end) })
	switch {
	case r.stale(end, now):
		return false
	case at >= 0 && r.ends[at].Depth >= end.Depth:
		return false
	case at >= 0:
		r.ends[at].Depth = end.Depth
	case len(r.ends) >= mostEnds && end.Depth <= r.depth():
		return false
	default:
		r.ends = append(r.ends, heard{end, now})
	}
	r.released = r.released && end.Depth < heldAt
	r.last = now
	return true
}

// expire releases what was held back long enough, and forgets what is too old to count.
func (r *record) expire(now time.Time) {
	age := now.Sub(r.last)
	switch {
	case r.held == 0 && age >= suspectFor || age >= 2*longestHeld:
		*r = record{last: r.last}
	case r.held > 0 && age >= r.held:
		r.released = true
	}
}

// clear undoes what stands against a content, and reports whether something did. Where nothing
// does the ends may be on their way.
func (t *Table) clear(name content.Name, now time.Time) bool {
	known := t.contents[name]
	if known == nil {
		known = t.add(name, now)
	}
	stood, undone := len(known.ends) > 0, slices.Concat(known.ends, known.cleared)
	*known = record{last: now, cleared: undone[:min(len(undone), mostEnds)], clearedAt: now}
	return stood
}

// Whole notes that a content was answered whole.
func (t *Table) Whole(name content.Name, now time.Time) {
	if t.whole == nil || len(t.whole) >= mostWhole || now.Sub(t.turned) >= wholeFor {
		t.whole, t.wholeBefore, t.turned = map[content.Name]time.Time{}, t.whole, now
	}
	t.whole[name] = now
}

// wasWhole reports whether a content was answered whole of late.
func (t *Table) wasWhole(name content.Name, now time.Time) bool {
	at, ok := t.whole[name]
	if !ok {
		at, ok = t.wholeBefore[name]
	}
	return ok && now.Sub(at) < wholeFor
}

// Sent is a send under which an upstream ended.
type Sent struct {
	Content  content.Name
	Upstream string
	// Started is when the upstream had started, and At when the request was sent there.
	Started, At time.Time
}

// End names the end of an upstream under a send, which was heard of now, and reports whether
// it counts against the content. Ends by the same id and start that were heard of before it was
// sent are others.
func (t *Table) End(sent Sent, now time.Time) (End, bool) {
	end := End{Upstream: sent.Upstream, Started: sent.Started, Depth: 1}
	if t.wasWhole(sent.Content, now) {
		return end, false
	}
	known := t.contents[sent.Content]
	if known == nil {
		return end, true
	}
	known.expire(now)
	for _, before := range known.ends {
		sentAfter := before.at.Before(sent.At)
		if sentAfter && before.sameEntry(end) {
			end.Again = max(end.Again, before.Again+1)
		}
		if sentAfter || now.Sub(before.at) > together {
			end.Depth = max(end.Depth, min(before.Depth, known.depth())+1)
		}
	}
	for _, before := range known.cleared {
		if before.at.Before(sent.At) && before.sameEntry(end) {
			end.Again = max(end.Again, before.Again+1)
		}
	}
	return end, true
}

// Admit says what may be done with a request that comes now. Of a content whose time is over
// one request is let in to be sent once, where this router may try it.
func (t *Table) Admit(name content.Name, mayTry bool, now time.Time) Verdict {
	verdict := t.Judge(name, now)
	known := t.contents[name]
	if known == nil || !known.released {
		return verdict
	}
	if !mayTry || now.Sub(known.tried) < tryTime {
		return Held
	}
	known.tried = now
	return Once
}

// Judge says what may be done with a request that was let in.
func (t *Table) Judge(name content.Name, now time.Time) Verdict {
	known := t.contents[name]
	if known == nil {
		return Free
	}
	known.expire(now)
	switch depth := known.depth(); {
	case depth >= heldAt:
		return Held
	case depth >= onceAt:
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
	for name, known := range t.contents {
		if len(known.ends) > 0 {
			notes = append(notes, t.Note(name))
		}
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
// with the shallowest ends, of those as deep the ones that were heard of longest ago. One
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
		return cmp.Or(cmp.Compare(one.depth(), other.depth()), one.last.Compare(other.last))
	})
	for _, name := range names[:mostContents/8] {
		delete(t.contents, name)
	}
}
