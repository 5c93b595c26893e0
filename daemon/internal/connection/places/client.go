package places

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/backoff"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/fairshare"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Path is the URL path of the call. A request is a GET with a short query, and its
// response a line of JSON. Twirp was rejected: a router makes this call for each
// request over narrow links that weights share, and twirp messages are twice as long.
const Path = "/place"

const (
	// callTimeout bounds a call. A round trip takes 1 to 6 ms. A slower response would delay the
	// request more than a wrong choice of engine does.
	callTimeout = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff of a loader after a failed call. It is
	// drawn at random, so that routers do not retry at the same time.
	minBackoff, maxBackoff = 300 * time.Millisecond, 900 * time.Millisecond
	// maxResponse bounds a response, in bytes.
	maxResponse = 1 << 10
)

// wireResponse is the encoded form of a Response.
type wireResponse struct {
	Granted      bool                    `json:"given"`
	Running      int                     `json:"running"`
	Waiting      int                     `json:"waiting"`
	Loading      bool                    `json:"loading,omitempty"`
	Leaving      bool                    `json:"leaving,omitempty"`
	RetryAfterMs int64                   `json:"wait,omitempty"`
	RateLimit    *ratelimit.Report       `json:"limit,omitempty"`
	Pace         provider.OptionalNumber `json:"pace,omitempty"`
	// Late and EstimateMs tell why the engine cannot serve the request in time.
	Late       string                  `json:"late,omitempty"`
	EstimateMs provider.OptionalNumber `json:"estimate,omitempty"`
	// DeniedBy is for whom a free place is kept.
	DeniedBy fairshare.Reason `json:"by,omitempty"`
}

// Response is the response of a loader.
type Response struct {
	// EngineLoad is the load of the engine on which the decision was based.
	EngineLoad
	// Granted reports whether the router has the place.
	Granted bool
	// RateLimit is the rate limit of the engine as known to the loader; nil if there is none.
	RateLimit *ratelimit.Report
	// Caller is the caller of the request. Only the loader that responds knows it.
	Caller Caller
}

// Handler serves requests for places from a ledger. OnResponse is called with each response,
// without its rate limit.
func Handler(ledger *Ledger, onResponse func(Response)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, err := parse(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		load, granted := ledger.Reserve(req)
		onResponse(Response{EngineLoad: load, Granted: granted, Caller: req.Caller})
		w.Header()["Date"] = nil
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(wireResponse{
			Granted: granted, Running: load.Running, Waiting: load.Waiting, Loading: load.Loading, Leaving: load.Leaving,
			RetryAfterMs: load.RetryAfter.Milliseconds(), RateLimit: ledger.RateLimit(req.Engine),
			Pace: provider.OptionalNumber(load.Pace), Late: string(load.Late.Reason), EstimateMs: provider.OptionalNumber(load.Late.Estimate.Milliseconds()),
			DeniedBy: load.DeniedBy,
		})
	}
}

func parse(r *http.Request) (Request, error) {
	query := r.URL.Query()
	limit, err := parseLimit(query)
	if err != nil {
		return Request{}, err
	}
	req := Request{Limit: limit, Engine: ratelimit.Upstream{ID: query.Get(engineParam)}}
	if started, err := strconv.ParseInt(query.Get(startedParam), 10, 64); err == nil {
		req.Engine.Started = time.Unix(0, started)
	}
	if req.RateLimit, err = parseRateLimit(query); err != nil {
		return req, err
	}
	req.Caller, req.Size, req.Times = parseCaller(query), parseSize(query), parseTimes(query)
	req.Warmup, err = parseWarmup(query)
	return req, err
}

// parseCaller parses the caller of a request. Values that are missing or invalid count as unknown,
// since they must not cost the request its place.
func parseCaller(query url.Values) Caller {
	return Caller{
		Account: query.Get(accountParam), Rank: parseCount(query, rankParam), Ranks: parseCount(query, ranksParam),
		Retry: query.Get(retryParam) != "", Denied: parseCount(query, deniedParam), Last: query.Get(lastParam) != "",
	}
}

