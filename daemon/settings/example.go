package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
)

// exampleHall is the data hall in all examples.
const exampleHall = "recife"

func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}

// ExampleEntry returns valid settings of an entry.
func ExampleEntry() Entry {
	return Entry{
		Role:     RoleEntry,
		Name:     "entry-1",
		Hall:     exampleHall,
		Listen:   EntryListen{Callers: loopback(7000), Operators: loopback(7001), Peers: loopback(7002)},
		Platform: EntryPlatform{KeyValue: loopback(7900), HostList: loopback(7901)},
		Requests: Requests{MaxBodyBytes: DefaultMaxBodyBytes, MaxHeaderBytes: DefaultMaxHeaderBytes},
		Drain:    api.Duration(DefaultDrain),
		Log:      Log{Level: "info"},
	}
}

// ExampleAgent returns valid settings of an agent.
func ExampleAgent() Agent {
	return Agent{
		Role:     RoleAgent,
		Name:     "host-1",
		Hall:     exampleHall,
		Listen:   AgentListen{Peers: loopback(7102)},
		Platform: AgentPlatform{HostList: loopback(7901)},
		Weights:  Weights{Origin: loopback(7902), StagingBytes: DefaultStagingBytes, PeerWait: api.Duration(2 * time.Second)},
		Upstream: Upstream{Kind: UpstreamEngine, Address: loopback(7903), ChecksFence: true},
		Drain:    api.Duration(DefaultDrain),
		Log:      Log{Level: "info"},
	}
}

// Example returns an example settings file for a role.
func Example(role Role) ([]byte, error) {
	var example any
	switch role {
	case RoleEntry:
		example = ExampleEntry()
	case RoleAgent:
		example = ExampleAgent()
	case RoleRouter:
		example = ExampleRouter()
	case RoleLoader:
		example = ExampleLoader()
	default:
		return nil, fmt.Errorf("no settings for role %q; use entry, agent, router or loader", role)
	}
	data, err := json.MarshalIndent(example, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode example: %w", err)
	}
	return append(data, '\n'), nil
}
