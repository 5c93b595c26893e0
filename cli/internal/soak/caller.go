package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

// Path prefixes of requests that may run at most once and of those that may be retried. See
// the routes in fleet.go.
const (
	unsafePath = "/unsafe/"
	safePath   = "/safe/"
)

const (
	// callersHost is the host name of all routes.
	callersHost = "soak.example"
	// constantKey is valid in every configuration.
	constantKey = "key-of-all"
	// routeTimeout is how long routers may hold a request, and callTimeout how long a caller
	// waits for the complete answer. callTimeout is longer: a caller that timed out first
	// could not be distinguished from one whose connection the router cut.
	routeTimeout = 10 * time.Second
	callTimeout  = routeTimeout + responseSlack
	// responseSlack is how late the response to a request that reached its time limit may arrive.
	responseSlack = 2 * time.Second
	// minPause and maxPause bound the pause between a caller's requests. dialRetryPause
	// follows a failed dial.
	minPause, maxPause = 10 * time.Millisecond, 60 * time.Millisecond
	dialRetryPause     = 100 * time.Millisecond
)

// probePath returns the path that only the given configuration serves.
func probePath(configuration int) string { return fmt.Sprintf("/probe-%d/", configuration) }

// probeKey returns the key that is valid only in the given configuration.
func probeKey(configuration int) string { return fmt.Sprintf("key-%d", configuration) }

// caller sends requests to one router, one after the other, over keep-alive connections.
type caller struct {
	router  *process
	address netip.AddrPort
	oracle  *Oracle
	tally   *Tally
	// newestConfiguration is the configuration that was acknowledged last.
	newestConfiguration *atomic.Int64
	// requestCount numbers the requests of all callers.
	requestCount *atomic.Int64
	client       *http.Client
	// destination is the router that run sends to: home, or another one while demand is shifted.
	home        *router
	destination atomic.Pointer[router]
	// account is the number of the account that requests are sent for, 0 for that of constantKey.
	account atomic.Int64
}

// request is one request of a caller. probe is the configuration that serves its path, or 0.
type request struct {
	path, key string
	probe     int
	// parts are the ids of the parts of the prompt.
	parts []string
	// bodyPause, if not 0, is the pause between the two parts in which the body is sent.
	bodyPause time.Duration
}

func (c *caller) run(ctx context.Context) {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		to := c.destination.Load()
		c.router, c.address = to.process, to.callers
		outcome := c.send(ctx, c.nextRequest())
		if ctx.Err() != nil {
			return // the end of the run canceled the request
		}
		c.oracle.RecordOutcome(outcome)
		c.tally.recordOutcome(outcome)
		pause := minPause + rand.N(maxPause-minPause)
		if outcome.Unsent {
			pause = dialRetryPause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// nextRequest draws the next request: half are streams, some of these long, a tenth probes.
func (c *caller) nextRequest() request {
	key := accountKey(c.account.Load())
	switch drawn := rand.IntN(20); {
	case drawn < 2:
		return request{path: standin.LongPath + "x", key: key}
	case drawn < 10:
		return request{path: standin.StreamPath + "x", key: key, parts: []string{systemPart, documentPart(rand.IntN(documents)), ownPart(int(c.requestCount.Load()))}}
	case drawn < 14:
		return request{path: unsafePath + "x", key: key}
	case drawn < 18:
		return request{path: safePath + "x", key: key}
	default:
		probe := max(int(c.newestConfiguration.Load())-rand.IntN(2), 1)
		return request{path: probePath(probe) + "x", key: probeKey(probe), probe: probe}
	}
}

// send sends a request, reads the complete answer and returns what the caller observed.
func (c *caller) send(ctx context.Context, sent request) Outcome {
	outcome := Outcome{
		ID: fmt.Sprintf("soak-%d", c.requestCount.Add(1)), Router: c.router.name, Path: sent.path, Key: sent.key, Probe: sent.probe,
		Started: time.Now(), ConditionBefore: c.router.condition(),
	}
	c.oracle.RecordSent(outcome.ID, outcome.Router)
	c.roundTrip(ctx, sent, &outcome)
	outcome.Ended, outcome.ConditionAfter = time.Now(), c.router.condition()
	var dialErr *net.OpError
	outcome.Unsent = errors.As(outcome.Err, &dialErr) && dialErr.Op == "dial"
	return outcome
}

func (c *caller) roundTrip(ctx context.Context, sent request, outcome *Outcome) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address.String()+sent.path, newBody(ctx, sent.bodyPause))
	if err != nil {
		outcome.Err = err
		return
	}
	req.Host = callersHost
	req.Header.Set("Authorization", "Bearer "+sent.key)
	req.Header.Set(standin.HeaderRequestID, outcome.ID)
	standin.SetPromptParts(req.Header, sent.parts...)
	resp, err := c.client.Do(req)
	if err != nil {
		outcome.Err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	outcome.Status = resp.StatusCode
	outcome.Signed = resp.Header.Get(standin.HeaderSignature) != ""
	body, err := io.ReadAll(resp.Body)
	outcome.Body, outcome.Err = string(body), err
}

// pausedBody is a request body in two parts.
type pausedBody struct {
	parts []io.Reader
	pause time.Duration
	done  <-chan struct{}
}

// newBody returns a request body. If pause is not 0, its parts are as long apart.
func newBody(ctx context.Context, pause time.Duration) io.Reader {
	if pause == 0 {
		return strings.NewReader("a body")
	}
	return &pausedBody{parts: []io.Reader{strings.NewReader("a "), strings.NewReader("body")}, pause: pause, done: ctx.Done()}
}

func (b *pausedBody) Read(buf []byte) (int, error) {
	for len(b.parts) > 0 {
		n, err := b.parts[0].Read(buf)
		if err == nil {
			return n, nil
		}
		if b.parts = b.parts[1:]; len(b.parts) > 0 {
			wait(b.pause, b.done)
		}
	}
	return 0, io.EOF
}

// servesAll reports whether the router serves a stream and a plain request.
func (c *caller) servesAll(ctx context.Context) bool {
	if c.client == nil {
		c.client = &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	}
	for _, path := range []string{"/stream/x", safePath + "x"} {
		if outcome := c.send(ctx, request{path: path, key: constantKey}); !outcome.served() {
			pause(ctx, dialRetryPause)
			return false
		}
	}
	c.client.CloseIdleConnections()
	return true
}