func parseSize(query url.Values) Size {
	return Size{PromptTokens: parseCount(query, promptParam), AnswerTokens: parseCount(query, answerParam)}
}

// parseCount parses an optional count, 0 if it is missing or invalid.
func parseCount(query url.Values, name string) int {
	count, err := strconv.Atoi(query.Get(name))
	if err != nil || count < 0 {
		return 0
	}
	return count
}

// The optional query parameters for the engine, its rate limit and its warm-up.
const (
	engineParam    = "of"
	startedParam   = "started"
	limitParam     = "limit"
	ageParam       = "age" // in milliseconds
	endedValue     = "ended"
	warmupParam    = "cold"    // requests a second
	warmupForParam = "coldFor" // in milliseconds
	warmupOfParam  = "coldOf"  // the revision of the engine's record
	accountParam   = "account"
	rankParam      = "rank"
	ranksParam     = "ranks"
	retryParam     = "retry"
	deniedParam    = "denied"
	lastParam      = "last"
	promptParam    = "prompt" // in tokens
	answerParam    = "answer" // in tokens
	leftParam      = "left"   // in milliseconds, as firstParam and gapParam
	firstParam     = "first"
	gapParam       = "gap"
)

// parseWarmup parses the engine's warm-up state as known to the router; nil if it is warm.
func parseWarmup(query url.Values) (*ratelimit.Warmup, error) {
	text := query.Get(warmupParam)
	if text == "" {
		return nil, nil //nolint:nilnil // the parameter is optional
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || !(perSecond > 0) {
		return nil, fmt.Errorf("%s: %w: %q", warmupParam, errInvalidRate, text)
	}
	remaining, err := strconv.ParseInt(query.Get(warmupForParam), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", warmupForParam, err)
	}
	warmup := &ratelimit.Warmup{PerSecond: perSecond, Remaining: time.Duration(remaining) * time.Millisecond}
	if revision, err := strconv.ParseUint(query.Get(warmupOfParam), 10, 64); err == nil {
		warmup.Revision = revision
	}
	return warmup, nil
}

// parseRateLimit parses the engine's rate limit as known to the router; nil if there is none.
func parseRateLimit(query url.Values) (*ratelimit.Report, error) {
	text := query.Get(limitParam)
	if text == "" {
		return nil, nil //nolint:nilnil // the parameter is optional
	}
	age, err := strconv.ParseInt(query.Get(ageParam), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", ageParam, err)
	}
	report := &ratelimit.Report{Age: time.Duration(age) * time.Millisecond}
	if text == endedValue {
		report.Lifted = true
		return report, nil
	}
	parsed := ratelimit.Parse([]string{text})
	if parsed.Kind != ratelimit.Limited {
		return nil, fmt.Errorf("%s: %w: %s", limitParam, errInvalidRate, parsed)
	}
	report.PerSecond = parsed.PerSecond
	return report, nil
}

var errInvalidRate = errors.New("not a number of requests a second")

// parseLimit parses the admission limit, which is required.
func parseLimit(query url.Values) (Limit, error) {
	waiting, err := strconv.Atoi(query.Get("waiting"))
	if err != nil {
		return Limit{}, fmt.Errorf("waiting: %w", err)
	}
	inUse, err := strconv.Atoi(query.Get("taken"))
	if err != nil {
		return Limit{}, fmt.Errorf("taken: %w", err)
	}
	duration, err := strconv.Atoi(query.Get("lasts"))
	if err != nil {
		return Limit{}, fmt.Errorf("lasts: %w", err)
	}
	return Limit{Waiting: waiting, InUse: inUse, Duration: time.Duration(duration) * time.Millisecond}, nil
}

// ErrBackoff reports that no call was made, because the loader is in backoff.
var ErrBackoff = errors.New("loader in backoff after a failed call")

// Client requests places from loaders. Client must be set.
type Client struct {
	Client *http.Client
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	// failed holds the loaders in backoff.
	failed backoff.List
}

// query returns the encoded query parameters.
func (r *Request) query() string {
	query := fmt.Sprintf("waiting=%d&taken=%d&lasts=%d", r.Waiting, r.InUse, r.Duration.Milliseconds())
	if r.Engine.ID != "" {
		query += "&" + engineParam + "=" + url.QueryEscape(r.Engine.ID)
	}
	if !r.Engine.Started.IsZero() {
		query += "&" + startedParam + "=" + strconv.FormatInt(r.Engine.Started.UnixNano(), 10)
	}
	if r.Warmup != nil {
		query += "&" + warmupParam + "=" + strconv.FormatFloat(r.Warmup.PerSecond, 'f', -1, 64)
		query += "&" + warmupForParam + "=" + strconv.FormatInt(r.Warmup.Remaining.Milliseconds(), 10)
		query += "&" + warmupOfParam + "=" + strconv.FormatUint(r.Warmup.Revision, 10)
	}
	query += r.Caller.query() + r.Size.query() + timesQuery(r.Times)
	if r.RateLimit == nil {
		return query
	}
	limit := endedValue
	if !r.RateLimit.Lifted {
		limit = strconv.FormatFloat(r.RateLimit.PerSecond, 'f', -1, 64)
	}
	return query + "&" + limitParam + "=" + limit + "&" + ageParam + "=" + strconv.FormatInt(r.RateLimit.Age.Milliseconds(), 10)
}

func (c Caller) query() string {
	query := ""
	if c.Account != "" {
		query += "&" + accountParam + "=" + url.QueryEscape(c.Account)
	}
	query += countParam(rankParam, c.Rank) + countParam(ranksParam, c.Ranks)
	if c.Retry {
		query += "&" + retryParam + "=1"
	}
	query += countParam(deniedParam, c.Denied)
	if c.Last {
		query += "&" + lastParam + "=1"
	}
	return query
}

func (s Size) query() string {
	return countParam(promptParam, s.PromptTokens) + countParam(answerParam, s.AnswerTokens)
}

// countParam returns an encoded query parameter, "" for 0.
func countParam(name string, count int) string {
	if count == 0 {
		return ""
	}
	return "&" + name + "=" + strconv.Itoa(count)
}

// Reserve requests a place from a loader. An error means that the load is unknown, because the
// call failed or the loader is in backoff.
func (c *Client) Reserve(ctx context.Context, loader netip.AddrPort, req Request) (Response, error) {
	if c.failed.Has(loader, c.Now) {
		return Response{}, ErrBackoff
	}
	resp, err := c.request(ctx, loader, req)
	if err != nil && ctx.Err() == nil {
		c.failed.Add(loader, minBackoff+rand.N(maxBackoff-minBackoff), c.Now)
	}
	return resp, err
}

func (c *Client) request(ctx context.Context, loader netip.AddrPort, req Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := "http://" + loader.String() + Path + "?" + req.query()
	var resp wireResponse
	if err := call.GetJSON(ctx, c.Client, target, maxResponse, &resp); err != nil {
		return Response{}, fmt.Errorf("request place from loader %s: %w", loader, err)
	}
	load := EngineLoad{
		Running: resp.Running, Waiting: resp.Waiting, Loading: resp.Loading, Leaving: resp.Leaving, RetryAfter: time.Duration(resp.RetryAfterMs) * time.Millisecond,
		Pace: float64(resp.Pace), Late: enginetime.Denial{Reason: enginetime.Reason(resp.Late), Estimate: time.Duration(float64(resp.EstimateMs) * float64(time.Millisecond))},
		DeniedBy: resp.DeniedBy,
	}
	return Response{EngineLoad: load, Granted: resp.Granted, RateLimit: resp.RateLimit}, nil
}
