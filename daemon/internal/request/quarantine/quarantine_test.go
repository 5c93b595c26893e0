package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

var start = time.Unix(1000, 0)

func digest(number int) content.Digest {
	var d content.Digest
	binary.BigEndian.PutUint64(d[:], uint64(number))
	return d
}

// digests returns the digests of a request without parts.
func digests(number int) []content.Digest { return []content.Digest{digest(number)} }

// always returns the position of a router that is the first, or not the first, to run the trials of all contents.
func always(first bool) func(content.Digest) int {
	return func(content.Digest) int { return positionOf(first) }
}

func positionOf(first bool) int {
	if first {
		return 0
	}
	return 1
}

func crash(upstream string, started int64, depth int) quarantine.Crash {
	return quarantine.Crash{Upstream: upstream, Started: time.UnixMilli(started), Depth: depth}
}

func report(number int, crashes ...quarantine.Crash) quarantine.Report {
	return quarantine.Report{Content: digest(number), Crashes: crashes}
}

// attribute returns the crash of an attempt, which must count against the content.
func attribute(table *quarantine.Table, attempt quarantine.Attempt, now time.Time) quarantine.Crash {
	observed, counts := table.Attribute(attempt, now)
	if !counts {
		panic("the crash does not count against the content")
	}
	return observed
}

// TestVerdictFollowsDepth also checks that a crash counts once however often it is reported, and
// that the crash of a restarted upstream counts separately.
func TestVerdictFollowsDepth(t *testing.T) {
	table := &quarantine.Table{}
	assert.Equal(t, quarantine.Unrestricted, table.Verdict(digests(1), start))
	assert.True(t, table.Merge(report(1, crash("a", 1, 1)), start))
	assert.False(t, table.Merge(report(1, crash("a", 1, 1), crash("a", 1, 1)), start), "duplicate report")
	assert.Equal(t, quarantine.Unrestricted, table.Verdict(digests(1), start))
	assert.True(t, table.Merge(report(1, crash("a", 1, 1), crash("a", 2, 2)), start))
	assert.Equal(t, quarantine.SingleAttempt, table.Verdict(digests(1), start))
	assert.True(t, table.Merge(report(1, crash("b", 1, 2)), start))
	assert.Equal(t, quarantine.SingleAttempt, table.Verdict(digests(1), start), "no greater depth")
	assert.True(t, table.Merge(report(1, crash("b", 1, 3)), start), "greater depth at another router")
	assert.Equal(t, quarantine.Quarantined, table.Verdict(digests(1), start))
	assert.Equal(t, quarantine.Unrestricted, table.Verdict(digests(2), start))
	assert.Len(t, table.Report(digest(1), start).Crashes, 3)
	assert.True(t, table.Report(digest(1), start).ReachesQuarantine())
	assert.False(t, report(2, crash("a", 1, 2)).ReachesQuarantine())

	assert.True(t, table.Merge(quarantine.Report{Content: digest(1), Cleared: true}, start))
	assert.False(t, table.Merge(quarantine.Report{Content: digest(1), Cleared: true}, start))
	assert.Equal(t, quarantine.Unrestricted, table.Verdict(digests(1), start))
	assert.Empty(t, table.Reports(start))
}

// TestSimultaneousCrashesHaveDepthOne guards against quarantining a popular request that ran on
// every upstream of a hall when its power failed.
func TestSimultaneousCrashesHaveDepthOne(t *testing.T) {
	table := &quarantine.Table{}
	const upstreams = 20
	now := start
	for i := range upstreams {
		now = now.Add(5 * time.Millisecond)
		observed := attribute(table, quarantine.Attempt{Content: digest(1), Upstream: fmt.Sprint("u", i), SentAt: start}, now)
		assert.Equal(t, 1, observed.Depth)
		table.Merge(report(1, observed), now)
	}
	assert.Equal(t, quarantine.Unrestricted, table.Verdict(digests(1), now))
	now = now.Add(time.Second)
	next := attribute(table, quarantine.Attempt{Content: digest(1), Upstream: "v", SentAt: now}, now)
	assert.Equal(t, 2, next.Depth)
	assert.True(t, table.Merge(report(1, next), now), "a full record accepts a deeper crash")
	assert.Equal(t, quarantine.SingleAttempt, table.Verdict(digests(1), now))
}

