// Package broadcast sends reports about upstreams to all other routers: quarantine.Report about
// contents that crashed upstreams, and ratelimit.UpstreamReport about rate limits that upstreams
// returned.
//
// Each router sends a report to all other routers at once, on the port that also serves replicas
// of the store. Reports are needed within the second in which a caller retries, and must arrive
// while the store is down. A router that misses a report receives it in the response to its own
// next report about the same content or upstream. A router that starts fetches all reports from
// two others.
//
// A report may wait, because its router or the other one does not run or the link is cut. Its ages count from when it was
// made, so that it does not replace what is newer.
//
// Rejected: distribution through the replicas, which batch changes and depend on the store; and
// one router that collects reports for all, which needs election and failover. As in package
// peering, messages are plain HTTP and JSON on the same port.
package broadcast

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// URL paths, one for each kind of report. GET returns all reports of a router, POST sends it
// reports.
const (
	SuspectsPath = "/suspects" // quarantine.Report
	LimitsPath   = "/limits"   // ratelimit.UpstreamReport
)

const (
	// batchDelay is how long reports are batched into one message. Connections that break by
	// one crash do so within a few milliseconds.
	batchDelay = 5 * time.Millisecond
	// maxBatch bounds the reports of a message, and queueSize those that are not yet batched: a
	// crash is reported for the content and for each part of the prompt of all requests that it broke.
	maxBatch, queueSize = 64, 4096
	// sendTimeout bounds a call. It leaves room for a narrow link and a busy processor.
	sendTimeout = 400 * time.Millisecond
	// maxAttempts bounds the attempts to send a message, and retryDelay is the pause between
	// them. Together they outlast the restart of a router.
	maxAttempts = 4
	retryDelay  = 400 * time.Millisecond
	// maxInFlight bounds the messages in flight.
	maxInFlight = 128
	// catchUpPeers is the number of routers from which a starting router fetches all reports,
	// since one of them may have just started too. catchUpDelay is the pause before each
	// attempt, and maxCatchUpAttempts bounds them.
	catchUpPeers       = 2
	catchUpDelay       = 200 * time.Millisecond
	maxCatchUpAttempts = 50
	// maxAgeError is the largest error of the ages in a message that is not encoded again.
	maxAgeError = 50 * time.Millisecond
	// maxMessage bounds a message, and maxAll a response with all reports, in bytes.
	maxMessage = 256 << 10
	maxAll     = 8 << 20
)

// Message is the body of a request or a response.
type Message[R any] struct {
	Reports []R `json:"notes"`
}

// Sender sends reports of one kind to all other routers. Client, Path, Peers and OnReports must
// be set before Start.
type Sender[R any] struct {
	Client *http.Client
	// Path is the URL path for this kind of report.
	Path string
	// Peers returns the other routers.
	Peers func() []netip.AddrPort
	// CatchUpPeer returns a router from which to fetch all reports after the start, or false if
	// there is none. It may be nil.
	CatchUpPeer func() (netip.AddrPort, bool)
	// OnReports is called with the reports in the response of a router.
	OnReports func(reports []R, from netip.AddrPort)
	// Delayed returns a report that arrives a time after it was made. It is called for reports that waited
	// before they were sent, and for those in responses. Nil means that reports do not depend on the time.
	Delayed func(report R, by time.Duration) R
	// OnFailed is called when a message could not be sent to a router. It may be nil.
	OnFailed func(peer netip.AddrPort, err error)

	queue chan queued[R]
	// inFlight is a semaphore with a token for each message in flight.
	inFlight chan struct{}
	tomb     tomb.Tomb
}

// queued is a report and when it was queued.
type queued[R any] struct {
	report R
	at     time.Time
}

// batch holds the reports of one message, which is encoded again for attempts at a later time.
type batch[R any] struct {
	reports []queued[R]

	mu        sync.Mutex
	body      []byte
	encodedAt time.Time
}

