package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// startTime bounds the time in which all routers must serve after the start.
	startTime = 30 * time.Second
	// recoveryTime is the time after the last step in which service has to come back. It
	// is back once leastServed of what was asked of each router in proofTime was served.
	recoveryTime = 15 * time.Second
	proofTime    = 4 * time.Second
	leastServed  = 0.98
	// settleEvery is the interval in which that is looked at.
	settleEvery = 500 * time.Millisecond
	// mostMemoryGrowth and mostFileGrowth are what a process may hold beyond twice what
	// it held at the start of the traffic.
	mostMemoryGrowth = 64 << 20
	mostFileGrowth   = 128
)

// Options of a run.
type Options struct {
	// Daemon is the path of wheelcleatd.
	Daemon string
	// Folder takes settings, logs, the plan and the report.
	Folder string
	Plan   Plan
	Size   Size
	// Patience is added to each bound of time.
	Patience time.Duration
	// Callers is how many send to each router.
	Callers int
	// Progress is called once a second with a line; nil drops it.
	Progress func(line string)
}

// Run plays a plan. The error is that of the soak itself; what the daemons did wrong
// stands in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := os.MkdirAll(options.Folder, 0o750); err != nil {
		return nil, fmt.Errorf("make the folder: %w", err)
	}
	if err := writeJSON(filepath.Join(options.Folder, "plan.json"), options.Plan); err != nil {
		return nil, err
	}
	oracle := &Oracle{Began: time.Now(), Patience: options.Patience}
	f, err := newFleet(&options, oracle, ctx.Done())
	if err != nil {
		return nil, fmt.Errorf("set out the fleet: %w", err)
	}
	defer f.close()
	if err := f.startProcesses(); err != nil {
		return nil, err
	}
	r := &run{Options: options, fleet: f, oracle: oracle, tally: &Tally{}}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	r.play(ctx)
	return r.report(), ctx.Err()
}

// run is one run under way.
type run struct {
	Options
	fleet  *fleet
	oracle *Oracle
	tally  *Tally
	// number counts the requests of all callers.
	number atomic.Int64
	// first is what each process held at the start of the traffic.
	first map[string]usage
	began time.Time
}

// awaitReady waits until each router has served a request.
func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, router := range r.fleet.routers {
		c := r.caller(router, &Tally{}, &Oracle{})
		for !c.servesAll(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s did not serve %s after its start: %w", router.name, startTime, ctx.Err())
			}
		}
	}
	return nil
}

func (r *run) caller(router *router, tally *Tally, oracle *Oracle) *caller {
	return &caller{
		router: router.process, address: router.callers, oracle: oracle, tally: tally,
		newest: &r.fleet.newest, number: &r.number,
	}
}

// play has callers send while the plan's steps happen, and for a calm time after.
func (r *run) play(ctx context.Context) {
	r.began = time.Now()
	r.tally.begin(r.began)
	r.oracle.Began = r.began
	r.first = r.usages()
	calling, stop := context.WithCancel(ctx)
	var callers, steps sync.WaitGroup
	for _, router := range r.fleet.routers {
		for range r.Callers {
			callers.Go(func() { r.caller(router, r.tally, r.oracle).run(calling) })
		}
	}
	callers.Go(func() { r.tell(calling) })
	for _, step := range r.Plan.Steps {
		if !pause(ctx, time.Until(r.began.Add(time.Duration(step.At)))) {
			break
		}
		r.tally.mark(step)
		steps.Go(func() { r.fleet.strike(step) })
	}
	pause(ctx, time.Until(r.began.Add(time.Duration(r.Plan.Length))))
	steps.Wait()
	r.settle(ctx)
	stop()
	callers.Wait()
}

// settle waits for service to come back, and checks what holds at the end.
func (r *run) settle(ctx context.Context) {
	last := time.Now().Add(recoveryTime + proofTime + r.Patience)
	if !pause(ctx, proofTime) {
		return
	}
	for r.missing(nil) && time.Now().Before(last) {
		if !pause(ctx, settleEvery) {
			return
		}
	}
	r.missing(r.oracle.Violatef)
	for _, p := range r.fleet.processes() {
		if err := p.failed(); err != nil {
			r.oracle.Violatef(CheckProcess, "%v", err)
		}
	}
	r.checkUsage()
	r.oracle.Finish()
}

// missing reports whether anything is not back, and tells what unless tell is nil.
func (r *run) missing(tell func(check Check, format string, args ...any)) bool {
	missing := false
	miss := func(check Check, format string, args ...any) {
		missing = true
		if tell != nil {
			tell(check, format, args...)
		}
	}
	for _, router := range r.fleet.routers {
		served, asked := r.tally.since(router.name, time.Now().Add(-proofTime))
		if asked == 0 || float64(served) < leastServed*float64(asked) {
			miss(CheckRecovery, "%s served %d of %d requests in the last %s", router.name, served, asked, proofTime)
		}
	}
	for _, h := range r.fleet.engines() {
		if held := h.current().LoadedVersion(); held != r.fleet.version {
			miss(CheckVersion, "the engine on %s holds version %d at the end, %d was named", h.address, held, r.fleet.version)
		}
	}
	return missing
}

func (r *run) usages() map[string]usage {
	held := map[string]usage{}
	for _, p := range r.fleet.processes() {
		if now, ok := p.usage(); ok {
			held[p.name] = now
		}
	}
	return held
}

func (r *run) checkUsage() {
	for name, last := range r.usages() {
		first := r.first[name]
		if last.memory > 2*first.memory+mostMemoryGrowth || last.files > 2*first.files+mostFileGrowth {
			r.oracle.Violatef(CheckUsage, "%s holds %d MB and %d files, at the start %d MB and %d", name, last.memory>>20, last.files, first.memory>>20, first.files)
		}
	}
}

// tell says once a second how it goes.
func (r *run) tell(ctx context.Context) {
	for r.Progress != nil && pause(ctx, time.Second) {
		served, asked := r.tally.lastSecond()
		r.Progress(fmt.Sprintf("%3.0f s  served %d of %d, %d violations", time.Since(r.began).Seconds(), served, asked, len(r.oracle.Violations())))
	}
}

// pause waits, and reports whether the context goes on.
func pause(ctx context.Context, d time.Duration) bool {
	wait(d, ctx.Done())
	return ctx.Err() == nil
}
