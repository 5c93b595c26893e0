package bench

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/cli/internal/fleet"
	"github.com/wheelcleat/wheelcleat/standin/engine"
	"github.com/wheelcleat/wheelcleat/standin/weights"
)

// Route describes one run of the routing bench: the same streaming load first
// straight to the engines, then through entries and agents. Arrival times are
// fixed beforehand, so that slow answers do not slow the load.
type Route struct {
	Halls, EntriesPerHall, Hosts int
	// Rate is the number of requests a second.
	Rate float64
	// Duration is the time of each of the two parts.
	Duration time.Duration
	// Tokens is the length of each answer; Prefill and PerToken are the
	// engines' times.
	Tokens            int
	Prefill, PerToken time.Duration
	// Fault is none, host-dies, drain or version-change, a third into the
	// routed part.
	Fault     string
	Seed      uint64
	Timeout   time.Duration
	LogOutput io.Writer
}

// RouteResult is what a run measured.
type RouteResult struct {
	Fault    string  `json:"fault"`
	Rate     float64 `json:"rate"`
	Requests int     `json:"requests"`
	Done     int     `json:"done"`
	NotRun   int     `json:"not_run"`
	Unknown  int     `json:"unknown"`
	// Cut counts answers whose connection ended before the end.
	Cut int `json:"cut"`
	// Doubled, FalseNotRun, Mixed and CutInDrain must be 0.
	Doubled     int `json:"doubled"`
	FalseNotRun int `json:"false_not_run"`
	Mixed       int `json:"mixed_answers"`
	CutInDrain  int `json:"cut_in_drain"`
	// Times to the first token and between tokens, through the fleet.
	FirstP50US int64 `json:"first_token_p50_us"`
	FirstP95US int64 `json:"first_token_p95_us"`
	FirstP99US int64 `json:"first_token_p99_us"`
	GapP95US   int64 `json:"between_tokens_p95_us"`
	// Direct are the same figures straight from the engines.
	DirectP50US int64 `json:"direct_first_token_p50_us"`
	DirectP99US int64 `json:"direct_first_token_p99_us"`
	AddedP50US  int64 `json:"relay_added_p50_us"`
	AddedP99US  int64 `json:"relay_added_p99_us"`
	// CPU that the way through entry and agent costs beyond the direct one.
	CPUPerRequestUS float64 `json:"cpu_us_per_request"`
	CPUPerTokenUS   float64 `json:"cpu_us_per_token"`
	CPUShare        float64 `json:"cpu_share"`
}

// routeKey is the load's account key.
const routeKey = "bench-key"

// routing is one run under way.
type routing struct {
	*Route
	fleet    *fleet.Fleet
	hosts    []*fleet.Host // all that ever ran, for the record of runs
	versions []manifest.Digest
	result   RouteResult
}

// RouteFaults are the names of the routing bench's faults.
func RouteFaults() []string { return []string{"none", "host-dies", "drain", "version-change"} }

// Run measures one fleet.
func (b *Route) Run(ctx context.Context) (*RouteResult, error) {
	ctx, cancel := context.WithTimeout(ctx, b.Timeout)
	defer cancel()
	r := &routing{Route: b, result: RouteResult{Fault: b.Fault, Rate: b.Rate}}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.fleet.Kill()
	direct := r.part(ctx, "direct", r.directTarget, func() {})
	routed := r.part(ctx, "routed", r.entryTarget, func() { r.hit(ctx) })
	r.judge(routed)
	r.summarize(direct, routed)
	perRequest := float64((routed.cpu - direct.cpu).Microseconds()) / float64(max(len(routed.answers), 1))
	r.result.CPUPerRequestUS = perRequest
	r.result.CPUPerTokenUS = perRequest / float64(max(b.Tokens, 1))
	r.result.CPUShare = routed.share
	return &r.result, nil
}

