// Package bench measures what wheelcleat is judged by, on the small fleet:
// real entries and agents over loopback, with stand-ins around them and a
// stopwatch. It models nothing.
package bench

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/cli/internal/fleet"
	"github.com/wheelcleat/wheelcleat/standin/engine"
	"github.com/wheelcleat/wheelcleat/standin/weights"
)

// The brief's proportions, in copies of the model per time unit.
const (
	originCopies = 4
	hostCopies   = 2
)

// Distribute describes one run of the distribution bench.
type Distribute struct {
	Hosts, Halls int
	ModelBytes   int64
	// ChunkBytes is the chunk size; 0 plans it.
	ChunkBytes int64
	// Unit is the time in which the origin's link carries four copies of the
	// model and each host's two up and two down.
	Unit time.Duration
	// HalfDuplex makes a host's two directions share one rate.
	HalfDuplex bool
	// Policy is a fetch policy; empty means the swarm.
	Policy string
	// Uploads, Downloads and Neighbours vary each host's transfers at a time and
	// the peers it follows; 0 takes the defaults.
	Uploads, Downloads, Neighbours int
	// Fault names what goes wrong; empty means nothing.
	Fault string
	Seed  uint64
	// Timeout bounds the run.
	Timeout time.Duration
	// LogOutput takes the processes' log lines; nil drops them.
	LogOutput io.Writer
}

// Point is the number of hosts that serve from a time on.
type Point struct {
	Seconds float64 `json:"seconds"`
	Ready   int     `json:"ready"`
}

// DistributeResult is what a run measured.
type DistributeResult struct {
	Policy     string `json:"policy"`
	Fault      string `json:"fault"`
	Hosts      int    `json:"hosts"`
	Halls      int    `json:"halls"`
	ModelBytes int64  `json:"model_bytes"`
	Chunks     int    `json:"chunks"`
	Duplex     string `json:"duplex"`
	// OriginCopies and CrossHallCopies are bytes sent over the model's size.
	OriginCopies    float64 `json:"origin_copies"`
	CrossHallCopies float64 `json:"cross_hall_copies"`
	// DuplicateCopies are bytes that a host had already, over the model's size.
	DuplicateCopies float64 `json:"duplicate_copies"`
	TimeTo50        float64 `json:"time_to_50_s"`
	TimeTo90        float64 `json:"time_to_90_s"`
	TimeTo100       float64 `json:"time_to_100_s"`
	// Bound is the least time to all hosts for these rates.
	Bound        float64 `json:"bound_s"`
	RatioToBound float64 `json:"ratio_to_bound"`
	// CorruptServed counts engines that came to hold anything but a declared
	// version.
	CorruptServed  int `json:"corrupt_chunks_served_to_engines"`
	FaultsInjected int `json:"faults_injected"`
	HostsCompleted int `json:"hosts_completed"`
	// HostsExpected is the number of hosts that survive the fault.
	HostsExpected int `json:"hosts_expected"`
	// CPUShare is the process's CPU time over the machine's in the run: near 1
	// the machine is what was measured.
	CPUShare     float64 `json:"cpu_share"`
	MaxRSSMB     float64 `json:"max_rss_mb"`
	ControlBytes int64   `json:"control_bytes"`
	Series       []Point `json:"-"`
}

// bound is the minimum distribution time of Kumar and Ross (2006) for one
// source and equal hosts: the source must send the file once, each host must
// receive it, and all uplinks together must carry it to every host. With a
// half-duplex link the uplink can only use what receiving leaves.
func (d *Distribute) bound() time.Duration {
	file, n := 1.0, float64(d.Hosts)
	origin, up, down := float64(originCopies), float64(hostCopies), float64(hostCopies)
	seconds := max(file/origin, file/down, n*file/(origin+n*up))
	if d.HalfDuplex {
		// Every byte but the origin's takes its time on two links of hosts:
		// n files received and n files less one sent, over n links.
		seconds = max(file/origin, file/down, (2*n*file-file)/(n*up))
	}
	return time.Duration(seconds * float64(d.Unit))
}

