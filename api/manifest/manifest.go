// Package manifest describes a version's weights as an ordered list of chunks.
//
// A version is named by the BLAKE3 digest of its manifest's bytes. The
// manifest names each chunk and the whole file by digest, so whoever holds the
// name can check every byte that arrives, whoever sent it. Chunks are named by
// content: two versions that share chunks share their transfers.
//
// The manifest is JSON with one long string of chunk digests. A binary form
// would be half the size, but at 500 chunks the JSON is 33 KB, and operators
// can read it.
package manifest

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/blake3"
)

// Sizes that Plan works with.
const (
	// TargetChunks is the number of chunks a version aims at: enough that the
	// ramp of a swarm, about log2(hosts)/chunks of the whole, is small.
	TargetChunks = 256
	// MinChunkBytes keeps the cost of a request per chunk small.
	MinChunkBytes = 64 << 10
	// MaxBytes bounds an encoded manifest.
	MaxBytes = 256 << 10
)

// Digest is a BLAKE3 digest.
type Digest [32]byte

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hex digits, for logs.
func (d Digest) Short() string { return d.String()[:12] }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// ParseDigest reads 64 hex digits.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return digest, fmt.Errorf("%q is not a digest of 64 hex digits", text)
	}
	copy(digest[:], raw)
	return digest, nil
}

// Sum returns the digest of data.
func Sum(data []byte) Digest { return blake3.Sum256(data) }

// Manifest describes one version's weights. Manifests made by Build or Decode
// are complete; treat them as read-only.
type Manifest struct {
	// Size is the length of the whole file in bytes.
	Size int64
	// ChunkBytes is the length of every chunk but the last.
	ChunkBytes int64
	// Whole is the digest over the whole file.
	Whole Digest
	// Chunks holds one digest per chunk, in file order.
	Chunks []Digest
}

// encoded is the manifest's form in JSON.
type encoded struct {
	Size       int64  `json:"size"`
	ChunkBytes int64  `json:"chunkBytes"`
	Whole      string `json:"whole"`
	Chunks     string `json:"chunks"` // all chunk digests in hex, one after the other
}

// PlanChunkBytes returns the chunk size for a file of the given size: a power
// of two that gives about TargetChunks chunks.
func PlanChunkBytes(size int64) int64 {
	chunk := int64(MinChunkBytes)
	for chunk*TargetChunks < size {
		chunk *= 2
	}
	return chunk
}

// Build reads a whole file and describes it. A chunkBytes of 0 takes the
// planned size.
func Build(r io.Reader, size, chunkBytes int64) (*Manifest, error) {
	if chunkBytes <= 0 {
		chunkBytes = PlanChunkBytes(size)
	}
	m := &Manifest{Size: size, ChunkBytes: chunkBytes}
	whole := blake3.New()
	buffer := make([]byte, chunkBytes)
	for offset := int64(0); offset < size; offset += chunkBytes {
		chunk := buffer[:min(chunkBytes, size-offset)]
		if _, err := io.ReadFull(r, chunk); err != nil {
			return nil, fmt.Errorf("read chunk at byte %d: %w", offset, err)
		}
		_, _ = whole.Write(chunk)
		m.Chunks = append(m.Chunks, Sum(chunk))
	}
	whole.Sum(m.Whole[:0])
	return m, nil
}

// ChunkRange returns the offset and length of a chunk in the whole file.
func (m *Manifest) ChunkRange(index int) (offset, length int64) {
	offset = int64(index) * m.ChunkBytes
	return offset, min(m.ChunkBytes, m.Size-offset)
}

// Encode returns the manifest's bytes and their digest, the version's name.
func (m *Manifest) Encode() ([]byte, Digest, error) {
	chunks := make([]byte, 0, len(m.Chunks)*len(Digest{}))
	for _, chunk := range m.Chunks {
		chunks = append(chunks, chunk[:]...)
	}
	data, err := json.Marshal(encoded{Size: m.Size, ChunkBytes: m.ChunkBytes, Whole: m.Whole.String(), Chunks: hex.EncodeToString(chunks)})
	if err != nil {
		return nil, Digest{}, fmt.Errorf("encode manifest: %w", err)
	}
	if len(data) > MaxBytes {
		return nil, Digest{}, fmt.Errorf("manifest of %d chunks takes %d bytes, more than %d; use larger chunks", len(m.Chunks), len(data), MaxBytes)
	}
	return data, Sum(data), nil
}

// errShape is returned for a manifest whose numbers do not fit together.
var errShape = errors.New("manifest: size, chunk size and chunk count do not fit together")

// Decode reads a manifest, checks that its bytes have the expected digest,
// and that its numbers fit together.
func Decode(data []byte, want Digest) (*Manifest, error) {
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("manifest takes %d bytes, more than %d", len(data), MaxBytes)
	}
	if got := Sum(data); got != want {
		return nil, fmt.Errorf("manifest is corrupt: its digest is %s, not %s", got.Short(), want.Short())
	}
	var e encoded
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("decode manifest: %w", err)
	}
	return e.manifest()
}

func (e *encoded) manifest() (*Manifest, error) {
	whole, err := ParseDigest(e.Whole)
	if err != nil {
		return nil, fmt.Errorf("manifest: whole: %w", err)
	}
	raw, err := hex.DecodeString(e.Chunks)
	if err != nil {
		return nil, fmt.Errorf("manifest: chunks: %w", err)
	}
	count := int64(len(raw) / len(Digest{}))
	if e.Size < 0 || e.ChunkBytes <= 0 || int64(len(raw)) != count*int64(len(Digest{})) {
		return nil, errShape
	}
	// Written so that no product can overflow.
	if (count == 0) != (e.Size == 0) || count > 0 && (e.Size-1)/e.ChunkBytes != count-1 {
		return nil, errShape
	}
	m := &Manifest{Size: e.Size, ChunkBytes: e.ChunkBytes, Whole: whole, Chunks: make([]Digest, count)}
	for i := range m.Chunks {
		copy(m.Chunks[i][:], raw[i*len(Digest{}):])
	}
	return m, nil
}
