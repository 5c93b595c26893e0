package admission

import "time"

const (
	// ShortestReturn is the soonest that a refused caller is told to come back.
	ShortestReturn = 1200 * time.Millisecond
	// LongestReturn is the latest.
	LongestReturn = 1900 * time.Millisecond
	// mostWait is the part of their time, as a divisor, for which callers wait as told.
	mostWait = 3
)

// Back is when a refused caller is to come back, by a number drawn from 0 to 1: refused
// callers are not to come back together.
func Back(drawn float64) time.Duration {
	return ShortestReturn + time.Duration(drawn*float64(LongestReturn-ShortestReturn))
}
