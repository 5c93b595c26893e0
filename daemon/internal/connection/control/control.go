// Package control implements the Control service of an entry.
//
// Agents call it to long-poll for orders and to send heartbeats; other entries
// call it to pull changed member records or a snapshot of the configuration.
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

// Server implements wire.Control over the tables of an entry.
type Server struct {
	Table   *tables.Table
	Members *members.Table
	// Stopping is closed when the entry drains, which ends long polls. Nil
	// stands for a channel that is never closed.
	Stopping <-chan struct{}
}

// Follow is a long poll: it responds when the agent's order differs from the
// one that the agent holds, or when the wait is over.
func (s *Server) Follow(ctx context.Context, req *wire.FollowRequest) (*wire.FollowResponse, error) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		tableChanged, membersChanged := s.Table.Changed(), s.Members.Changed()
		resp := s.followResponse(req)
		if resp.GetChanged() {
			return resp, nil
		}
		select {
		case <-tableChanged:
		case <-membersChanged:
		case <-s.Stopping:
			return resp, nil
		case <-timer.C:
			return resp, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// followResponse compares the agent's current order with the one that it holds.
func (s *Server) followResponse(req *wire.FollowRequest) *wire.FollowResponse {
	view := s.Table.View()
	resp := &wire.FollowResponse{Revision: view.Revision}
	if view.Revision == 0 || view.Revision < req.GetHeldRevision() {
		return resp // the table of this entry is older than the agent's order
	}
	order := orders.For(view, s.Members.View(), req.GetHall(), req.GetHost())
	changed := orders.AssignmentDigest(order) != req.GetHeldAssignment() ||
		req.GetHeldOrder() != 0 && orders.Digest(order) != req.GetHeldOrder()
	if changed {
		resp.Changed = true
		resp.Order = order
	}
	return resp
}

// Report records an agent's heartbeat.
func (s *Server) Report(_ context.Context, req *wire.ReportRequest) (*wire.ReportResponse, error) {
	reply := s.Members.Report(req.GetName(), req.GetIncarnation(), req.GetSequence(), req.GetMember())
	return &wire.ReportResponse{SuspectSequence: reply.SuspectSequence, WantMember: reply.WantMember}, nil
}

// Sync returns the members that changed since the caller's cursor.
func (s *Server) Sync(_ context.Context, req *wire.SyncRequest) (*wire.SyncResponse, error) {
	from := members.Position{Instance: req.GetInstance(), Cursor: req.GetCursor(), Buckets: req.GetBuckets()}
	position, changed := s.Members.Since(from)
	return &wire.SyncResponse{Instance: position.Instance, Cursor: position.Cursor, Members: changed}, nil
}

// Snapshot returns the complete configuration.
func (s *Server) Snapshot(context.Context, *wire.SnapshotRequest) (*wire.SnapshotResponse, error) {
	items, revision := s.Table.Snapshot()
	resp := &wire.SnapshotResponse{Revision: revision}
	for _, item := range items {
		resp.Items = append(resp.Items, &wire.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return resp, nil
}
