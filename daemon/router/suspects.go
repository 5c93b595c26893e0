package router

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/broadcast"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// suspectTTL is how long the store keeps the record of a quarantined content for routers that
	// start meanwhile. It is the longest lease that stores allow.
	suspectTTL = 10 * time.Minute
	// suspectWriteTimeout bounds the two calls that write such a record.
	suspectWriteTimeout = 3 * time.Second
	// maxSuspectWrites is the number of attempts to write while the store is unreachable, and
	// suspectWriteRetryDelay the pause between attempts.
	maxSuspectWrites       = 10
	suspectWriteRetryDelay = 3 * time.Second
)

// source is the origin of a crash report or of a limit.
type source string

const (
	sourceLocal  source = "own"    // a broken connection or an answer that this router received
	sourceRouter source = "router" // a notification from another router
	sourceAnswer source = "answer" // another router's answer to a notification
	sourceStore  source = "store"
	sourceLifted source = "lifted" // an operator who lifted the quarantine
	sourceLoader source = "loader" // the answer of the loader beside the engine
)

// storedSuspect is the record of a quarantined content in the store. The time of day is part of
// it, because a report states only ages.
type storedSuspect struct {
	quarantine.Report
	WrittenAt time.Time `json:"at,omitzero"`
}

// suspects holds the contents whose requests ran at an upstream when it crashed, and the parts of
// their prompts, as far as this router has received or observed them. A content is identified by the
// digest of a request, which is the same for each retry, a part by its own digest.
type suspects struct {
	mu    sync.Mutex
	table quarantine.Table
}

// verdict returns whether requests with these digests may be sent.
func (s *suspects) verdict(digests []content.Digest) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Verdict(digests, clock.Now())
}

// admit returns the verdict for a new request.
func (s *suspects) admit(digests []content.Digest, position func(content.Digest) int) quarantine.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Admit(digests, position, clock.Now())
}

// abandonTrials records that a trial was not sent.
func (s *suspects) abandonTrials(trials []content.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.AbandonTrials(trials)
}

// verdictChange is the effect of a crash report on the verdict on its content.
type verdictChange struct {
	// before and after are the verdicts, and merged is the report after the merge.
	before, after quarantine.Verdict
	merged        quarantine.Report
	// wasQuarantined is set if the content had been quarantined before the report.
	wasQuarantined bool
}

// apply merges a report into the table, and reports false if the verdict stays the same.
func (s *suspects) apply(report quarantine.Report) (verdictChange, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, digests := clock.Now(), []content.Digest{report.Content}
	c := verdictChange{before: s.table.Verdict(digests, now), wasQuarantined: s.table.Report(report.Content, now).ReachesQuarantine()}
	updated := s.table.Merge(report, now)
	c.after, c.merged = s.table.Verdict(digests, now), s.table.Report(report.Content, now)
	return c, updated && c.before != c.after
}

// complete records a complete answer to a request, and returns those of its digests against which
// crashes are recorded.
func (s *suspects) complete(digests []content.Digest) []content.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var suspected []content.Digest
	for _, digest := range digests {
		s.table.RecordSuccess(digest, now)
		if s.table.Suspected(digest) {
			suspected = append(suspected, digest)
		}
	}
	return suspected
}

// attributeCrash returns the crash of an upstream whose connection broke, and reports whether it
// counts against the content of the request or the part of its prompt.
func (s *suspects) attributeCrash(disconnect dispatch.Disconnect, digest content.Digest) (quarantine.Crash, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	sent := quarantine.Attempt{Content: digest, Upstream: disconnect.Upstream.ID, Started: disconnect.Upstream.Started, SentAt: now.Add(-disconnect.After)}
	return s.table.Attribute(sent, now)
}

func (s *suspects) report(digest content.Digest) quarantine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Report(digest, clock.Now())
}

func (s *suspects) all() []quarantine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Reports(clock.Now())
}

