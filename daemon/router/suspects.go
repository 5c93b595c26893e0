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
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/evidence"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// suspectTTL is how long a content that is held back stays in the store, for routers that
	// start meanwhile: the longest that stores allow.
	suspectTTL = 10 * time.Minute
	// suspectTimeout bounds the two calls that put it there.
	suspectTimeout = 3 * time.Second
	// keepTries is how often that is tried while the store is away, and keepAgain the pause
	// between.
	keepTries = 10
	keepAgain = 3 * time.Second
)

// source says from where a router knows something of a content, or of a limit.
type source string

// The sources.
const (
	sourceOwn    source = "own"    // a connection of this router broke, an answer to it named it
	sourceRouter source = "router" // another router told
	sourceAnswer source = "answer" // another router knew more of what it was told
	sourceStore  source = "store"
	sourceLifted source = "lifted" // an operator lifted it
	sourceLoader source = "loader" // the loader beside the engine told with its answer
)

// suspects are the contents under which upstreams ended, as far as this router knows.
type suspects struct {
	mu    sync.Mutex
	table quarantine.Table
}

// judge says what may be done with a content.
func (s *suspects) judge(name content.Digest) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Verdict(name, clock.Now())
}

// admit says what may be done with a content as a request comes; mayTry is asked only where
// one was held back.
func (s *suspects) admit(name content.Digest, mayTry func(content.Digest) bool) quarantine.Verdict {
	if s.judge(name) == quarantine.Unrestricted {
		return quarantine.Unrestricted
	}
	own := mayTry(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Admit(name, own, clock.Now())
}

// change is what a note changed.
type change struct {
	// before and after are the verdicts, and known what is known of the content by now.
	before, after quarantine.Verdict
	known         quarantine.Report
	// wasDeep says that the content had been held back before.
	wasDeep bool
}

// take takes a note, and reports false where it changes no verdict.
func (s *suspects) take(note quarantine.Report) (change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	c := change{before: s.table.Verdict(note.Content, now), wasDeep: s.table.Report(note.Content).ReachesQuarantine()}
	news := s.table.Merge(note, now)
	c.after, c.known = s.table.Verdict(note.Content, now), s.table.Report(note.Content)
	return c, news && c.before != c.after
}

// whole notes that a content was answered whole, and reports whether ends stand against it.
func (s *suspects) whole(name content.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordSuccess(name, clock.Now())
	return len(s.table.Report(name).Crashes) > 0
}

// end names the end of the upstream of a broken send, and reports whether it counts.
func (s *suspects) end(b dispatch.Break) (quarantine.Crash, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	sent := quarantine.Attempt{Content: b.Content, Upstream: b.Upstream.ID, Started: b.Upstream.Started, SentAt: now.Add(-b.After)}
	return s.table.Attribute(sent, now)
}

func (s *suspects) note(name content.Digest) quarantine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Report(name)
}

func (s *suspects) all() []quarantine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Reports()
}

// of returns what is known of the contents of some notes, but of those that are cleared:
// whoever tells so would take it for news.
func (s *suspects) of(notes []quarantine.Report) []quarantine.Report {
	var known []quarantine.Report
	for _, note := range notes {
		if own := s.note(note.Content); !note.Cleared && len(own.Crashes) > 0 {
			known = append(known, own)
		}
	}
	return known
}

// broke finds out whether the upstream ended under a send whose connection broke. The
// request waits for that, one round trip, before it is sent again.
func (p *Process) broke(b dispatch.Break) {
	ended := p.probe.Ended(context.Background(), b.Upstream.Address)
	p.recorder.broke(b, ended)
	if !ended {
		return
	}
	end, counts := p.suspects.end(b)
	if !counts {
		return
	}
	p.tell(quarantine.Report{Content: b.Content, Crashes: []quarantine.Crash{end}}, sourceOwn)
}

// admitContent says what may be done with a content as a request comes.
func (p *Process) admitContent(name content.Digest) quarantine.Verdict {
	return p.suspects.admit(name, p.tries)
}

// tries reports whether it falls to this router to send a content again that was held back
// long enough: to one of all, so that one upstream is risked.
func (p *Process) tries(name content.Digest) bool {
	own := p.current.Load().Name
	names := []string{own}
	for member := range p.compiler.View().Members {
		if member != own {
			names = append(names, member)
		}
	}
	return rendezvous.First("try "+name.String(), names) == own
}

