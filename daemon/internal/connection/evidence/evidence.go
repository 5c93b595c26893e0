// Package evidence carries from router to router what they saw at upstreams: the contents
// under which upstreams ended, and the limits that upstreams named. Packages quarantine and
// ratelimit say what that means; here both are notes.
//
// Each router tells all others at once, over the port on which they hand out their copies of
// the store: the news is worth most within the second in which the caller comes back, and
// must come through while the store is down. An end breaks some ten requests, of as many
// routers: at 400 routers each of them is sent ten messages of 330 bytes for an end.
// A limit is told when it begins and ends, and when it changes by much, by those who read it in
// an answer. Who missed news hears of it in the answer to its own next one, which is about the
// same content or upstream, and a router that starts asks two others for everything.
//
// Rejected: the copies that routers of a hall follow, which pause after each change, and
// end at the store; and one router that counts for all others, which saves messages, but has
// to be found, and to be followed by another when it is gone. As in package peering messages
// are plain HTTP and JSON: they are asked for on the same port.
package evidence

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// The paths of the calls about each kind of notes: GET for all that a router knows, POST to
// tell it something.
const (
	SuspectsPath = "/suspects"
	LimitsPath   = "/limits"
)

const (
	// gather is how long notes are gathered for one message: all that broke with one end
	// come within a few milliseconds.
	gather = 5 * time.Millisecond
	// mostGathered bounds the notes of a message, and mostQueued those that wait.
	mostGathered, mostQueued = 64, 1024
	// tellTimeout bounds a message. One to another region takes 6 ms; the rest is for a
	// narrow link and a busy processor.
	tellTimeout = 400 * time.Millisecond
	// tries is how often a message is sent, and tellAgain the pause between: a router that
	// starts again takes less than a second.
	tries     = 4
	tellAgain = 400 * time.Millisecond
	// mostMessages bounds the messages under way.
	mostMessages = 128
	// askedAtStart is how many routers a router asks that starts, since one may have just
	// started too, askAgain the pause before each, and mostAskedAtStart how often it asks.
	askedAtStart     = 2
	askAgain         = 200 * time.Millisecond
	mostAskedAtStart = 50
	// maxTold bounds a message, in bytes, and maxAll the answer with all that a full table
	// knows.
	maxTold = 256 << 10
	maxAll  = 8 << 20
)

// Message is what a router tells another, and the answer.
type Message[N any] struct {
	Notes []N `json:"notes"`
}

// Teller tells other routers notes of one kind. Client, Path, Peers and Take must be set
// before Start.
type Teller[N any] struct {
	Client *http.Client
	// Path is the one of the kind.
	Path string
	// Peers returns the other routers.
	Peers func() []netip.AddrPort
	// Peer returns a router to ask for all that it knows; false while none is known. It may
	// be nil.
	Peer func() (netip.AddrPort, bool)
	// Take takes what another router answered that it knows.
	Take func(notes []N, from netip.AddrPort)
	// OnFailed is called where a router could not be told. It may be nil.
	OnFailed func(peer netip.AddrPort, err error)

	queue chan N
	// underWay holds a token for each message under way.
	underWay chan struct{}
	tomb     tomb.Tomb
}

// Start begins to tell; Stop ends it.
func (t *Teller[N]) Start() {
	t.queue = make(chan N, mostQueued)
	t.underWay = make(chan struct{}, mostMessages)
	t.tomb.Go(until(t.run))
	if t.Peer != nil {
		t.tomb.Go(until(t.catchUp))
	}
}

// until has a tomb run what ends by itself or with the tomb.
func until(run func()) func() error {
	return func() error {
		run()
		return nil
	}
}

// catchUp asks other routers for all that they know, after the start.
func (t *Teller[N]) catchUp() {
	ctx := t.tomb.Context(nil) //nolint:staticcheck // nil asks the tomb for its own context
	for answered, asked := 0, 0; answered < askedAtStart && asked < mostAskedAtStart; asked++ {
		if !helpers.Pause(askAgain, t.tomb.Dying()) {
			return
		}
		peer, ok := t.Peer()
		if !ok {
			continue
		}
		if notes, err := All[N](ctx, t.Client, peer, t.Path); err == nil {
			t.Take(notes, peer)
			answered++
		}
	}
}