func (r *routing) start(ctx context.Context) error {
	config := fleet.Config{
		Halls: fleet.HallNames(r.Halls), EntriesPerHall: r.EntriesPerHall, Agents: r.Hosts, LogOutput: r.LogOutput, LogLevel: "error",
		SetUpEngine: func(e *engine.Server) { e.Prefill, e.PerToken = r.Prefill, r.PerToken },
	}
	if r.LogOutput != nil {
		config.LogLevel = "info"
	}
	config.Entry.HostsInterval, config.Agent.HostsInterval = 200*time.Millisecond, 200*time.Millisecond
	var err error
	if r.fleet, err = fleet.Start(config); err != nil {
		return err
	}
	r.hosts = r.fleet.Hosts()
	for version := range uint64(2) {
		id, err := r.fleet.AddModel(weights.Generate(r.Seed+version, 1<<20), 0)
		if err != nil {
			return err
		}
		r.versions = append(r.versions, id)
	}
	if err := r.fleet.AwaitReady(ctx); err != nil {
		return err
	}
	if err := r.fleet.Declare(ctx, r.resources("v1")...); err != nil {
		return err
	}
	if err := fleet.Await(ctx, "the version on all hosts", func() bool { return r.fleet.Ready(r.versions[0]) == r.Hosts }); err != nil {
		return err
	}
	return fleet.Await(ctx, "every entry to know all hosts", func() bool { return r.allKnow(ctx) })
}

// allKnow asks every entry for the number of ready hosts.
func (r *routing) allKnow(ctx context.Context) bool {
	for _, address := range r.fleet.Operator().Entries {
		operator := r.fleet.Operator()
		operator.Entries = []string{address}
		status, err := operator.Rollout(ctx, "s")
		if err != nil || !status.Done {
			return false
		}
	}
	return true
}

func (r *routing) resources(version string) []*api.Resource {
	sum := sha256.Sum256([]byte(routeKey))
	spec := &api.ModelSpec{}
	for i, id := range r.versions {
		spec.Versions = append(spec.Versions, api.Version{Name: fmt.Sprint("v", i+1), Manifest: id.String()})
	}
	perHall := (r.Hosts + r.Halls - 1) / r.Halls
	return []*api.Resource{
		{Kind: api.KindAccount, Name: "load", Account: &api.AccountSpec{KeyDigests: []string{hex.EncodeToString(sum[:])}}},
		{Kind: api.KindModel, Name: "m", Model: spec},
		{Kind: api.KindService, Name: "s", Service: &api.ServiceSpec{Model: "m", Version: version, Replicas: perHall, Rollout: api.Rollout{WaveSize: max(perHall/4, 1)}}},
	}
}

// hit lets the fault happen.
func (r *routing) hit(ctx context.Context) {
	switch r.Fault {
	case "host-dies":
		r.fleet.KillHost(r.fleet.EngineHosts()[0])
	case "drain":
		_ = r.fleet.EngineHosts()[0].Agent.Stop(ctx)
	case "version-change":
		_ = r.fleet.Declare(ctx, r.resources("v2")...)
	}
}

// target is where one request goes.
type target struct{ url, key string }

func (r *routing) directTarget(i int) target {
	hosts := r.fleet.EngineHosts()
	return target{url: hosts[i%len(hosts)].UpstreamURL() + "/v1/completions"}
}

func (r *routing) entryTarget(i int) target {
	entries := r.fleet.Entries()
	return target{url: "http://" + entries[i%len(entries)].Process.Addresses().Callers.String() + "/v1/services/s/v1/completions", key: routeKey}
}

// answered is what became of one request.
type answered struct {
	id      string
	outcome api.Outcome
	version string
	cut     bool
	tokens  []engine.Token
	ended   bool
}

// part is one half of a run.
type part struct {
	answers []answered
	first   *hdrhistogram.Histogram
	gaps    *hdrhistogram.Histogram
	cpu     time.Duration
	share   float64
	mu      sync.Mutex
}

// Range of the histograms in microseconds, and their digits.
const (
	histMin    = 1
	histMax    = 60_000_000
	histDigits = 3
)

// part sends the load to one kind of target; hit is called a third in.
func (r *routing) part(ctx context.Context, name string, where func(int) target, hit func()) *part {
	p := &part{first: hdrhistogram.New(histMin, histMax, histDigits), gaps: hdrhistogram.New(histMin, histMax, histDigits)}
	arrivals := r.arrivals()
	transport := &http.Transport{MaxIdleConnsPerHost: 1024}
	defer transport.CloseIdleConnections()
	used, cpuBefore := startUsage(), cpuTime()
	started := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		if wait(ctx, r.Duration/3) == nil {
			hit()
		}
	})
	for i, at := range arrivals {
		if wait(ctx, time.Until(started.Add(at))) != nil {
			break
		}
		due := started.Add(at)
		group.Go(func() { r.send(ctx, p, transport, where(i), fmt.Sprintf("%s-%d", name, i), due) })
	}
	group.Wait()
	p.cpu = cpuTime() - cpuBefore
	p.share, _ = used.end()
	return p
}

