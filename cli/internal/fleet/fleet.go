// Package fleet runs a small fleet in one process: stand-ins for the platform,
// real entries and real agents, with real HTTP between them on loopback.
//
// It is what the dev command and the benches share. It models no clock and no
// network; it only builds processes and hands them their addresses.
package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/api/client"
	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/daemon/agent"
	"github.com/wheelcleat/wheelcleat/daemon/entry"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/standin/engine"
	"github.com/wheelcleat/wheelcleat/standin/hostlist"
	"github.com/wheelcleat/wheelcleat/standin/kv"
	"github.com/wheelcleat/wheelcleat/standin/plain"
	"github.com/wheelcleat/wheelcleat/standin/serve"
	"github.com/wheelcleat/wheelcleat/standin/weights"
)

// Config describes a fleet.
type Config struct {
	// Halls are the names of the data halls.
	Halls []string
	// EntriesPerHall is the number of entries in each hall.
	EntriesPerHall int
	// Agents is the number of engine hosts over all halls, PlainAgents that of
	// hosts with a plain service, per hall.
	Agents      int
	PlainAgents int
	// PlainServices are the services of the plain hosts.
	PlainServices []string
	// LogOutput takes the log lines of all processes; nil drops them.
	LogOutput io.Writer
	// LogLevel is the level of all processes; empty means info.
	LogLevel string
	// Entry and Agent vary the processes.
	Entry entry.Options
	Agent agent.Options
	// OriginBytesPerSecond bounds the origin's link; 0 means no bound.
	OriginBytesPerSecond int64
	// UploadBytesPerSecond and DownloadBytesPerSecond bound each host's link;
	// 0 means no bound. HalfDuplex makes both directions share the upload rate.
	UploadBytesPerSecond, DownloadBytesPerSecond int64
	HalfDuplex                                   bool
	// PeerWait varies the agents' wait for peers; 0 takes the default.
	PeerWait time.Duration
	// SetUpEngine varies each engine before it starts; nil means not at all.
	SetUpEngine func(*engine.Server)
	// SetUpKV varies the key-value service before it starts; nil likewise.
	SetUpKV func(*kv.Server)
	// SetUpOrigin varies the origin, SetUpAgent each agent; nil likewise.
	SetUpOrigin func(*weights.Server)
	SetUpAgent  func(name string, options *agent.Options)
}

// HallNames returns the names of a number of data halls.
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

	// mu guards Entries and Hosts, which grow and shrink in fault tests.
	mu      sync.Mutex
	entries []*Entry
	hosts   []*Host

	kvServer, listServer, originServer *serve.Server
	network                            *network
}

// Entry is one entry of the fleet.
type Entry struct {
	Name, Hall string
	Process    *entry.Process
}

// Host is one upstream host: an agent and the program beside it.
type Host struct {
	Name, Hall string
	Agent      *agent.Process
	// Exactly one of Engine and Plain is set.
	Engine *engine.Server
	Plain  *plain.Server
	server *serve.Server
}

// UpstreamURL is where the program beside the agent listens.
func (h *Host) UpstreamURL() string { return h.server.URL() }

// logs serializes the lines of many processes.
type logs struct {
	mu  sync.Mutex
	out io.Writer
}

// Write writes one line.
func (l *logs) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(line)
}

// Start builds and starts a fleet. Stop or Kill ends it.
func Start(config Config) (*Fleet, error) {
	if config.LogOutput == nil {
		config.LogOutput = io.Discard
	}
	config.LogOutput = &logs{out: config.LogOutput}
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
	if f.listServer, err = serve.Loopback(f.HostList); err != nil {
		return err
	}
	if f.originServer, err = serve.Loopback(f.Origin); err != nil {
		return err
	}
	for _, s := range []*serve.Server{f.kvServer, f.listServer, f.originServer} {
		f.network.put(s.Address, Platform)
	}
	for _, hall := range f.Config.Halls {
		for i := range f.Config.EntriesPerHall {
			if _, err := f.AddEntry(fmt.Sprintf("%s-entry-%d", hall, i+1), hall); err != nil {
				return err
			}
		}
		for i := range f.Config.PlainAgents {
			if _, err := f.AddPlainHost(fmt.Sprintf("%s-plain-%d", hall, i+1), hall); err != nil {
				return err
			}
		}
	}
	for i := range f.Config.Agents {
		hall := f.Config.Halls[i%len(f.Config.Halls)]
		if _, err := f.AddEngineHost(fmt.Sprintf("%s-host-%03d", hall, i/len(f.Config.Halls)+1), hall); err != nil {
			return err
		}
	}
	return nil
}