// answeredWhole clears a content.
func (p *Process) answeredWhole(name content.Digest) {
	if p.suspects.whole(name) {
		p.tell(quarantine.Report{Content: name, Cleared: true}, sourceOwn)
	}
}

// tell takes a note of this router's own and tells the others.
func (p *Process) tell(note quarantine.Report, from source) {
	p.learn(note, from, netip.AddrPort{})
	if !p.teller.Tell(note) {
		p.recorder.notTold()
	}
}

// learn takes a note. A verdict that this router helped to reach goes to the store, for
// routers that start later.
func (p *Process) learn(note quarantine.Report, from source, peer netip.AddrPort) {
	c, changed := p.suspects.take(note)
	if !changed {
		return
	}
	p.recorder.verdict(c, from, peer)
	held := c.after == quarantine.Quarantined || c.wasDeep // the store has it since it was held back
	if held && from != sourceRouter && from != sourceStore {
		go p.keepVerdict(note.Content)
	}
}

// keepVerdict writes what is known of a content to the store, again while that is away.
func (p *Process) keepVerdict(name content.Digest) {
	if p.provider.EncodeSuspect == nil {
		return
	}
	for range keepTries {
		err := p.writeVerdict(name)
		if err == nil || p.draining.Load() {
			return
		}
		p.recorder.verdictNotKept(name, err)
		helpers.Pause(keepAgain, p.done)
	}
}

func (p *Process) writeVerdict(name content.Digest) error {
	ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
	defer cancel()
	known := p.suspects.note(name)
	known.Cleared = len(known.Crashes) == 0
	value, err := json.Marshal(known)
	if err != nil {
		return err
	}
	lease, err := p.provider.Store.Grant(ctx, suspectTTL)
	if err != nil {
		return err
	}
	put := p.provider.EncodeSuspect(name.String(), value)
	put.Lease = lease
	_, err = p.provider.Store.Write(ctx, []provider.Put{put})
	return err
}

// takeSuspect takes what the store holds of a content.
func (p *Process) takeSuspect(value []byte) error {
	var note quarantine.Report
	if err := json.Unmarshal(value, &note); err != nil {
		return err
	}
	p.learn(note, sourceStore, netip.AddrPort{})
	return nil
}

// newTeller prepares the telling of other routers.
func (p *Process) newTeller(client *http.Client) *evidence.Teller[quarantine.Report] {
	return &evidence.Teller[quarantine.Report]{
		Client: client, Path: evidence.SuspectsPath, Peers: p.otherRouters, Peer: p.peer, OnFailed: p.recorder.routerNotTold,
		Take: func(notes []quarantine.Report, peer netip.AddrPort) {
			for _, note := range notes {
				p.learn(note, sourceAnswer, peer)
			}
		},
	}
}

// otherRouters are all known routers but this one.
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

// suspectPages hands out what is known, takes what others tell, and lets operators lift
// what stands against a content.
func (p *Process) suspectPages(pages *bunrouter.Router) {
	known := &evidence.Known[quarantine.Report]{
		All: p.suspects.all, Of: p.suspects.of,
		Take: func(notes []quarantine.Report) {
			for _, note := range notes {
				p.learn(note, sourceRouter, netip.AddrPort{})
			}
		},
	}
	pages.Compat().GET(evidence.SuspectsPath, known.ServeAll)
	pages.Compat().POST(evidence.SuspectsPath, known.ServeTold)
	pages.DELETE(evidence.SuspectsPath+"/:content", bunrouter.HandlerFunc(p.lift))
}

// lift clears a content at an operator's wish, here and everywhere.
func (p *Process) lift(w http.ResponseWriter, r bunrouter.Request) error {
	var name content.Digest
	if err := name.UnmarshalText([]byte(r.Param("content"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	if known := p.suspects.note(name); len(known.Crashes) == 0 {
		http.Error(w, "no upstream is known to have ended under this content", http.StatusNotFound)
		return nil
	}
	p.tell(quarantine.Report{Content: name, Cleared: true}, sourceLifted)
	w.WriteHeader(http.StatusNoContent)
	return nil
}
