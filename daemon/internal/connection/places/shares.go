package places

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/fairshare"
)

// answerWeight is the engine time of an answer token relative to a prompt token.
const answerWeight = 10

// sharesQuery returns what the division of scarce places needs to know of a request.
func (r *Request) sharesQuery() fairshare.Query {
	return fairshare.Query{
		Account: r.Caller.Account, Rank: r.Caller.Rank, Ranks: r.Caller.Ranks, Retry: r.Caller.Retry,
		First: r.Caller.Denied == 0, Last: r.Caller.Last,
		Size: float64(r.Size.PromptTokens) + answerWeight*float64(r.Size.AnswerTokens),
	}
}

// divide returns why the division of scarce places denies a request, and a function that records
// that the request was granted its place. The caller holds mu.
func (l *Ledger) divide(req Request, load EngineLoad, fits bool, now time.Time) (reason fairshare.Reason, granted func()) {
	query := req.sharesQuery()
	if !l.shares.Applies(query, now) {
		return fairshare.Granted, func() {}
	}
	room := fairshare.Room{Fits: fits, InUse: load.Running + load.Waiting, Max: req.InUse}
	return l.shares.Decide(query, room, now), func() { l.shares.Grant(query, room, now) }
}
