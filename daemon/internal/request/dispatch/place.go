package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// freshNews is how old news of a load may be to stand for a loader that does not
// answer. While weights fill a host's link its answers take up to 50 ms, and its
// news is up to 110 ms old; of a host that is cut off it grows older.
const freshNews = 150 * time.Millisecond

// Asked is a question for a place at an engine and its answer.
type Asked struct {
	Upstream string        `json:"upstream"`
	Given    bool          `json:"given"`
	Running  int           `json:"running"`
	Waiting  int           `json:"waiting"`
	Most     int           `json:"most"`  // waiting
	Taken    int           `json:"taken"` // most that run or wait
	Took     time.Duration `json:"took"`
	// Wait is after what time to ask again, where the engine's limit is used up.
	Wait  time.Duration `json:"wait,omitempty"`
	Cause string        `json:"cause,omitempty"`
}

// place chooses an upstream. At an engine it asks the loader there for a place,
// and elsewhere where there is none. A loader that does not answer leaves it to the
// news of its engine's load; one that has sent no news of late either is passed
// over, because its host may be cut off. So is an upstream whose limit is used up, which
// does not count among those that are asked: where none is left after it, the others are asked
// once more, because the one that was to be the last had no say.
func (q *request) place(ctx context.Context) (balance.Choice, error) {
	query := q.query()
	candidates, err := q.candidates()
	if err != nil {
		return balance.Choice{}, err
	}
	search := admission.Search{Request: q.standing()}
	limited, again := false, false
	for !search.Done() {
		choice, ok := q.Pool.Choose(candidates, query)
		if !ok && limited && !again {
			again, query.Tried = true, q.tried
			continue
		}
		if !ok {
			break
		}
		choice, through, err := q.tryFor(ctx, choice, &search, query.Lasts)
		if through || err != nil {
			return choice, err
		}
		limited = limited || q.Pool.Holds(choice.Upstream.ID)
		query.Tried = append(query.Tried[:len(query.Tried):len(query.Tried)], choice.Upstream.ID)
	}
	denied, silent := search.Counts()
	if denied == 0 && search.LimitsExhausted() {
		return balance.Choice{}, q.noneFit(candidates)
	}
	if denied == 0 {
		return q.placeByNews(candidates)
	}
	q.Pace.Full(q.service.Name, search.AllFull())
	return balance.Choice{}, fmt.Errorf("%w: no place at %d engines, %d more did not answer", errOverloaded, denied, silent)
}

// tryFor tries for a place at a chosen upstream, and returns whether the request may go there.
// Where it may not, without an error, another one is to be chosen.
func (q *request) tryFor(ctx context.Context, choice balance.Choice, search *admission.Search, lasts time.Duration) (balance.Choice, bool, error) {
	if !q.hasLoader(choice) {
		return q.unasked(choice, DoorOwn)
	}
	search.Service = q.engines(choice, q.view.Objective(q.service.Name))
	limit := search.Limit(choice.Candidates == 1)
	if limit != admission.Unlimited {
		limit.Lasts = lasts
	}
	load, given, err := q.ask(ctx, choice, limit)
	switch {
	case given:
		q.Pace.Full(q.service.Name, load.Running+load.Waiting >= choice.Upstream.Places)
		q.through(choice, DoorLoader)
		return choice.WithLoad(load.Running, load.Waiting), true, nil
	case err != nil && choice.Told && choice.Age < freshNews:
		return q.unasked(choice, DoorNews)
	case err != nil:
		search.AddUnresponsive()
	case load.Wait > 0:
		search.AddLimited()
		q.Pool.Hold(choice.Upstream.ID, load.Wait)
	default:
		search.AddDenied(load)
	}
	choice.Done(balance.Abandoned)
	return choice, false, nil
}

// placeByNews chooses an upstream by what is known of loads, where no loader
// answered.
func (q *request) placeByNews(candidates []*provider.Upstream) (balance.Choice, error) {
	query := q.query()
	for {
		choice, ok := q.Pool.Choose(candidates, query)
		if !ok {
			return choice, q.noneFit(candidates)
		}
		choice, through, err := q.unasked(choice, DoorNews)
		if through || err != nil {
			return choice, err
		}
		query.Tried = append(query.Tried[:len(query.Tried):len(query.Tried)], choice.Upstream.ID)
	}
}

// noneFit says why no upstream can be chosen.
func (q *request) noneFit(candidates []*provider.Upstream) error {
	if wait, held := q.Pool.Held(candidates); held {
		return fmt.Errorf("%w, soonest to be asked again in %s", errLimited, wait.Round(time.Millisecond))
	}
	return errNoneFit
}

