// Package broadcast sends observations about upstreams to all other routers: contents that
// crashed upstreams, and rate limits that upstreams returned. Packages quarantine and ratelimit
// define these observations; this package calls both of them notes.
//
// Each router sends a note to all other routers at once, on the port that also serves replicas
// of the store. Notes are needed within the second in which a caller retries, and must arrive
// while the store is down. A router that misses a note receives it in the response to its own
// next note about the same content or upstream. A router that starts fetches all notes from two
// others.
//
// Rejected: distribution through the replicas, which batch changes and depend on the store; and
// one router that collects notes for all, which needs election and failover. As in package
// peering, messages are plain HTTP and JSON on the same port.
package broadcast

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

// URL paths, one for each kind of notes. GET returns all notes of a router, POST sends it notes.
const (
	SuspectsPath = "/suspects"
	LimitsPath   = "/limits"
)

const (
	// batchDelay is how long notes are batched into one message. Connections that break by
	// one crash do so within a few milliseconds.
	batchDelay = 5 * time.Millisecond
	// maxBatch bounds the notes of a message, and queueSize those that are not yet batched.
	maxBatch, queueSize = 64, 1024
	// sendTimeout bounds a call. It leaves room for a narrow link and a busy processor.
	sendTimeout = 400 * time.Millisecond
	// maxAttempts bounds the attempts to send a message, and retryDelay is the pause between
	// them. Together they outlast the restart of a router.
	maxAttempts = 4
	retryDelay  = 400 * time.Millisecond
	// maxInFlight bounds the messages in flight.
	maxInFlight = 128
	// catchUpPeers is the number of routers from which a starting router fetches all notes,
	// since one of them may have just started too. catchUpDelay is the pause before each
	// attempt, and maxCatchUpAttempts bounds them.
	catchUpPeers       = 2
	catchUpDelay       = 200 * time.Millisecond
	maxCatchUpAttempts = 50
	// maxMessage bounds a message, and maxAll a response with all notes, in bytes.
	maxMessage = 256 << 10
	maxAll     = 8 << 20
)

// Message is the body of a request or a response.
type Message[N any] struct {
	Notes []N `json:"notes"`
}

// Sender sends notes of one kind to all other routers. Client, Path, Peers and OnNotes must be
// set before Start.
type Sender[N any] struct {
	Client *http.Client
	// Path is the URL path for this kind of notes.
	Path string
	// Peers returns the other routers.
	Peers func() []netip.AddrPort
	// CatchUpPeer returns a router from which to fetch all notes after the start, or false if
	// there is none. It may be nil.
	CatchUpPeer func() (netip.AddrPort, bool)
	// OnNotes is called with the notes in the response of a router.
	OnNotes func(notes []N, from netip.AddrPort)
	// OnFailed is called when a message could not be sent to a router. It may be nil.
	OnFailed func(peer netip.AddrPort, err error)

	queue chan N
	// inFlight is a semaphore with a token for each message in flight.
	inFlight chan struct{}
	tomb     tomb.Tomb
}

// Start starts the goroutines; Stop stops them.
func (s *Sender[N]) Start() {
	s.queue = make(chan N, queueSize)
	s.inFlight = make(chan struct{}, maxInFlight)
	s.tomb.Go(withoutError(s.run))
	if s.CatchUpPeer != nil {
		s.tomb.Go(withoutError(s.catchUp))
	}
}

// withoutError adapts a function that cannot fail to tomb.Go.
func withoutError(run func()) func() error {
	return func() error {
		run()
		return nil
	}
}

// catchUp fetches all notes from other routers after the start.
func (s *Sender[N]) catchUp() {
	ctx := s.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	for succeeded, attempts := 0, 0; succeeded < catchUpPeers && attempts < maxCatchUpAttempts; attempts++ {
		if !helpers.Pause(catchUpDelay, s.tomb.Dying()) {
			return
		}
		peer, ok := s.CatchUpPeer()
		if !ok {
			continue
		}
		if notes, err := FetchAll[N](ctx, s.Client, peer, s.Path); err == nil {
			s.OnNotes(notes, peer)
			succeeded++
		}
	}
}

