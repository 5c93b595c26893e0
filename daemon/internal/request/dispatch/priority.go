package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// This file ranks requests in the queues of upstreams.

const (
	// priorityClasses is the number of classes in an upstream's queue.
	priorityClasses = 10
	// defaultAnswerTokens is the assumed mean length of answers if the configuration declares none.
	defaultAnswerTokens = 92.0
	// maxHintTokens bounds the lengths of prompt and answer that a caller may state.
	maxHintTokens = 1e6
	// hintWeight is the time by which each expected answer token raises the estimate. It is less
	// than the token takes, because the stated lengths are often far off.
	hintWeight = 2 * time.Millisecond
	// priorityStep is the estimated time that one priority class spans.
	priorityStep = 60 * time.Millisecond
)

// queuePriority returns the request's class in an upstream's queue, 0 first. More urgent
// ranks go first, and within a rank the requests that are likely to finish soon, so that
// most requests start early. The queue itself ages its requests, so none starves.
func (q *request) queuePriority() int {
	if q.service.Engine == nil || q.service.Engine.PromptRate <= 0 {
		return -1
	}
	promptTokens := q.promptTokens()
	if promptTokens == 0 {
		return -1
	}
	estimate := promptTokens/q.service.Engine.PromptRate + q.answerTokens()*hintWeight.Seconds()
	size := min(int(estimate/priorityStep.Seconds()), priorityClasses-1)
	if q.caller.Ranks > 0 {
		return spreadClass(q.rank, q.ranks, size)
	}
	return priorityClass(q.rank, q.ranks, size)
}

// priorityClass divides the classes among the ranks, and those of a rank by size.
func priorityClass(rank, ranks, size int) int {
	ranks = min(ranks, priorityClasses)
	rank = min(rank, ranks-1)
	perRank := priorityClasses / ranks
	return rank*perRank + size*perRank/priorityClasses
}

// spreadClass is priorityClass for services with many ranks: it uses all classes, so that most of six
// ranks keep an order by size.
func spreadClass(rank, ranks, size int) int {
	ranks = min(ranks, priorityClasses)
	rank = min(rank, ranks-1)
	first := rank * priorityClasses / ranks
	width := (rank+1)*priorityClasses/ranks - first
	return first + size*width/priorityClasses
}

// promptTokens returns the length of the prompt that the caller states, 0 if it states none.
func (q *request) promptTokens() float64 {
	prompt, _, _ := strings.Cut(q.Header.Get(q.Headers.Tokens), ",")
	count, err := strconv.ParseFloat(prompt, 64)
	if err != nil || !(count > 0 && count <= maxHintTokens) {
		return 0
	}
	return count
}

// answerTokens returns the number of answer tokens that the caller expects, or the mean if it
// states none.
func (q *request) answerTokens() float64 {
	hint, err := strconv.ParseFloat(q.Header.Get(q.Headers.LengthHint), 64)
	if err != nil || !(hint > 0 && hint <= maxHintTokens) {
		return q.meanAnswerTokens()
	}
	return hint
}

func (q *request) meanAnswerTokens() float64 {
	return helpers.OrDefault(q.service.Engine.MeanAnswerTokens, defaultAnswerTokens)
}