func ephemeral() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

func (f *Fleet) log() settings.Log {
	level := f.Config.LogLevel
	if level == "" {
		level = "info"
	}
	return settings.Log{Level: level}
}

// EntrySettings are the settings of an entry of this fleet.
func (f *Fleet) EntrySettings(name, hall string) settings.Entry {
	return settings.Entry{
		Role: settings.RoleEntry, Name: name, Hall: hall,
		Listen:   settings.EntryListen{Callers: ephemeral(), Operators: ephemeral(), Peers: ephemeral()},
		Platform: settings.EntryPlatform{KeyValue: f.kvServer.Address, HostList: f.listServer.Address},
		Log:      f.log(),
	}
}

// AddEntry starts an entry and puts it on the host list.
func (f *Fleet) AddEntry(name, hall string) (*Entry, error) {
	options := f.Config.Entry
	options.Dial = f.network.dialFrom(hall)
	process, err := entry.New(f.EntrySettings(name, hall), options)
	if err != nil {
		return nil, err
	}
	if err := process.Start(); err != nil {
		return nil, err
	}
	f.network.put(process.Addresses().Peers, hall)
	added := &Entry{Name: name, Hall: hall, Process: process}
	f.mu.Lock()
	f.entries = append(f.entries, added)
	f.mu.Unlock()
	f.HostList.Set(hostlist.Host{Name: name, Role: hostlist.RoleEntry, Hall: hall, State: hostlist.StateLive, Address: process.Addresses().Peers})
	return added, nil
}

// AddEngineHost starts an engine with its agent and lists the host.
func (f *Fleet) AddEngineHost(name, hall string) (*Host, error) {
	beside := &engine.Server{}
	if f.Config.SetUpEngine != nil {
		f.Config.SetUpEngine(beside)
	}
	host := &Host{Name: name, Hall: hall, Engine: beside}
	upstream := settings.Upstream{Kind: settings.UpstreamEngine, ChecksFence: !beside.IgnoreFence}
	return host, f.startHost(host, beside, upstream)
}

// AddPlainHost starts a plain service with its agent and lists the host.
func (f *Fleet) AddPlainHost(name, hall string) (*Host, error) {
	beside := &plain.Server{}
	host := &Host{Name: name, Hall: hall, Plain: beside}
	return host, f.startHost(host, beside, settings.Upstream{Kind: settings.UpstreamPlain, Services: f.Config.PlainServices})
}

func (f *Fleet) startHost(host *Host, beside http.Handler, upstream settings.Upstream) error {
	server, err := serve.Loopback(beside)
	if err != nil {
		return err
	}
	host.server = server
	upstream.Address = server.Address
	process, err := agent.New(settings.Agent{
		Role: settings.RoleAgent, Name: host.Name, Hall: host.Hall,
		Listen:   settings.AgentListen{Peers: ephemeral()},
		Platform: settings.AgentPlatform{HostList: f.listServer.Address},
		Weights:  settings.Weights{Origin: f.originServer.Address, PeerWait: api.Duration(f.Config.PeerWait)},
		Upstream: upstream, Log: f.log(),
	}, f.agentOptions(host))
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	host.Agent = process
	f.network.put(process.Address(), host.Hall)
	f.mu.Lock()
	f.hosts = append(f.hosts, host)
	f.mu.Unlock()
	f.HostList.Set(hostlist.Host{Name: host.Name, Role: hostlist.RoleAgent, Hall: host.Hall, State: hostlist.StateLive, Address: process.Address()})
	return nil
}

// linkBurst is the burst of a paced link in bytes.
const linkBurst = 128 << 10

// agentOptions gives each agent limiters of its own.
func (f *Fleet) agentOptions(host *Host) agent.Options {
	options := f.Config.Agent
	options.Dial = f.network.dialFrom(host.Hall)
	if up := f.Config.UploadBytesPerSecond; up > 0 {
		options.Upload = rate.NewLimiter(rate.Limit(up), linkBurst)
		options.Download = options.Upload
	}
	if down := f.Config.DownloadBytesPerSecond; down > 0 && !f.Config.HalfDuplex {
		options.Download = rate.NewLimiter(rate.Limit(down), linkBurst)
	}
	if f.Config.SetUpAgent != nil {
		f.Config.SetUpAgent(host.Name, &options)
	}
	return options
}

