package admission

import "github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"

// MostSilent is how many loaders may give no answer to one request: each takes 50 ms of a
// time to the first byte of some hundred.
const MostSilent = 3

// mostLimited is how many engines may say that their limit is used up, in parts of the
// questions: none of these costs the request a question, but where most engines of a large
// fleet name limits a request would ask hundreds, a millisecond or two each.
const mostLimited = 2

// Search is one request's search for a place: how many engines may be asked, and with which
// limits. Service and Request must be set.
type Search struct {
	Service Service
	Request Request
	// Ways vary the search; the zero value means StandingWays.
	Ways Ways

	// denied and silent count the engines that gave no place and those that did not answer.
	denied, silent int
	// limited counts those whose limit is used up.
	limited int
	// spare says that one that gave none had a place.
	spare bool
}

// ways returns those of the search.
func (s *Search) ways() Ways {
	if s.Ways == (Ways{}) {
		return StandingWays()
	}
	return s.Ways
}

// Over reports whether no further engine is to be asked.
func (s *Search) Over() bool {
	return s.denied+s.silent >= s.ways().Questions || s.silent >= MostSilent || s.TooLimited()
}

// TooLimited reports whether so many engines have used up their limits that no further one is
// to be asked.
func (s *Search) TooLimited() bool { return s.limited >= mostLimited*s.ways().Questions }

// Limit is how loaded the next engine may be. Only says that there is no other one.
func (s *Search) Limit(only bool) places.Limit {
	last := only || s.denied+s.silent+1 >= s.ways().Questions
	return s.ways().Limit(s.Service, s.Request, s.denied, last)
}

// Denied takes that an engine gave no place, and its load.
func (s *Search) Denied(load places.Load) {
	s.denied++
	s.spare = s.spare || load.Running+load.Waiting < s.Service.Places
}

// Limited takes that an engine's limit is used up.
func (s *Search) Limited() { s.limited++ }

// Silent takes that an engine's loader did not answer.
func (s *Search) Silent() { s.silent++ }

// Asked returns how many engines gave no place and how many did not answer.
func (s *Search) Asked() (denied, silent int) { return s.denied, s.silent }

// AllFull reports whether all engines that gave no place had none.
func (s *Search) AllFull() bool { return !s.spare }
