package fleet

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"

	"golang.org/x/time/rate"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/agent"
	"github.com/wheelcleat/wheelcleat/daemon/entry"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/standin/engine"
	"github.com/wheelcleat/wheelcleat/standin/hostlist"
	"github.com/wheelcleat/wheelcleat/standin/plain"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// Entry is one entry of the fleet.
type Entry struct {
	Name, Hall string
	Process    *entry.Process
}

// Host is one upstream host: an agent and the upstream that it manages.
type Host struct {
	Name, Hall string
	Agent      *agent.Process
	// Exactly one of Engine and Plain is set. server serves it.
	Engine *engine.Server
	Plain  *plain.Server
	server *serve.Server
}

// UpstreamURL returns the URL of the upstream itself, without the agent.
func (h *Host) UpstreamURL() string { return h.server.URL() }

func ephemeralAddress() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

func (f *Fleet) logSettings() settings.Log {
	level := f.Config.LogLevel
	if level == "" {
		level = "info"
	}
	return settings.Log{Level: level}
}

// EntrySettings returns the settings of an entry of this fleet.
func (f *Fleet) EntrySettings(name, hall string) settings.Entry {
	return settings.Entry{
		Role: settings.RoleEntry, Name: name, Hall: hall,
		Listen:   settings.EntryListen{Callers: ephemeralAddress(), Operators: ephemeralAddress(), Peers: ephemeralAddress()},
		Platform: settings.EntryPlatform{KeyValue: f.kvServer.Address, HostList: f.hostListServer.Address},
		Log:      f.logSettings(),
	}
}

// AddEntry starts an entry and adds it to the host list.
func (f *Fleet) AddEntry(name, hall string) (*Entry, error) {
	options := f.Config.Entry
	options.Dial = f.network.dialFrom(hall)
	process, err := entry.New(f.EntrySettings(name, hall), options)
	if err != nil {
		return nil, fmt.Errorf("set up entry %s: %w", name, err)
	}
	if err := process.Start(); err != nil {
		return nil, fmt.Errorf("start entry %s: %w", name, err)
	}
	f.network.setLocation(process.Addresses().Peers, hall)
	added := &Entry{Name: name, Hall: hall, Process: process}
	f.mu.Lock()
	f.entries = append(f.entries, added)
	f.mu.Unlock()
	f.HostList.Set(hostlist.Host{Name: name, Role: hostlist.RoleEntry, Hall: hall, State: hostlist.StateLive, Address: process.Addresses().Peers})
	return added, nil
}

// AddEngineHost starts an engine with its agent and adds the host to the host
// list.
func (f *Fleet) AddEngineHost(name, hall string) (*Host, error) {
	program := &engine.Server{}
	if f.Config.SetUpEngine != nil {
		f.Config.SetUpEngine(program)
	}
	host := &Host{Name: name, Hall: hall, Engine: program}
	upstream := settings.Upstream{Kind: settings.UpstreamEngine, ChecksFence: !program.IgnoreFence}
	return host, f.startHost(host, program, upstream)
}

// AddPlainHost starts a plain service with its agent and adds the host to the
// host list.
func (f *Fleet) AddPlainHost(name, hall string) (*Host, error) {
	program := &plain.Server{}
	host := &Host{Name: name, Hall: hall, Plain: program}
	return host, f.startHost(host, program, settings.Upstream{Kind: settings.UpstreamPlain, Services: f.Config.PlainServices})
}

func (f *Fleet) startHost(host *Host, program http.Handler, upstream settings.Upstream) error {
	server, err := serve.Loopback(program)
	if err != nil {
		return err
	}
	host.server = server
	upstream.Address = server.Address
	process, err := agent.New(settings.Agent{
		Role: settings.RoleAgent, Name: host.Name, Hall: host.Hall,
		Listen:   settings.AgentListen{Peers: ephemeralAddress()},
		Platform: settings.AgentPlatform{HostList: f.hostListServer.Address},
		Weights:  settings.Weights{Origin: f.originServer.Address, PeerWait: api.Duration(f.Config.PeerWait)},
		Upstream: upstream, Log: f.logSettings(),
	}, f.agentOptions(host))
	if err != nil {
		return fmt.Errorf("set up agent %s: %w", host.Name, err)
	}
	if err := process.Start(); err != nil {
		return fmt.Errorf("start agent %s: %w", host.Name, err)
	}
	host.Agent = process
	f.network.setLocation(process.Address(), host.Hall)
	f.mu.Lock()
	f.hosts = append(f.hosts, host)
	f.mu.Unlock()
	f.HostList.Set(hostlist.Host{Name: host.Name, Role: hostlist.RoleAgent, Hall: host.Hall, State: hostlist.StateLive, Address: process.Address()})
	return nil
}

// linkBurst is the burst of a rate-limited link in bytes.
const linkBurst = 128 << 10

// agentOptions returns the options of a host's agent. Each agent has its own rate
// limiters.
func (f *Fleet) agentOptions(host *Host) agent.Options {
	options := f.Config.Agent
	options.Dial = f.network.dialFrom(host.Hall)
	if up := f.Config.UploadBytesPerSecond; up > 0 {
		options.UploadLimiter = rate.NewLimiter(rate.Limit(up), linkBurst)
		options.DownloadLimiter = options.UploadLimiter
	}
	if down := f.Config.DownloadBytesPerSecond; down > 0 && !f.Config.HalfDuplex {
		options.DownloadLimiter = rate.NewLimiter(rate.Limit(down), linkBurst)
	}
	if f.Config.SetUpAgent != nil {
		f.Config.SetUpAgent(host.Name, &options)
	}
	return options
}

// KillHost stops a host without draining, as a crash does. The host stays on the
// host list.
func (f *Fleet) KillHost(host *Host) {
	f.mu.Lock()
	f.hosts = slices.DeleteFunc(f.hosts, func(candidate *Host) bool { return candidate == host })
	f.mu.Unlock()
	host.Agent.Kill()
	host.server.Close()
}

// KillEntry stops an entry without draining and removes it from the host list.
func (f *Fleet) KillEntry(e *Entry) {
	f.mu.Lock()
	f.entries = slices.DeleteFunc(f.entries, func(candidate *Entry) bool { return candidate == e })
	f.mu.Unlock()
	e.Process.Kill()
	f.HostList.Remove(e.Name)
}