// TestRapidRetriesGrowDepth guards against taking crashes for simultaneous when a caller retries
// within milliseconds.
func TestRapidRetriesGrowDepth(t *testing.T) {
	table := &quarantine.Table{}
	now := start
	for depth, want := range []quarantine.Verdict{quarantine.Unrestricted, quarantine.SingleAttempt, quarantine.Quarantined} {
		attempt := quarantine.Attempt{Content: digest(1), Upstream: fmt.Sprint("u", depth), SentAt: now.Add(time.Millisecond)}
		now = now.Add(2 * time.Millisecond)
		table.Merge(report(1, attribute(table, attempt, now)), now)
		assert.Equal(t, want, table.Verdict(digests(1), now))
	}
}

// TestCrashAfterRestartUnderOldStartTimeIsDistinct guards against dropping a second crash as
// a duplicate because the router has not yet read the new start time of the upstream.
func TestCrashAfterRestartUnderOldStartTimeIsDistinct(t *testing.T) {
	table := &quarantine.Table{}
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	sentAt := func(seconds int, started int64) quarantine.Attempt {
		return quarantine.Attempt{Content: digest(1), Upstream: "a", Started: time.UnixMilli(started), SentAt: at(seconds)}
	}
	first := attribute(table, sentAt(0, 1), at(1))
	assert.Equal(t, crash("a", 1, 1), first)
	table.Merge(report(1, first), at(1))
	assert.Zero(t, attribute(table, sentAt(1, 1), at(1)).Recurrence, "sent before the crash was received")
	second := attribute(table, sentAt(2, 1), at(3))
	assert.Equal(t, 1, second.Recurrence)
	assert.True(t, table.Merge(report(1, second), at(3)))
	assert.Equal(t, quarantine.SingleAttempt, table.Verdict(digests(1), at(3)))
	assert.Equal(t, 2, attribute(table, sentAt(4, 1), at(5)).Recurrence)
	assert.Zero(t, attribute(table, sentAt(4, 2), at(5)).Recurrence)
}

// TestQuarantineExpiresIntoTrialAndGrows checks that one router tries the content once after each
// quarantine, and that a crash of the trial renews the quarantine for four times as long.
func TestQuarantineExpiresIntoTrialAndGrows(t *testing.T) {
	table := &quarantine.Table{}
	now := start
	table.Merge(report(1, crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)), now)
	for round, duration := range []time.Duration{15 * time.Second, time.Minute, 4 * time.Minute} {
		now = now.Add(duration - time.Second)
		assert.Equal(t, quarantine.Quarantined, table.Admit(digests(1), always(true), now).Verdict)
		now = now.Add(time.Second)
		assert.Equal(t, quarantine.Quarantined, table.Admit(digests(1), always(false), now).Verdict, "the trial belongs to another router")
		assert.Equal(t, quarantine.SingleAttempt, table.Admit(digests(1), always(true), now).Verdict)
		assert.Equal(t, quarantine.Quarantined, table.Admit(digests(1), always(true), now).Verdict, "one at a time")
		assert.Equal(t, quarantine.SingleAttempt, table.Verdict(digests(1), now), "the admitted trial continues")
		observed := attribute(table, quarantine.Attempt{Content: digest(1), Upstream: fmt.Sprint("d", round), SentAt: now}, now.Add(time.Second))
		assert.Equal(t, 3, observed.Depth)
		table.Merge(report(1, observed), now)
		assert.Equal(t, quarantine.Quarantined, table.Verdict(digests(1), now))
	}
	now = now.Add(16 * time.Minute)
	assert.Equal(t, quarantine.SingleAttempt, table.Admit(digests(1), always(true), now).Verdict)
	now = now.Add(10 * time.Second)
	assert.Equal(t, quarantine.SingleAttempt, table.Admit(digests(1), always(true), now).Verdict, "the previous trial had no result")
	table.Merge(quarantine.Report{Content: digest(1), Cleared: true}, now)
	assert.Equal(t, quarantine.Unrestricted, table.Admit(digests(1), always(false), now).Verdict)

	table.Merge(report(2, crash("a", 1, 1), crash("b", 1, 2)), now)
	assert.Equal(t, quarantine.SingleAttempt, table.Admit(digests(2), always(false), now).Verdict, "not quarantined")
	assert.Equal(t, quarantine.Unrestricted, table.Verdict(digests(2), now.Add(10*time.Minute)), "a suspicion expires")
}

