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

// Paths of the requests, by what may become of them; see the routes in fleet.go.
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
	// waits for the whole answer: long enough that a request that is held to the end is
	// answered. A caller that gave up first would look like one that was cut.
	routeTimeout = 10 * time.Second
	callTimeout  = routeTimeout + boundSlack
	// leastPause and mostPause lie between a caller's requests, downPause after a
	// connection could not be made.
	leastPause, mostPause = 10 * time.Millisecond, 60 * time.Millisecond
	downPause             = 100 * time.Millisecond
)

// probePath is the path that one configuration serves, and probeKey its key.
func probePath(configuration int) string { return fmt.Sprintf("/probe-%d/", configuration) }

func probeKey(configuration int) string { return fmt.Sprintf("key-%d", configuration) }

// caller sends requests to one router, one after the other, over connections that it
// keeps open until the router's process is gone.
type caller struct {
	router  *process
	address netip.AddrPort
	oracle  *Oracle
	tally   *Tally
	// newest is the configuration that was acknowledged last.
	newest *atomic.Int64
	number *atomic.Int64
	client *http.Client
}

// request is what a caller sends.
type request struct {
	path, key string
	probe     int
}

func (c *caller) run(ctx context.Context) {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		outcome := c.send(ctx, c.draw())
		if ctx.Err() != nil {
			return // the end of the run ended it
		}
		c.oracle.Ended(outcome)
		c.tally.note(outcome)
		pause := leastPause + rand.N(mostPause-leastPause)
		if outcome.Unsent {
			pause = downPause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// draw chooses the next request: half of them streams, some of these long, a tenth probes.
func (c *caller) draw() request {
	switch drawn := rand.IntN(20); {
	case drawn < 2:
		return request{path: standin.LongPath + "x", key: constantKey}
	case drawn < 10:
		return request{path: standin.StreamPath + "x", key: constantKey}
	case drawn < 14:
		return request{path: unsafePath + "x", key: constantKey}
	case drawn < 18:
		return request{path: safePath + "x", key: constantKey}
	default:
		probe := max(int(c.newest.Load())-rand.IntN(2), 1)
		return request{path: probePath(probe) + "x", key: probeKey(probe), probe: probe}
	}
}

// send sends a request and reads the answer to its end.
func (c *caller) send(ctx context.Context, sent request) Outcome {
	outcome := Outcome{
		ID: fmt.Sprintf("soak-%d", c.number.Add(1)), Router: c.router.name, Path: sent.path, Probe: sent.probe,
		Started: time.Now(), Before: c.router.condition(),
	}
	c.oracle.Sent(outcome.ID, outcome.Router)
	c.exchange(ctx, sent, &outcome)
	outcome.Ended, outcome.After = time.Now(), c.router.condition()
	var dialling *net.OpError
	outcome.Unsent = errors.As(outcome.Err, &dialling) && dialling.Op == "dial"
	return outcome
}

func (c *caller) exchange(ctx context.Context, sent request, outcome *Outcome) {
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address.String()+sent.path, strings.NewReader("a body"))
	if err != nil {
		outcome.Err = err
		return
	}
	call.Host = callersHost
	call.Header.Set("Authorization", "Bearer "+sent.key)
	call.Header.Set(standin.HeaderRequestID, outcome.ID)
	answer, err := c.client.Do(call)
	if err != nil {
		outcome.Err = err
		return
	}
	defer func() { _ = answer.Body.Close() }()
	outcome.Status = answer.StatusCode
	outcome.Signed = answer.Header.Get(standin.HeaderSignature) != ""
	body, err := io.ReadAll(answer.Body)
	outcome.Body, outcome.Err = string(body), err
}

// servesAll reports whether a stream and a plain request are served.
func (c *caller) servesAll(ctx context.Context) bool {
	if c.client == nil {
		c.client = &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	}
	for _, path := range []string{"/stream/x", safePath + "x"} {
		if outcome := c.send(ctx, request{path: path, key: constantKey}); !outcome.served() {
			pause(ctx, downPause)
			return false
		}
	}
	c.client.CloseIdleConnections()
	return true
}