func (d *Distribute) fleetConfig() fleet.Config {
	rateOf := func(copies int64) int64 { return int64(float64(copies*d.ModelBytes) / d.Unit.Seconds()) }
	config := fleet.Config{
		Halls: fleet.HallNames(d.Halls), EntriesPerHall: 1, Agents: d.Hosts, LogOutput: d.LogOutput, HalfDuplex: d.HalfDuplex,
		OriginBytesPerSecond: rateOf(originCopies),
		UploadBytesPerSecond: rateOf(hostCopies), DownloadBytesPerSecond: rateOf(hostCopies),
	}
	config.Entry.HostsInterval, config.Agent.HostsInterval = 200*time.Millisecond, 200*time.Millisecond
	config.Agent.Policy = d.Policy
	config.Agent.Uploads, config.Agent.Downloads, config.Agent.Neighbours = d.Uploads, d.Downloads, d.Neighbours
	config.LogLevel = "debug"
	if d.LogOutput == nil {
		config.LogLevel = "error"
	}
	return config
}

// transfers sums what the agents received.
type transfers struct {
	mu     sync.Mutex
	byKind map[string]int64
	wasted int64
}

func (t *transfers) add(kind string, bytes int64, useful bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKind == nil {
		t.byKind = map[string]int64{}
	}
	t.byKind[kind] += bytes
	if !useful {
		t.wasted += bytes
	}
}

// distribution is one run under way.
type distribution struct {
	*Distribute
	fleet     *fleet.Fleet
	transfers transfers
	versions  []manifest.Digest
	wholes    map[string]bool // digests of whole files that may be served
	target    manifest.Digest
	faults    faultRun
}

// Run measures one rollout from its declaration to the last host that serves.
func (d *Distribute) Run(ctx context.Context) (*DistributeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	run := &distribution{Distribute: d, wholes: map[string]bool{}}
	if err := run.prepare(ctx); err != nil {
		return nil, err
	}
	defer run.fleet.Kill()
	return run.measure(ctx)
}

func (r *distribution) prepare(ctx context.Context) error {
	fault, err := findFault(r.Fault)
	if err != nil {
		return err
	}
	r.faults = faultRun{fault: fault, run: r}
	config := r.fleetConfig()
	config.Agent.OnFetched = r.transfers.add
	r.faults.configure(&config)
	if r.fleet, err = fleet.Start(config); err != nil {
		return err
	}
	for version := range uint64(2) {
		data := weights.Generate(r.Seed+version, r.ModelBytes)
		id, err := r.fleet.AddModel(data, r.ChunkBytes)
		if err != nil {
			return err
		}
		r.versions = append(r.versions, id)
		r.wholes[manifest.Sum(data).String()] = true
	}
	if err := r.fleet.AwaitReady(ctx); err != nil {
		return err
	}
	// The clock starts on a fleet at rest.
	return r.fleet.AwaitMembers(ctx, r.Hosts)
}

func (r *distribution) model() *api.Resource {
	spec := &api.ModelSpec{FetchPolicy: api.FetchOriginBytes}
	for i, id := range r.versions {
		spec.Versions = append(spec.Versions, api.Version{Name: fmt.Sprint("v", i+1), Manifest: id.String()})
	}
	return &api.Resource{Kind: api.KindModel, Name: "m", Model: spec}
}

func (r *distribution) service(version string) *api.Resource {
	perHall := (r.Hosts + r.Halls - 1) / r.Halls
	return &api.Resource{Kind: api.KindService, Name: "s", Service: &api.ServiceSpec{Model: "m", Version: version, Replicas: perHall}}
}

// settleFor is the time after the model's declaration in which the fleet comes
// to rest, so that the service's declaration is not measured as one of a burst.
const settleFor = 3 * time.Second

