// Package peering hands a daemon's copy of the store to other daemons.
//
// Two kinds of daemons ask for it. Those of the same hall ask in place of the store
// (Neighbours): a few routers of a hall read the store and the others follow them,
// so that a large entry crosses the link to a hall's region twice and not once a
// daemon. And a router that the store turns away, while it serves others, asks any
// (Puller), so that it still learns of new configurations and removed keys.
//
// Both make the same call: everything above a revision, held back until there is
// something. A copy goes through the same table as the store's news, where the
// highest revision wins, so that one that is behind does no harm. The answer says up
// to which revision it is complete and when the store was last heard, by which the
// caller tells whether it may do without the store.
//
// All followers of a router ask for the same, so each state of the table is listed,
// encoded and packed once for all of them.
//
// Rejected: changes pushed to subscribers, since a frozen subscriber would have to be
// told from a slow one.
package peering

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/patience"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Path is the call's path.
const Path = "/copy"

// formPacked is the value of the query's form by which a caller says that it takes entries
// packed together. Callers of earlier versions do not say so.
const formPacked = "packed"

const (
	// maxCopy bounds an answer, in bytes.
	maxCopy = 32 << 20
	// maxWait bounds how long an answer is held.
	maxWait = 5 * time.Second
	// standingEvery is how often a daemon that knows nothing yet looks again while
	// it holds an answer, and the least pause between two looks.
	standingEvery = 20 * time.Millisecond
	// answerBegins is how long the answer of a daemon may take, beyond the time for
	// which it is held. One of the same hall takes 1 ms, one of another region 6;
	// the rest is for a busy processor.
	answerBegins = 400 * time.Millisecond
	// wholeBegins is the same for a whole copy, which may be sent to many at once.
	wholeBegins = time.Second
	// answerStalls is how long an answer may stop halfway.
	answerStalls = 500 * time.Millisecond
	// longestAnswer bounds a call.
	longestAnswer = 10 * time.Second
)

// message is an answer.
type message struct {
	provider.Listing
	// The rest is the answering daemon's standing, but for its revision.
	Answered   time.Duration `json:"answered"`
	Heard      time.Duration `json:"heard"`
	Lost       bool          `json:"lost,omitempty"`
	Generation uint64        `json:"generation"`
	Hops       int           `json:"hops,omitempty"`
}

// standing returns that of the daemon that answered.
func (m *message) standing() replica.Status {
	return replica.Status{
		Revision: m.Revision, SinceAnswer: m.Answered, SinceData: m.Heard, Disconnected: m.Lost, Generation: m.Generation, Hops: m.Hops,
	}
}

// packedMessage is a message on the wire; its entries take the place of message's.
type packedMessage struct {
	message
	Entries []packedEntry `json:"entries"`
	// Packed holds the entries in place of Entries, as packAll made them, where the caller
	// asked for that.
	Packed []byte `json:"packed,omitempty"`
}

// unpacked returns the entries, whichever way they came.
func (m *packedMessage) unpacked() ([]provider.Entry, error) {
	if len(m.Packed) == 0 {
		return unpack(m.Entries)
	}
	return unpackAll(m.Packed)
}

// Source is the copy that a daemon hands out.
type Source struct {
	Table    *replica.Table
	Standing func() replica.Status

	packer   packer
	listings listings
}

// ServeHTTP answers one call. It is held until there is news for as long as the
// caller asks for, and one for the whole copy until it is complete. Once this daemon
// does not hear the store any more the answer says so at once.
func (s *Source) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	asked, err := parse(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, ok := s.await(r.Context(), asked)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	reply := packedMessage{message: answer}
	if asked.packed && len(answer.Entries) > 0 {
		// A state that is newer by now does no harm: it has all that the answer says.
		reply.Packed = s.listings.of(s.Table, asked.prefix, asked.after).packed(&s.packer)
	} else {
		reply.Entries = s.packer.pack(answer.Entries)
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// await returns the answer to a question, or false where the caller has left.
func (s *Source) await(ctx context.Context, asked question) (message, bool) {
	timer := time.NewTimer(asked.wait)
	defer timer.Stop()
	for {
		changed := s.Table.Changed()
		answer := s.answer(asked)
		known := answer.Revision > 0
		news := len(answer.Entries) > 0 || answer.standing().Stale()
		if asked.wait == 0 || known && news {
			return answer, true
		}
		again := standingEvery
		if known {
			again = max(answer.standing().MaxStaleness()-answer.Heard, standingEvery)
		}
		select {
		case <-changed:
		case <-time.After(again):
		case <-timer.C:
			return s.answer(asked), true
		case <-ctx.Done():
			return message{}, false
		}
	}
}

// answer reads the standing before the table, so that the copy is complete up to it.
func (s *Source) answer(asked question) message {
	standing := s.Standing()
	listed := s.listings.of(s.Table, asked.prefix, asked.after)
	answer := message{
		Listing:  provider.Listing{Entries: listed.entries, Revision: standing.Revision},
		Answered: standing.SinceAnswer, Heard: standing.SinceData, Lost: standing.Disconnected, Generation: standing.Generation,
		Hops: standing.Hops,
	}
	if asked.wait > 0 && standing.Stale() {
		answer.Entries = nil // who follows this daemon leaves it, and would drop them
	}
	return answer
}

// question is what is asked for: the keys under a prefix, above a revision, held for
// some time.
type question struct {
	prefix string
	after  provider.Revision
	wait   time.Duration
	// packed asks for the entries packed together.
	packed bool
}

func parse(query url.Values) (question, error) {
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return question{}, fmt.Errorf("after: a revision is missing: %w", err)
	}
	wait := time.Duration(0)
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return question{}, fmt.Errorf("wait: give a time such as 500ms: %w", err)
		}
	}
	wait = min(max(wait, 0), maxWait)
	packed := query.Get("form") == formPacked
	return question{prefix: query.Get("prefix"), after: provider.Revision(after), wait: wait, packed: packed}, nil
}

// url returns the question as a call to a peer.
func (q question) url(peer netip.AddrPort) string {
	query := url.Values{"after": {strconv.FormatUint(uint64(q.after), 10)}}
	if q.prefix != "" {
		query.Set("prefix", q.prefix)
	}
	if q.wait > 0 {
		query.Set("wait", q.wait.String())
	}
	if q.packed {
		query.Set("form", formPacked)
	}
	return fmt.Sprintf("http://%s%s?%s", peer, Path, query.Encode())
}

// ask makes one call to a peer.
func ask(ctx context.Context, client *http.Client, peer netip.AddrPort, asked question) (replica.Update, error) {
	limit := patience.Limit{First: asked.wait + answerBegins, Stall: answerStalls, Whole: longestAnswer}
	if asked.after == 0 {
		limit.First = asked.wait + wholeBegins
	}
	ctx, end := limit.Context(ctx)
	defer end()
	var answer packedMessage
	if err := call.JSON(ctx, client, asked.url(peer), maxCopy, &answer); err != nil {
		return replica.Update{}, fmt.Errorf("ask peer %s for its copy: %w", peer, patience.Explain(ctx, err))
	}
	entries, err := answer.unpacked()
	if err != nil {
		return replica.Update{}, fmt.Errorf("ask peer %s for its copy: %w", peer, err)
	}
	return replica.Update{Entries: entries, After: asked.after, Status: answer.standing()}, nil
}
