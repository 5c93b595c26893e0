// Package manifest describes the weights of a version as an ordered list of chunks.
//
// A version is identified by the BLAKE3 digest of its encoded manifest. The
// manifest contains the digests of each chunk and of the complete file, so a
// receiver that knows the version's digest can verify data from an untrusted
// sender. Chunks are content addressed: versions with equal chunks share them.
//
// The encoding is JSON with the chunk digests in a single string. A binary
// encoding would be half the size but not readable by operators.
package manifest

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/blake3"
)

// Sizes of chunks and manifests.
const (
	// TargetChunks is the planned number of chunks of a version. The start-up phase of
	// a swarm takes about log2(hosts)/chunks of the transfer time, so more chunks
	// shorten it.
	TargetChunks = 256
	// MinChunkBytes limits the overhead of one request per chunk.
	MinChunkBytes = 64 << 10
	// MaxBytes is the maximum size of an encoded manifest.
	MaxBytes = 256 << 10
)

// Digest is a BLAKE3 digest.
type Digest [32]byte

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hex digits, for use in logs.
func (d Digest) Short() string { return d.String()[:12] }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// ParseDigest parses a digest in hex.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return digest, fmt.Errorf("%q is not a digest of 64 hex digits", text)
	}
	copy(digest[:], raw)
	return digest, nil
}

// Sum returns the BLAKE3 digest of data.
func Sum(data []byte) Digest { return blake3.Sum256(data) }

// Manifest describes the weights of one version. Manifests from Build or Decode
// are valid and must be treated as read-only.
type Manifest struct {
	// Size is the size of the file in bytes.
	Size int64
	// ChunkBytes is the size of all chunks but the last.
	ChunkBytes int64
	// FileDigest is the digest of the complete file.
	FileDigest Digest
	// Chunks holds the digests of the chunks in file order.
	Chunks []Digest
}

// encoded is the JSON encoding of a Manifest.
type encoded struct {
	Size       int64  `json:"size"`
	ChunkBytes int64  `json:"chunkBytes"`
	FileDigest string `json:"whole"`
	Chunks     string `json:"chunks"` // concatenated chunk digests in hex
}

// PlanChunkBytes returns the chunk size for a file of the given size: the smallest
// power of two, from MinChunkBytes, that gives at most TargetChunks chunks.
func PlanChunkBytes(size int64) int64 {
	chunk := int64(MinChunkBytes)
	for chunk*TargetChunks < size {
		chunk *= 2
	}
	return chunk
}

// Build reads a file and returns its manifest. A chunkBytes of 0 selects the size
// from PlanChunkBytes.
func Build(r io.Reader, size, chunkBytes int64) (*Manifest, error) {
	if chunkBytes <= 0 {
		chunkBytes = PlanChunkBytes(size)
	}
	m := &Manifest{Size: size, ChunkBytes: chunkBytes}
	fileHash := blake3.New()
	buffer := make([]byte, chunkBytes)
	for offset := int64(0); offset < size; offset += chunkBytes {
		chunk := buffer[:min(chunkBytes, size-offset)]
		if _, err := io.ReadFull(r, chunk); err != nil {
			return nil, fmt.Errorf("read chunk at byte %d: %w", offset, err)
		}
		_, _ = fileHash.Write(chunk)
		m.Chunks = append(m.Chunks, Sum(chunk))
	}
	fileHash.Sum(m.FileDigest[:0])
	return m, nil
}

// ChunkRange returns the offset and length of a chunk in the file.
func (m *Manifest) ChunkRange(index int) (offset, length int64) {
	offset = int64(index) * m.ChunkBytes
	return offset, min(m.ChunkBytes, m.Size-offset)
}

// Encode returns the encoded manifest and its digest, which identifies the version.
func (m *Manifest) Encode() ([]byte, Digest, error) {
	chunks := make([]byte, 0, len(m.Chunks)*len(Digest{}))
	for _, chunk := range m.Chunks {
		chunks = append(chunks, chunk[:]...)
	}
	data, err := json.Marshal(encoded{Size: m.Size, ChunkBytes: m.ChunkBytes, FileDigest: m.FileDigest.String(), Chunks: hex.EncodeToString(chunks)})
	if err != nil {
		return nil, Digest{}, fmt.Errorf("encode manifest: %w", err)
	}
	if len(data) > MaxBytes {
		return nil, Digest{}, fmt.Errorf("manifest of %d chunks takes %d bytes, more than %d; use larger chunks", len(m.Chunks), len(data), MaxBytes)
	}
	return data, Sum(data), nil
}

// errInconsistent is returned for a manifest whose sizes and chunk count contradict each
// other.
var errInconsistent = errors.New("manifest: size, chunk size and chunk count do not fit together")

// Decode decodes a manifest. It checks that the data has the expected digest and
// that the sizes and the chunk count are consistent.
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
	fileDigest, err := ParseDigest(e.FileDigest)
	if err != nil {
		return nil, fmt.Errorf("manifest: whole: %w", err)
	}
	raw, err := hex.DecodeString(e.Chunks)
	if err != nil {
		return nil, fmt.Errorf("manifest: chunks: %w", err)
	}
	count := int64(len(raw) / len(Digest{}))
	if e.Size < 0 || e.ChunkBytes <= 0 || int64(len(raw)) != count*int64(len(Digest{})) {
		return nil, errInconsistent
	}
	// Division instead of multiplication avoids an overflow.
	if (count == 0) != (e.Size == 0) || count > 0 && (e.Size-1)/e.ChunkBytes != count-1 {
		return nil, errInconsistent
	}
	m := &Manifest{Size: e.Size, ChunkBytes: e.ChunkBytes, FileDigest: fileDigest, Chunks: make([]Digest, count)}
	for i := range m.Chunks {
		copy(m.Chunks[i][:], raw[i*len(Digest{}):])
	}
	return m, nil
}