// TestOneRouterTriesRequestWithSeveralExpiredQuarantines guards against a request that stays quarantined
// because no router may run the trials of its content and of all its parts.
func TestOneRouterTriesRequestWithSeveralExpiredQuarantines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxKeys, maxRouters, maxExtraCrashes = 5, 6, 2
		keys := make([]content.Digest, rapid.IntRange(1, maxKeys).Draw(t, "keys"))
		tables := make([]quarantine.Table, rapid.IntRange(1, maxRouters).Draw(t, "routers"))
		owners := map[content.Digest]int{}
		for i := range keys {
			keys[i] = digest(i)
			owners[keys[i]] = rapid.IntRange(0, len(tables)-1).Draw(t, "owner")
			var crashes []quarantine.Crash
			for depth := 1; depth <= 3+rapid.IntRange(0, maxExtraCrashes).Draw(t, "extra crashes"); depth++ {
				crashes = append(crashes, crash(fmt.Sprint("e", depth), 1, depth))
			}
			for router := range tables {
				tables[router].Merge(report(i, crashes...), start)
			}
		}
		tried := 0
		for router := range tables {
			position := func(key content.Digest) int { return positionOf(owners[key] == router) }
			request := rapid.Permutation(keys).Draw(t, "request")
			if tables[router].Admit(request, position, start.Add(time.Minute)).Verdict == quarantine.SingleAttempt {
				tried++
			}
		}
		assert.Equal(t, 1, tried)
	})
}

// TestTrialDuringQuarantineDistinguishesSuspects guards against a part that stays quarantined because it
// was in each request with the part that crashes upstreams, and against a trial with the latter.
func TestTrialDuringQuarantineDistinguishesSuspects(t *testing.T) {
	const shared, cause = 1, 2
	crashes := []quarantine.Crash{crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)}
	quarantined := func() *quarantine.Table {
		table := &quarantine.Table{}
		table.Merge(report(shared, crashes...), start)
		table.Merge(report(cause, crashes...), start)
		return table
	}
	request := func(numbers ...int) []content.Digest {
		keys := []content.Digest{digest(100)} // the content
		for _, number := range numbers {
			keys = append(keys, digest(number))
		}
		return keys
	}
	at := start.Add(time.Second)

	table := quarantined()
	assert.Equal(t, quarantine.Quarantined, table.Admit(request(shared, cause), always(true), at).Verdict, "distinguishes nothing")
	trial := table.Admit(request(shared), always(false), at)
	assert.Equal(t, quarantine.Admission{Verdict: quarantine.SingleAttempt, Trials: request(shared)[1:]}, trial)
	assert.Equal(t, quarantine.Quarantined, table.Admit(request(shared), always(true), at).Verdict, "one trial at a time")
	other := quarantined()
	assert.False(t, other.Merge(quarantine.Report{Content: digest(shared), Trial: true}, at))
	assert.Equal(t, quarantine.Quarantined, other.Admit(request(shared), always(true), at).Verdict, "another router runs a trial")

	table.Merge(quarantine.Report{Content: digest(shared), Cleared: true}, at)
	assert.Equal(t, quarantine.Unrestricted, table.Admit(request(shared), always(false), at).Verdict)
	assert.Equal(t, quarantine.Quarantined, table.Admit(request(shared, cause), always(true), at).Verdict)

	table = quarantined()
	table.Admit(request(cause), always(true), at) // the other one is the cause
	table.Merge(report(cause, crash("d", 1, 4)), at.Add(time.Second))
	assert.Equal(t, quarantine.SingleAttempt, table.Verdict(request(shared), at.Add(time.Second)), "explained")
	assert.Equal(t, quarantine.Quarantined, table.Admit(request(cause), always(true), at.Add(2*time.Second)).Verdict, "convicted")
}

