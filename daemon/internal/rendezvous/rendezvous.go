// Package rendezvous ranks names for a key by rendezvous hashing: every process
// that knows the same names gets the same ranking, and adding or removing a
// name moves only what ranks it first.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scored is a name with its hash for the key.
type scored struct {
	name  string
	score uint64
}

// Score hashes a key with a name; the highest score ranks first. The separator keeps
// ("ab","c") and ("a","bc") apart.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Rank returns the names sorted by their rank for the key, first choice first.
func Rank(key string, names []string) []string {
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name, Score(key, name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if byScore := cmp.Compare(b.score, a.score); byScore != 0 {
			return byScore
		}
		return cmp.Compare(a.name, b.name)
	})
	ranked := make([]string, len(all))
	for i, s := range all {
		ranked[i] = s.name
	}
	return ranked
}

// First returns the first choice for the key, or "" where there are no names.
func First(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		s := Score(key, name)
		if best == "" || s > bestScore || s == bestScore && name < best {
			best, bestScore = name, s
		}
	}
	return best
}
