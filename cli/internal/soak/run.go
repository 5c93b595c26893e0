package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// startTimeout is how long routers may take to serve after their start.
	startTimeout = 30 * time.Second
	// recoveryTimeout is the time after the last step within which service must recover. It
	// has recovered once each router served minServedShare of its requests of the last
	// recoveryWindow.
	recoveryTimeout = 15 * time.Second
	recoveryWindow  = 4 * time.Second
	minServedShare  = 0.98
	// recoveryPollInterval is the interval between two checks for recovery.
	recoveryPollInterval = 500 * time.Millisecond
	// A process may use twice the memory and open files that it used at the start of the
	// traffic, plus maxMemoryGrowth bytes and maxFileGrowth files.
	maxMemoryGrowth = 64 << 20
	maxFileGrowth   = 128
)

// Options of a run.
type Options struct {
	// Daemon is the path of wheelcleatd.
	Daemon string
	// Folder receives settings, logs, the plan and the report.
	Folder string
	Plan   Plan
	Size   Size
	// Slack is added to each time bound of the checks.
	Slack time.Duration
	// Callers is the number of concurrent callers per router.
	Callers int
	// Instance is 0 or 1 and differs between concurrent runs of one process.
	Instance int
	// Progress is called once per second with a line of text, unless it is nil.
	Progress func(line string)
}

// Run executes a plan. It returns an error if the harness fails; violations by the daemons
// are in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := os.MkdirAll(options.Folder, 0o750); err != nil {
		return nil, fmt.Errorf("create the folder of the run: %w", err)
	}
	if err := writeJSON(filepath.Join(options.Folder, "plan.json"), options.Plan); err != nil {
		return nil, err
	}
	oracle := &Oracle{Start: time.Now(), Slack: options.Slack}
	f, err := newFleet(&options, oracle, ctx.Done())
	if err != nil {
		return nil, fmt.Errorf("set up the fleet: %w", err)
	}
	defer f.close()
	if err := f.startProcesses(); err != nil {
		return nil, err
	}
	r := &run{Options: options, fleet: f, oracle: oracle, tally: &Tally{}}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	r.execute(ctx)
	return r.report(), ctx.Err()
}

// run is the state of a run.
type run struct {
	Options
	fleet  *fleet
	oracle *Oracle
	tally  *Tally
	// initialUsage is the usage of each process at the start of the traffic, by name.
	initialUsage map[string]usage
	startTime    time.Time
}

// awaitReady waits until each router serves a stream and a plain request.
func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, router := range r.fleet.routers {
		c := r.caller(router, &Tally{}, &Oracle{})
		for !c.servesAll(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s did not serve within %s of its start: %w", router.name, startTimeout, ctx.Err())
			}
		}
	}
	return nil
}

func (r *run) caller(router *router, tally *Tally, oracle *Oracle) *caller {
	c := &caller{
		home: router, router: router.process, address: router.callers, oracle: oracle, tally: tally,
		newestConfiguration: &r.fleet.newestConfiguration, requestCount: &r.fleet.requestCount,
	}
	c.destination.Store(router)
	return c
}

// execute runs the callers and injects the steps of the plan, then waits for recovery with the
// callers still sending.
func (r *run) execute(ctx context.Context) {
	r.startTime = time.Now()
	r.tally.start(r.startTime)
	r.oracle.Start = r.startTime
	r.initialUsage = r.usages()
	callersCtx, stop := context.WithCancel(ctx)
	var callers, steps sync.WaitGroup
	for _, router := range r.fleet.routers {
		for range r.Callers {
			c := r.caller(router, r.tally, r.oracle)
			r.fleet.callers = append(r.fleet.callers, c)
			callers.Go(func() { c.run(callersCtx) })
		}
	}
	callers.Go(func() { r.reportProgress(callersCtx) })
	callers.Go(func() { r.oracle.RunHeartbeat(callersCtx.Done()) })
	for _, step := range r.Plan.Steps {
		if !pause(ctx, time.Until(r.startTime.Add(time.Duration(step.At)))) {
			break
		}
		r.tally.recordStep(step)
		steps.Go(func() { r.fleet.inject(step) })
	}
	pause(ctx, time.Until(r.startTime.Add(time.Duration(r.Plan.Length))))
	steps.Wait()
	r.finish(ctx)
	stop()
	callers.Wait()
}

// finish waits for service to recover and runs the checks of the complete run.
func (r *run) finish(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout + recoveryWindow + r.Slack)
	if !pause(ctx, recoveryWindow) {
		return
	}
	for r.unrecovered(nil) && time.Now().Before(deadline) {
		if !pause(ctx, recoveryPollInterval) {
			return
		}
	}
	r.unrecovered(r.oracle.Violatef)
	for _, p := range r.fleet.processes() {
		err := p.failureErr()
		if abortedRequests(err) && r.oracle.allowsCuts(p.name) {
			continue
		}
		if err != nil {
			r.oracle.Violatef(CheckProcess, "%v", err)
		}
	}
	r.checkUsage()
	r.oracle.Finish()
}

// unrecovered reports whether a router or an engine has not recovered, and passes each case
// to violatef unless it is nil.
func (r *run) unrecovered(violatef func(check Check, format string, args ...any)) bool {
	found := false
	add := func(check Check, format string, args ...any) {
		found = true
		if violatef != nil {
			violatef(check, format, args...)
		}
	}
	for _, router := range r.fleet.routers {
		served, requested := r.tally.servedSince(router.name, time.Now().Add(-recoveryWindow))
		if requested == 0 || float64(served) < minServedShare*float64(requested) {
			add(CheckRecovery, "%s served %d of %d requests in the last %s", router.name, served, requested, recoveryWindow)
		}
	}
	for _, h := range r.fleet.engineHosts() {
		if loaded := h.currentUpstream().LoadedVersion(); loaded != r.fleet.newestVersion {
			add(CheckVersion, "the engine on %s holds version %d at the end of the run, version %d was published", h.address, loaded, r.fleet.newestVersion)
		}
	}
	return found
}

func (r *run) usages() map[string]usage {
	byName := map[string]usage{}
	for _, p := range r.fleet.processes() {
		if now, ok := p.usage(); ok {
			byName[p.name] = now
		}
	}
	return byName
}

func (r *run) checkUsage() {
	for name, last := range r.usages() {
		first := r.initialUsage[name]
		if last.memory > 2*first.memory+maxMemoryGrowth || last.files > 2*first.files+maxFileGrowth {
			r.oracle.Violatef(CheckUsage, "%s uses %d MB and %d open files, %d MB and %d at the start of the traffic", name, last.memory>>20, last.files, first.memory>>20, first.files)
		}
	}
}

// reportProgress passes a line to Progress once per second.
func (r *run) reportProgress(ctx context.Context) {
	for r.Progress != nil && pause(ctx, time.Second) {
		served, requested := r.tally.lastSecond()
		r.Progress(fmt.Sprintf("%3.0f s  served %d of %d, %d violations", time.Since(r.startTime).Seconds(), served, requested, len(r.oracle.Violations())))
	}
}

// pause waits for a duration and reports whether the context is still active.
func pause(ctx context.Context, d time.Duration) bool {
	wait(d, ctx.Done())
	return ctx.Err() == nil
}