// knownFor returns this router's reports on the contents of received reports. It omits contents
// that the sender has just cleared: the sender would apply the answer as an update.
func (s *suspects) knownFor(reports []quarantine.Report) []quarantine.Report {
	var known []quarantine.Report
	for _, report := range reports {
		if recorded := s.report(report.Content); !report.Cleared && len(recorded.Crashes) > 0 {
			known = append(known, recorded)
		}
	}
	return known
}

// connectionBroke probes an upstream after a connection to it broke during a request, and
// publishes a crash. The request waits for the probe, one round trip, before it is retried.
func (p *Process) connectionBroke(disconnect dispatch.Disconnect) {
	state := disconnect.State
	if state == "" {
		state = p.probeUpstream(disconnect.Upstream)
	}
	crashed := state == livenessprobe.Crashed
	p.recorder.connectionBroke(disconnect, crashed)
	if !crashed {
		return
	}
	p.publishCrash(disconnect, disconnect.Content, false)
	for _, part := range disconnect.Parts {
		p.publishCrash(disconnect, part, true)
	}
}

// publishCrash publishes the crash of an upstream under a request, if it counts against the request's
// content or the part of its prompt.
func (p *Process) publishCrash(disconnect dispatch.Disconnect, digest content.Digest, part bool) {
	if crash, counts := p.suspects.attributeCrash(disconnect, digest); counts {
		p.publish(quarantine.Report{Content: digest, Part: part, Crashes: []quarantine.Crash{crash}}, sourceLocal)
	}
}

// probeUpstream checks whether an upstream still runs after it closed a connection.
func (p *Process) probeUpstream(upstream *provider.Upstream) livenessprobe.State {
	return p.probe.Check(context.Background(), upstream.Address)
}

// admitContent returns the verdict for a new request, and tells the other routers of a trial.
func (p *Process) admitContent(digests []content.Digest) quarantine.Admission {
	admission := p.suspects.admit(digests, p.trialPosition)
	for _, digest := range admission.Trials {
		p.recorder.trialBegan(digest)
		p.notify(quarantine.Report{Content: digest, Trial: true})
	}
	return admission
}

// trialPosition returns the position of this router in the order in which routers may send a quarantined
// content or part again. The order keeps them from doing so at once, which would put several upstreams
// at risk.
func (p *Process) trialPosition(digest content.Digest) int {
	members := p.compiler.View().Members
	names := make([]string, 0, len(members))
	for member := range members {
		names = append(names, member)
	}
	return rendezvous.Position("try "+digest.String(), p.current.Load().Name, names)
}

// contentCompleted clears the content and the parts of a request after a complete answer.
func (p *Process) contentCompleted(digests []content.Digest) {
	for _, digest := range p.suspects.complete(digests) {
		p.publish(quarantine.Report{Content: digest, Cleared: true}, sourceLocal)
	}
}

// publish applies a report that this router issues and sends it to the other routers.
func (p *Process) publish(report quarantine.Report, from source) {
	p.applyReport(report, from, netip.AddrPort{})
	p.notify(report)
}

// notify sends a report to the other routers.
func (p *Process) notify(report quarantine.Report) {
	if !p.crashNotifier.Send(report) {
		p.recorder.notificationDropped()
	}
}

// applyReport applies a report and logs a changed verdict. The record of a quarantined content is
// written to the store, for routers that start later, unless the report came from there or from a
// router that writes it itself.
func (p *Process) applyReport(report quarantine.Report, from source, peer netip.AddrPort) {
	c, changed := p.suspects.apply(report)
	if !changed {
		return
	}
	p.recorder.verdict(c, from, peer)
	quarantined := c.after == quarantine.Quarantined || c.wasQuarantined // the store has a record once a content was quarantined
	if quarantined && from != sourceRouter && from != sourceStore {
		go p.persistVerdict(report.Content)
	}
}