// TestAbandonedTrialIsFollowedByAnother guards against refusing sound requests while the result of a trial is awaited
// that was not sent, because no upstream had a place.
func TestAbandonedTrialIsFollowedByAnother(t *testing.T) {
	table := &quarantine.Table{}
	crashes := []quarantine.Crash{crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)}
	table.Merge(report(1, crashes...), start)
	table.Merge(report(2, crashes...), start)
	for i := range 5 {
		now := start.Add(time.Duration(i) * time.Second)
		trial := table.Admit(digests(1), always(true), now)
		assert.Equal(t, quarantine.SingleAttempt, trial.Verdict)
		assert.Equal(t, quarantine.Quarantined, table.Admit(digests(1), always(true), now).Verdict)
		table.AbandonTrials(trial.Trials)
	}
}

// TestExpiredQuarantineIsTriedByAnyRouterThatCanDistinguish guards against a part that stays quarantined because the
// router that runs the trials of expired quarantines gets no request without the cause.
func TestExpiredQuarantineIsTriedByAnyRouterThatCanDistinguish(t *testing.T) {
	table := &quarantine.Table{}
	crashes := []quarantine.Crash{crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)}
	table.Merge(report(1, crashes...), start)
	table.Merge(report(2, crashes...), start)
	now := start.Add(time.Second)
	for trial := range 5 { // none of these has a result, and the quarantine expires after the second one
		assert.Equal(t, quarantine.SingleAttempt, table.Admit(digests(1), always(false), now).Verdict, "trial %d", trial)
		now = now.Add(11 * time.Second)
		assert.Equal(t, quarantine.Quarantined, table.Admit([]content.Digest{digest(1), digest(2)}, always(false), now).Verdict)
	}
}

// TestTrialsDuringQuarantineAreBounded guards against crashing upstream after upstream by trials whose
// results do not distinguish the suspects.
func TestTrialsDuringQuarantineAreBounded(t *testing.T) {
	table, now := &quarantine.Table{}, start
	for depth := 1; depth <= 3; depth++ {
		table.Merge(report(1, crash("a", int64(depth), depth)), now)
		table.Merge(report(2, crash("a", int64(depth), depth)), now)
	}
	trials := 0
	for i := range 100 {
		now = now.Add(time.Second)
		if table.Verdict(digests(1), now) != quarantine.Quarantined {
			break
		}
		if table.Admit(digests(1), always(true), now).Verdict == quarantine.SingleAttempt {
			trials++
			table.Merge(report(1, crash("b", int64(i), 3)), now.Add(time.Millisecond))
			table.Merge(report(2, crash("b", int64(i), 3)), now.Add(time.Millisecond))
		}
	}
	assert.Equal(t, 2, trials)
}

