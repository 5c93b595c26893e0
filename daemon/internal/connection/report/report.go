// Package report sends an agent's heartbeats to a few entries of its hall.
//
// A report is the whole member record when the record changed, else only its
// stamp. Changes that come close together travel in one report.
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
	// DefaultEvery is the interval between heartbeats.
	DefaultEvery = time.Second
	// entriesTold is the number of entries that hear from an agent. Two may
	// fail at once and the agent still lives for the hall.
	entriesTold = 3
	// gatherFor is the time in which changes gather into one report.
	gatherFor = 20 * time.Millisecond
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
	// Member returns the record as of now, without stamp.
	Member func() *wire.Member
	// Every varies DefaultEvery; 0 takes it.
	Every time.Duration

	tomb tomb.Tomb
	// setUp makes changes, so that Changed may be called before Start.
	setUp   sync.Once
	changes chan struct{}

	// mu guards the rest.
	mu       sync.Mutex
	sequence uint64
	last     *wire.Member
	// told holds the sequence that each entry has the whole record of.
	told map[string]uint64
}

// Start begins to report.
func (r *Reporter) Start() {
	r.told = map[string]uint64{}
	r.tomb.Go(r.run)
}

// Stop ends the reports and waits for it.
func (r *Reporter) Stop() {
	r.tomb.Kill(nil)
	_ = r.tomb.Wait()
}

// Done is closed when the reporter has ended.
func (r *Reporter) Done() <-chan struct{} { return r.tomb.Dead() }

// Changed asks for a report soon, because the record changed.
func (r *Reporter) Changed() {
	select {
	case r.signal() <- struct{}{}:
	default:
	}
}

// signal returns the channel that Changed writes to.
func (r *Reporter) signal() chan struct{} {
	r.setUp.Do(func() { r.changes = make(chan struct{}, 1) })
	return r.changes
}

func (r *Reporter) run() error {
	ctx := r.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	every := helpers.OrDefault(r.Every, DefaultEvery)
	for {
		r.Send(ctx)
		timer := time.NewTimer(every)
		select {
		case <-timer.C:
		case <-r.signal():
			r.gather()
		case <-r.tomb.Dying():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

func (r *Reporter) gather() {
	helpers.Pause(gatherFor, r.tomb.Dying())
}

// Send reports once, to all entries that hear from this agent side by side.
func (r *Reporter) Send(ctx context.Context) {
	member := r.stamp()
	ranked := follow.Ranked(r.Host, r.Entries())
	var group sync.WaitGroup
	for _, entry := range ranked[:min(entriesTold, len(ranked))] {
		group.Go(func() { r.send(ctx, entry, member) })
	}
	group.Wait()
}

// stamp returns the present record, with a higher sequence if it changed.
func (r *Reporter) stamp() *wire.Member {
	member := r.Member()
	r.mu.Lock()
	defer r.mu.Unlock()
	member.Incarnation = r.Incarnation
	member.Sequence = r.sequence
	if r.last == nil || !same(member, r.last) {
		r.sequence++
		member.Sequence = r.sequence
	}
	r.last = member
	return member
}

// send reports to one entry. An entry that is out of reach is asked again with
// the next report.
func (r *Reporter) send(ctx context.Context, entry platform.Host, member *wire.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &wire.ReportRequest{Name: member.GetName(), Incarnation: member.GetIncarnation(), Sequence: member.GetSequence()}
	r.mu.Lock()
	if r.told[entry.Name] != member.GetSequence() {
		request.Member = member
	}
	r.mu.Unlock()
	control := wire.NewControlProtobufClient("http://"+entry.Address.String(), r.Client)
	response, err := control.Report(ctx, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		delete(r.told, entry.Name)
		return
	}
	r.told[entry.Name] = member.GetSequence()
	if response.GetWantMember() {
		delete(r.told, entry.Name)
		r.Changed()
	}
	if suspected := response.GetSuspectSequence(); suspected >= r.sequence && suspected != 0 {
		// This agent lives: a higher sequence lifts the mark everywhere.
		r.sequence = suspected
		r.last = nil
		r.Changed()
	}
}

// same reports whether two records say the same, whatever their stamps.
func same(a, b *wire.Member) bool {
	left := proto.CloneOf(a)
	left.Incarnation, left.Sequence = b.GetIncarnation(), b.GetSequence()
	return proto.Equal(left, b)
}