// arrivals returns the times at which requests are due, from the start.
func (r *routing) arrivals() []time.Duration {
	source := rand.New(rand.NewPCG(r.Seed, 0))
	var times []time.Duration
	for at := 0.0; at < r.Duration.Seconds(); at += source.ExpFloat64() / r.Rate {
		times = append(times, time.Duration(at*float64(time.Second)))
	}
	return times
}

// send makes one request and reads its answer token by token.
func (r *routing) send(ctx context.Context, p *part, transport *http.Transport, to target, id string, due time.Time) {
	answer := answered{id: id}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.answers = append(p.answers, answer)
	}()
	body, _ := json.Marshal(engine.Completion{Prompt: "prompt of " + id, MaxTokens: r.Tokens, Stream: true})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, to.url, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set(api.HeaderRequestID, id)
	request.Header.Set("Authorization", "Bearer "+to.key)
	response, err := transport.RoundTrip(request)
	if err != nil {
		answer.cut = true
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer.outcome = api.Outcome(response.Header.Get(api.HeaderOutcome))
	answer.version = response.Header.Get(api.HeaderVersion)
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return
	}
	answer.cut = !r.read(p, response.Body, &answer, due)
}

// read takes the events of an answer and reports whether it ended as it should.
func (r *routing) read(p *part, body io.Reader, answer *answered, due time.Time) bool {
	lines := bufio.NewReader(body)
	last := due
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return answer.ended
		}
		data, isEvent := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: ")
		switch {
		case !isEvent:
		case data == "[DONE]":
			answer.ended = true
		default:
			now := time.Now()
			var token engine.Token
			if json.Unmarshal([]byte(data), &token) != nil {
				return false
			}
			p.note(len(answer.tokens) == 0, now.Sub(last))
			answer.tokens = append(answer.tokens, token)
			last = now
		}
	}
}

func (p *part) note(first bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	histogram := p.gaps
	if first {
		histogram = p.first
	}
	_ = histogram.RecordValue(max(took.Microseconds(), histMin))
}

// judge holds the answers to what the engines recorded.
func (r *routing) judge(p *part) {
	ran := map[string]int{}
	for _, host := range r.hosts {
		for id, run := range host.Engine.Runs() {
			ran[id] += run.Count
		}
	}
	for i := range p.answers {
		answer := &p.answers[i]
		r.result.Requests++
		if ran[answer.id] > 1 {
			r.result.Doubled++
		}
		switch {
		case answer.cut:
			r.result.Cut++
			if r.Fault == "drain" || r.Fault == "version-change" {
				r.result.CutInDrain++
			}
		case answer.outcome == api.OutcomeNotRun:
			r.result.NotRun++
			if ran[answer.id] > 0 {
				r.result.FalseNotRun++
			}
		case answer.outcome == api.OutcomeDone:
			r.result.Done++
			if !r.isWhole(answer) {
				r.result.Mixed++
			}
		default:
			r.result.Unknown++
		}
	}
}

// isWhole reports whether an answer is the whole answer to its own request, by
// the version that it names.
func (r *routing) isWhole(answer *answered) bool {
	if len(answer.tokens) != r.Tokens || !answer.ended {
		return false
	}
	for i, token := range answer.tokens {
		want := engine.Token{Request: answer.id, Manifest: answer.version, Index: i, Text: engine.TokenText(answer.version, "prompt of "+answer.id, i)}
		if token != want {
			return false
		}
	}
	return true
}

func (r *routing) summarize(direct, routed *part) {
	out := &r.result
	out.FirstP50US, out.FirstP95US = routed.first.ValueAtQuantile(50), routed.first.ValueAtQuantile(95)
	out.FirstP99US, out.GapP95US = routed.first.ValueAtQuantile(99), routed.gaps.ValueAtQuantile(95)
	out.DirectP50US, out.DirectP99US = direct.first.ValueAtQuantile(50), direct.first.ValueAtQuantile(99)
	out.AddedP50US = out.FirstP50US - out.DirectP50US
	out.AddedP99US = out.FirstP99US - out.DirectP99US
}