// TestRoutersTakeTurnsInTrials guards against trials at many routers at once, before they know of each
// other's.
func TestRoutersTakeTurnsInTrials(t *testing.T) {
	const fleet = 400
	crashes := []quarantine.Crash{crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)}
	admitted := func(after time.Duration) int {
		count := 0
		for router := range fleet {
			table := &quarantine.Table{}
			table.Merge(report(1, crashes...), start)
			table.Merge(report(2, crashes...), start)
			if table.Admit(digests(1), func(content.Digest) int { return router }, start.Add(after)).Verdict == quarantine.SingleAttempt {
				count++
			}
		}
		return count
	}
	assert.Equal(t, 1, admitted(0))
	assert.LessOrEqual(t, admitted(500*time.Millisecond), 2)
	assert.LessOrEqual(t, admitted(time.Second), 4)
	assert.Equal(t, fleet, admitted(5*time.Second), "each router has its turn")
}

// TestEvictionKeepsQuarantinedContents guards against a caller that lifts a quarantine by sending
// thousands of other contents, and against unbounded growth of the table.
func TestEvictionKeepsQuarantinedContents(t *testing.T) {
	table := &quarantine.Table{}
	table.Merge(report(0, crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)), start)
	const many = 10000
	for i := 1; i <= many; i++ {
		table.Merge(report(i, crash("a", 1, 1)), start.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, quarantine.Quarantined, table.Verdict(digests(0), start.Add(many*time.Millisecond)))
	assert.LessOrEqual(t, len(table.Reports(start)), 4096)
	assert.Equal(t, []quarantine.Crash{crash("a", 1, 1)}, table.Report(digest(many), start).Crashes, "the newest content is kept")
}

// TestTablesConverge checks that tables that merged the same reports agree, whatever the order and
// the number of duplicates.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Report {
			crashes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Crash {
				return crash(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream"), rapid.Int64Range(1, 2).Draw(t, "started"), rapid.IntRange(1, 3).Draw(t, "depth"))
			}), 1, 3).Draw(t, "crashes")
			return report(rapid.IntRange(1, 3).Draw(t, "content"), crashes...)
		}), 1, 20).Draw(t, "reports")
		first, second := &quarantine.Table{}, &quarantine.Table{}
		for _, r := range reports {
			first.Merge(r, start)
		}
		for _, r := range rapid.Permutation(append(reports, reports...)).Draw(t, "order") {
			second.Merge(r, start)
		}
		for number := range 4 {
			assert.Equal(t, first.Verdict(digests(number), start), second.Verdict(digests(number), start))
			assert.ElementsMatch(t, first.Report(digest(number), start).Crashes, second.Report(digest(number), start).Crashes)
		}
	})
}

// TestDelayedReportsDoNotUndoClearing guards against crash reports that arrive after a clearing and
// quarantine the content again at a single router.
func TestDelayedReportsDoNotUndoClearing(t *testing.T) {
	table := &quarantine.Table{}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	crashes := []quarantine.Crash{crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)}
	table.Merge(report(1, crashes[:2]...), at(0))
	assert.True(t, table.Merge(quarantine.Report{Content: digest(1), Cleared: true}, at(10)))
	assert.Empty(t, table.Report(digest(1), start).Crashes)
	for _, stale := range crashes {
		assert.False(t, table.Merge(report(1, stale), at(300)), "the crash of %s was known, or is deeper than any since the clearing can be", stale.Upstream)
	}
	assert.Equal(t, quarantine.Unrestricted, table.Verdict(digests(1), at(300)))
	assert.Empty(t, table.Reports(start))

	next := attribute(table, quarantine.Attempt{Content: digest(1), Upstream: "a", Started: time.UnixMilli(1), SentAt: at(400)}, at(500))
	assert.Equal(t, quarantine.Crash{Upstream: "a", Started: time.UnixMilli(1), Recurrence: 1, Depth: 1}, next, "a new crash with the same id and start time")
	assert.True(t, table.Merge(report(1, next), at(500)))
	for depth := 2; depth <= 3; depth++ {
		assert.True(t, table.Merge(report(1, crash("d", int64(depth), depth)), at(500+depth)), "crashes after the clearing count")
	}
	assert.Equal(t, quarantine.Quarantined, table.Verdict(digests(1), at(600)))

	uninformed := &quarantine.Table{}
	assert.False(t, uninformed.Merge(quarantine.Report{Content: digest(1), Cleared: true}, at(10)), "no crashes to clear")
	assert.False(t, uninformed.Merge(report(1, crashes[2]), at(300)), "deeper than any crash since the clearing can be")
	later := &quarantine.Table{}
	later.Merge(report(1, crashes[:2]...), at(0))
	later.Merge(quarantine.Report{Content: digest(1), Cleared: true}, at(10))
	assert.True(t, later.Merge(report(1, crashes[2]), at(60_000)), "a clearing expires")
}