// Entries returns the running entries.
func (f *Fleet) Entries() []*Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Entry(nil), f.entries...)
}

// Hosts returns the running hosts.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Host(nil), f.hosts...)
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

// Operator returns a client of the resource API on all entries.
func (f *Fleet) Operator() *client.Client {
	operator := &client.Client{}
	for _, e := range f.Entries() {
		operator.Entries = append(operator.Entries, "http://"+e.Process.Addresses().Operators.String())
	}
	return operator
}

// AddModel gives the origin a version with the given bytes and returns its
// manifest digest.
func (f *Fleet) AddModel(data []byte, chunkBytes int64) (manifest.Digest, error) {
	return f.Origin.Add(data, chunkBytes)
}

// KillHost ends a host at once, as one that dies. The list does not know.
func (f *Fleet) KillHost(host *Host) {
	f.mu.Lock()
	for i, candidate := range f.hosts {
		if candidate == host {
			f.hosts = append(f.hosts[:i:i], f.hosts[i+1:]...)
			break
		}
	}
	f.mu.Unlock()
	host.Agent.Kill()
	host.server.Close()
}

// KillEntry ends an entry at once and takes it off the list.
func (f *Fleet) KillEntry(e *Entry) {
	f.mu.Lock()
	for i, candidate := range f.entries {
		if candidate == e {
			f.entries = append(f.entries[:i:i], f.entries[i+1:]...)
			break
		}
	}
	f.mu.Unlock()
	e.Process.Kill()
	f.HostList.Remove(e.Name)
}

// Stop drains all processes, entries first, and ends the stand-ins.
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

// Kill ends everything at once.
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
	for _, s := range []*serve.Server{f.kvServer, f.listServer, f.originServer} {
		if s != nil {
			s.Close()
		}
	}
}

// Await polls a condition until it holds or the context ends.
func Await(ctx context.Context, what string, holds func() bool) error {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s did not come about: %w", what, ctx.Err())
		}
	}
	return nil
}

// AwaitReady waits until every entry has its configuration.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return Await(ctx, "readiness of every entry", func() bool {
		for _, e := range f.Entries() {
			if e.Process.NotReady() != "" {
				return false
			}
		}
		return true
	})
}

// AwaitMembers waits until every entry knows a number of agents.
func (f *Fleet) AwaitMembers(ctx context.Context, agents int) error {
	return Await(ctx, "membership of all hosts", func() bool {
		for _, e := range f.Entries() {
			if e.Process.Members() < agents {
				return false
			}
		}
		return true
	})
}

// AwaitRevision waits until every entry has a configuration revision in force.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64) error {
	return Await(ctx, fmt.Sprint("revision ", revision, " at every entry"), func() bool {
		for _, e := range f.Entries() {
			if e.Process.Revision() < revision {
				return false
			}
		}
		return true
	})
}

// Declare writes resources in order.
func (f *Fleet) Declare(ctx context.Context, resources ...*api.Resource) error {
	operator := f.Operator()
	for _, r := range resources {
		if _, err := operator.Put(ctx, r, client.PutOptions{}); err != nil {
			return fmt.Errorf("declare %s %q: %w", r.Kind, r.Name, err)
		}
	}
	return nil
}

// Ready counts the engines that hold a version by its manifest digest.
func (f *Fleet) Ready(id manifest.Digest) int {
	ready := 0
	for _, host := range f.EngineHosts() {
		if host.Engine.State().Manifest == id.String() {
			ready++
		}
	}
	return ready
}

// Answer is what a request got.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends one request to an entry and reads the whole answer. An answer
// that breaks off is an error.
func Call(ctx context.Context, e *Entry, call CallOptions) (Answer, error) {
	url := "http://" + e.Process.Addresses().Callers.String() + "/v1/services/" + call.Service + call.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+call.Key)
	for name, value := range call.Header {
		request.Header[name] = value
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, err
}

// CallOptions describe one request.
type CallOptions struct {
	Service, Path, Key string
	Body               []byte
	Header             http.Header
}