// Stop ends the teller and waits for it. What was not told is lost.
func (t *Teller[N]) Stop() {
	t.tomb.Kill(nil)
	_ = t.tomb.Wait()
}

// Tell has all others told. It never waits, and reports false where too much waits already.
func (t *Teller[N]) Tell(note N) bool {
	select {
	case t.queue <- note:
		return true
	default:
		return false
	}
}

func (t *Teller[N]) run() {
	for {
		notes := t.gathered()
		if len(notes) == 0 {
			return
		}
		body, err := json.Marshal(Message[N]{Notes: notes})
		if err != nil {
			continue
		}
		for _, peer := range t.Peers() {
			t.tomb.Go(func() error {
				t.tellPeer(peer, body)
				return nil
			})
		}
	}
}

// gathered waits for notes and returns those that come together, none at the end.
func (t *Teller[N]) gathered() []N {
	var notes []N
	var over <-chan time.Time
	for len(notes) < mostGathered {
		select {
		case note := <-t.queue:
			notes = append(notes, note)
			if over == nil {
				over = time.After(gather)
			}
		case <-over:
			return notes
		case <-t.tomb.Dying():
			return nil
		}
	}
	return notes
}

// tellPeer tells one router, again where it does not answer.
func (t *Teller[N]) tellPeer(peer netip.AddrPort, body []byte) {
	for try := 1; ; try++ {
		answer, err := t.send(peer, body)
		if err == nil {
			t.Take(answer.Notes, peer)
			return
		}
		if try == tries || !helpers.Pause(tellAgain, t.tomb.Dying()) {
			if t.OnFailed != nil && t.tomb.Alive() {
				t.OnFailed(peer, err)
			}
			return
		}
	}
}

func (t *Teller[N]) send(peer netip.AddrPort, body []byte) (Message[N], error) {
	select {
	case t.underWay <- struct{}{}:
		defer func() { <-t.underWay }()
	case <-t.tomb.Dying():
		return Message[N]{}, t.tomb.Err()
	}
	ctx, cancel := context.WithTimeout(t.tomb.Context(nil), tellTimeout) //nolint:staticcheck // nil asks the tomb for its own context
	defer cancel()
	var answer Message[N]
	if err := call.PostJSON(ctx, t.Client, "http://"+peer.String()+t.Path, body, maxTold, &answer); err != nil {
		return answer, fmt.Errorf("tell router %s news at %s: %w", peer, t.Path, err)
	}
	return answer, nil
}

// All asks a router for all that it knows.
func All[N any](ctx context.Context, client *http.Client, peer netip.AddrPort, path string) ([]N, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var answer Message[N]
	if err := call.JSON(ctx, client, "http://"+peer.String()+path, maxAll, &answer); err != nil {
		return nil, fmt.Errorf("ask router %s for news at %s: %w", peer, path, err)
	}
	return answer.Notes, nil
}

// Known is what a router knows, for the others. Its fields must be set.
type Known[N any] struct {
	// All returns everything, Of what is known of what some notes are about, and Take takes
	// news.
	All  func() []N
	Of   func(notes []N) []N
	Take func(notes []N)
}

// ServeAll answers with everything that is known.
func (k *Known[N]) ServeAll(w http.ResponseWriter, _ *http.Request) { reply(w, k.All()) }

// ServeTold takes a message, and answers with what was known before of the same.
func (k *Known[N]) ServeTold(w http.ResponseWriter, r *http.Request) {
	var message Message[N]
	if err := json.NewDecoder(io.LimitReader(r.Body, maxTold)).Decode(&message); err != nil {
		http.Error(w, "decode the notes: "+err.Error(), http.StatusBadRequest)
		return
	}
	known := k.Of(message.Notes)
	k.Take(message.Notes)
	reply(w, known)
}

func reply[N any](w http.ResponseWriter, notes []N) {
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Message[N]{Notes: notes})
}
