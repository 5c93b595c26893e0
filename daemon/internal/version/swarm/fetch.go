package swarm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// maxNeighbours is how many peers are asked for their chunks.
	maxNeighbours = 14
	// parallelPeers and parallelOrigin bound the chunks under way.
	parallelPeers  = 4
	parallelOrigin = 1
	// chunkTimeout bounds one chunk, haveTimeout one question for news.
	chunkTimeout = 2 * time.Second
	haveTimeout  = 900 * time.Millisecond
	// peerSilence is how long a peer may be silent before it is not counted as
	// a host that brings its chunks.
	peerSilence = 1200 * time.Millisecond
	// askAgain is the pause after a failed question.
	askAgain = 200 * time.Millisecond
	// patience is how long a chunk may be nowhere before the next host in its
	// ranking asks the origin for it, beyond the time the origin takes for all.
	patience = 900 * time.Millisecond
	// idlePause is the wait of a worker that finds nothing to do.
	idlePause = 25 * time.Millisecond
	// maxMismatches is how many wrong chunks from the origin make its manifest
	// suspect.
	maxMismatches = 4
)

// ErrManifest says that the manifest does not fit what the origin sends.
var ErrManifest = errors.New("the chunks of the origin do not match the manifest")

// Fetch brings one version to this host. The exported fields must be set.
type Fetch struct {
	Copy   *Copy
	Model  string
	Origin netip.AddrPort
	Source provider.Origin
	// Own is this host's address among the loaders, and Peers all loaders that
	// are to have the version, this one included or not.
	Own    netip.AddrPort
	Peers  func() []netip.AddrPort
	Client *http.Client
	// OriginTime is how long the origin takes to send one copy.
	OriginTime time.Duration
	// OnChunk is called with each new chunk. It may be nil.
	OnChunk func(index int, chunk []byte, from string)

	started time.Time
	mu      sync.Mutex
	// known is what each neighbour has; taken are chunks under way.
	known      map[netip.AddrPort]*neighbour
	taken      map[int]bool
	mismatches int
	// places is this host's place in the ranking of each chunk among placeNames.
	places     []int
	placeNames []string
}

// neighbour is a peer as this fetch knows it.
type neighbour struct {
	have  Have
	heard time.Time
	// until is when a peer that failed may be asked for chunks again.
	until time.Time
	busy  int
}

// Run fetches until the copy is complete, the context ends, or the manifest
// turns out to be wrong.
func (f *Fetch) Run(ctx context.Context) error {
	f.started = time.Now()
	f.known = map[netip.AddrPort]*neighbour{}
	f.taken = map[int]bool{}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var workers sync.WaitGroup
	workers.Go(func() { f.keepNeighbours(ctx) })
	for range parallelPeers {
		workers.Go(func() { f.work(ctx, cancel, f.fromPeer) })
	}
	for range parallelOrigin {
		workers.Go(func() { f.work(ctx, cancel, f.fromOrigin) })
	}
	f.awaitComplete(ctx)
	cancel(nil)
	workers.Wait()
	if f.Copy.Complete() {
		return nil
	}
	return fmt.Errorf("fetch version %d: %w", f.Copy.Manifest.Version, context.Cause(ctx))
}

func (f *Fetch) awaitComplete(ctx context.Context) {
	for !f.Copy.Complete() {
		_, changed := f.Copy.Count()
		if f.Copy.Complete() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// work repeats one kind of fetch until the context ends.
func (f *Fetch) work(ctx context.Context, cancel context.CancelCauseFunc, fetch func(context.Context) (bool, error)) {
	for ctx.Err() == nil {
		did, err := fetch(ctx)
		if errors.Is(err, ErrManifest) || errors.Is(err, provider.ErrSuperseded) {
			cancel(err)
			return
		}
		if !did {
			helpers.Pause(idlePause, ctx.Done())
		}
	}
}

// keepNeighbours asks each neighbour for news, one question under way each.
func (f *Fetch) keepNeighbours(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	asked := map[netip.AddrPort]bool{}
	for ctx.Err() == nil {
		for _, address := range f.neighbours() {
			if !asked[address] {
				asked[address] = true
				asking.Go(func() { f.ask(ctx, Peer{Address: address, Client: f.Client}) })
			}
		}
		helpers.Pause(askAgain, ctx.Done())
	}
}

// neighbours are this host's peers in the order of a ranking of its own.
func (f *Fetch) neighbours() []netip.AddrPort {
	names, byName := f.hostNames()
	ranked := rendezvous.Rank("neighbours of "+f.Own.String(), names)
	var result []netip.AddrPort
	for _, name := range ranked {
		if address := byName[name]; address != f.Own && len(result) < maxNeighbours {
			result = append(result, address)
		}
	}
	return result
}

func (f *Fetch) hostNames() ([]string, map[string]netip.AddrPort) {
	byName := map[string]netip.AddrPort{f.Own.String(): f.Own}
	for _, peer := range f.Peers() {
		byName[peer.String()] = peer
	}
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	return names, byName
}

func (f *Fetch) ask(ctx context.Context, peer Peer) {
	known := 0
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, haveTimeout)
		have, err := peer.Have(asking, f.Copy.Manifest.Version, known)
		cancel()
		if err == nil || errors.Is(err, provider.ErrNotFound) {
			f.heard(peer.Address, have)
			known = have.Count
		}
		complete := err == nil && have.Count == len(f.Copy.Manifest.Digests)
		if err != nil || complete {
			helpers.Pause(askAgain+rand.N(askAgain), ctx.Done())
		}
	}
}

