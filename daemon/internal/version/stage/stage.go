// Package stage keeps verified chunks of weights in memory, within a budget.
//
// Chunks are kept by content, so versions that share chunks share memory and
// transfers. Nothing enters the stage unverified, and a version is complete
// only when every chunk is there and the digest over the whole has been
// checked, so whoever reads from it reads exactly one declared version.
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
	// ErrCorrupt: the bytes do not have the digest that the manifest names.
	ErrCorrupt = errors.New("chunk is corrupt")
	// ErrOverBudget: the versions in force and declared need more than the
	// budget.
	ErrOverBudget = errors.New("staging budget exceeded")
	// ErrDropped: the version is no longer staged.
	ErrDropped = errors.New("version is no longer staged")
)

// Stage is the store of one agent. Set MaxBytes before use; 0 means no bound.
//
// Lock order: mu before the mu of a Version.
type Stage struct {
	MaxBytes int64

	mu sync.Mutex
	// chunks holds every chunk of a staged version that has arrived.
	chunks map[manifest.Digest]*chunk
	// bytes is the sum of the chunks' lengths.
	bytes int64
	// versions holds the staged versions, newest declared last.
	versions []*Version
	// changed is closed and replaced when a chunk comes; nil before the first
	// use.
	changed chan struct{}
}

// chunk is verified bytes; data is never written again.
type chunk struct {
	data []byte
	// users is the number of staged versions that name the chunk.
	users int
}

// Version is one staged version.
type Version struct {
	ID       manifest.Digest
	Manifest *manifest.Manifest

	stage *Stage
	// opened is when the version was staged.
	opened time.Time
	// instance names this staging, so that a reader's cursor into gained is
	// not taken for one into another's.
	instance string

	mu sync.Mutex
	// held says which chunks are here, count how many.
	held  []bool
	count int
	// gained lists the chunks in the order they came.
	gained []uint32
	// verified is set once the digest over the whole has been checked.
	verified bool
	dropped  bool
	// changed is closed and replaced when a chunk comes or the version goes.
	changed chan struct{}
}

// Open stages a version, or returns the one already staged. Versions outside
// wanted are dropped, oldest declaration first, until the budget holds.
func (s *Stage) Open(id manifest.Digest, m *manifest.Manifest, wanted []manifest.Digest) (*Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version := s.find(id); version != nil {
		return version, nil
	}
	if err := s.makeRoom(m, wanted); err != nil {
		return nil, err
	}
	version := &Version{
		ID: id, Manifest: m, stage: s, opened: time.Now(),
		instance: fmt.Sprintf("%016x", rand.Uint64()),
		held:     make([]bool, len(m.Chunks)),
		changed:  make(chan struct{}),
	}
	if s.chunks == nil {
		s.chunks = map[manifest.Digest]*chunk{}
	}
	for index, digest := range m.Chunks {
		if present := s.chunks[digest]; present != nil {
			present.users++
			if present.data != nil {
				version.gain(index)
			}
			continue
		}
		s.chunks[digest] = &chunk{users: 1}
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

// makeRoom drops unwanted versions until the new one fits; the caller holds mu.
func (s *Stage) makeRoom(m *manifest.Manifest, wanted []manifest.Digest) error {
	if s.MaxBytes == 0 {
		return nil
	}
	for s.needs(m) > s.MaxBytes {
		victim := s.oldestUnwanted(wanted)
		if victim == nil {
			return fmt.Errorf("%w: the versions in force and declared need %d bytes, the budget is %d; raise weights.stagingBytes",
				ErrOverBudget, s.needs(m), s.MaxBytes)
		}
		s.drop(victim)
	}
	return nil
}

// needs returns the bytes of all staged versions and a new one, once complete.
func (s *Stage) needs(m *manifest.Manifest) int64 {
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

// Drop removes a version and the chunks that no other one names.
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
		held := s.chunks[digest]
		held.users--
		if held.users == 0 {
			s.bytes -= int64(len(held.data))
			delete(s.chunks, digest)
		}
	}
	version.mu.Lock()
	version.dropped = true
	version.wake()
	version.mu.Unlock()
}

// Bytes returns the memory that chunks take.
func (s *Stage) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Chunk returns a chunk by content, nil where it is not here. The bytes are
// read-only.
func (s *Stage) Chunk(digest manifest.Digest) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.chunks[digest]; held != nil {
		return held.data
	}
	return nil
}

// Changed returns a channel that closes when the next chunk comes.
func (s *Stage) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Put verifies a chunk of a version and keeps it for every version that names
// it. The stage owns data from then on. It reports false for a chunk that was
// here already.
func (s *Stage) Put(version *Version, index int, data []byte) (bool, error) {
	digest := version.Manifest.Chunks[index]
	_, length := version.Manifest.ChunkRange(index)
	if int64(len(data)) != length || manifest.Sum(data) != digest {
		return false, fmt.Errorf("chunk %d of version %s: %w", index, version.ID.Short(), ErrCorrupt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.chunks[digest]
	if held == nil || version.isDropped() {
		return false, ErrDropped
	}
	if held.data != nil {
		return false, nil
	}
	held.data = data
	s.bytes += length
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	for _, user := range s.versions {
		user.gainAll(digest)
	}
	return true, nil
}

func (v *Version) isDropped() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dropped
}

// gainAll marks every place of a chunk as held.
func (v *Version) gainAll(digest manifest.Digest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for index, candidate := range v.Manifest.Chunks {
		if candidate == digest {
			v.gain(index)
		}
	}
}

// gain marks a chunk as held; the caller holds mu or is the only user.
func (v *Version) gain(index int) {
	if v.held[index] {
		return
	}
	v.held[index] = true
	v.count++
	v.gained = append(v.gained, uint32(index)) //nolint:gosec // an index into a manifest
	v.wake()
}

func (v *Version) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Has reports whether a chunk is here.
func (v *Version) Has(index int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.held[index]
}

// Progress returns the chunks here and in all.
func (v *Version) Progress() (held, total int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.count, len(v.held)
}

// UsualGap returns the mean time between two chunks that came.
func (v *Version) UsualGap() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.count == 0 {
		return 0
	}
	return time.Since(v.opened) / time.Duration(v.count)
}

// Gained is an answer to Since.
type Gained struct {
	Instance string
	Cursor   uint32
	Chunks   []uint32
}

// Since returns the chunks that came after a cursor of an instance, and a
// channel that closes at the next change. Another instance's cursor counts as 0.
func (v *Version) Since(instance string, cursor uint32) (Gained, <-chan struct{}) {
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

// Verify checks the digest over the whole file once every chunk is here.
func (v *Version) Verify() error {
	v.mu.Lock()
	missing := len(v.held) - v.count
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
	var whole manifest.Digest
	hash.Sum(whole[:0])
	if whole != v.Manifest.FileDigest {
		return fmt.Errorf("version %s: the digest over the whole is %s, the manifest says %s", v.ID.Short(), whole.Short(), v.Manifest.FileDigest.Short())
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

// WriteAll writes the whole file in order.
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