// Stop stops all goroutines and waits for them. Notes that were not sent yet are dropped.
func (s *Sender[N]) Stop() {
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
}

// Send queues a note for all other routers. It never blocks, and returns false if the queue is
// full.
func (s *Sender[N]) Send(note N) bool {
	select {
	case s.queue <- note:
		return true
	default:
		return false
	}
}

func (s *Sender[N]) run() {
	for {
		notes := s.nextBatch()
		if len(notes) == 0 {
			return
		}
		body, err := json.Marshal(Message[N]{Notes: notes})
		if err != nil {
			continue
		}
		for _, peer := range s.Peers() {
			s.tomb.Go(func() error {
				s.sendWithRetry(peer, body)
				return nil
			})
		}
	}
}

// nextBatch waits for notes and returns those that are queued within batchDelay of the first.
// It returns none once the tomb is dying.
func (s *Sender[N]) nextBatch() []N {
	var notes []N
	var deadline <-chan time.Time
	for len(notes) < maxBatch {
		select {
		case note := <-s.queue:
			notes = append(notes, note)
			if deadline == nil {
				deadline = time.After(batchDelay)
			}
		case <-deadline:
			return notes
		case <-s.tomb.Dying():
			return nil
		}
	}
	return notes
}

// sendWithRetry sends a message to one router and retries after a failure.
func (s *Sender[N]) sendWithRetry(peer netip.AddrPort, body []byte) {
	for attempt := 1; ; attempt++ {
		resp, err := s.post(peer, body)
		if err == nil {
			s.OnNotes(resp.Notes, peer)
			return
		}
		if attempt == maxAttempts || !helpers.Pause(retryDelay, s.tomb.Dying()) {
			if s.OnFailed != nil && s.tomb.Alive() {
				s.OnFailed(peer, err)
			}
			return
		}
	}
}

func (s *Sender[N]) post(peer netip.AddrPort, body []byte) (Message[N], error) {
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	case <-s.tomb.Dying():
		return Message[N]{}, s.tomb.Err()
	}
	ctx, cancel := context.WithTimeout(s.tomb.Context(nil), sendTimeout) //nolint:staticcheck // tomb takes nil for "no parent"
	defer cancel()
	var resp Message[N]
	if err := call.PostJSON(ctx, s.Client, "http://"+peer.String()+s.Path, body, maxMessage, &resp); err != nil {
		return resp, fmt.Errorf("send notes to router %s at %s: %w", peer, s.Path, err)
	}
	return resp, nil
}

// FetchAll fetches all notes of a router.
func FetchAll[N any](ctx context.Context, client *http.Client, peer netip.AddrPort, path string) ([]N, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var resp Message[N]
	if err := call.GetJSON(ctx, client, "http://"+peer.String()+path, maxAll, &resp); err != nil {
		return nil, fmt.Errorf("fetch notes of router %s at %s: %w", peer, path, err)
	}
	return resp.Notes, nil
}

// Receiver serves the notes of a router to the others. Its fields must be set.
type Receiver[N any] struct {
	// All returns all notes of this router, and Related those about the same contents or
	// upstreams as the given notes. Merge merges received notes.
	All     func() []N
	Related func(notes []N) []N
	Merge   func(notes []N)
}

// ServeAll responds with all notes.
func (r *Receiver[N]) ServeAll(w http.ResponseWriter, _ *http.Request) { reply(w, r.All()) }

// ServeNotes merges the notes of a message, and responds with the notes that this router held
// before about the same contents or upstreams.
func (r *Receiver[N]) ServeNotes(w http.ResponseWriter, req *http.Request) {
	var message Message[N]
	if err := json.NewDecoder(io.LimitReader(req.Body, maxMessage)).Decode(&message); err != nil {
		http.Error(w, "decode the notes: "+err.Error(), http.StatusBadRequest)
		return
	}
	related := r.Related(message.Notes)
	r.Merge(message.Notes)
	reply(w, related)
}

func reply[N any](w http.ResponseWriter, notes []N) {
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Message[N]{Notes: notes})
}