// TestCompleteResponseExoneratesContent guards against quarantining a popular request that ran on
// each of several engines while other requests crashed them in turn.
func TestCompleteResponseExoneratesContent(t *testing.T) {
	popular, crashing := digest(1), digest(2)
	table := &quarantine.Table{}
	now := start
	for i := range 4 {
		table.RecordSuccess(popular, now)
		now = now.Add(30 * time.Millisecond)
		for _, suspect := range []content.Digest{popular, crashing} {
			observed, counts := table.Attribute(quarantine.Attempt{Content: suspect, Upstream: fmt.Sprint("u", i), SentAt: now.Add(-10 * time.Millisecond)}, now)
			assert.Equal(t, suspect == crashing, counts)
			if counts {
				table.Merge(quarantine.Report{Content: suspect, Crashes: []quarantine.Crash{observed}}, now)
			}
		}
	}
	assert.Equal(t, quarantine.Unrestricted, table.Verdict([]content.Digest{popular}, now))
	assert.Equal(t, quarantine.Quarantined, table.Verdict([]content.Digest{crashing}, now))

	now = now.Add(4 * time.Second)
	_, counts := table.Attribute(quarantine.Attempt{Content: popular, Upstream: "u9", SentAt: now}, now)
	assert.True(t, counts, "the exoneration expires")
}

// TestRestartKeepsQuarantine guards against a quarantine that begins anew, at its initial length,
// at each router that starts: its trials crash more upstreams than the quarantine allows.
func TestRestartKeepsQuarantine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := &quarantine.Table{}, start
		table.Merge(report(1, crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)), now)
		failedTrials := rapid.IntRange(0, 4).Draw(t, "failed trials")
		duration := 15 * time.Second
		for trial := range failedTrials {
			now = now.Add(duration)
			table.Admit(digests(1), always(true), now)
			table.Merge(report(1, crash("d", int64(trial), 3)), now)
			duration *= 4
		}
		now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*duration)).Draw(t, "age")))
		restarted := &quarantine.Table{}
		restarted.Merge(table.Report(digest(1), now), now)
		for range 4 {
			assert.Equal(t, table.Verdict(digests(1), now), restarted.Verdict(digests(1), now))
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(duration)).Draw(t, "step")))
		}
	})
}

// TestSuspicionDoesNotBeginAnewAtRestarts guards against crashes that count for good, because each router that starts
// receives them from another one as if they were new: their contents would be sent once only and quarantined sooner.
func TestSuspicionDoesNotBeginAnewAtRestarts(t *testing.T) {
	const suspectTTL, betweenRestarts = 10 * time.Minute, 4 * time.Minute
	table, now := &quarantine.Table{}, start
	table.Merge(report(1, crash("a", 1, 1), crash("b", 1, 2)), now)
	for now.Sub(start) < suspectTTL {
		assert.Equal(t, quarantine.SingleAttempt, table.Verdict(digests(1), now))
		now = now.Add(betweenRestarts)
		restarted := &quarantine.Table{}
		restarted.Merge(table.Report(digest(1), now), now)
		table = restarted
	}
	assert.Equal(t, quarantine.Unrestricted, table.Verdict(digests(1), now))
}

