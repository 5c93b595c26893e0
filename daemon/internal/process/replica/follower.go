package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/timeout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// defaultWatchWait is the default duration of one watch. It bounds how long a
	// broken connection stays undetected.
	defaultWatchWait = 2500 * time.Millisecond
	// firstByteTimeout bounds the time to the first byte of an answer, beyond the wait
	// of a watch. The store answers within milliseconds; the rest is for a busy link.
	firstByteTimeout = 700 * time.Millisecond
	// initialFirstByteTimeout replaces firstByteTimeout for the first lists. All
	// processes of a region may start together after a power failure, and repeating a
	// list that timed out doubles its load on the shared link.
	initialFirstByteTimeout = 1500 * time.Millisecond
	// stallTimeout bounds a gap within an answer. It exceeds the time to retransmit a
	// lost packet.
	stallTimeout = time.Second
	// readTimeout bounds a complete call.
	readTimeout = 30 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call. The pause is
	// drawn at random below it, so that daemons that fail together do not retry together. It
	// follows a watch that may have been left unanswered since just before the store
	// recovered, so that a change can stay unknown for failingWatchWait, firstByteTimeout and
	// maxBackoff together.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// bootstrapTimeout bounds the repeated listing of one bootstrap prefix, and
	// maxBootstrapPause the pause between two lists of it.
	bootstrapTimeout  = 2 * time.Second
	maxBootstrapPause = 400 * time.Millisecond
)

// Follower keeps one prefix of a table in sync with the store, by lists and watches of
// the store or by updates from another daemon.
type Follower struct {
	Store  provider.Store
	Prefix string
	Table  *Table
	// WatchWait returns the duration of one watch; nil means 2.5 s. It is unused where
	// ProbeInterval is set.
	WatchWait func() time.Duration
	// ProbeInterval, if not 0, is the interval at which the store is probed beside a
	// watch. Watches wait longer then.
	ProbeInterval time.Duration
	// ProbePrefix is the prefix that a probe lists. It should have few entries.
	ProbePrefix string
	// Debounce returns the pause between a change and the next watch, which batches
	// changes. Nil means no pause.
	Debounce func() time.Duration
	// PollInterval, if not nil, has the follower poll the prefix with stale lists at
	// these intervals instead of watching it, which costs the store far less.
	PollInterval func() time.Duration
	// StaleFirstList has the first list read the store before any peer and accept a stale
	// answer. The watch, which begins at the answer's revision, the next list or a peer
	// supplies what the answer lacks.
	StaleFirstList bool
	// QueryPeer queries a peer for the entries of its replica under a prefix above a
	// revision; revision 0 requests the complete replica. On ErrNoPeer the store is
	// read instead; after any other error QueryPeer is called again. It may be nil.
	QueryPeer func(ctx context.Context, prefix string, after provider.Revision) (Update, error)
	// PeerAttempts is the number of consecutive failed calls of QueryPeer after which the
	// store is read once; 0 means 2.
	PeerAttempts int
	// RecheckInterval is the interval of stale lists beside watches or peer queries, which
	// detect changes that those did not report. 0 means none.
	RecheckInterval time.Duration
	// BootstrapPrefixes holds prefixes that are listed in order before anything else: those
	// of the records by which peers are found.
	BootstrapPrefixes []string
	// BootstrapRecent reports whether the list of a bootstrap prefix is recent enough. While
	// it is not, the prefix is listed again for up to bootstrapTimeout. Nil means that one
	// list suffices.
	BootstrapRecent func() bool
	// BootstrapDone reports whether the remaining BootstrapPrefixes can be skipped. Nil means
	// never.
	BootstrapDone func() bool
	// Breaker is shared by the followers of a process; nil means that none is used.
	Breaker *CircuitBreaker
	// OnConnectionChange is called with the error when calls to the store begin to fail, and
	// with nil when the store answers again. It may be nil.
	OnConnectionChange func(prefix string, err error)
	// OnRestore is called with the new era when an answer shows that the store was restored from
	// a copy, before the answer's entries are applied. It may be nil.
	OnRestore func(era uint64)
	// OnBytes is called with the number of bytes of each part of an answer. It may be nil.
	OnBytes func(bytes int)
	// Now is the clock; nil means clock.Now.
	Now func() time.Time
	// Stopped returns for how long this process has not run; nil means clock.Stopped.
	Stopped func() time.Duration

	// revision is the revision up to which the replica is complete, or 0. It never
	// decreases.
	revision atomic.Uint64
	// era is the newest era of any answer, valid if eraKnown is set, and restoredAt is when it
	// began, in nanoseconds since start, 0 for the first era.
	era        atomic.Uint64
	eraKnown   atomic.Bool
	restoredAt atomic.Int64
	// compactions counts the watches for which the history was compacted since one succeeded.
	compactions int
	// relist is set if changes may have been missed, so that the prefix must be listed.
	relist bool
	// generation changes when the replica is rebuilt. It starts at a random value, so
	// that peers detect a restart of the process at the same address.
	generation atomic.Uint64
	// peerFailures counts the consecutive failed calls of QueryPeer.
	peerFailures int
	// hops is the number of daemons between this one and the store.
	hops atomic.Int64
	// listBytes is the size of the last list.
	listBytes int
	// preferList is set if a list is cheaper than a watch: more than half of a list's
	// size were superseded states in the last watch, or new entries in the last list.
	preferList bool
	// lastAnswer is when the store last answered completely, lastData when a part of
	// such an answer last arrived. currentData is when a part of the call in progress last arrived; that
	// answer may still prove to be an error. All are nanoseconds of the monotonic clock
	// since start; 0 means never.
	lastAnswer, lastData, currentData atomic.Int64
	// lastKnown is the last known answer of the store to any daemon. outageEnd is when the last outage ended
	// in which entries may have expired, 0 for none, and silenceEnd when the last such time ended in which
	// this daemon knew of no answer, whatever the cause.
	lastKnown             knownAnswer
	outageEnd, silenceEnd atomic.Int64
	// answerGap is the time between the last two complete answers, in nanoseconds.
	answerGap atomic.Int64
	// reads is what the follower knows of the completeness of its replica.
	reads readTimes
	// firstData is when the first part of the answer in progress arrived, in nanoseconds since start, 0 if
	// none has.
	firstData atomic.Int64
	// failures counts the consecutive failed calls to the store.
	failures atomic.Int64
	start    time.Time
	failing  bool
	tomb     tomb.Tomb
}

