// Package swarm brings a version's chunks to a host from other hosts, and from
// the origin what no other host has.
//
// It differs from package fetch, which serves agents that are told their peers
// by entries: here a loader knows its peers from the store's list of upstreams,
// versions are numbered, and chunks are named by their place in a manifest of
// SHA-256 digests. What holds for both is the choice of who asks the origin: a
// pure function of the chunk and the hosts, so that the origin sends about one
// copy for all of them.
package swarm

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// keptVersions is how many versions are held: the one in force, for hosts that
// are behind, and up to two to come.
const keptVersions = 3

// errDigest says that a chunk's bytes are not those of the manifest.
var errDigest = errors.New("the chunk does not match its digest")

// Copy is a version as far as this host has it. All its chunks are verified.
type Copy struct {
	Manifest provider.Manifest

	mu     sync.Mutex
	chunks [][]byte
	count  int
	// completed is when the last chunk came, zero before.
	completed time.Time
	// seen are the chunks that some host is known to have had, and seenCount how many.
	seen      []bool
	seenCount int
	// changed is closed and replaced at each new chunk.
	changed chan struct{}
}

// NewCopy returns a copy without chunks.
func NewCopy(manifest provider.Manifest) *Copy {
	return &Copy{Manifest: manifest, chunks: make([][]byte, len(manifest.Digests)), seen: make([]bool, len(manifest.Digests)), changed: make(chan struct{})}
}

// Put takes a chunk if its bytes are right.
func (c *Copy) Put(index int, chunk []byte) error {
	if index < 0 || index >= len(c.chunks) {
		return fmt.Errorf("chunk %d of %d: %w", index, len(c.chunks), provider.ErrNotFound)
	}
	if sha256.Sum256(chunk) != c.Manifest.Digests[index] {
		return fmt.Errorf("chunk %d of version %d: %w", index, c.Manifest.Version, errDigest)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chunks[index] == nil {
		c.chunks[index] = chunk
		c.count++
		c.see(index)
		if c.count == len(c.chunks) {
			c.completed = clock.Now()
		}
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return nil
}

// Note takes which chunks another host has, and returns those that were seen nowhere
// before.
func (c *Copy) Note(have Have) (news []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for index := range c.seen {
		if !c.seen[index] && have.Has(index) {
			c.see(index)
			news = append(news, index)
		}
	}
	return news
}

// see notes that a host has a chunk; the caller holds mu.
func (c *Copy) see(index int) {
	if !c.seen[index] {
		c.seen[index] = true
		c.seenCount++
	}
}

// Unseen is how many chunks no host is known to have had, so that the origin is still to
// send them.
func (c *Copy) Unseen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.seen) - c.seenCount
}

// Chunk returns a chunk, or nil.
func (c *Copy) Chunk(index int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index < 0 || index >= len(c.chunks) {
		return nil
	}
	return c.chunks[index]
}

// Count returns how many chunks are here and a channel that closes at the next.
func (c *Copy) Count() (int, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, c.changed
}

// Complete reports whether all chunks are here.
func (c *Copy) Complete() bool {
	count, _ := c.Count()
	return count == len(c.Manifest.Digests)
}

// Completed is when the last chunk came, zero before.
func (c *Copy) Completed() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completed
}

// Have returns which chunks are here.
func (c *Copy) Have() []bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	have := make([]bool, len(c.chunks))
	for i, chunk := range c.chunks {
		have[i] = chunk != nil
	}
	return have
}

// Held is the copies on this host. The zero value is empty.
type Held struct {
	mu sync.Mutex
	// copies are the newest keptVersions, by version.
	copies map[int]*Copy
}

// Get returns the copy of a version, or nil.
func (h *Held) Get(version int) *Copy {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.copies[version]
}

// Add takes a version's copy. Versions beyond keptVersions are dropped, oldest
// first.
func (h *Held) Add(c *Copy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.copies == nil {
		h.copies = map[int]*Copy{}
	}
	h.copies[c.Manifest.Version] = c
	for len(h.copies) > keptVersions {
		h.dropOldest()
	}
}

// Drop forgets a version, whose manifest turned out to be wrong.
func (h *Held) Drop(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.copies, version)
}

func (h *Held) dropOldest() {
	oldest := -1
	for version := range h.copies {
		if oldest < 0 || version < oldest {
			oldest = version
		}
	}
	delete(h.copies, oldest)
}

// Matches reports whether bytes are those of a chunk.
func (c *Copy) Matches(index int, chunk []byte) bool {
	return sha256.Sum256(chunk) == c.Manifest.Digests[index]
}