// TestLateReportDoesNotProlongQuarantine guards against a quarantine that ends later at a router that knew some of the
// crashes and received the others late.
func TestLateReportDoesNotProlongQuarantine(t *testing.T) {
	const duration, late = 15 * time.Second, 10 * time.Second
	table, other := &quarantine.Table{}, &quarantine.Table{}
	table.Merge(report(1, crash("a", 1, 1)), start)
	other.Merge(report(1, crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)), start)
	table.Merge(other.Report(digest(1), start.Add(late)), start.Add(late))
	assert.Equal(t, quarantine.Quarantined, table.Verdict(digests(1), start.Add(duration-time.Millisecond)))
	assert.Equal(t, quarantine.SingleAttempt, table.Verdict(digests(1), start.Add(duration)))
}

// TestImplausibleDurationIsBounded guards against a report that quarantines a content for good.
func TestImplausibleDurationIsBounded(t *testing.T) {
	for _, age := range []time.Duration{-time.Hour, 0, 1000 * time.Hour} {
		table, implausible := &quarantine.Table{}, report(1, crash("a", 1, 3))
		implausible.Duration, implausible.Age = 1000*time.Hour, age
		table.Merge(implausible, start)
		assert.NotEqual(t, quarantine.Quarantined, table.Verdict(digests(1), start.Add(3*time.Hour)), "%s", age)
	}
}

// TestBystanderIsReleased guards against quarantining a rare part that was in the prompts of the
// first requests with a crashing part, and against releasing the crashing one.
func TestBystanderIsReleased(t *testing.T) {
	table := &quarantine.Table{}
	first := []quarantine.Crash{crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)}
	table.Merge(report(1, first...), start)
	table.Merge(report(2, first...), start)
	assert.Equal(t, quarantine.Quarantined, table.Verdict(digests(1), start), "either may be the cause")
	assert.Equal(t, quarantine.Quarantined, table.Verdict(digests(2), start), "either may be the cause")

	table.Merge(report(2, crash("d", 1, 4)), start)
	assert.Equal(t, quarantine.SingleAttempt, table.Verdict(digests(1), start), "all of its crashes have another explanation")
	assert.Equal(t, quarantine.Quarantined, table.Verdict(digests(2), start))

	table.Merge(report(1, crash("e", 1, 4)), start)
	assert.Equal(t, quarantine.Quarantined, table.Verdict(digests(1), start), "a crash without the other")
	table.Merge(quarantine.Report{Content: digest(1), Cleared: true}, start)
	assert.Equal(t, quarantine.Quarantined, table.Verdict(digests(2), start))
}

// TestReleasedBystanderNeedsNoTrial guards against a bystander that all routers but one refuse again once
// its quarantine would have expired.
func TestReleasedBystanderNeedsNoTrial(t *testing.T) {
	table := &quarantine.Table{}
	crashes := []quarantine.Crash{crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)}
	table.Merge(report(1, crashes...), start)
	table.Merge(report(2, append(crashes, crash("d", 1, 4))...), start)
	for _, since := range []time.Duration{time.Second, time.Minute} {
		assert.Equal(t, quarantine.SingleAttempt, table.Admit(digests(1), always(false), start.Add(since)).Verdict, "%s after the crash", since)
	}
}

// TestClearedCauseExplainsNothing guards against a cause that stays released after the content that
// seemed to explain its crashes has been cleared.
func TestClearedCauseExplainsNothing(t *testing.T) {
	table := &quarantine.Table{}
	crashes := []quarantine.Crash{crash("a", 1, 1), crash("b", 1, 2), crash("c", 1, 3)}
	table.Merge(report(1, crashes...), start)
	table.Merge(report(2, append(crashes, crash("d", 1, 4))...), start)
	assert.Equal(t, quarantine.SingleAttempt, table.Verdict(digests(1), start))
	table.Merge(quarantine.Report{Content: digest(2), Cleared: true}, start)
	assert.Equal(t, quarantine.Quarantined, table.Verdict(digests(1), start))
}
