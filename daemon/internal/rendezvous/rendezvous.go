// Package rendezvous ranks names for a key by rendezvous hashing. Every process
// with the same set of names computes the same ranking, and adding or removing a
// name changes the first choice only of keys that rank this name first.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scored is a name and its score for a key.
type scored struct {
	name  string
	score uint64
}

// Score returns the hash of a key and a name; the highest score ranks first. The separator
// gives ("ab","c") and ("a","bc") different hashes.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Rank returns the names sorted by descending score for the key.
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

// First returns the name with the highest score for the key, or "" if there are no names.
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

// Position returns how many of the other names rank before name for the key. The others may include the
// name itself.
func Position(key, name string, others []string) int {
	score, position := Score(key, name), 0
	for _, other := range others {
		s := Score(key, other)
		if s > score || s == score && other < name {
			position++
		}
	}
	return position
}