// hasLoader reports whether there is a loader to ask for a place. Those are asked as well
// whose loads this router does not follow: sent to unasked, their engines may be full.
func (q *request) hasLoader(choice balance.Choice) bool {
	return q.AskPlace != nil && q.service.Engine != nil && choice.Upstream.Places > 0
}

// unasked lets the request through to an upstream that was chosen by news of loads, unless the
// request would be late there: refused at once it may come back, and let in it would be late
// and delay others. Where the upstream's limit leaves no room, another one is to be chosen.
func (q *request) unasked(choice balance.Choice, door Door) (balance.Choice, bool, error) {
	if q.overloaded(choice) {
		choice.Done(balance.Abandoned)
		return choice, false, fmt.Errorf("%w: at the best, %s, %d wait and %d must end first", errOverloaded, choice.Upstream.ID, choice.Waiting, choice.Beyond)
	}
	if wait, ok := q.allowed(choice, door); !ok {
		q.Pool.Hold(choice.Upstream.ID, wait)
		choice.Done(balance.Abandoned)
		return choice, false, nil
	}
	q.through(choice, door)
	return choice, true, nil
}

// allowed asks for this router's share of the limit of an upstream at which no loader counts.
func (q *request) allowed(choice balance.Choice, door Door) (time.Duration, bool) {
	if q.Allow == nil {
		return 0, true
	}
	return q.Allow(choice.Upstream, door)
}

// through notes what lets the request through to an upstream.
func (q *request) through(choice balance.Choice, door Door) {
	if q.doors == nil {
		q.doors = map[string]Door{}
	}
	q.doors[choice.Upstream.ID] = door
}

func (q *request) overloaded(choice balance.Choice) bool {
	if q.service.Engine == nil || choice.Upstream.Places == 0 {
		return false
	}
	known := q.engines(choice, q.route.Objective)
	known.Saturation = q.Pace.Full(q.service.Name, choice.Running+choice.Waiting+1 > choice.Upstream.Places)
	return admission.Overloaded(known, q.standing(), places.Load{Running: choice.Running, Waiting: choice.Waiting})
}

// ask asks for a place and notes the answer.
func (q *request) ask(ctx context.Context, choice balance.Choice, limit places.Limit) (places.Load, bool, error) {
	started := clock.Now()
	load, given, err := q.AskPlace(ctx, choice.Upstream, limit)
	asked := Asked{
		Upstream: choice.Upstream.ID, Given: given, Running: load.Running, Waiting: load.Waiting,
		Most: limit.Waiting, Taken: limit.Taken, Took: clock.Since(started), Wait: load.Wait,
	}
	if err != nil {
		asked.Cause = err.Error()
	} else {
		q.Pool.TellLoad(choice.Upstream.ID, load.Running, load.Waiting, load.Loading)
	}
	q.story.Asked = append(q.story.Asked, asked)
	return load, given, err
}

// engines is what is known of the service's engines, as far as it counts for admission
// against some objective.
func (q *request) engines(choice balance.Choice, objective time.Duration) admission.Service {
	return admission.Service{
		Places: choice.Upstream.Places, ReadTime: q.readTime(), PlaceInterval: q.placeEvery(choice),
		Objective: objective, Saturation: q.Pace.Share(q.service.Name),
	}
}

// standing is what counts of the request for admission.
func (q *request) standing() admission.Request {
	return admission.Request{Rank: q.rank, Retry: q.story.Returned, Sent: q.sent > 0}
}

// lasts is how long the request is likely to hold a place.
func (q *request) lasts() time.Duration {
	known := admission.Service{ReadTime: q.readTime()}
	return admission.HoldTime(known, q.Pace.Occupied(q.service.Name), q.hint(), q.usualAnswer())
}

// readTime is how long an engine takes to read a usual prompt, 0 where that is
// not known.
func (q *request) readTime() time.Duration {
	rate := q.service.Engine.PromptRate
	if rate <= 0 {
		return 0
	}
	prompt := helpers.OrDefault(q.service.Engine.UsualPrompt, usualPrompt)
	return time.Duration(prompt / rate * float64(time.Second))
}

// placeEvery is how often one of a full engine's places is freed.
func (q *request) placeEvery(choice balance.Choice) time.Duration {
	return q.Pace.Occupied(q.service.Name) / time.Duration(choice.Upstream.Places)
}
