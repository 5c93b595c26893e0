// Package swarm fetches the chunks of a version from peers, and from the origin those that no
// peer has. Package loader runs one fetch per version and serves the chunks to other loaders.
//
// Which host fetches a chunk from the origin is a pure function of the chunk and the list of
// hosts, so that the origin sends about one copy for all hosts.
//
// Package fetch does the same for agents, whose peers are assigned by entries. Here a loader
// finds its peers in the store's list of upstreams, versions are numbered, and a chunk is
// identified by its index in a manifest of SHA-256 digests.
package swarm

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// keptVersions is the number of versions that a host holds: the current one, for hosts that
// are stale, and up to two newer ones.
const keptVersions = 3

// errDigest means that a chunk does not match the manifest.
var errDigest = errors.New("chunk does not match its digest")

// Copy is the part of a version that this host has. All its chunks are verified.
type Copy struct {
	// Manifest is the manifest that the host has looked up. Correct may change a digest, so other packages read the
	// digests with CurrentManifest or Matches; the rest of it does not change.
	Manifest provider.Manifest

	// mu guards the digests and the fields below.
	mu     sync.Mutex
	chunks [][]byte
	count  int
	// completedAt is when the last chunk was added, zero before.
	completedAt time.Time
	// addedAt holds when each chunk was added, in that order.
	addedAt []time.Time
	// seen marks the chunks that any host, this one included, has reported or stored, and
	// seenCount is their number.
	seen      []bool
	seenCount int
	// changed is closed and replaced when a chunk is added.
	changed chan struct{}
}

// NewCopy returns a copy without any chunks.
func NewCopy(manifest provider.Manifest) *Copy {
	manifest.Digests = slices.Clone(manifest.Digests)
	return &Copy{Manifest: manifest, chunks: make([][]byte, len(manifest.Digests)), seen: make([]bool, len(manifest.Digests)), changed: make(chan struct{})}
}

// Put verifies a chunk and adds it.
func (c *Copy) Put(index int, chunk []byte) error {
	if index < 0 || index >= len(c.chunks) {
		return fmt.Errorf("chunk %d of %d: %w", index, len(c.chunks), provider.ErrNotFound)
	}
	digest := sha256.Sum256(chunk)
	c.mu.Lock()
	defer c.mu.Unlock()
	if digest != c.Manifest.Digests[index] {
		return fmt.Errorf("chunk %d of version %d: %w", index, c.Manifest.Version, errDigest)
	}
	if c.chunks[index] == nil {
		c.chunks[index] = chunk
		c.count++
		c.addedAt = append(c.addedAt, clock.Now())
		c.markSeen(index)
		if c.count == len(c.chunks) {
			c.completedAt = clock.Now()
		}
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return nil
}

// MergeSeen marks the chunks that another host has as seen, and returns those that were not seen
// at any host before.
func (c *Copy) MergeSeen(have Bitmap) (added []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for index := range c.seen {
		if !c.seen[index] && have.Has(index) {
			c.markSeen(index)
			added = append(added, index)
		}
	}
	return added
}

// markSeen marks a chunk as seen at some host; the caller holds mu.
func (c *Copy) markSeen(index int) {
	if !c.seen[index] {
		c.seen[index] = true
		c.seenCount++
	}
}

// Unseen returns the number of chunks that were not seen at any host, and that the origin
// therefore still has to send.
func (c *Copy) Unseen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.seen) - c.seenCount
}

// Chunk returns a chunk, or nil if this host does not have it.
func (c *Copy) Chunk(index int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index < 0 || index >= len(c.chunks) {
		return nil
	}
	return c.chunks[index]
}

// Count returns the number of chunks on this host and a channel that is closed when one is
// added.
func (c *Copy) Count() (int, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, c.changed
}

// Complete reports whether the copy has all chunks.
func (c *Copy) Complete() bool {
	count, _ := c.Count()
	return count == len(c.Manifest.Digests)
}

// CompletedAt returns when the last chunk was added, zero before.
func (c *Copy) CompletedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completedAt
}

// PerSecond returns the rate at which chunks were added within a window up to now, 0 if none was.
func (c *Copy) PerSecond(window time.Duration, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := 0
	for added < len(c.addedAt) && now.Sub(c.addedAt[len(c.addedAt)-1-added]) < window {
		added++
	}
	return float64(added) / window.Seconds()
}

// Present returns for each chunk whether this host has it.
func (c *Copy) Present() []bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	have := make([]bool, len(c.chunks))
	for i, chunk := range c.chunks {
		have[i] = chunk != nil
	}
	return have
}

// Copies holds the copies on this host. The zero value is empty.
type Copies struct {
	mu sync.Mutex
	// byVersion holds the newest keptVersions copies.
	byVersion map[int]*Copy
}

// Get returns the copy of a version, or nil if there is none.
func (s *Copies) Get(version int) *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byVersion[version]
}

// Add adds a copy, and drops the oldest ones beyond keptVersions.
func (s *Copies) Add(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byVersion == nil {
		s.byVersion = map[int]*Copy{}
	}
	s.byVersion[c.Manifest.Version] = c
	for len(s.byVersion) > keptVersions {
		s.dropOldest()
	}
}

// Drop removes the copy of a version whose manifest proved wrong.
func (s *Copies) Drop(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byVersion, version)
}

func (s *Copies) dropOldest() {
	oldest := -1
	for version := range s.byVersion {
		if oldest < 0 || version < oldest {
			oldest = version
		}
	}
	delete(s.byVersion, oldest)
}

// Matches reports whether a chunk is the one at an index of the manifest.
func (c *Copy) Matches(index int, chunk []byte) bool {
	digest := sha256.Sum256(chunk)
	c.mu.Lock()
	defer c.mu.Unlock()
	return digest == c.Manifest.Digests[index]
}

// Correct takes the digest of a chunk over from another manifest of the version if the chunk matches that one, and
// reports whether it did. Bytes that match a digest prove it: a corrupted digest matches none.
func (c *Copy) Correct(index int, chunk []byte, other provider.Manifest) bool {
	same := other.Version == c.Manifest.Version &&
		other.ChunkBytes == c.Manifest.ChunkBytes && len(other.Digests) == len(c.Manifest.Digests)
	if !same || sha256.Sum256(chunk) != other.Digests[index] {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chunks[index] == nil {
		c.Manifest.Digests[index] = other.Digests[index]
	}
	return true
}

// CurrentManifest returns the manifest with its corrections.
func (c *Copy) CurrentManifest() provider.Manifest {
	c.mu.Lock()
	defer c.mu.Unlock()
	manifest := c.Manifest
	manifest.Digests = slices.Clone(manifest.Digests)
	return manifest
}
