package fairshare

import "time"

// recentFor is how long a rank counts after its last request. A router gets 23 requests a second, so
// a rank with 1 in 50 of the requests is absent for that long once in 100 times.
const recentFor = 10 * time.Second

// RecentRanks tracks which ranks of a service had requests recently, so that the others cost the
// present ones nothing. All ranks count as present at first. It is not safe for concurrent use.
type RecentRanks struct{ seen []time.Time }

// Add records a request and returns the position of its rank among the present ones, and their
// number.
func (r *RecentRanks) Add(rank, ranks int, now time.Time) (position, present int) {
	if len(r.seen) != ranks {
		r.seen = make([]time.Time, ranks)
		for i := range r.seen {
			r.seen[i] = now
		}
	}
	r.seen[rank] = now
	for i, seen := range r.seen {
		if now.Sub(seen) > recentFor {
			continue
		}
		present++
		if i < rank {
			position++
		}
	}
	return position, present
}
