package keep_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/version/keep"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

var (
	errLost = errors.New("the answer was lost")
	host    = netip.MustParseAddrPort("127.0.0.1:9")
)

const chunks = 4

func chunkOf(version, index int) []byte { return fmt.Appendf(nil, "v%d chunk %d", version, index) }

func manifestOf(version int) provider.Manifest {
	manifest := provider.Manifest{Model: "m", Version: version, ChunkBytes: 1}
	for index := range chunks {
		manifest.Digests = append(manifest.Digests, sha256.Sum256(chunkOf(version, index)))
	}
	return manifest
}

// engine is an engine with a place beside it. It fails the test when it is
// ordered to take what is not whole.
type engine struct {
	t  *testing.T
	mu sync.Mutex
	// staged is what lies beside it, held the version that it serves.
	staged   map[int][]byte
	held     int
	sequence uint64
	waiting  int
	running  int
	orders   int
	// fenced counts the orders that were refused for their fence.
	fenced int
	// fence is the highest that the engine has seen.
	fence provider.Revision
	// loseAnswers is how many orders are taken without an answer.
	loseAnswers int
	// cleared is set once a report came while the routers were told to send
	// nothing more, and rounds counts the reports.
	cleared atomic.Bool
	rounds  atomic.Int64
	// clock is the keeper's, in nanoseconds; 0 leaves it the system's.
	clock atomic.Int64
}

// now is the clock of the engine's keeper.
func (e *engine) now() time.Time {
	if at := e.clock.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Now()
}

// pass lets time pass for the keeper, which looks at the engine a few times at
// that time.
func (e *engine) pass(d time.Duration) {
	e.t.Helper()
	e.clock.Add(int64(d))
	const looks = 3
	until := e.rounds.Load() + looks
	await(e.t, "a few looks", func() bool { return e.rounds.Load() >= until })
}

func (e *engine) calls() provider.Engine {
	return provider.Engine{
		Report: func(context.Context, netip.AddrPort) (provider.EngineReport, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			report := provider.EngineReport{Sequence: e.sequence, Waiting: e.waiting, Running: e.running}
			if e.held > 0 {
				report.Models = []provider.LoadedModel{{Model: "m", Version: e.held}}
			}
			return report, nil
		},
		WriteStaged: func(_ context.Context, _ netip.AddrPort, _ string, index int, chunk []byte) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.staged[index] = chunk
			return nil
		},
		ReadStaged: func(_ context.Context, _ netip.AddrPort, _ string, index int) ([]byte, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if chunk, ok := e.staged[index]; ok {
				return chunk, nil
			}
			return nil, provider.ErrNotFound
		},
		Start: e.start,
	}
}

func (e *engine) start(_ context.Context, _ netip.AddrPort, order provider.Order) (provider.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Sequence != e.sequence {
		return provider.OrderConflict, errors.New("sequence")
	}
	if order.FencingToken < e.fence {
		e.fenced++
		return provider.OrderFenced, errors.New("fence")
	}
	for index := range chunks {
		assert.Equal(e.t, chunkOf(order.Version, index), e.staged[index], "ordered to take what is not whole")
	}
	assert.Zero(e.t, e.waiting, "ordered while requests wait")
	e.held = order.Version
	e.sequence++
	e.orders++
	if e.loseAnswers > 0 {
		e.loseAnswers--
		return provider.OrderUnknown, errLost
	}
	return provider.OrderStarted, nil
}

func (e *engine) version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

// start runs a keeper of an engine for goals that the test may change.
func start(t *testing.T, e *engine, plan func() keep.Plan) *keep.Keeper {
	t.Helper()
	k := newKeeper(e, plan)
	k.Start()
	t.Cleanup(k.Stop)
	return k
}