// Start begins to follow the prefix.
func (f *Follower) Start() {
	f.start = f.now()
	f.lastKnown.stopped = f.stopped()
	f.generation.Store(rand.Uint64())
	f.tomb.Go(f.run)
}

// Stop stops the follower and waits until it has ended.
func (f *Follower) Stop() {
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}

func (f *Follower) now() time.Time { return helpers.Now(f.Now) }

// elapsed returns the time since Start.
func (f *Follower) elapsed() time.Duration { return f.now().Sub(f.start) }

// Age returns the time since the store last answered, or since Start if it never did.
func (f *Follower) Age() time.Duration {
	return f.elapsed() - time.Duration(f.lastAnswer.Load())
}

// AnswerGap returns the time between the last two answers of the store or a peer, within which what
// the later one contains has changed.
func (f *Follower) AnswerGap() time.Duration { return time.Duration(f.answerGap.Load()) }

// Revision returns the revision up to which the replica is complete, or 0.
func (f *Follower) Revision() provider.Revision { return provider.Revision(f.revision.Load()) }

// Status returns how current the replica is.
func (f *Follower) Status() Status {
	now := f.elapsed()
	data := max(f.lastData.Load(), f.currentData.Load())
	return Status{
		Revision: f.Revision(), SinceAnswer: f.Age(), SinceData: now - time.Duration(data), Disconnected: f.failures.Load() >= disconnectFailures,
		Generation: f.generation.Load(), Hops: int(f.hops.Load()),
	}
}

// Synced reports whether the prefix was ever read from the store or a peer.
func (f *Follower) Synced() bool { return f.lastAnswer.Load() != 0 }

