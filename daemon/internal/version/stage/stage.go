// Package stage holds verified chunks of weights in memory, within a budget.
// Package fetch fills it; packages share and install read from it.
//
// Chunks are stored by digest, so versions that share chunks share memory and
// transfers. Every chunk is verified before it is stored, and a version counts
// as verified only after the digest of the complete file has been checked, so a
// reader gets exactly the bytes of one declared version.
package stage

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/blake3"

	"github.com/wheelcleat/wheelcleat/api/manifest"
)

// Errors of the stage.
var (
	// ErrCorrupt means that the bytes do not match the digest in the manifest.
	ErrCorrupt = errors.New("chunk is corrupt")
	// ErrOverBudget means that the active and declared versions exceed the
	// budget.
	ErrOverBudget = errors.New("staging budget exceeded")
	// ErrDropped means that the version is no longer staged.
	ErrDropped = errors.New("version is no longer staged")
)

// Stage is the chunk store of one agent. Set MaxBytes before use; 0 means no
// limit.
//
// Lock order: mu before the mu of a Version.
type Stage struct {
	MaxBytes int64

	mu sync.Mutex
	// chunks holds an entry for every chunk of the staged versions, with nil
	// data until it is stored.
	chunks map[manifest.Digest]*chunk
	// bytes is the total size of the stored chunks.
	bytes int64
	// versions holds the staged versions in the order in which they were opened.
	versions []*Version
	// changed is closed and cleared when a chunk is stored; nil without
	// waiters.
	changed chan struct{}
}

// chunk is a chunk named by a staged version; data is verified and immutable.
type chunk struct {
	data []byte
	// refs is the number of references from the manifests of staged versions.
	refs int
}

// Version is one staged version.
type Version struct {
	ID       manifest.Digest
	Manifest *manifest.Manifest

	stage *Stage
	// openedAt is when the version was staged.
	openedAt time.Time
	// instance identifies this staging, so that a cursor into the gained list
	// of an earlier staging or another process is not misapplied.
	instance string

	mu sync.Mutex
	// stored marks the stored chunks; storedCount is their number.
	stored      []bool
	storedCount int
	// gained lists the stored chunks in the order of their arrival.
	gained []uint32
	// verified is set once the digest of the complete file has been checked.
	verified bool
	dropped  bool
	// changed is closed and replaced when a chunk is stored or the version is
	// dropped.
	changed chan struct{}
}

// Open stages a version, or returns it if it is already staged. Versions that
// are not in wanted are dropped, oldest first, until the new version fits into
// the budget.
func (s *Stage) Open(id manifest.Digest, m *manifest.Manifest, wanted []manifest.Digest) (*Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version := s.find(id); version != nil {
		return version, nil
	}
	if err := s.evictFor(m, wanted); err != nil {
		return nil, err
	}
	version := &Version{
		ID: id, Manifest: m, stage: s, openedAt: time.Now(),
		instance: fmt.Sprintf("%016x", rand.Uint64()),
		stored:   make([]bool, len(m.Chunks)),
		changed:  make(chan struct{}),
	}
	if s.chunks == nil {
		s.chunks = map[manifest.Digest]*chunk{}
	}
	for index, digest := range m.Chunks {
		if existing := s.chunks[digest]; existing != nil {
			existing.refs++
			if existing.data != nil {
				version.markStored(index)
			}
			continue
		}
		s.chunks[digest] = &chunk{refs: 1}
	}
	s.versions = append(s.versions, version)
	return version, nil
}

// Find returns a staged version, or nil.
func (s *Stage) Find(id manifest.Digest) *Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(id)
}

func (s *Stage) find(id manifest.Digest) *Version {
	for _, version := range s.versions {
		if version.ID == id {
			return version
		}
	}
	return nil
}

// evictFor drops unwanted versions until the new one fits; the caller holds mu.
func (s *Stage) evictFor(m *manifest.Manifest, wanted []manifest.Digest) error {
	if s.MaxBytes == 0 {
		return nil
	}
	for s.requiredBytes(m) > s.MaxBytes {
		victim := s.oldestUnwanted(wanted)
		if victim == nil {
			return fmt.Errorf("%w: active and declared versions need %d bytes, the budget is %d; raise weights.stagingBytes",
				ErrOverBudget, s.requiredBytes(m), s.MaxBytes)
		}
		s.drop(victim)
	}
	return nil
}

// requiredBytes returns the size of all staged versions and a new one when
// complete; shared chunks count once.
func (s *Stage) requiredBytes(m *manifest.Manifest) int64 {
	total := int64(0)
	seen := map[manifest.Digest]bool{}
	add := func(m *manifest.Manifest) {
		for index, digest := range m.Chunks {
			if !seen[digest] {
				seen[digest] = true
				_, length := m.ChunkRange(index)
				total += length
			}
		}
	}
	add(m)
	for _, version := range s.versions {
		add(version.Manifest)
	}
	return total
}

func (s *Stage) oldestUnwanted(wanted []manifest.Digest) *Version {
	for _, version := range s.versions {
		needed := false
		for _, id := range wanted {
			needed = needed || id == version.ID
		}
		if !needed {
			return version
		}
	}
	return nil
}

// Drop removes a version and the chunks that no other version references.
func (s *Stage) Drop(id manifest.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version := s.find(id); version != nil {
		s.drop(version)
	}
}

