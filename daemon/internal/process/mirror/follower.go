package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/patience"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// defaultWait is how long one watch waits. It bounds how long a watch that
	// was cut in silence stays unnoticed, at the price of a call each time.
	defaultWait = 2500 * time.Millisecond
	// answerBegins is what the store may take until an answer begins, beyond the
	// wait of a watch. It answers in 4 ms; the rest is for a busy link.
	answerBegins = 700 * time.Millisecond
	// firstBegins is the same for the lists of a start. All processes of a region start
	// together after a loss of power, and a list that is given up and asked for again
	// takes the link twice.
	firstBegins = 1500 * time.Millisecond
	// answerStalls is how long an answer may stop halfway: more than a lost packet
	// takes to come again.
	answerStalls = time.Second
	// longestRead bounds a call whatever comes of its answer.
	longestRead = 30 * time.Second
	// firstPause and longestPause bound the pause after a failed call. The
	// pause is drawn at random below its bound, so that daemons that fail
	// together do not come back together.
	firstPause   = 50 * time.Millisecond
	longestPause = 1200 * time.Millisecond
	// findFor bounds how long what is to be known first is looked for, and findAgain is
	// the longest pause between two lists of it.
	findFor   = 2 * time.Second
	findAgain = 400 * time.Millisecond
)

// Follower keeps one prefix of a table in step with the store.
type Follower struct {
	Store  provider.Store
	Prefix string
	Table  *Table
	// Wait says how long one watch waits; nil means 2.5s.
	Wait func() time.Duration
	// PulseEvery, where it is not 0, has watches wait longer, and is the interval at
	// which the store is asked beside them whether it is there. Wait does not count then.
	PulseEvery time.Duration
	// PulseUnder is a prefix with few entries, which is listed for that.
	PulseUnder string
	// Settle is the pause after a change before the next watch, so that changes
	// that come together are heard together. Nil means none.
	Settle func() time.Duration
	// ListEvery, where it is not nil, has the follower list the prefix at these
	// intervals, from an answer that may be old, and never watch it. For what is
	// not urgent that costs the store far less.
	ListEvery func() time.Duration
	// FirstStale has the first list come from the store, from an answer that may be old as
	// well. What it lacks comes with the watch, which begins at the answer's revision, with
	// the next list, or from a daemon near.
	FirstStale bool
	// Near asks a daemon near this one for what its copy has under a prefix above a
	// revision, all of it where that is 0. ErrNoneNear has the store read instead;
	// any other error has Near called again. It may be nil.
	Near func(ctx context.Context, prefix string, after provider.Revision) (News, error)
	// NearTries is how many daemons near may give no answer, one after the other, until
	// the store is read once; 0 means 2.
	NearTries int
	// LookEvery is how often, beside what else is done, the prefix is read from an answer of
	// the store that may be old, and what is new in it is taken. A watch that did not tell of
	// it is given up. 0 means never.
	LookEvery time.Duration
	// Before holds prefixes that are listed one after the other before anything else: those
	// of the records by which daemons near this one are found.
	Before []string
	// Found reports whether what was listed of one of them is new enough; where it is not,
	// the prefix is listed again for up to findFor. Nil means that one list suffices.
	Found func() bool
	// Enough reports whether the rest of Before need not be listed. Nil means never.
	Enough func() bool
	// Outage is shared with the other followers of the process; nil means with none.
	Outage *Outage
	// OnContact is called when the store answers after a failure, and the other
	// way round, with the cause. It may be nil.
	OnContact func(prefix string, lost error)
	// OnBytes is called with the bytes of answers as they come. It may be nil.
	OnBytes func(bytes int)
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	// at is the revision up to which the prefix is known; 0 means not at all. It
	// only rises.
	at atomic.Uint64
	// relist says that changes may have been missed since.
	relist bool
	// generation changes when the copy was read anew, because nothing was known or
	// changes may have been missed. It starts anywhere, so that those who followed
	// the process before this one at the same address notice.
	generation atomic.Uint64
	// nearFailed counts failed calls of Near since the last one that did not fail.
	nearFailed int
	// hops is how many daemons the news came through, 0 for one that reads the store.
	hops atomic.Int64
	// listed is how many bytes the last list brought.
	listed int
	// overtaken says that a list costs less than a watch: the last watch brought more
	// of states that newer ones in the same answer replace, or the list since then
	// more news, than half of a list.
	overtaken bool
	// answered is when the store last answered, heard when a part of such an answer
	// came last, and regained when it last answered after a failure; underWay is when
	// a part came of the call under way, which may turn out to be a refusal. All are
	// in nanoseconds of the steady clock since start; 0 means never.
	answered, heard, regained, underWay atomic.Int64
	// failures counts the calls to the store that failed since the last that did not.
	failures atomic.Int64
	start    time.Time
	failing  bool
	tomb     tomb.Tomb
}

