package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a client's request. Each attempt gets an id of its own.
type call struct {
	method, host, path string
	// parts is the value of Prefix-Hash, and tokens that of Token-Usage; "" for requests to applications.
	parts, tokens string
	body          string
	deadline      time.Duration
}

// result is the end of a client's attempt.
type result struct {
	id     string
	status int
	// whole is set for a success with a signature and its whole body.
	whole      bool
	events     int
	retryAfter time.Duration
	err        error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// key is the API key of the only tenant.
const key = "jnbanfqasnmgkcuyj8pj"

// clients have a connection of its own for each request.
var clientTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// attempt sends one attempt to a router.
func attempt(frontend string, c call) result {
	res := result{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+frontend+c.path, strings.NewReader(c.body))
	if err != nil {
		res.err = err
		return res
	}
	request.Host = c.host
	request.Header.Set("Attempt-Id", res.id)
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.parts != "" {
		request.Header.Set("Model", model)
		request.Header.Set("Prefix-Hash", c.parts)
		request.Header.Set("Token-Usage", c.tokens)
	}
	response, err := clientTransport.RoundTrip(request)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = response.Body.Close() }()
	res.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		res.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(response.Body)
	res.err = err
	res.events = strings.Count(string(body), "\n\n")
	res.whole = err == nil && res.status/100 == 2 && response.Header.Get("Server-Signature") != ""
	return res
}

// text describes a result for the record.
func (r result) text() string {
	if r.err != nil {
		return fmt.Sprintf("%s status %d, %v", r.id, r.status, r.err)
	}
	return fmt.Sprintf("%s status %d, whole %v, %d events", r.id, r.status, r.whole, r.events)
}

// promises reports whether the answer promises that the request has not run.
func (r result) promises() bool {
	return r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421
}

// ask sends a request as a client does: it comes back once, at another router, after a promise that it has not run. The
// first attempt's result comes first.
func (f *fleet) ask(routers []*daemon, first int, c call) []result {
	began := time.Now()
	results := []result{attempt(routers[first%len(routers)].frontend, c)}
	left := c.deadline - time.Since(began)
	if !results[0].promises() || left <= 0 {
		return results
	}
	time.Sleep(min(results[0].retryAfter, left/3))
	c.deadline -= time.Since(began)
	return append(results, attempt(routers[(first+1)%len(routers)].frontend, c))
}