// drop removes a version; the caller holds mu.
func (s *Stage) drop(version *Version) {
	for i, candidate := range s.versions {
		if candidate == version {
			s.versions = append(s.versions[:i:i], s.versions[i+1:]...)
			break
		}
	}
	for _, digest := range version.Manifest.Chunks {
		entry := s.chunks[digest]
		entry.refs--
		if entry.refs == 0 {
			s.bytes -= int64(len(entry.data))
			delete(s.chunks, digest)
		}
	}
	version.mu.Lock()
	version.dropped = true
	version.notify()
	version.mu.Unlock()
}

// Bytes returns the total size of the stored chunks.
func (s *Stage) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Chunk returns the chunk with a digest, or nil if it is not stored. The caller
// must not modify it.
func (s *Stage) Chunk(digest manifest.Digest) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.chunks[digest]; entry != nil {
		return entry.data
	}
	return nil
}

// Changed returns a channel that is closed when the next chunk is stored.
func (s *Stage) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Put verifies a chunk of a version and stores it for every version that
// references it. The stage owns data afterwards. Put returns false for a chunk
// that is already stored.
func (s *Stage) Put(version *Version, index int, data []byte) (bool, error) {
	digest := version.Manifest.Chunks[index]
	_, length := version.Manifest.ChunkRange(index)
	if int64(len(data)) != length || manifest.Sum(data) != digest {
		return false, fmt.Errorf("chunk %d of version %s: %w", index, version.ID.Short(), ErrCorrupt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.chunks[digest]
	if entry == nil || version.isDropped() {
		return false, ErrDropped
	}
	if entry.data != nil {
		return false, nil
	}
	entry.data = data
	s.bytes += length
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	for _, v := range s.versions {
		v.markStoredEverywhere(digest)
	}
	return true, nil
}

func (v *Version) isDropped() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dropped
}

// markStoredEverywhere marks every index with the chunk's digest as stored.
func (v *Version) markStoredEverywhere(digest manifest.Digest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for index, candidate := range v.Manifest.Chunks {
		if candidate == digest {
			v.markStored(index)
		}
	}
}

// markStored marks a chunk as stored; the caller holds mu or the version is not yet
// published.
func (v *Version) markStored(index int) {
	if v.stored[index] {
		return
	}
	v.stored[index] = true
	v.storedCount++
	v.gained = append(v.gained, uint32(index)) //nolint:gosec // an index into a manifest
	v.notify()
}

// notify wakes the waiters for changed; the caller holds mu or the version is not
// yet published.
func (v *Version) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Has reports whether a chunk is stored.
func (v *Version) Has(index int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stored[index]
}

// Progress returns the number of stored chunks and of all chunks.
func (v *Version) Progress() (stored, total int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.storedCount, len(v.stored)
}

// MeanChunkInterval returns the mean time between the arrivals of two chunks.
func (v *Version) MeanChunkInterval() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.storedCount == 0 {
		return 0
	}
	return time.Since(v.openedAt) / time.Duration(v.storedCount)
}

// Gained lists the chunks returned by GainedSince, with the cursor for the next call.
type Gained struct {
	Instance string
	Cursor   uint32
	Chunks   []uint32
}

// GainedSince returns the chunks gained after a cursor of an instance, and a channel
// that is closed at the next change. A cursor of another instance counts as 0.
func (v *Version) GainedSince(instance string, cursor uint32) (Gained, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if instance != v.instance || int(cursor) > len(v.gained) {
		cursor = 0
	}
	return Gained{
		Instance: v.instance,
		Cursor:   uint32(len(v.gained)), //nolint:gosec // bounded by the manifest
		Chunks:   append([]uint32(nil), v.gained[cursor:]...),
	}, v.changed
}

// Verify checks the digest of the complete file. It fails if chunks are missing.
func (v *Version) Verify() error {
	v.mu.Lock()
	missing := len(v.stored) - v.storedCount
	done := v.verified
	v.mu.Unlock()
	switch {
	case done:
		return nil
	case missing > 0:
		return fmt.Errorf("version %s: %d chunks are missing", v.ID.Short(), missing)
	}
	hash := blake3.New()
	if err := v.WriteAll(hash); err != nil {
		return err
	}
	var digest manifest.Digest
	hash.Sum(digest[:0])
	if digest != v.Manifest.FileDigest {
		return fmt.Errorf("version %s: file digest is %s, but the manifest declares %s", v.ID.Short(), digest.Short(), v.Manifest.FileDigest.Short())
	}
	v.mu.Lock()
	v.verified = true
	v.mu.Unlock()
	return nil
}

// Verified reports whether Verify has succeeded.
func (v *Version) Verified() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.verified && !v.dropped
}

// WriteAll writes the complete file in order.
func (v *Version) WriteAll(w io.Writer) error {
	for index, digest := range v.Manifest.Chunks {
		data := v.stage.Chunk(digest)
		if data == nil {
			return fmt.Errorf("version %s, chunk %d: %w", v.ID.Short(), index, ErrDropped)
		}
		if _, err := w.Write(data); err != nil {
			return fmt.Errorf("version %s, chunk %d: %w", v.ID.Short(), index, err)
		}
	}
	return nil
}
