package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// maxBuffered is the size in bytes below which a response is buffered completely before it is
// forwarded. Longer ones are streamed, so that slow callers occupy little memory.
const maxBuffered = 64 << 10

// forward writes an upstream's response to the caller. It returns false if nothing was
// written and the budget was charged for a retry.
func (q *request) forward(ctx context.Context, choice balance.Choice, response *http.Response) bool {
	if q.route.Mode == provider.ModeStream && response.StatusCode/100 == 2 {
		return q.forwardStream(ctx, choice, response)
	}
	return q.forwardBuffered(choice, response)
}

// forwardBuffered reads a response completely before it writes any of it, so that the request
// can be retried if the response is truncated. Long responses are streamed instead.
func (q *request) forwardBuffered(choice balance.Choice, response *http.Response) bool {
	defer func() { _ = response.Body.Close() }()
	end := watchEnd(response)
	body, complete, err := q.bufferBody(response.Body)
	if err == nil && !complete {
		q.forwardLong(choice, response, body, end)
		return true
	}
	if err == nil {
		err = q.checkClose(choice, end)
	}
	if err != nil {
		err = q.recordTruncated(choice, err)
		if q.Context().Err() == nil && q.mayRetry(exchange.Unknown) {
			return false
		}
		q.giveUp(exchange.Result{Kind: exchange.Unknown, Err: err})
		return true
	}
	buffered := bufferedResponse{response, body}
	if response.StatusCode < http.StatusInternalServerError {
		choice.Done(balance.Served)
		q.writeBuffered(buffered)
		return true
	}
	choice.Done(balance.Failed)
	if q.mayRetry(exchange.Unknown) {
		q.amendAttempt(choice, q.answeredAttempt, fmt.Errorf("status %d", response.StatusCode))
		q.errorResponse = &buffered
		return false
	}
	q.writeBuffered(buffered)
	return true
}