// Start begins to follow; Stop ends it.
func (f *Follower) Start() {
	f.start = f.now()
	f.generation.Store(rand.Uint64())
	f.tomb.Go(f.run)
}

// Stop ends the follower and waits for it.
func (f *Follower) Stop() {
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}

func (f *Follower) now() time.Time { return helpers.Now(f.Now) }

// elapsed is the time since the start.
func (f *Follower) elapsed() time.Duration { return f.now().Sub(f.start) }

// Age is the time since the store last answered, or since the start.
func (f *Follower) Age() time.Duration {
	return f.elapsed() - time.Duration(f.answered.Load())
}

// Regained is the time since the store last answered after a failure; false
// where it never failed, or fails now.
func (f *Follower) Regained() (time.Duration, bool) {
	at := f.regained.Load()
	return f.elapsed() - time.Duration(at), at != 0
}

// At returns the revision up to which the copy is complete, or 0.
func (f *Follower) At() provider.Revision { return provider.Revision(f.at.Load()) }

// Standing returns how well the copy keeps up with the store.
func (f *Follower) Standing() Standing {
	now := f.elapsed()
	heard := max(f.heard.Load(), f.underWay.Load())
	return Standing{
		At: f.At(), Answered: f.Age(), Heard: now - time.Duration(heard), Lost: f.failures.Load() >= lostAfter,
		Generation: f.generation.Load(), Hops: int(f.hops.Load()),
	}
}

// Known reports whether the prefix was ever read from the store.
func (f *Follower) Known() bool { return f.answered.Load() != 0 }

func (f *Follower) run() error {
	ctx := f.tomb.Context(nil) //nolint:staticcheck // nil asks the tomb for its own context
	calls := provider.WithProgress(ctx, f.progress)
	for _, prefix := range f.Before {
		if f.find(calls, prefix); f.Enough != nil && f.Enough() {
			break
		}
	}
	pause := firstPause
	if f.Near != nil && f.LookEvery > 0 {
		f.tomb.Go(func() error {
			f.lookBesideNear(calls)
			return nil
		})
	}
	for f.tomb.Alive() {
		if !f.firstFromStore() && f.askNear(ctx) {
			pause = firstPause
			continue
		}
		f.Outage.leave(f)
		err := f.step(calls)
		f.underWay.Store(0)
		f.note(err)
		if err == nil || errors.Is(err, provider.ErrCompacted) {
			pause = firstPause
			continue
		}
		helpers.Pause(rand.N(pause), f.tomb.Dying())
		pause = min(2*pause, longestPause)
	}
	return nil
}

// firstFromStore reports whether the prefix is to be listed from the store before a daemon
// near is asked.
func (f *Follower) firstFromStore() bool {
	return f.FirstStale && f.At() == 0 && f.failures.Load() < lostAfter
}

// find lists a prefix that is to be known first until what it has is new enough.
func (f *Follower) find(ctx context.Context, prefix string) {
	started := f.now()
	for {
		err := f.listBefore(ctx, prefix)
		f.note(err)
		if f.Found == nil || err == nil && f.Found() || f.now().Sub(started) > findFor {
			return
		}
		if !helpers.Pause(findAgain/2+rand.N(findAgain/2), f.tomb.Dying()) {
			return
		}
	}
}

// listBefore lists a prefix that is to be known first, once.
func (f *Follower) listBefore(ctx context.Context, prefix string) error {
	ctx, end := firstLimit.Context(ctx)
	defer end()
	listing, err := f.Store.ListStale(ctx, prefix)
	if err != nil {
		return patience.Explain(ctx, err)
	}
	f.Table.Replace(prefix, listing)
	return nil
}

// progress takes note of a part of an answer.
func (f *Follower) progress(bytes int) {
	f.underWay.Store(int64(f.elapsed()))
	f.countBytes(bytes)
}

// step makes one call: a list where nothing is known, a watch otherwise.
func (f *Follower) step(ctx context.Context) error {
	if f.ListEvery != nil {
		_, err := f.list(ctx)
		if err == nil {
			helpers.Pause(f.ListEvery(), f.tomb.Dying())
		}
		return err
	}
	if f.at.Load() == 0 || f.relist {
		_, err := f.list(ctx)
		return err
	}
	if f.overtaken {
		return f.catchUp(ctx)
	}
	return f.watch(ctx)
}

