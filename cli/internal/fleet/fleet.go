// Package fleet runs a small fleet in one process: stand-ins for the platform,
// real entries and real agents, with real HTTP between them on loopback.
//
// The dev command, the benchmarks and the tests of this package use it. It
// builds the processes, passes them their addresses, and can cut connections
// between data halls. It simulates neither clock nor network.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/daemon/agent"
	"github.com/wheelcleat/wheelcleat/daemon/entry"
	"github.com/wheelcleat/wheelcleat/standin/engine"
	"github.com/wheelcleat/wheelcleat/standin/hostlist"
	"github.com/wheelcleat/wheelcleat/standin/kv"
	"github.com/wheelcleat/wheelcleat/standin/serve"
	"github.com/wheelcleat/wheelcleat/standin/weights"
)

// Config configures a fleet.
type Config struct {
	// Halls are the names of the data halls.
	Halls []string
	// EntriesPerHall is the number of entries in each hall.
	EntriesPerHall int
	// EngineHosts is the number of engine hosts in all halls together,
	// PlainHostsPerHall the number of hosts with a plain upstream in each hall.
	EngineHosts       int
	PlainHostsPerHall int
	// PlainServices are the services that the plain upstreams serve.
	PlainServices []string
	// LogOutput receives the log lines of all processes; nil discards them.
	LogOutput io.Writer
	// LogLevel is the level of all processes; empty means info.
	LogLevel string
	// Entry and Agent are the base options of each entry and agent.
	Entry entry.Options
	Agent agent.Options
	// OriginBytesPerSecond limits the origin's link; 0 means no limit.
	OriginBytesPerSecond int64
	// UploadBytesPerSecond and DownloadBytesPerSecond limit each host's link;
	// 0 means no limit. HalfDuplex makes both directions share the upload rate.
	UploadBytesPerSecond, DownloadBytesPerSecond int64
	HalfDuplex                                   bool
	// PeerWait is how long agents wait for peers; 0 means the default.
	PeerWait time.Duration
	// SetUpEngine configures each engine before it starts, unless nil.
	SetUpEngine func(*engine.Server)
	// SetUpKV configures the key-value service before it starts, unless nil.
	SetUpKV func(*kv.Server)
	// SetUpOrigin configures the origin before it starts, SetUpAgent each agent,
	// unless nil.
	SetUpOrigin func(*weights.Server)
	SetUpAgent  func(name string, options *agent.Options)
}

// HallNames returns the names of count data halls.
func HallNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("hall-%d", i+1)
	}
	return names
}

// Fleet is a running fleet.
type Fleet struct {
	Config Config

	KV       *kv.Server
	HostList *hostlist.Server
	Origin   *weights.Server

	// mu guards entries and hosts, which change while the fleet runs.
	mu      sync.Mutex
	entries []*Entry
	hosts   []*Host

	kvServer, hostListServer, originServer *serve.Server
	network                                *network
}

// syncWriter serializes the log lines of all processes.
type syncWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (l *syncWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(line)
}

// Start builds and starts a fleet. Stop or Kill ends it.
func Start(config Config) (*Fleet, error) {
	if config.LogOutput == nil {
		config.LogOutput = io.Discard
	}
	config.LogOutput = &syncWriter{out: config.LogOutput}
	config.Entry.LogOutput, config.Agent.LogOutput = config.LogOutput, config.LogOutput
	f := &Fleet{
		Config: config, KV: &kv.Server{}, HostList: &hostlist.Server{},
		Origin:  &weights.Server{BytesPerSecond: config.OriginBytesPerSecond},
		network: newNetwork(),
	}
	if config.SetUpKV != nil {
		config.SetUpKV(f.KV)
	}
	if config.SetUpOrigin != nil {
		config.SetUpOrigin(f.Origin)
	}
	if err := f.start(); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.kvServer, err = serve.Loopback(f.KV); err != nil {
		return err
	}
	if f.hostListServer, err = serve.Loopback(f.HostList); err != nil {
		return err
	}
	if f.originServer, err = serve.Loopback(f.Origin); err != nil {
		return err
	}
	for _, s := range []*serve.Server{f.kvServer, f.hostListServer, f.originServer} {
		f.network.setLocation(s.Address, Platform)
	}
	for _, hall := range f.Config.Halls {
		for i := range f.Config.EntriesPerHall {
			if _, err := f.AddEntry(fmt.Sprintf("%s-entry-%d", hall, i+1), hall); err != nil {
				return err
			}
		}
		for i := range f.Config.PlainHostsPerHall {
			if _, err := f.AddPlainHost(fmt.Sprintf("%s-plain-%d", hall, i+1), hall); err != nil {
				return err
			}
		}
	}
	for i := range f.Config.EngineHosts {
		hall := f.Config.Halls[i%len(f.Config.Halls)]
		if _, err := f.AddEngineHost(fmt.Sprintf("%s-host-%03d", hall, i/len(f.Config.Halls)+1), hall); err != nil {
			return err
		}
	}
	return nil
}

// Entries returns the running entries.
func (f *Fleet) Entries() []*Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

// Hosts returns the running hosts.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts)
}

// EngineHosts returns the running hosts with engines.
func (f *Fleet) EngineHosts() []*Host {
	var engines []*Host
	for _, host := range f.Hosts() {
		if host.Engine != nil {
			engines = append(engines, host)
		}
	}
	return engines
}

// AddVersion adds a version with the given bytes to the origin and returns its
// manifest digest.
func (f *Fleet) AddVersion(data []byte, chunkBytes int64) (manifest.Digest, error) {
	return f.Origin.Add(data, chunkBytes)
}

// ReadyEngines returns the number of engines that serve the version with the given
// manifest digest.
func (f *Fleet) ReadyEngines(id manifest.Digest) int {
	ready := 0
	for _, host := range f.EngineHosts() {
		if host.Engine.State().Manifest == id.String() {
			ready++
		}
	}
	return ready
}

// Stop drains all processes, entries first, and stops the stand-ins.
func (f *Fleet) Stop(ctx context.Context) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	stop := func(stopOne func(context.Context) error) {
		group.Go(func() {
			err := stopOne(ctx)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	for _, e := range f.Entries() {
		stop(e.Process.Stop)
	}
	group.Wait()
	for _, host := range f.Hosts() {
		stop(host.Agent.Stop)
	}
	group.Wait()
	f.Kill()
	return errors.Join(errs...)
}

// Kill stops all processes and stand-ins without draining.
func (f *Fleet) Kill() {
	var group sync.WaitGroup
	for _, e := range f.Entries() {
		group.Go(e.Process.Kill)
	}
	for _, host := range f.Hosts() {
		group.Go(host.Agent.Kill)
	}
	group.Wait()
	for _, host := range f.Hosts() {
		host.server.Close()
	}
	for _, s := range []*serve.Server{f.kvServer, f.hostListServer, f.originServer} {
		if s != nil {
			s.Close()
		}
	}
}
