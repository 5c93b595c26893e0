package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
)

// Check returns all validation errors of an entry's settings.
func (e *Entry) Check() []api.FieldError {
	c := &checker{}
	c.identity(e.Name, e.Hall)
	c.address("listen.callers", e.Listen.Callers)
	c.address("listen.operators", e.Listen.Operators)
	c.address("listen.peers", e.Listen.Peers)
	c.address("platform.keyValue", e.Platform.KeyValue)
	c.address("platform.hostList", e.Platform.HostList)
	for i, digest := range e.OperatorKeyDigests {
		raw, err := hex.DecodeString(digest)
		if err != nil || len(raw) != 32 {
			c.add(fmt.Sprintf("operatorKeyDigests[%d]", i), "not a digest", "the hex SHA-256 of a bearer key, 64 hex digits")
		}
	}
	if operators := e.Listen.Operators; len(e.OperatorKeyDigests) == 0 && operators.IsValid() && !operators.Addr().IsLoopback() {
		c.add("operatorKeyDigests", "missing", "an operators' port that is not on loopback requires at least one key digest")
	}
	c.notNegative("requests.maxBodyBytes", float64(e.Requests.MaxBodyBytes))
	c.notNegative("requests.maxHeaderBytes", float64(e.Requests.MaxHeaderBytes))
	c.duration("drain", e.Drain)
	c.level(e.Log)
	return c.fieldErrs
}

// Check returns all validation errors of an agent's settings.
func (a *Agent) Check() []api.FieldError {
	c := &checker{}
	c.identity(a.Name, a.Hall)
	c.address("listen.peers", a.Listen.Peers)
	c.address("platform.hostList", a.Platform.HostList)
	c.address("upstream.address", a.Upstream.Address)
	switch a.Upstream.Kind {
	case UpstreamEngine:
		c.address("weights.origin", a.Weights.Origin)
		if a.Weights.Store.IsValid() {
			c.address("weights.store", a.Weights.Store)
		}
		if len(a.Upstream.Services) > 0 {
			c.add("upstream.services", "not allowed for an engine", "placement assigns the service; leave the field out")
		}
	case UpstreamPlain:
		if len(a.Upstream.Services) == 0 {
			c.add("upstream.services", "missing", "the names of the plain services on this host")
		}
	default:
		c.add("upstream.kind", fmt.Sprintf("unknown kind %q", a.Upstream.Kind), `use "engine" or "plain"`)
	}
	c.notNegative("weights.stagingBytes", float64(a.Weights.StagingBytes))
	c.notNegative("weights.uploadBytesPerSecond", float64(a.Weights.UploadBytesPerSecond))
	c.notNegative("weights.downloadBytesPerSecond", float64(a.Weights.DownloadBytesPerSecond))
	c.duration("weights.peerWait", a.Weights.PeerWait)
	c.duration("upstream.orderHold", a.Upstream.OrderHold)
	c.duration("drain", a.Drain)
	c.level(a.Log)
	return c.fieldErrs
}

// checker collects validation errors. It also rejects duplicate addresses, since
// two settings cannot refer to the same port.
type checker struct {
	fieldErrs []api.FieldError
	seen      []namedAddress
}

type namedAddress struct {
	path    string
	address netip.AddrPort
}

func (c *checker) add(path, problem, hint string) {
	c.fieldErrs = append(c.fieldErrs, api.FieldError{Path: path, Problem: problem, Hint: hint})
}

func (c *checker) identity(name, hall string) {
	if name == "" {
		c.add("name", "missing", "the host's name in the platform's host list")
	}
	if hall == "" {
		c.add("hall", "missing", "the data hall of the host")
	}
}

func (c *checker) address(path string, address netip.AddrPort) {
	if !address.IsValid() {
		c.add(path, "missing", `an IP address and a port, such as "10.0.0.7:7002"`)
		return
	}
	if address.Port() == 0 {
		return // ephemeral ports never collide
	}
	for _, other := range c.seen {
		if other.address == address {
			c.add(path, fmt.Sprintf("%s is already the address of %s", address, other.path), "each address must be unique")
		}
	}
	c.seen = append(c.seen, namedAddress{path, address})
}

func (c *checker) notNegative(path string, value float64) {
	if value < 0 {
		c.add(path, fmt.Sprintf("%g is below 0", value), "leave the field out for the default")
	}
}

func (c *checker) duration(path string, value api.Duration) {
	if value.Std() < 0 || value.Std() > 24*time.Hour {
		c.add(path, fmt.Sprintf("%s is out of bounds", value.Std()), "from 0s to 24h")
	}
}

func (c *checker) level(log Log) {
	if log.Level != "" && !slices.Contains([]string{"debug", "info", "warn", "error"}, log.Level) {
		c.add("log.level", fmt.Sprintf("unknown level %q", log.Level), "use debug, info, warn or error")
	}
}

func (c *checker) expectedLoad(balance Balance) {
	switch balance.ExpectedLoad {
	case "", ExpectedLoadAuto, ExpectedLoadOn, ExpectedLoadOff:
	default:
		c.add("balance.expectedLoad", fmt.Sprintf("unknown value %q", balance.ExpectedLoad), "use auto, on or off")
	}
}