// catchUp lists the prefix in place of a watch. A watch brings every state that a
// key has had, so where a large entry changes often, all routers of a region
// together ask more of the link to it than it bears, and fall behind further with
// each answer. A list brings one state of each key, and the pause after it is as
// long as it took, so that lists take half of the time at most. Watches go on once
// little is new.
func (f *Follower) catchUp(ctx context.Context) error {
	started := clock.Now()
	known := f.At()
	listing, err := f.list(ctx)
	if err != nil {
		return err
	}
	news := 0
	for _, entry := range listing.Entries {
		if entry.Revision > known {
			news += len(entry.Value)
		}
	}
	f.overtaken = 2*news > f.listed
	f.settle(clock.Since(started))
	return nil
}

// settle pauses after a change, at least for some time.
func (f *Follower) settle(least time.Duration) {
	if f.Settle != nil {
		least = max(least, f.Settle())
	}
	helpers.Pause(least, f.tomb.Dying())
}

func (f *Follower) watch(ctx context.Context) error {
	changes, err := f.await(ctx)
	if errors.Is(err, provider.ErrCompacted) {
		f.relist = true
	}
	if err != nil {
		return err
	}
	f.hear(0, 0)
	f.hops.Store(0)
	f.Table.Apply(changes.Entries)
	f.advance(changes.Revision)
	f.overtaken = 2*replaced(changes.Entries) > f.listed
	if len(changes.Entries) > 0 {
		f.settle(0)
	}
	return nil
}

// await makes one call for changes, with pulses beside it.
func (f *Follower) await(ctx context.Context) (provider.Listing, error) {
	wait := f.watchWait()
	ctx, endPulses := f.pulsing(ctx)
	defer endPulses()
	ctx, endLooks := f.looking(ctx)
	defer endLooks()
	ctx, end := readLimit(wait).Context(ctx)
	defer end()
	changes, err := f.Store.Watch(ctx, f.Prefix, f.At(), wait)
	if cause := context.Cause(ctx); errors.Is(cause, errNoPulse) || errors.Is(cause, errDeaf) {
		return changes, errors.Join(err, cause)
	}
	return changes, patience.Explain(ctx, err)
}

// readLimit bounds a call whose answer is held for up to some time.
func readLimit(held time.Duration) patience.Limit {
	return patience.Limit{First: held + answerBegins, Stall: answerStalls, Whole: longestRead}
}

// replaced counts the bytes of states that a newer state of the same key follows.
func replaced(entries []provider.Entry) int {
	last := make(map[string]int, len(entries))
	bytes := 0
	for _, entry := range entries {
		bytes += last[entry.Key]
		last[entry.Key] = len(entry.Value)
	}
	return bytes
}

// firstLimit bounds a list at the start.
var firstLimit = patience.Limit{First: firstBegins, Stall: answerStalls, Whole: longestRead}

func (f *Follower) list(ctx context.Context) (provider.Listing, error) {
	first := f.At() == 0
	limit := readLimit(0)
	if first {
		limit = firstLimit
	}
	ctx, end := limit.Context(ctx)
	defer end()
	list := f.Store.List
	if first && f.FirstStale || f.ListEvery != nil {
		list = f.Store.ListStale
	}
	listing, err := list(ctx, f.Prefix)
	if err != nil {
		return listing, patience.Explain(ctx, err)
	}
	f.hear(0, 0)
	f.hops.Store(0)
	f.Table.Replace(f.Prefix, listing)
	if f.relist || f.At() == 0 {
		f.generation.Add(1)
	}
	f.advance(listing.Revision)
	f.relist = false
	f.listed = 0
	for _, entry := range listing.Entries {
		f.listed += len(entry.Value)
	}
	return listing, nil
}

// hear notes an answer of the store before what it says is taken: that depends on
// whether the store was away. It was given some time ago, and a part of one came
// last some time ago.
func (f *Follower) hear(answered, heard time.Duration) {
	now := f.elapsed()
	f.answered.Store(max(f.answered.Load(), int64(now-answered), 1))
	f.heard.Store(max(f.heard.Load(), int64(now-heard), 1))
	if f.failing {
		f.regained.Store(int64(now))
	}
}

func (f *Follower) note(err error) {
	failing := err != nil && !errors.Is(err, provider.ErrCompacted) && f.tomb.Alive()
	if failing {
		f.failures.Add(1)
		f.Outage.failed(f)
	} else {
		f.failures.Store(0)
		f.Outage.answered()
	}
	if failing != f.failing && f.OnContact != nil {
		f.OnContact(f.Prefix, err)
	}
	f.failing = failing
}