// Start starts the goroutines; Stop stops them.
func (s *Sender[R]) Start() {
	s.queue = make(chan queued[R], queueSize)
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

// catchUp fetches all reports from other routers after the start.
func (s *Sender[R]) catchUp() {
	ctx := s.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	for succeeded, attempts := 0, 0; succeeded < catchUpPeers && attempts < maxCatchUpAttempts; attempts++ {
		if !helpers.Pause(catchUpDelay, s.tomb.Dying()) {
			return
		}
		peer, ok := s.CatchUpPeer()
		if !ok {
			continue
		}
		began := clock.Now()
		if reports, err := FetchAll[R](ctx, s.Client, peer, s.Path); err == nil {
			s.received(reports, peer, began)
			succeeded++
		}
	}
}

// Stop stops all goroutines and waits for them. Reports that were not sent yet are dropped.
func (s *Sender[R]) Stop() {
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
}

// Send queues a report for all other routers. It never blocks, and returns false if the queue
// is full.
func (s *Sender[R]) Send(report R) bool {
	select {
	case s.queue <- queued[R]{report, clock.Now()}:
		return true
	default:
		return false
	}
}

func (s *Sender[R]) run() {
	for {
		reports := s.nextBatch()
		if len(reports) == 0 {
			return
		}
		message := &batch[R]{reports: reports}
		for _, peer := range s.Peers() {
			s.tomb.Go(func() error {
				s.sendWithRetry(peer, message)
				return nil
			})
		}
	}
}

// encode returns the body of a message that is sent now.
func (s *Sender[R]) encode(message *batch[R]) ([]byte, error) {
	message.mu.Lock()
	defer message.mu.Unlock()
	now := clock.Now()
	if message.body != nil && now.Sub(message.encodedAt) < maxAgeError {
		return message.body, nil
	}
	reports := make([]R, 0, len(message.reports))
	for _, q := range message.reports {
		reports = append(reports, s.delayed(q.report, now.Sub(q.at)))
	}
	body, err := json.Marshal(Message[R]{Reports: reports})
	message.body, message.encodedAt = body, now
	return body, err
}

func (s *Sender[R]) delayed(report R, by time.Duration) R {
	if s.Delayed == nil {
		return report
	}
	return s.Delayed(report, by)
}

// received passes on the reports in the response to a call. The response may have arrived long before it was
// read, if this process did not run.
func (s *Sender[R]) received(reports []R, from netip.AddrPort, began time.Time) {
	inTransit := clock.Since(began)
	for i, report := range reports {
		reports[i] = s.delayed(report, inTransit)
	}
	s.OnReports(reports, from)
}

// nextBatch waits for reports and returns those that are queued within batchDelay of the first.
// It returns none once the tomb is dying.
func (s *Sender[R]) nextBatch() []queued[R] {
	var reports []queued[R]
	var deadline <-chan time.Time
	for len(reports) < maxBatch {
		select {
		case report := <-s.queue:
			reports = append(reports, report)
			if deadline == nil {
				deadline = time.After(batchDelay)
			}
		case <-deadline:
			return reports
		case <-s.tomb.Dying():
			return nil
		}
	}
	return reports
}

// sendWithRetry sends a message to one router and retries after a failure.
func (s *Sender[R]) sendWithRetry(peer netip.AddrPort, message *batch[R]) {
	for attempt := 1; ; attempt++ {
		err := s.post(peer, message)
		if err == nil {
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

// post sends a message to a router and passes on the reports in the response.
func (s *Sender[R]) post(peer netip.AddrPort, message *batch[R]) error {
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	case <-s.tomb.Dying():
		return s.tomb.Err()
	}
	body, err := s.encode(message)
	if err != nil {
		return fmt.Errorf("encode reports for router %s at %s: %w", peer, s.Path, err)
	}
	ctx, cancel := context.WithTimeout(s.tomb.Context(nil), sendTimeout) //nolint:staticcheck // tomb takes nil for "no parent"
	defer cancel()
	began := clock.Now()
	var resp Message[R]
	if err := call.PostJSON(ctx, s.Client, "http://"+peer.String()+s.Path, body, maxMessage, &resp); err != nil {
		return fmt.Errorf("send reports to router %s at %s: %w", peer, s.Path, err)
	}
	s.received(resp.Reports, peer, began)
	return nil
}

// FetchAll fetches all reports of a router.
func FetchAll[R any](ctx context.Context, client *http.Client, peer netip.AddrPort, path string) ([]R, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var resp Message[R]
	if err := call.GetJSON(ctx, client, "http://"+peer.String()+path, maxAll, &resp); err != nil {
		return nil, fmt.Errorf("fetch reports of router %s at %s: %w", peer, path, err)
	}
	return resp.Reports, nil
}

// Receiver serves the reports of a router to the others. Its fields must be set.
type Receiver[R any] struct {
	// All returns all reports of this router, and Related those about the same contents or
	// upstreams as the given reports. Merge merges received reports.
	All     func() []R
	Related func(reports []R) []R
	Merge   func(reports []R)
}

// ServeAll responds with all reports.
func (r *Receiver[R]) ServeAll(w http.ResponseWriter, _ *http.Request) { writeReports(w, r.All()) }

// ServeReports merges the reports of a message, and responds with the reports that this router
// held before about the same contents or upstreams.
func (r *Receiver[R]) ServeReports(w http.ResponseWriter, req *http.Request) {
	var message Message[R]
	if err := json.NewDecoder(io.LimitReader(req.Body, maxMessage)).Decode(&message); err != nil {
		http.Error(w, "decode the notes: "+err.Error(), http.StatusBadRequest)
		return
	}
	related := r.Related(message.Reports)
	r.Merge(message.Reports)
	writeReports(w, related)
}

func writeReports[R any](w http.ResponseWriter, reports []R) {
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Message[R]{Reports: reports})
}
