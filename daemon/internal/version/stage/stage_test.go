package stage

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/api/manifest"
)

const chunkBytes = 4

func put(s *Stage, v *Version, index int, data []byte) error {
	_, err := s.Put(v, index, data)
	return err
}

// build returns the manifest of a file and its digest.
func build(t require.TestingT, data string) (*manifest.Manifest, manifest.Digest) {
	m, err := manifest.Build(bytes.NewReader([]byte(data)), int64(len(data)), chunkBytes)
	require.NoError(t, err)
	_, id, err := m.Encode()
	require.NoError(t, err)
	return m, id
}

func chunkOf(m *manifest.Manifest, data string, index int) []byte {
	offset, length := m.ChunkRange(index)
	return []byte(data[offset : offset+length])
}

func TestPutRejectsCorruptChunks(t *testing.T) {
	s := &Stage{}
	m, id := build(t, "aaaabbbbcc")
	v, err := s.Open(id, m, nil)
	require.NoError(t, err)
	require.ErrorIs(t, put(s, v, 0, []byte("aaab")), ErrCorrupt)
	require.ErrorIs(t, put(s, v, 0, []byte("aaa")), ErrCorrupt)
	require.ErrorIs(t, put(s, v, 2, []byte("aaaa")), ErrCorrupt)
	require.Zero(t, s.Bytes())
	require.ErrorContains(t, v.Verify(), "3 chunks are missing")
	for i := range m.Chunks {
		require.NoError(t, put(s, v, i, chunkOf(m, "aaaabbbbcc", i)))
		require.NoError(t, put(s, v, i, chunkOf(m, "aaaabbbbcc", i)), "a repeated put is ignored")
	}
	require.False(t, v.Verified(), "a complete version is not verified yet")
	require.NoError(t, v.Verify())
	require.True(t, v.Verified())
	var assembled bytes.Buffer
	require.NoError(t, v.WriteAll(&assembled))
	assert.Equal(t, "aaaabbbbcc", assembled.String())
	s.Drop(id)
	require.False(t, v.Verified())
	require.ErrorIs(t, v.WriteAll(&assembled), ErrDropped)
	require.ErrorIs(t, put(s, v, 0, []byte("aaaa")), ErrDropped)
}

func TestVerifyRejectsManifestWithWrongFileDigest(t *testing.T) {
	s := &Stage{}
	m, id := build(t, "aaaabbbb")
	m.FileDigest = manifest.Digest{1}
	v, err := s.Open(id, m, nil)
	require.NoError(t, err)
	require.NoError(t, put(s, v, 0, []byte("aaaa")))
	require.NoError(t, put(s, v, 1, []byte("bbbb")))
	require.ErrorContains(t, v.Verify(), "file digest is")
	require.False(t, v.Verified())
}

func TestVersionsShareChunks(t *testing.T) {
	s := &Stage{}
	one, oneID := build(t, "aaaabbbb")
	two, twoID := build(t, "aaaacccc")
	v1, _ := s.Open(oneID, one, nil)
	require.NoError(t, put(s, v1, 0, []byte("aaaa")))
	v2, _ := s.Open(twoID, two, nil)
	assert.True(t, v2.Has(0), "a new version shares stored chunks")
	require.NoError(t, put(s, v2, 1, []byte("cccc")))
	assert.Equal(t, int64(8), s.Bytes())
	s.Drop(oneID)
	require.NoError(t, v2.Verify(), "dropping one version keeps shared chunks of the other")
	assert.Equal(t, int64(8), s.Bytes())
	s.Drop(twoID)
	assert.Zero(t, s.Bytes())
}

func TestOpenDropsUnwantedVersionsOverBudget(t *testing.T) {
	s := &Stage{MaxBytes: 16}
	one, oneID := build(t, "aaaabbbb")
	two, twoID := build(t, "ccccdddd")
	three, threeID := build(t, "eeeeffff")
	_, err := s.Open(oneID, one, nil)
	require.NoError(t, err)
	_, err = s.Open(twoID, two, []manifest.Digest{oneID})
	require.NoError(t, err)
	_, err = s.Open(threeID, three, []manifest.Digest{oneID, twoID})
	require.ErrorIs(t, err, ErrOverBudget)
	require.ErrorContains(t, err, "need 24 bytes, the budget is 16", "the error states the required budget")
	_, err = s.Open(threeID, three, []manifest.Digest{twoID})
	require.NoError(t, err)
	assert.Nil(t, s.Find(oneID), "the unwanted version is dropped")
	assert.NotNil(t, s.Find(twoID))
}

func TestGainedSinceReturnsChunksAfterCursor(t *testing.T) {
	s := &Stage{}
	m, id := build(t, "aaaabbbbaaaa")
	v, _ := s.Open(id, m, nil)
	first, changed := v.GainedSince("", 0)
	assert.Empty(t, first.Chunks)
	require.NoError(t, put(s, v, 0, []byte("aaaa")))
	<-changed
	next, _ := v.GainedSince(first.Instance, first.Cursor)
	assert.Equal(t, []uint32{0, 2}, next.Chunks, "equal chunks are gained together")
	other, _ := v.GainedSince("another", 2)
	assert.Equal(t, []uint32{0, 2}, other.Chunks, "a cursor of another instance counts as 0")
}

// Random sequences of open, put and drop must never make a verified version
// readable that differs from the declared file, nor exceed the budget.
func TestRandomOperationsServeOnlyDeclaredVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := []string{"aaaabbbbcccc", "aaaaddddcccc", "eeeeddddaaaa", "ff"}
		s := &Stage{MaxBytes: int64(rapid.SampledFrom([]int{0, 12, 20}).Draw(t, "budget"))}
		open := map[string]*Version{}
		pick := func(t *rapid.T) string { return rapid.SampledFrom(files).Draw(t, "file") }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				file := pick(t)
				m, id := build(t, file)
				if v, err := s.Open(id, m, nil); err == nil {
					open[file] = v
				}
			},
			"put": func(t *rapid.T) {
				v := open[pick(t)]
				from := pick(t)
				if v == nil {
					return
				}
				m, _ := build(t, from)
				index := rapid.IntRange(0, len(v.Manifest.Chunks)-1).Draw(t, "index")
				other := rapid.IntRange(0, len(m.Chunks)-1).Draw(t, "other")
				data := chunkOf(m, from, other)
				err := put(s, v, index, data)
				if m.Chunks[other] != v.Manifest.Chunks[index] {
					require.ErrorIs(t, err, ErrCorrupt)
				}
			},
			"drop": func(t *rapid.T) {
				_, id := build(t, pick(t))
				s.Drop(id)
			},
			"": func(t *rapid.T) {
				total := map[manifest.Digest]int{}
				for file, v := range open {
					if s.Find(v.ID) != v {
						require.False(t, v.Verified())
						continue
					}
					for i, digest := range v.Manifest.Chunks {
						require.Equal(t, s.Chunk(digest) != nil, v.Has(i))
						total[digest] = len(s.Chunk(digest))
					}
					if v.Verify() == nil {
						var assembled bytes.Buffer
						require.NoError(t, v.WriteAll(&assembled))
						require.Equal(t, file, assembled.String())
					}
				}
				sum := 0
				for _, n := range total {
					sum += n
				}
				require.Equal(t, int64(sum), s.Bytes())
				if s.MaxBytes > 0 {
					require.LessOrEqual(t, s.Bytes(), s.MaxBytes)
				}
			},
		})
	})
}