// bufferBody reads a body up to maxBuffered bytes, or as far as the memory budget allows, and reports whether that
// is all of it. The buffer stays in the budget until the request ends.
func (q *request) bufferBody(body io.Reader) (read []byte, complete bool, err error) {
	const firstBuffer = 512
	for len(read) < maxBuffered {
		if len(read) == cap(read) {
			size := max(firstBuffer, 2*cap(read))
			if !q.BufferBudget.Reserve(size - cap(read)) {
				return read, false, nil
			}
			q.reserved += size - cap(read)
			read = append(make([]byte, 0, size), read...)
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if errors.Is(err, io.EOF) {
			return read, true, nil
		}
		if err != nil {
			return read, false, err
		}
	}
	return read, false, nil
}

// forwardLong writes the first part of a long response and streams the rest. If the rest is
// truncated, it closes the connection, so that the response does not look complete.
func (q *request) forwardLong(choice balance.Choice, response *http.Response, first []byte, end *unmarkedBody) {
	q.copyHeader(response)
	if response.ContentLength >= 0 {
		q.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	q.writer.WriteHeader(response.StatusCode)
	_, err := q.writer.Write(first)
	if err == nil {
		_, err = io.Copy(q.writer, response.Body)
	}
	if err == nil {
		err = q.checkClose(choice, end)
	}
	if err != nil {
		err = q.recordTruncated(choice, err)
		q.abort(err)
	}
	outcome := balance.Served
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = balance.Failed
	}
	choice.Done(outcome)
	q.complete(q.answeredAttempt, response.StatusCode)
}

// recordTruncated ends an attempt whose response was truncated and returns the cause with the
// upstream's name.
func (q *request) recordTruncated(choice balance.Choice, cause error) error {
	err := fmt.Errorf("response from %s truncated: %w", choice.Upstream.ID, cause)
	choice.Done(q.balanceOutcome(exchange.Unknown))
	q.amendAttempt(choice, q.answeredAttempt, err)
	return err
}

// abort closes the caller's connection, so that a response that has begun does not look
// complete.
func (q *request) abort(cause error) {
	if q.Context().Err() != nil {
		q.setOutcome(OutcomeDisconnected, 0, "caller disconnected")
	} else {
		q.setOutcome(OutcomeTruncated, 0, cause.Error())
	}
	panic(http.ErrAbortHandler)
}

// bufferedResponse is an upstream's response with its complete body.
type bufferedResponse struct {
	*http.Response
	body []byte
}

func (q *request) writeBuffered(buffered bufferedResponse) {
	q.copyHeader(buffered.Response)
	q.writer.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	q.writer.WriteHeader(buffered.StatusCode)
	_, _ = q.writer.Write(buffered.body)
	q.complete(q.answeredAttempt, buffered.StatusCode)
}

// complete ends a request with the complete response of an attempt. An error response does not
// clear the content of suspicion, since the upstream may have sent it without running the request,
// and neither does a response that the upstream may not have survived.
func (q *request) complete(attempt, status int) {
	if q.OnServed != nil && status/100 == 2 && q.trace.Attempts[attempt].survived() {
		q.OnServed(q.digests)
	}
	outcome := OutcomeServed
	if status >= http.StatusBadRequest {
		outcome = OutcomeFailed
	}
	q.setOutcome(outcome, status, "")
}

// copyHeader copies an upstream's headers to the response and records the time of its first byte.
func (q *request) copyHeader(response *http.Response) {
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
	q.trace.FirstByte = clock.Now()
}

// giveUp ends a request that is not retried.
func (q *request) giveUp(result exchange.Result) {
	cause := "unknown cause"
	if result.Err != nil {
		cause = result.Err.Error()
	}
	if result.Kind.NotRun() && q.neverRan() {
		if !q.endsInDrain() {
			q.refuseStopping(cause)
			return
		}
		q.refuse(notRunReason(result.Kind), cause)
		return
	}
	q.fail(http.StatusBadGateway, OutcomeUnknown, cause)
}

// neverRan reports whether no send so far can have run.
func (q *request) neverRan() bool {
	for _, attempt := range q.trace.Attempts {
		if attempt.Result == exchange.Unknown.String() || attempt.Result == exchange.Answered.String() {
			return false
		}
	}
	return true
}

// timeOut ends a request whose deadline has expired.
func (q *request) timeOut(result exchange.Result) {
	cause := "deadline expired"
	if result.Err != nil {
		cause += ": " + result.Err.Error()
	}
	if q.neverRan() {
		q.refuse(admission.EnginesFull, cause)
		return
	}
	q.fail(http.StatusGatewayTimeout, OutcomeTimedOut, cause)
}

// notRunReason returns why a request that an upstream did not run is refused.
func notRunReason(kind exchange.Kind) admission.RefusalReason {
	if kind == exchange.Refused {
		return admission.EnginesFull
	}
	return admission.NotReady
}

// reject answers an invalid request.
func (q *request) reject(status int, cause string) {
	q.fail(status, OutcomeRejected, cause)
}

// fail writes an error response of the router itself, which never carries a signature. If an
// upstream's error response was kept for a retry, it forwards that instead.
func (q *request) fail(status int, outcome Outcome, cause string) {
	if q.errorResponse != nil {
		q.writeBuffered(*q.errorResponse)
		q.trace.Cause = "no other upstream responded after the error response: " + cause
		return
	}
	header := q.writer.Header()
	if q.body == nil && q.ContentLength != 0 {
		header.Set("Connection", "close") // otherwise net/http reads the rest of the body before it sends the response
	}
	if q.trace.ID != "" {
		header.Set(q.Headers.RequestID, q.trace.ID)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(outcome) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	q.writer.WriteHeader(status)
	_, _ = io.WriteString(q.writer, body)
	q.setOutcome(outcome, status, cause)
}

func (q *request) setOutcome(outcome Outcome, status int, cause string) {
	q.trace.Outcome, q.trace.Status, q.trace.Cause = outcome, status, cause
}

// amendAttempt records why the response of an attempt was not forwarded.
func (q *request) amendAttempt(choice balance.Choice, index int, err error) {
	if errors.Is(err, io.EOF) {
		return
	}
	attempt := &q.trace.Attempts[index]
	q.recordInterrupt(attempt, err)
	q.reportDisconnect(choice, *attempt, err)
}
