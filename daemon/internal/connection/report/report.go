// Package report sends the reports of an agent, which are its heartbeats, to a few
// entries of its hall.
//
// A report carries the complete member record if the entry does not have its
// newest version, and otherwise only name, incarnation and sequence. Changes
// in quick succession are batched into one report.
package report

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/follow"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

const (
	// DefaultInterval is the interval between reports.
	DefaultInterval = time.Second
	// fanOut is the number of entries that an agent reports to, so that two of
	// them may fail at once.
	fanOut = 3
	// batchDelay is how long a report is delayed to batch further changes.
	batchDelay = 20 * time.Millisecond
	// callTimeout bounds one report.
	callTimeout = time.Second
)

// Reporter sends reports. Set the fields before Start.
type Reporter struct {
	Host string
	// Entries returns the entries of the hall.
	Entries func() []platform.Host
	Client  *http.Client
	// Incarnation grows with every start of the agent.
	Incarnation uint64
	// Member returns the current record without incarnation and sequence.
	Member func() *wire.Member
	// Interval is the interval between reports; 0 means DefaultInterval.
	Interval time.Duration

	tomb tomb.Tomb
	// setUp creates changes, so that NotifyChange may be called before Start.
	setUp   sync.Once
	changes chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	sequence uint64
	last     *wire.Member
	// acked holds the sequence of the newest complete record that each entry
	// acknowledged, by the name of the entry.
	acked map[string]uint64
}

// Start starts to send reports.
func (r *Reporter) Start() {
	r.acked = map[string]uint64{}
	r.tomb.Go(r.run)
}

// Stop stops sending reports and waits for those in progress.
func (r *Reporter) Stop() {
	r.tomb.Kill(nil)
	_ = r.tomb.Wait()
}

// Done returns a channel that is closed when the reporter has stopped.
func (r *Reporter) Done() <-chan struct{} { return r.tomb.Dead() }

// NotifyChange requests a report soon, because the record changed.
func (r *Reporter) NotifyChange() {
	select {
	case r.signal() <- struct{}{}:
	default:
	}
}

// signal returns the channel that NotifyChange writes to.
func (r *Reporter) signal() chan struct{} {
	r.setUp.Do(func() { r.changes = make(chan struct{}, 1) })
	return r.changes
}

func (r *Reporter) run() error {
	ctx := r.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	interval := helpers.OrDefault(r.Interval, DefaultInterval)
	for {
		r.Send(ctx)
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-r.signal():
			r.batch()
		case <-r.tomb.Dying():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// batch waits for further changes, which then share the next report.
func (r *Reporter) batch() {
	helpers.Pause(batchDelay, r.tomb.Dying())
}

// Send sends one report to each of the fanOut first entries in parallel, and
// waits for them.
func (r *Reporter) Send(ctx context.Context) {
	member := r.stamp()
	ranked := follow.RankEntries(r.Host, r.Entries())
	var group sync.WaitGroup
	for _, entry := range ranked[:min(fanOut, len(ranked))] {
		group.Go(func() { r.send(ctx, entry, member) })
	}
	group.Wait()
}

// stamp returns the current record, with a higher sequence if it changed.
func (r *Reporter) stamp() *wire.Member {
	member := r.Member()
	r.mu.Lock()
	defer r.mu.Unlock()
	member.Incarnation = r.Incarnation
	member.Sequence = r.sequence
	if r.last == nil || !equalRecords(member, r.last) {
		r.sequence++
		member.Sequence = r.sequence
	}
	r.last = member
	return member
}

// send reports to one entry. The next report is the retry for an unreachable
// entry.
func (r *Reporter) send(ctx context.Context, entry platform.Host, member *wire.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.ReportRequest{Name: member.GetName(), Incarnation: member.GetIncarnation(), Sequence: member.GetSequence()}
	r.mu.Lock()
	if r.acked[entry.Name] != member.GetSequence() {
		req.Member = member
	}
	r.mu.Unlock()
	control := wire.NewControlProtobufClient("http://"+entry.Address.String(), r.Client)
	resp, err := control.Report(ctx, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		delete(r.acked, entry.Name)
		return
	}
	r.acked[entry.Name] = member.GetSequence()
	if resp.GetWantMember() {
		delete(r.acked, entry.Name)
		r.NotifyChange()
	}
	if suspected := resp.GetSuspectSequence(); suspected >= r.sequence && suspected != 0 {
		// The next report has a higher sequence, which clears the suspicion at
		// every entry.
		r.sequence = suspected
		r.last = nil
		r.NotifyChange()
	}
}

// equalRecords reports whether two records are equal but for incarnation and sequence.
func equalRecords(a, b *wire.Member) bool {
	restamped := proto.CloneOf(a)
	restamped.Incarnation, restamped.Sequence = b.GetIncarnation(), b.GetSequence()
	return proto.Equal(restamped, b)
}
