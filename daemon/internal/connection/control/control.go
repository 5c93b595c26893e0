// Package control answers the system's own processes at an entry: agents that
// follow their orders and report, and entries that ask for changed members or
// for the whole configuration.
package control

import (
	"context"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/orders"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
)

// maxWait bounds one long poll.
const maxWait = 30 * time.Second

// Server implements wire.Control on an entry's tables.
type Server struct {
	Table   *tables.Table
	Members *members.Table
	// Stopping is closed when the entry drains, which ends long polls; nil
	// means never.
	Stopping <-chan struct{}
}

// Follow waits until the agent's order differs from the one that it holds.
func (s *Server) Follow(ctx context.Context, request *wire.FollowRequest) (*wire.FollowResponse, error) {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		tableChanged, membersChanged := s.Table.Changed(), s.Members.Changed()
		response := s.answer(request)
		if response.GetChanged() {
			return response, nil
		}
		select {
		case <-tableChanged:
		case <-membersChanged:
		case <-s.Stopping:
			return response, nil
		case <-timer.C:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answer compares the present order with the one held.
func (s *Server) answer(request *wire.FollowRequest) *wire.FollowResponse {
	view := s.Table.View()
	response := &wire.FollowResponse{Revision: view.Revision}
	if view.Revision == 0 || view.Revision < request.GetHeldRevision() {
		return response // this entry is behind the agent
	}
	order := orders.Compute(view, s.Members.View(), request.GetHall(), request.GetHost())
	other := orders.AssignmentDigest(order) != request.GetHeldAssignment() ||
		request.GetHeldOrder() != 0 && orders.Digest(order) != request.GetHeldOrder()
	if other {
		response.Changed = true
		response.Order = order
	}
	return response
}

// Report takes an agent's heartbeat.
func (s *Server) Report(_ context.Context, request *wire.ReportRequest) (*wire.ReportResponse, error) {
	reply := s.Members.Report(request.GetName(), request.GetIncarnation(), request.GetSequence(), request.GetMember())
	return &wire.ReportResponse{SuspectSequence: reply.SuspectSequence, WantMember: reply.WantMember}, nil
}

// Sync returns the members that changed since the caller's cursor.
func (s *Server) Sync(_ context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	from := members.Position{Instance: request.GetInstance(), Cursor: request.GetCursor(), Buckets: request.GetBuckets()}
	position, changed := s.Members.ChangesAfter(from)
	return &wire.SyncResponse{Instance: position.Instance, Cursor: position.Cursor, Members: changed}, nil
}

// Snapshot returns the whole configuration.
func (s *Server) Snapshot(context.Context, *wire.SnapshotRequest) (*wire.SnapshotResponse, error) {
	items, revision := s.Table.Snapshot()
	response := &wire.SnapshotResponse{Revision: revision}
	for _, item := range items {
		response.Items = append(response.Items, &wire.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return response, nil
}
