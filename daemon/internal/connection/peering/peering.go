// Package peering serves the replica of a daemon to other daemons.
//
// Daemons of the same hall read it in place of the store (Neighbours): a few routers of a
// hall read the store and the others follow them, so that a large entry does not cross the
// link to the hall once for each daemon. A router that the store rejects while it serves
// others reads it from any router (Puller), so that it still receives new configurations
// and removals of keys.
//
// Both make the same call, a long poll for all entries above a revision. Entries of a peer
// go into the same table as those of the store, where the highest revision wins, so that a
// stale peer does no harm. The response includes the revision up to which the replica is
// complete and the age of its data, by which the caller decides whether to read the store.
//
// Each state of the table is listed, encoded and packed once for all followers.
//
// Pushing changes to subscribers was rejected, since it needs backpressure that distinguishes a
// frozen subscriber from a slow one.
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

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/timeout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Path is the URL path of the call.
const Path = "/copy"

// formPacked is the value of the query parameter form that requests entries packed together.
// Callers of earlier versions omit it.
const formPacked = "packed"

// erasParam is the query parameter of callers that order revisions by era. An earlier version would
// pass a revision of a later era on to the store, which does not have it, and be stuck there.
const erasParam = "eras"

const (
	// maxResponse bounds a response, in bytes.
	maxResponse = 8 << 20
	// maxWait bounds the wait of a long poll.
	maxWait = 5 * time.Second
	// statusPollInterval is the shortest time between two checks of the replica's status
	// during a long poll. The checks detect that an empty replica becomes ready, or that the
	// replica becomes stale.
	statusPollInterval = 20 * time.Millisecond
	// firstByteTimeout bounds the time to the first byte of a response, beyond the wait of
	// the long poll.
	firstByteTimeout = 400 * time.Millisecond
	// replicaFirstByteTimeout is the same for a complete replica, which a daemon may send to
	// many others at once.
	replicaFirstByteTimeout = time.Second
	// stallTimeout bounds the time between two parts of a response.
	stallTimeout = 500 * time.Millisecond
	// callTimeout bounds a call.
	callTimeout = 10 * time.Second
)

// response is the response to a call, with plain entries.
type response struct {
	provider.Listing
	// The fields below are the status of the responding daemon's replica, without its
	// revision.
	SinceAnswer  time.Duration `json:"answered"`
	SinceData    time.Duration `json:"heard"`
	Disconnected bool          `json:"lost,omitempty"`
	Generation   uint64        `json:"generation"`
	Hops         int           `json:"hops,omitempty"`
	// Graces holds what remains of the grace periods of deleted entries, by key.
	Graces map[string]provider.Grace `json:"graces,omitempty"`
	// Declared holds declared versions, and Waited how long the call had waited when their ages were taken.
	Declared []replica.VersionAge `json:"declared,omitempty"`
	Waited   time.Duration        `json:"waited,omitempty"`
}

// status returns the status of the responding daemon's replica.
func (r *response) status() replica.Status {
	return replica.Status{
		Revision: r.Revision, SinceAnswer: r.SinceAnswer, SinceData: r.SinceData, Disconnected: r.Disconnected, Generation: r.Generation, Hops: r.Hops,
	}
}

// wireResponse is the encoded form of a response. Its Entries replace those of response.
type wireResponse struct {
	response
	Entries []packedEntry `json:"entries"`
	// Packed holds the output of packAll in place of Entries, if the request asks for the
	// packed form.
	Packed []byte `json:"packed,omitempty"`
}

// unpacked returns the entries of either form.
func (r *wireResponse) unpacked() ([]provider.Entry, error) {
	if len(r.Packed) == 0 {
		return unpack(r.Entries)
	}
	return unpackAll(r.Packed)
}

// Source serves the replica of a daemon.
type Source struct {
	Table *replica.Table
	// Status returns the status of the replica.
	Status func() replica.Status
	// Declared returns the known versions and when they were declared. Nil means none.
	Declared func() []replica.DeclaredVersion

	packer   packer
	listings listings
}

