package manifest

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDecodeReturnsBuiltManifest(t *testing.T) {
	for _, size := range []int64{0, 1, 99, 100, 101, 1000} {
		data := bytes.Repeat([]byte("w"), int(size))
		m, err := Build(bytes.NewReader(data), size, 100)
		require.NoError(t, err)
		encoded, id, err := m.Encode()
		require.NoError(t, err)
		decoded, err := Decode(encoded, id)
		require.NoError(t, err, "size %d", size)
		assert.Equal(t, m.Size, decoded.Size)
		assert.Equal(t, m.FileDigest, decoded.FileDigest)
		total := int64(0)
		for i := range decoded.Chunks {
			offset, length := decoded.ChunkRange(i)
			assert.Equal(t, Sum(data[offset:offset+length]), decoded.Chunks[i])
			total += length
		}
		assert.Equal(t, size, total, "the chunks cover the file")
	}
}

func TestBuildRejectsTruncatedFile(t *testing.T) {
	_, err := Build(strings.NewReader("short"), 10, 4)
	require.ErrorContains(t, err, "read chunk at byte 4")
}

func TestDecodeRejectsInvalidManifests(t *testing.T) {
	zero := strings.Repeat("00", 32)
	tests := []struct{ name, data, want string }{
		{"not JSON", `{`, "decode manifest"},
		{"invalid file digest", `{"size":1,"chunkBytes":1,"whole":"x","chunks":""}`, "whole"},
		{"truncated chunk digest", `{"size":1,"chunkBytes":1,"whole":"` + zero + `","chunks":"abcd"}`, "do not fit"},
		{"too few chunks", `{"size":2,"chunkBytes":1,"whole":"` + zero + `","chunks":"` + zero + `"}`, "do not fit"},
		{"chunk of an empty file", `{"size":0,"chunkBytes":1,"whole":"` + zero + `","chunks":"` + zero + `"}`, "do not fit"},
		{"no chunk size", `{"size":1,"chunkBytes":0,"whole":"` + zero + `","chunks":"` + zero + `"}`, "do not fit"},
		{"overflow", `{"size":9223372036854775807,"chunkBytes":9223372036854775807,"whole":"` + zero + `","chunks":"` + zero + zero + `"}`, "do not fit"},
		{"too long", strings.Repeat(" ", MaxBytes+1), "more than"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode([]byte(test.data), Sum([]byte(test.data)))
			require.ErrorContains(t, err, test.want)
		})
	}
	_, err := Decode([]byte(`{}`), Digest{})
	require.ErrorContains(t, err, "corrupt")
}

// TestPlanChunkBytesBoundsCountAndSize guards against plans with too many or too small chunks.
func TestPlanChunkBytesBoundsCountAndSize(t *testing.T) {
	for _, size := range []int64{1, 16 << 20, 64 << 20, 5 << 30, 700 << 30} {
		chunk := PlanChunkBytes(size)
		assert.LessOrEqual(t, (size+chunk-1)/chunk, int64(TargetChunks))
		assert.GreaterOrEqual(t, chunk, int64(MinChunkBytes))
	}
}

// FuzzDecode checks that the chunks of every decoded manifest cover the file.
func FuzzDecode(f *testing.F) {
	m, _ := Build(strings.NewReader("some weights"), 12, 5)
	valid, _, _ := m.Encode()
	f.Add(valid)
	f.Add([]byte(`{"size":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data, Sum(data))
		if err != nil {
			return
		}
		total := int64(0)
		for i := range m.Chunks {
			offset, length := m.ChunkRange(i)
			require.Equal(t, total, offset)
			require.Positive(t, length)
			total += length
		}
		require.Equal(t, m.Size, total)
	})
}