func (f *Fetch) heard(address netip.AddrPort, have Have) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.known[address]
	if n == nil {
		n = &neighbour{}
		f.known[address] = n
	}
	n.have, n.heard = have, time.Now()
}

// fromPeer fetches one chunk that a neighbour has.
func (f *Fetch) fromPeer(ctx context.Context) (bool, error) {
	index, address, ok := f.pickFromPeers()
	if !ok {
		return false, nil
	}
	defer f.release(index)
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	chunk, err := Peer{Address: address, Client: f.Client}.Chunk(ctx, f.Copy.Manifest.Version, index)
	if err == nil {
		err = f.Copy.Put(index, chunk)
	}
	f.settle(address, err)
	if err != nil {
		return true, err
	}
	f.tell(index, chunk, address.String())
	return true, nil
}

// pickFromPeers chooses the rarest missing chunk among two drawn at random, and
// the least busy of its holders.
func (f *Fetch) pickFromPeers() (int, netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	holders := map[int][]netip.AddrPort{}
	have := f.Copy.Have()
	for address, n := range f.known {
		if now.Before(n.until) || n.busy > 0 {
			continue
		}
		for index, there := range n.have.Chunks {
			if there && index < len(have) && !have[index] && !f.taken[index] {
				holders[index] = append(holders[index], address)
			}
		}
	}
	best := -1
	drawn := 0
	for index := range holders { // the order of a map is random
		if best < 0 || len(holders[index]) < len(holders[best]) {
			best = index
		}
		if drawn++; drawn == 2 {
			break
		}
	}
	if best < 0 {
		return 0, netip.AddrPort{}, false
	}
	address := holders[best][rand.IntN(len(holders[best]))]
	f.taken[best] = true
	f.known[address].busy++
	return best, address, true
}

func (f *Fetch) settle(address netip.AddrPort, err error) {
	const rest = 500 * time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.known[address]
	n.busy--
	if err != nil {
		n.until = time.Now().Add(rest)
	}
}

func (f *Fetch) release(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.taken, index)
}

// fromOrigin fetches one chunk that it falls to this host to bring.
func (f *Fetch) fromOrigin(ctx context.Context) (bool, error) {
	index, ok := f.pickForOrigin()
	if !ok {
		return false, nil
	}
	defer f.release(index)
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout+f.OriginTime)
	defer cancel()
	chunk, err := f.Source.Chunk(ctx, f.Origin, f.Model, f.Copy.Manifest.Version, index)
	if err != nil {
		helpers.Pause(rand.N(askAgain), ctx.Done())
		return true, err
	}
	if err := f.Copy.Put(index, chunk); err != nil {
		return true, f.mismatch(err)
	}
	f.tell(index, chunk, "origin")
	return true, nil
}

func (f *Fetch) mismatch(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mismatches++; f.mismatches >= maxMismatches {
		return fmt.Errorf("%w: %w", ErrManifest, err)
	}
	return err
}

// pickForOrigin chooses a missing chunk that this host is the first live one to
// bring, or that has been nowhere for so long that it is this host's turn.
func (f *Fetch) pickForOrigin() (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.rank(f.liveNames(now))
	have := f.Copy.Have()
	offset := rand.IntN(len(have) + 1)
	for i := range have {
		index := (i + offset) % len(have)
		if have[index] || f.taken[index] || f.offered(index) {
			continue
		}
		if f.myTurn(index, now) {
			f.taken[index] = true
			return index, true
		}
	}
	return 0, false
}

// liveNames are this host and the peers that are heard. Before the first
// answers are due every peer counts as live.
func (f *Fetch) liveNames(now time.Time) []string {
	names, byName := f.hostNames()
	if now.Sub(f.started) < peerSilence {
		return names
	}
	near := f.neighbours()
	return slices.DeleteFunc(names, func(name string) bool {
		address := byName[name]
		if address == f.Own || !slices.Contains(near, address) {
			return false
		}
		n := f.known[address]
		return n == nil || now.Sub(n.heard) > peerSilence
	})
}

// offered reports whether a neighbour that may be asked has the chunk.
func (f *Fetch) offered(index int) bool {
	for _, n := range f.known {
		if index < len(n.have.Chunks) && n.have.Chunks[index] && time.Since(n.heard) < peerSilence {
			return true
		}
	}
	return false
}

// rank works out this host's place for each chunk where the hosts have changed.
func (f *Fetch) rank(names []string) {
	slices.Sort(names)
	if slices.Equal(names, f.placeNames) {
		return
	}
	f.placeNames = names
	f.places = make([]int, len(f.Copy.Manifest.Digests))
	for index := range f.places {
		ranked := rendezvous.Rank(chunkKey(f.Model, f.Copy.Manifest.Version, index), names)
		f.places[index] = slices.Index(ranked, f.Own.String())
	}
}

// myTurn reports whether this host is the first to bring a chunk, or all before
// it have had their time.
func (f *Fetch) myTurn(index int, now time.Time) bool {
	waited := now.Sub(f.started) - f.OriginTime
	place := f.places[index]
	return place == 0 || waited > time.Duration(place)*patience
}

func chunkKey(model string, version, index int) string {
	return model + "/" + strconv.Itoa(version) + "/" + strconv.Itoa(index)
}

func (f *Fetch) tell(index int, chunk []byte, from string) {
	if f.OnChunk != nil {
		f.OnChunk(index, chunk, from)
	}
}