// ServeHTTP responds to a long poll once there are entries above the revision, or when the
// wait is over. A call for the complete replica also waits until the replica is ready. When
// the replica becomes stale the response is sent at once.
func (s *Source) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := parse(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !req.eras && (req.wait > 0 || req.packed) && s.Status().Revision.Era() > 0 {
		http.Error(w, "the caller does not support eras of the store", http.StatusServiceUnavailable)
		return
	}
	received := clock.Now()
	resp, ok := s.await(r.Context(), req)
	if !ok {
		return
	}
	resp.Declared, resp.Waited = s.declared(req, resp, received)
	w.Header().Set("Content-Type", "application/json")
	encoded := wireResponse{response: resp}
	if req.packed && len(resp.Entries) > 0 {
		// The table may be newer by now. It then still has all entries up to resp.Revision.
		encoded.Packed = s.listings.list(s.Table, req.prefix, req.after).packed(&s.packer)
	} else {
		encoded.Entries = s.packer.pack(resp.Entries)
	}
	_ = json.NewEncoder(w).Encode(encoded)
}

// await returns the response to a long poll, or false if the caller disconnected.
func (s *Source) await(ctx context.Context, req request) (response, bool) {
	timer := time.NewTimer(req.wait)
	defer timer.Stop()
	for {
		changed := s.Table.Changed()
		resp := s.currentResponse(req)
		ready := resp.Revision > 0
		due := len(resp.Entries) > 0 || resp.status().Stale()
		if req.wait == 0 || ready && due {
			return resp, true
		}
		recheck := statusPollInterval
		if ready {
			recheck = max(resp.status().MaxStaleness()-resp.SinceData, statusPollInterval)
		}
		select {
		case <-changed:
		case <-time.After(recheck):
		case <-timer.C:
			return s.currentResponse(req), true
		case <-ctx.Done():
			return response{}, false
		}
	}
}

// currentResponse returns the response to a request as of now. It reads the status before the
// table, so that the entries are complete up to the status's revision.
func (s *Source) currentResponse(req request) response {
	status := s.Status()
	listed := s.listings.list(s.Table, req.prefix, req.after)
	resp := response{
		Listing:     provider.Listing{Entries: listed.entries, Revision: status.Revision},
		SinceAnswer: status.SinceAnswer, SinceData: status.SinceData, Disconnected: status.Disconnected, Generation: status.Generation,
		Hops: status.Hops, Graces: s.Table.Graces(req.prefix),
	}
	if req.wait > 0 && status.Stale() {
		resp.Entries = nil // a follower drops the entries of a stale daemon
	}
	return resp
}

// request holds the parameters of a call: the prefix of the keys, the revision above which
// entries are listed, and the wait of the long poll.
type request struct {
	prefix string
	after  provider.Revision
	wait   time.Duration
	// packed requests the entries packed together.
	packed bool
	// eras states that the caller orders revisions by era.
	eras bool
}

func parse(query url.Values) (request, error) {
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return request{}, fmt.Errorf("after: a revision is missing: %w", err)
	}
	wait := time.Duration(0)
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return request{}, fmt.Errorf("wait: give a time such as 500ms: %w", err)
		}
	}
	wait = min(max(wait, 0), maxWait)
	packed := query.Get("form") == formPacked
	return request{prefix: query.Get("prefix"), after: provider.Revision(after), wait: wait, packed: packed, eras: query.Get(erasParam) != ""}, nil
}

// url returns the URL of the call to a peer.
func (r request) url(peer netip.AddrPort) string {
	query := url.Values{"after": {strconv.FormatUint(uint64(r.after), 10)}, erasParam: {"1"}}
	if r.prefix != "" {
		query.Set("prefix", r.prefix)
	}
	if r.wait > 0 {
		query.Set("wait", r.wait.String())
	}
	if r.packed {
		query.Set("form", formPacked)
	}
	return fmt.Sprintf("http://%s%s?%s", peer, Path, query.Encode())
}

// fetch makes one call to a peer.
func fetch(ctx context.Context, client *http.Client, peer netip.AddrPort, req request) (replica.Update, error) {
	limit := timeout.Limit{FirstByte: req.wait + firstByteTimeout, Stall: stallTimeout, Total: callTimeout}
	if req.after == 0 {
		limit.FirstByte = req.wait + replicaFirstByteTimeout
	}
	ctx, end := limit.Context(ctx)
	defer end()
	began := clock.Now()
	var resp wireResponse
	if err := call.GetJSON(ctx, client, req.url(peer), maxResponse, &resp); err != nil {
		return replica.Update{}, fmt.Errorf("fetch update from peer %s: %w", peer, timeout.Explain(ctx, err))
	}
	entries, err := resp.unpacked()
	if err != nil {
		return replica.Update{}, fmt.Errorf("fetch update from peer %s: %w", peer, err)
	}
	declared := declaredDuring(resp.Declared, began.Add(max(resp.Waited, 0)), clock.Now())
	return replica.Update{Entries: entries, After: req.after, Graces: resp.Graces, Declared: declared, Status: resp.status()}, nil
}