// persistVerdict writes the report on a content to the store, and retries while the store is
// unreachable.
func (p *Process) persistVerdict(digest content.Digest) {
	if p.provider.EncodeSuspect == nil {
		return
	}
	for range maxSuspectWrites {
		err := p.writeVerdict(digest)
		if err == nil || p.draining.Load() {
			return
		}
		p.recorder.verdictNotPersisted(digest, err)
		helpers.Pause(suspectWriteRetryDelay, p.done)
	}
}

func (p *Process) writeVerdict(digest content.Digest) error {
	ctx, cancel := context.WithTimeout(context.Background(), suspectWriteTimeout)
	defer cancel()
	record := storedSuspect{Report: p.suspects.report(digest), WrittenAt: time.Now()}
	record.Cleared = len(record.Crashes) == 0
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	lease, err := p.provider.Store.Grant(ctx, suspectTTL)
	if err != nil {
		return err
	}
	put := p.provider.EncodeSuspect(digest.String(), value)
	put.Lease = lease
	_, err = p.provider.Store.Write(ctx, []provider.Put{put})
	return err
}

// applyStoredSuspect applies a report read from the store.
func (p *Process) applyStoredSuspect(value []byte) error {
	var record storedSuspect
	if err := json.Unmarshal(value, &record); err != nil {
		return err
	}
	if !record.WrittenAt.IsZero() {
		record.Age += max(time.Since(record.WrittenAt), 0)
	}
	p.applyReport(record.Report, sourceStore, netip.AddrPort{})
	return nil
}

// newCrashNotifier returns the sender of crash reports to other routers.
func (p *Process) newCrashNotifier(client *http.Client) *broadcast.Sender[quarantine.Report] {
	return &broadcast.Sender[quarantine.Report]{
		Client: client, Path: broadcast.SuspectsPath, Delayed: quarantine.Report.Delayed, Peers: p.otherRouters, CatchUpPeer: p.choosePeer, OnFailed: p.recorder.notificationFailed,
		OnReports: func(reports []quarantine.Report, peer netip.AddrPort) {
			for _, report := range reports {
				p.applyReport(report, sourceAnswer, peer)
			}
		},
	}
}

// otherRouters returns the addresses of all known routers except this one.
func (p *Process) otherRouters() []netip.AddrPort {
	own := p.current.Load().Listen.Peers
	var others []netip.AddrPort
	for _, member := range p.compiler.View().Members {
		if member.Peers != own {
			others = append(others, member.Peers)
		}
	}
	return others
}

// addSuspectRoutes adds the routes on which this router serves its reports, receives those of
// other routers, and lets operators lift a quarantine.
func (p *Process) addSuspectRoutes(routes *bunrouter.Router) {
	receiver := &broadcast.Receiver[quarantine.Report]{
		All: p.suspects.all, Related: p.suspects.knownFor,
		Merge: func(reports []quarantine.Report) {
			for _, report := range reports {
				p.applyReport(report, sourceRouter, netip.AddrPort{})
			}
		},
	}
	routes.Compat().GET(broadcast.SuspectsPath, receiver.ServeAll)
	routes.Compat().POST(broadcast.SuspectsPath, receiver.ServeReports)
	routes.DELETE(broadcast.SuspectsPath+"/:content", bunrouter.HandlerFunc(p.lift))
}

// lift clears a content on an operator's request, on all routers.
func (p *Process) lift(w http.ResponseWriter, r bunrouter.Request) error {
	var digest content.Digest
	if err := digest.UnmarshalText([]byte(r.Param("content"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	if known := p.suspects.report(digest); len(known.Crashes) == 0 {
		http.Error(w, "no upstream is known to have ended under this content", http.StatusNotFound)
		return nil
	}
	p.publish(quarantine.Report{Content: digest, Cleared: true}, sourceLifted)
	w.WriteHeader(http.StatusNoContent)
	return nil
}