// sampleEvery is the interval of the ready count, and so the error of times.
const sampleEvery = 10 * time.Millisecond

func (r *distribution) measure(ctx context.Context) (*DistributeResult, error) {
	if err := r.fleet.Declare(ctx, r.model()); err != nil {
		return nil, err
	}
	r.target = r.versions[0]
	if err := wait(ctx, settleFor); err != nil {
		return nil, err
	}
	usage := startUsage()
	entriesBefore, agentsBefore := controlBytes(r.fleet)
	started := time.Now()
	if err := r.fleet.Declare(ctx, r.service("v1")); err != nil {
		return nil, err
	}
	series := r.sample(ctx, started)
	result := r.result(series)
	result.CPUShare, result.MaxRSSMB = usage.end()
	entries, agents := controlBytes(r.fleet)
	result.ControlBytes = entries + agents - entriesBefore - agentsBefore
	if result.HostsCompleted < result.HostsExpected {
		return result, fmt.Errorf("%d of %d hosts serve the version after %s", result.HostsCompleted, result.HostsExpected, r.Timeout)
	}
	return result, nil
}

// sample counts ready hosts until all surviving ones are, and lets the fault
// act on the way.
func (r *distribution) sample(ctx context.Context, started time.Time) []Point {
	var series []Point
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	last := -1
	for {
		r.faults.act(ctx)
		ready := r.fleet.Ready(r.target)
		if ready != last {
			series = append(series, Point{time.Since(started).Seconds(), ready})
			last = ready
		}
		if ready >= len(r.fleet.EngineHosts()) && r.faults.over() {
			return series
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return series
		}
	}
}

func (r *distribution) result(series []Point) *DistributeResult {
	expected := len(r.fleet.EngineHosts())
	size := float64(r.ModelBytes)
	result := &DistributeResult{
		Policy: r.Policy, Fault: r.Fault, Hosts: r.Hosts, Halls: r.Halls, ModelBytes: r.ModelBytes, Duplex: "full",
		OriginCopies:    float64(r.fleet.Origin.SentBytes()) / size,
		CrossHallCopies: float64(r.transfers.byKind["hall"]) / size,
		DuplicateCopies: float64(r.transfers.wasted) / size,
		TimeTo50:        timeTo(series, expected, 50), TimeTo90: timeTo(series, expected, 90), TimeTo100: timeTo(series, expected, 100),
		Bound: r.bound().Seconds(), FaultsInjected: r.faults.injected, HostsExpected: expected,
		HostsCompleted: r.fleet.Ready(r.target), Series: series,
	}
	if result.Policy == "" {
		result.Policy = "swarm"
	}
	if r.Fault == "" {
		result.Fault = "none"
	}
	if r.HalfDuplex {
		result.Duplex = "half"
	}
	chunkBytes := r.ChunkBytes
	if chunkBytes == 0 {
		chunkBytes = manifest.PlanChunkBytes(r.ModelBytes)
	}
	result.Chunks = int((r.ModelBytes + chunkBytes - 1) / chunkBytes)
	result.RatioToBound = result.TimeTo100 / result.Bound
	for _, host := range r.fleet.EngineHosts() {
		result.CorruptServed += r.wrongStates(host.Engine)
	}
	return result
}

// wrongStates counts the states of an engine that no declared version explains.
func (r *distribution) wrongStates(e *engine.Server) int {
	wrong := 0
	for _, state := range e.History() {
		if !r.wholes[state.Digest] {
			wrong++
		}
	}
	return wrong
}

// timeTo returns when a percentage of the hosts served, 0 for never.
func timeTo(series []Point, hosts, percent int) float64 {
	wanted := (hosts*percent + 99) / 100
	at := sort.Search(len(series), func(i int) bool { return series[i].Ready >= wanted })
	if at == len(series) {
		return 0
	}
	return series[at].Seconds
}