// newKeeper returns a keeper of an engine that no other host is near.
func newKeeper(e *engine, plan func() keep.Plan) *keep.Keeper {
	k := &keep.Keeper{
		Engine: e.calls(), Address: host, Held: &swarm.Held{}, Own: host,
		Origin: provider.Origin{
			Manifest: func(_ context.Context, _ netip.AddrPort, _ string, version int) (provider.Manifest, error) {
				return manifestOf(version), nil
			},
			Chunk: func(_ context.Context, _ netip.AddrPort, _ string, version, index int) ([]byte, error) {
				return chunkOf(version, index), nil
			},
		},
		Ranked: func(keep.Goal) []netip.AddrPort { return []netip.AddrPort{host} },
		Plan:   func(int) (keep.Plan, bool) { return plan(), true },
		OnStep: func(keep.Step) {},
	}
	k.Now = e.now
	k.OnReport = func(provider.EngineReport, error) {
		e.cleared.Store(k.Clearing())
		e.rounds.Add(1)
	}
	k.NewFetch = func(_ keep.Plan, c *swarm.Copy) *swarm.Fetch {
		return &swarm.Fetch{
			Copy: c, Model: "m", Source: k.Origin, Own: swarm.Host{Address: host, Hall: "h"},
			Hosts: func() []swarm.Host { return nil },
		}
	}
	return k
}

func goal(version int, turn time.Time) keep.Goal {
	return keep.Goal{Model: "m", Version: version, Turn: turn, Fence: provider.Revision(version)}
}

func planOf(goals ...keep.Goal) keep.Plan {
	return keep.Plan{Goal: goals[0], Earlier: goals[1:], Chunks: chunks, ChunkBytes: 1}
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, 5*time.Millisecond, what)
}

func TestEmptyEngineIsLoadedAtOnce(t *testing.T) {
	e := &engine{t: t, staged: map[int][]byte{}}
	start(t, e, func() keep.Plan { return planOf(goal(3, time.Now().Add(time.Hour))) })
	await(t, "version 3", func() bool { return e.version() == 3 })
}

func TestServingEngineWaitsForItsTurn(t *testing.T) {
	e := &engine{t: t, staged: map[int][]byte{}, held: 1, running: 1}
	var mu sync.Mutex
	turn := time.Now().Add(time.Hour)
	k := start(t, e, func() keep.Plan {
		mu.Lock()
		defer mu.Unlock()
		return planOf(goal(2, turn))
	})
	await(t, "the copy is whole", func() bool { c := k.Held.Get(2); return c != nil && c.Complete() })
	assert.Equal(t, 1, e.version())
	mu.Lock()
	turn = time.Now()
	mu.Unlock()
	await(t, "version 2", func() bool { return e.version() == 2 })
}

// TestNothingIsOrderedWhileRequestsWait: what waits at an order may begin on the
// old version much later.
func TestNothingIsOrderedWhileRequestsWait(t *testing.T) {
	e := &engine{t: t, staged: map[int][]byte{}, held: 1, waiting: 2}
	e.clock.Store(time.Hour.Nanoseconds())
	start(t, e, func() keep.Plan { return planOf(goal(2, time.Unix(0, 0))) })
	await(t, "routers are told", e.cleared.Load)
	e.pass(time.Second)
	assert.Equal(t, 1, e.version())
	e.mu.Lock()
	e.waiting = 0
	e.mu.Unlock()
	await(t, "version 2", func() bool { return e.version() == 2 })
}

// TestRunningRequestsAreNotWaitedFor: the engine ends them before it loads, so the order
// is given with however many, and none of them is cut by it.
func TestRunningRequestsAreNotWaitedFor(t *testing.T) {
	for _, running := range []int{1, 2, 12} {
		e := &engine{t: t, staged: map[int][]byte{}, held: 1, running: running}
		e.clock.Store(time.Hour.Nanoseconds())
		start(t, e, func() keep.Plan { return planOf(goal(2, time.Unix(0, 0))) })
		await(t, "routers are told", e.cleared.Load)
		assert.Equal(t, 1, e.version(), "routers are given time to hear of it")
		e.pass(300 * time.Millisecond)
		await(t, "version 2", func() bool { return e.version() == 2 })
	}
}