func (f *Follower) run() error {
	ctx := f.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	callCtx := provider.WithProgress(ctx, f.recordProgress)
	for _, prefix := range f.BootstrapPrefixes {
		if f.bootstrap(callCtx, prefix); f.BootstrapDone != nil && f.BootstrapDone() {
			break
		}
	}
	backoff := minBackoff
	if f.QueryPeer != nil && f.RecheckInterval > 0 {
		f.tomb.Go(func() error {
			f.recheckBesidePeers(callCtx)
			return nil
		})
	}
	for f.tomb.Alive() {
		if !f.listsStoreFirst() && f.updateFromPeer(ctx) {
			backoff = minBackoff
			continue
		}
		f.Breaker.wait(f)
		err := f.step(callCtx)
		f.currentData.Store(0)
		f.recordResult(err)
		f.pauseAfterCompaction(err)
		if err == nil || errors.Is(err, provider.ErrCompacted) {
			backoff = minBackoff
			continue
		}
		helpers.Pause(rand.N(backoff), f.tomb.Dying())
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// listsStoreFirst reports whether the prefix must be listed from the store before a peer
// is queried.
func (f *Follower) listsStoreFirst() bool {
	return f.StaleFirstList && f.Revision() == 0 && f.failures.Load() < disconnectFailures
}

// bootstrap lists a bootstrap prefix until the list is recent enough.
func (f *Follower) bootstrap(ctx context.Context, prefix string) {
	started := f.now()
	for {
		err := f.listBootstrapPrefix(ctx, prefix)
		f.recordResult(err)
		if f.BootstrapRecent == nil || err == nil && f.BootstrapRecent() || f.now().Sub(started) > bootstrapTimeout {
			return
		}
		if !helpers.Pause(maxBootstrapPause/2+rand.N(maxBootstrapPause/2), f.tomb.Dying()) {
			return
		}
	}
}

// listBootstrapPrefix lists a bootstrap prefix once.
func (f *Follower) listBootstrapPrefix(ctx context.Context, prefix string) error {
	ctx, end := initialReadLimit.Context(ctx)
	defer end()
	listing, complete, err := f.listStale(ctx, prefix)
	if err != nil {
		return timeout.Explain(ctx, err)
	}
	f.applyList(prefix, listing, complete, provider.Span{})
	return nil
}

// recordProgress records that a part of an answer arrived.
func (f *Follower) recordProgress(bytes int) {
	now := int64(f.elapsed())
	f.currentData.Store(now)
	f.firstData.CompareAndSwap(0, now)
	f.countBytes(bytes)
}

// step makes one call to the store: a list if the replica is empty or polled, else a
// watch.
func (f *Follower) step(ctx context.Context) error {
	if f.PollInterval != nil {
		_, err := f.list(ctx)
		if err == nil {
			helpers.Pause(f.PollInterval(), f.tomb.Dying())
		}
		return err
	}
	if f.revision.Load() == 0 || f.relist {
		_, err := f.list(ctx)
		return err
	}
	if f.preferList {
		return f.catchUp(ctx)
	}
	return f.watch(ctx)
}

// catchUp lists the prefix in place of a watch. A watch returns every intermediate state
// of a key, so when a large entry changes often, the routers of a region together exceed
// the capacity of the link they share and become more stale with each answer. A list
// returns one state of each key, and the pause after it is as long as the list took,
// which bounds lists to half of the time. Watches resume once few entries are new.
func (f *Follower) catchUp(ctx context.Context) error {
	started := clock.Now()
	revision := f.Revision()
	listing, err := f.list(ctx)
	if err != nil {
		return err
	}
	newBytes := 0
	for _, entry := range listing.Entries {
		if entry.Revision > revision {
			newBytes += len(entry.Value)
		}
	}
	f.preferList = 2*newBytes > f.listBytes
	f.debounce(clock.Since(started))
	return nil
}

// debounce pauses after a change, for at least minPause.
func (f *Follower) debounce(minPause time.Duration) {
	if f.Debounce != nil {
		minPause = max(minPause, f.Debounce())
	}
	helpers.Pause(minPause, f.tomb.Dying())
}

// watch makes one watch and applies its changes.
func (f *Follower) watch(ctx context.Context) error {
	wait, endRead := f.nextWatchWait(), f.beginRead()
	changes, err := f.watchStore(ctx, wait)
	read := endRead()
	if errors.Is(err, provider.ErrCompacted) {
		f.relist = true
	}
	if err != nil {
		return err
	}
	written := f.watchedSpan(read, wait, len(changes.Entries) > 0)
	f.recordStoreAnswer()
	f.hops.Store(0)
	f.compactions = 0
	f.Table.Apply(withGrace(provider.Received(changes.Entries, provider.SourceWatch, written), f.expiryGrace()))
	f.advance(changes.Revision)
	f.preferList = 2*supersededBytes(changes.Entries) > f.listBytes
	if len(changes.Entries) > 0 {
		f.debounce(0)
	}
	return nil
}

// watchStore calls the store for changes, with probes and rechecks beside the call.
func (f *Follower) watchStore(ctx context.Context, wait time.Duration) (provider.Listing, error) {
	ctx, endProbes := f.probing(ctx)
	defer endProbes()
	ctx, endRechecks := f.rechecking(ctx)
	defer endRechecks()
	ctx, end := readLimit(wait).Context(ctx)
	defer end()
	changes, err := f.Store.Watch(ctx, f.Prefix, f.Revision(), wait)
	if cause := context.Cause(ctx); errors.Is(cause, errProbeFailed) || errors.Is(cause, errMissedChange) || errors.Is(cause, provider.ErrRestored) {
		return changes, errors.Join(err, cause)
	}
	return changes, timeout.Explain(ctx, err)
}

// readLimit returns the limit of a call that the store may hold for up to wait before it
// answers.
func readLimit(wait time.Duration) timeout.Limit {
	return timeout.Limit{FirstByte: wait + firstByteTimeout, Stall: stallTimeout, Total: readTimeout}
}

// supersededBytes counts the bytes of states that a newer state of the same key follows.
func supersededBytes(entries []provider.Entry) int {
	last := make(map[string]int, len(entries))
	bytes := 0
	for _, entry := range entries {
		bytes += last[entry.Key]
		last[entry.Key] = len(entry.Value)
	}
	return bytes
}

// initialReadLimit is the limit of a list while the process starts.
var initialReadLimit = timeout.Limit{FirstByte: initialFirstByteTimeout, Stall: stallTimeout, Total: readTimeout}

// list lists the prefix and replaces its part of the table.
func (f *Follower) list(ctx context.Context) (provider.Listing, error) {
	initial := f.Revision() == 0
	limit := readLimit(0)
	if initial {
		limit = initialReadLimit
	}
	ctx, end := limit.Context(ctx)
	defer end()
	endRead := f.beginRead()
	stale := initial && f.StaleFirstList || f.PollInterval != nil
	listing, complete, err := f.readList(ctx, stale)
	read := endRead()
	if err != nil {
		return listing, timeout.Explain(ctx, err)
	}
	written := provider.Span{}
	if !stale {
		written = f.listedSpan(read)
	}
	f.observeEra(listing.Revision) // before the answer is known, which ends the time in which the era may have begun
	f.recordStoreAnswer()
	f.hops.Store(0)
	listing.Grace = f.listingGrace()
	f.applyList(f.Prefix, listing, complete, written)
	if f.relist || f.Revision() == 0 {
		f.generation.Add(1)
	}
	if complete {
		f.advance(listing.Revision)
	}
	f.relist = false
	f.listBytes = 0
	for _, entry := range listing.Entries {
		f.listBytes += len(entry.Value)
	}
	return listing, nil
}

// readList lists the prefix, from an answer that may be stale if that suffices. An empty replica
// needs a complete one.
func (f *Follower) readList(ctx context.Context, stale bool) (listing provider.Listing, complete bool, err error) {
	if stale {
		listing, complete, err = f.listStale(ctx, f.Prefix)
		if err != nil || complete || f.Revision() > 0 {
			return listing, complete, err
		}
	}
	listing, err = f.Store.List(ctx, f.Prefix)
	return listing, true, err
}

// recordStoreAnswer records an answer that the store gives now. It is called before the answer's
// entries are applied, because the grace of a removal depends on whether there was an outage.
func (f *Follower) recordStoreAnswer() {
	if end, silent := f.recordKnownAnswer(0); silent && f.failing {
		f.outageEnd.Store(int64(end))
	}
	f.recordAnswer(0, 0)
}

// recordAnswer records an answer of the store, which was given answerAge ago and whose
// last part arrived dataAge ago.
func (f *Follower) recordAnswer(answerAge, dataAge time.Duration) {
	now := f.elapsed()
	if previous := f.lastAnswer.Load(); previous != 0 {
		f.answerGap.Store(max(int64(now)-previous, 0))
	}
	f.lastAnswer.Store(max(f.lastAnswer.Load(), int64(now-answerAge), 1))
	f.lastData.Store(max(f.lastData.Load(), int64(now-dataAge), 1))
}

// recordResult records the result of a call.
func (f *Follower) recordResult(err error) {
	failing := err != nil && !errors.Is(err, provider.ErrCompacted) && f.tomb.Alive()
	if failing {
		f.failures.Add(1)
		f.Breaker.recordFailure(f)
	} else {
		f.failures.Store(0)
		f.Breaker.recordSuccess()
	}
	if failing != f.failing && f.OnConnectionChange != nil {
		f.OnConnectionChange(f.Prefix, err)
	}
	f.failing = failing
}

// pauseAfterCompaction pauses if no watch succeeded since the store compacted the history before. A
// list that does not help would otherwise be repeated as fast as the store answers.
func (f *Follower) pauseAfterCompaction(err error) {
	if !errors.Is(err, provider.ErrCompacted) {
		return
	}
	f.compactions++
	if f.compactions > 1 {
		helpers.Pause(min(minBackoff<<min(f.compactions, maxBackoffDoublings), maxBackoff)/2+rand.N(minBackoff), f.tomb.Dying())
	}
}

// maxBackoffDoublings keeps the shift of a backoff in range; maxBackoff bounds the result.
const maxBackoffDoublings = 10
