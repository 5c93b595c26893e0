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

// compareRanks orders names of one key by their rank, the first one first.
func compareRanks(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// Rank returns the names sorted by descending score for the key.
func Rank(key string, names []string) []string {
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name, Score(key, name)}
	}
	slices.SortFunc(all, compareRanks)
	ranked := make([]string, len(all))
	for i, s := range all {
		ranked[i] = s.name
	}
	return ranked
}

// First returns the name with the highest score for the key, or "" if there are no names.
func First(key string, names []string) string {
	var best scored
	for _, name := range names {
		if other := (scored{name, Score(key, name)}); best.name == "" || compareRanks(other, best) < 0 {
			best = other
		}
	}
	return best.name
}

// Position returns how many of the other names rank before name for the key. The others may include the
// name itself.
func Position(key, name string, others []string) int {
	own, position := scored{name, Score(key, name)}, 0
	for _, other := range others {
		if compareRanks(scored{other, Score(key, other)}, own) < 0 {
			position++
		}
	}
	return position
}