// TestAnEngineClosesBeforeItsTurn: only so long before that most requests are done, and
// not for a version that it holds.
func TestAnEngineClosesBeforeItsTurn(t *testing.T) {
	e := &engine{t: t, staged: map[int][]byte{}, held: 1}
	began := time.Unix(0, time.Hour.Nanoseconds())
	e.clock.Store(began.UnixNano())
	turn := began.Add(10 * time.Second)
	var closes atomic.Value
	k := newKeeper(e, func() keep.Plan {
		return planOf(goal(3, turn.Add(time.Hour)), goal(2, turn), goal(1, began.Add(time.Second)))
	})
	noted := k.OnReport
	k.OnReport = func(report provider.EngineReport, err error) {
		closes.Store(k.Closes())
		noted(report, err)
	}
	k.Start()
	t.Cleanup(k.Stop)
	e.pass(8 * time.Second)
	assert.Zero(t, closes.Load())
	e.pass(time.Second)
	assert.Equal(t, turn, closes.Load())
	e.pass(2 * time.Second)
	assert.Zero(t, closes.Load(), "its turn has come")
}

// TestIdleEngineIsOrderedAtOnce: there is nothing to wait for.
func TestIdleEngineIsOrderedAtOnce(t *testing.T) {
	e := &engine{t: t, staged: map[int][]byte{}, held: 1}
	start(t, e, func() keep.Plan { return planOf(goal(2, time.Now().Add(-time.Second))) })
	await(t, "version 2", func() bool { return e.version() == 2 })
	assert.False(t, e.cleared.Load(), "routers were not told to send nothing more")
}

func TestLostAnswerIsNoSecondLoad(t *testing.T) {
	e := &engine{t: t, staged: map[int][]byte{}, loseAnswers: 1}
	k := start(t, e, func() keep.Plan { return planOf(goal(2, time.Time{})) })
	await(t, "version 2", func() bool { return e.version() == 2 })
	k.Stop()
	assert.Equal(t, 1, e.orders)
}

// TestFencedOrderIsGivenAgainByANewerFence: an engine that has seen a higher one
// takes nothing by the old, and the version once the store's news is as new.
func TestFencedOrderIsGivenAgainByANewerFence(t *testing.T) {
	e := &engine{t: t, staged: map[int][]byte{}, fence: 9}
	var fence atomic.Uint64
	fence.Store(3)
	start(t, e, func() keep.Plan {
		next := goal(2, time.Time{})
		next.Fence = provider.Revision(fence.Load())
		return planOf(next)
	})
	await(t, "a refusal", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.fenced > 0
	})
	assert.Zero(t, e.version())
	fence.Store(9)
	await(t, "version 2", func() bool { return e.version() == 2 })
}

func TestRestartedEngineIsLoadedAgain(t *testing.T) {
	e := &engine{t: t, staged: map[int][]byte{}}
	start(t, e, func() keep.Plan { return planOf(goal(2, time.Time{})) })
	await(t, "version 2", func() bool { return e.version() == 2 })
	e.mu.Lock()
	e.held, e.sequence = 0, 0
	e.staged[1] = []byte("turned bad") // what lies there is checked again
	delete(e.staged, 2)
	e.mu.Unlock()
	await(t, "version 2 again", func() bool { return e.version() == 2 })
}

// TestNewerVersionSupersedes: a version named while the one before is on its
// way; an engine ends at the newest, and every order was for a whole version.
func TestNewerVersionSupersedes(t *testing.T) {
	e := &engine{t: t, staged: map[int][]byte{}, held: 1}
	var mu sync.Mutex
	goals := []keep.Goal{goal(2, time.Now())}
	start(t, e, func() keep.Plan {
		mu.Lock()
		defer mu.Unlock()
		return planOf(goals...)
	})
	mu.Lock()
	goals = []keep.Goal{goal(3, time.Now().Add(300*time.Millisecond)), goals[0]}
	mu.Unlock()
	await(t, "version 3", func() bool { return e.version() == 3 })
}
