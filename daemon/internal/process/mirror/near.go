package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// ErrNoneNear says that no daemon near this one is to be asked: the store is to be
// read.
var ErrNoneNear = errors.New("no daemon near to ask")

// ErrHold says that nobody near is to be asked now, and the store is to be left alone:
// those who read it for this daemon do not hear it, and more readers would not help.
var ErrHold = errors.New("no daemon near hears the store, wait")

// ErrBehind says that a daemon near answers, but does not hear the store itself.
var ErrBehind = errors.New("it has not heard the store for too long")

// holdPause is the pause until whom to ask is looked at again.
const holdPause = 100 * time.Millisecond

// copyKept is how old a copy may be to be brought up to date by news alone. Other
// daemons forget removals after removalsKept.
const copyKept = removalsKept / 2

// nearTries is the default of Follower.NearTries: a hall may have many daemons that are
// gone, and each takes its time to fail.
const nearTries = 2

// lostAfter is how many calls to the store fail one after the other until it counts
// as lost to others: a single one may have been cut like any connection.
const lostAfter = 2

// nearSettle is the pause after news of a daemon near. Such a call costs the store
// nothing, and the daemon has gathered changes already.
const nearSettle = 50 * time.Millisecond

// Standing is how well a copy of the store keeps up with it.
type Standing struct {
	// At is the revision up to which the copy is complete, 0 while that is not known.
	At provider.Revision
	// Answered is the time since the store last answered whole, and Heard since a
	// part of an answer came, which is less while a long one is under way.
	Answered, Heard time.Duration
	// Lost says that calls to the store fail one after the other.
	Lost bool
	// Hops is how many daemons the news came through, 0 for one that reads the store.
	Hops int
	// Generation changes when the copy was read anew because changes may have been
	// missed. It may have entries then below a revision up to which others, that
	// followed it, take theirs for complete.
	Generation uint64
}

// FreshWithin is how long ago a daemon that reads the store may have heard it for others
// to go by its copy. It hears the store each second at least, and pauses after a change.
const FreshWithin = 2 * time.Second

// HopWait is how long a daemon holds its answer to another one while there is no news, by
// which what it told of the store may be older at each hop.
const HopWait = 500 * time.Millisecond

// FreshFor returns how long ago the daemon may have heard the store for others to go by
// its copy.
func (s Standing) FreshFor() time.Duration { return FreshWithin + time.Duration(s.Hops)*HopWait }

// Behind reports whether the daemon does not hear the store, itself or through others.
func (s Standing) Behind() bool { return s.Lost || s.Heard >= s.FreshFor() }

// News is what another daemon's copy has above a revision, and how it stands.
type News struct {
	Entries []provider.Entry
	// After is the revision; 0 says that the entries are the whole copy.
	After provider.Revision
	Standing
}

// askNear asks a daemon near for news. It reports false where the store is to be
// read.
func (f *Follower) askNear(ctx context.Context) bool {
	if f.Near == nil {
		return false
	}
	after := f.At()
	if f.relist || f.Age() > copyKept {
		after = 0
	}
	news, err := f.Near(ctx, f.Prefix, after)
	switch {
	case errors.Is(err, ErrNoneNear):
		return false
	case errors.Is(err, ErrHold):
		helpers.Pause(holdPause, f.tomb.Dying())
		return true
	case errors.Is(err, ErrBehind):
		helpers.Pause(rand.N(firstPause), f.tomb.Dying())
		return true
	case err != nil:
		f.nearFailed++
		helpers.Pause(rand.N(firstPause), f.tomb.Dying())
		return f.nearFailed%helpers.OrDefault(f.NearTries, nearTries) != 0
	}
	f.nearFailed = 0
	f.hear(news.Answered, news.Heard)
	f.hops.Store(int64(news.Hops) + 1)
	f.Adopt(news)
	if news.After == 0 {
		f.generation.Add(1)
		f.relist = false
	}
	f.note(nil)
	if len(news.Entries) > 0 {
		helpers.Pause(nearSettle, f.tomb.Dying())
	}
	return true
}

// Adopt takes what another daemon's copy has above a revision up to which this one is
// complete, or all of it, and returns how many entries were new. It may be called
// beside a call to the store.
func (f *Follower) Adopt(news News) int {
	fresh := 0
	if news.After == 0 && news.At > 0 {
		fresh = f.Table.Replace(f.Prefix, provider.Listing{Entries: news.Entries, Revision: news.At})
	} else {
		fresh = f.Table.Apply(news.Entries)
	}
	f.advance(news.At)
	return fresh
}

// advance raises the revision up to which the copy is complete.
func (f *Follower) advance(to provider.Revision) {
	for {
		known := f.at.Load()
		if uint64(to) <= known || f.at.CompareAndSwap(known, uint64(to)) {
			return
		}
	}
}
