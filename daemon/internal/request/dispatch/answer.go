package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// maxWhole bounds an answer that is held until it is whole. A longer one is passed on as it
// comes, so that callers who read slowly hold little.
const maxWhole = 64 << 10

// answer passes an upstream's answer on. It reports false where nothing went
// out and the budget was charged for another send.
func (q *request) answer(ctx context.Context, choice balance.Choice, response *http.Response) bool {
	if q.route.Mode == provider.ModeStream && response.StatusCode/100 == 2 {
		return q.stream(ctx, choice, response)
	}
	return q.whole(choice, response)
}

// whole reads an answer to its end before a byte of it goes out, so that the request can be
// sent again where it breaks off. Of a long one that is given up.
func (q *request) whole(choice balance.Choice, response *http.Response) bool {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWhole))
	if err == nil && len(body) == maxWhole {
		q.passLong(choice, response, body)
		return true
	}
	if err != nil {
		choice.Done(q.outcomeOf(exchange.Unknown))
		q.amendTry(choice, q.answering, fmt.Errorf("the answer broke off: %w", err))
		if q.Context().Err() == nil && q.mayRepeat(exchange.Unknown) {
			return false
		}
		q.giveUp(exchange.Result{Kind: exchange.Unknown, Err: err})
		return true
	}
	answer := wholeAnswer{response, body}
	if response.StatusCode < http.StatusInternalServerError {
		choice.Done(balance.Served)
		q.passWhole(answer)
		return true
	}
	choice.Done(balance.Failed)
	if q.mayRepeat(exchange.Unknown) {
		q.amendTry(choice, q.answering, fmt.Errorf("status %d", response.StatusCode))
		q.failure = &answer
		return false
	}
	q.passWhole(answer)
	return true
}

// passLong passes an answer on as it comes, after its first part. One that breaks off is cut,
// so that it does not look complete.
func (q *request) passLong(choice balance.Choice, response *http.Response, first []byte) {
	q.passHead(response)
	if response.ContentLength >= 0 {
		q.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	q.writer.WriteHeader(response.StatusCode)
	_, err := q.writer.Write(first)
	if err == nil {
		_, err = io.Copy(q.writer, response.Body)
	}
	if err != nil {
		choice.Done(q.outcomeOf(exchange.Unknown))
		q.amendTry(choice, q.answering, fmt.Errorf("the answer broke off: %w", err))
		q.breakOff(err)
	}
	outcome := balance.Served
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = balance.Failed
	}
	choice.Done(outcome)
	q.endWhole(response.StatusCode)
}

// breakOff ends the connection without a whole answer, so that one that has begun does not look
// complete.
func (q *request) breakOff(cause error) {
	if q.Context().Err() != nil {
		q.end(EndLeft, 0, "the caller left")
	} else {
		q.end(EndCut, 0, cause.Error())
	}
	panic(http.ErrAbortHandler)
}

// wholeAnswer is an upstream's answer and its body, to the end.
type wholeAnswer struct {
	*http.Response
	body []byte
}

// passWhole passes a whole answer on.
func (q *request) passWhole(answer wholeAnswer) {
	q.passHead(answer.Response)
	q.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	q.writer.WriteHeader(answer.StatusCode)
	_, _ = q.writer.Write(answer.body)
	q.endWhole(answer.StatusCode)
}

// endWhole ends a request that an upstream has answered whole. A failure clears no content:
// the upstream may have given it without running the request.
func (q *request) endWhole(status int) {
	if q.Whole != nil && status/100 == 2 {
		q.Whole(q.story.Content)
	}
	ending := EndServed
	if status >= http.StatusBadRequest {
		ending = EndFailed
	}
	q.end(ending, status, "")
}

func (q *request) passHead(response *http.Response) {
	header := q.writer.Header()
	exchange.RemoveHopByHopHeaders(response.Header)
	for name, values := range response.Header {
		header[name] = values
	}
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	q.story.FirstByte = clock.Now()
}

// giveUp ends a request that is not tried again.
func (q *request) giveUp(result exchange.Result) {
	cause := "no cause"
	if result.Err != nil {
		cause = result.Err.Error()
	}
	if result.Kind.NotRun() && q.neverRan() {
		q.refuse(whyNotRun(result.Kind), cause)
		return
	}
	q.fail(http.StatusBadGateway, EndUnknown, cause)
}

// neverRan reports whether no send so far can have run.
func (q *request) neverRan() bool {
	for _, try := range q.story.Tries {
		if try.Fate == exchange.Unknown.String() || try.Fate == exchange.Answered.String() {
			return false
		}
	}
	return true
}

// timeOut ends a request whose time is over.
func (q *request) timeOut(result exchange.Result) {
	cause := "the time is over"
	if result.Err != nil {
		cause += ": " + result.Err.Error()
	}
	if q.neverRan() {
		q.refuse(admission.EnginesFull, cause)
		return
	}
	q.fail(http.StatusGatewayTimeout, EndTimedOut, cause)
}

// whyNotRun is why a request that did not run at an upstream is refused.
func whyNotRun(fate exchange.Kind) admission.Cause {
	if fate == exchange.Refused {
		return admission.EnginesFull
	}
	return admission.NotReady
}

// refuse answers a request that has not run: it says so, and when to come back.
func (q *request) refuse(why admission.Cause, cause string) {
	if !q.neverRan() {
		q.fail(http.StatusBadGateway, EndUnknown, cause)
		return
	}
	q.Callers.RecordRefusal()
	wait := admission.RetryAfter(why, rand.Float64())
	q.story.RetryAfter = wait
	q.writer.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	q.fail(http.StatusServiceUnavailable, EndRefused, cause)
}

// reject answers a request that is wrong.
func (q *request) reject(status int, cause string) {
	q.fail(status, EndRejected, cause)
}

// fail writes an answer of our own, which never carries a signature, or the upstream's own
// failure where one was kept while another upstream was tried.
func (q *request) fail(status int, ending Ending, cause string) {
	if q.failure != nil {
		q.passWhole(*q.failure)
		q.story.Cause = "none answered after the failure: " + cause
		return
	}
	header := q.writer.Header()
	if q.story.ID != "" {
		header.Set(q.Headers.RequestID, q.story.ID)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(ending) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	q.writer.WriteHeader(status)
	_, _ = io.WriteString(q.writer, body)
	q.end(ending, status, cause)
}

func (q *request) end(ending Ending, status int, cause string) {
	q.story.Outcome, q.story.Status, q.story.Cause = ending, status, cause
}

// amendTry adds to a try why its answer was not passed on.
func (q *request) amendTry(choice balance.Choice, number int, err error) {
	if errors.Is(err, io.EOF) {
		return
	}
	try := &q.story.Tries[number]
	q.broken(try, err)
	q.tellBroken(choice, *try, err)
}
