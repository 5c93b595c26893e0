package replica

import (
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// View is the immutable state by which requests are decided, compiled from one state of
// the table.
type View struct {
	// Configuration is nil until one was received.
	Configuration *provider.Configuration
	// ConfigurationRevision is the revision of the configuration's entry.
	ConfigurationRevision provider.Revision
	// Upstreams holds the upstreams of each service, including those that are leaving,
	// without those of evacuated halls.
	Upstreams map[string][]*provider.Upstream
	// Targets holds the declared version of each model.
	Targets map[string]Declaration
	// Members holds the routers by name.
	Members map[string]*provider.Member

	routesByHost  map[string][]*provider.Route
	accountsByKey map[string]*provider.Account
	services      map[string]*provider.Service // by name
	// rankings holds the order of each service's requests by urgency.
	rankings map[string]*ranking
	// limits holds what the routes of each service require of its engines.
	limits map[string]serviceLimits
}

// Declaration is a declared version of a model and when this daemon received it.
type Declaration struct {
	provider.Target
	Revision provider.Revision
	// ReceivedAt is when this daemon received the declaration.
	ReceivedAt time.Time
	// Initial is set if the declaration was part of the first state this daemon received,
	// so it may be much older than ReceivedAt.
	Initial bool
	// Previous is the declaration that this one replaced, if it was received. At most
	// maxDeclarations are linked.
	Previous *Declaration
}

// maxDeclarations is the number of declarations that are kept of a model.
const maxDeclarations = 4

// DeclaredAt returns when the version was declared, by the view of this daemon. A
// declaration that preceded this daemon counts as being partway through its apply timeout.
func (d *Declaration) DeclaredAt(applyTimeout time.Duration) time.Time {
	const elapsedPart = 0.6
	if d.Initial {
		return d.ReceivedAt.Add(-time.Duration(elapsedPart * float64(applyTimeout)))
	}
	return d.ReceivedAt
}

// MinVersion returns the lowest version that may serve now: the newest that was declared
// longer than grace ago, or 0.
func (d *Declaration) MinVersion(now time.Time, grace, applyTimeout time.Duration) int {
	if declared := d.olderThan(grace, now, applyTimeout); declared != nil {
		return declared.Version
	}
	return 0
}

// olderThan returns the newest declaration that is older than age, or nil.
func (d *Declaration) olderThan(age time.Duration, now time.Time, applyTimeout time.Duration) *Declaration {
	for declared := d; declared != nil; declared = declared.Previous {
		if now.Sub(declared.DeclaredAt(applyTimeout)) > age {
			return declared
		}
	}
	return nil
}

// Route returns the route of a host with the longest prefix of the path, or nil.
func (v *View) Route(host, path string) *provider.Route {
	var best *provider.Route
	for _, route := range v.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Account returns the account of a key, or nil.
func (v *View) Account(key string) *provider.Account { return v.accountsByKey[key] }

// HasAccounts reports whether requests need a key.
func (v *View) HasAccounts() bool { return len(v.Configuration.Accounts) > 0 }

// Service returns a declared service, or nil.
func (v *View) Service(name string) *provider.Service { return v.services[name] }

// setConfiguration sets the configuration and what is derived from it.
func (v *View) setConfiguration(configuration *provider.Configuration) {
	v.Configuration = configuration
	v.routesByHost = map[string][]*provider.Route{}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		v.routesByHost[route.Host] = append(v.routesByHost[route.Host], route)
	}
	v.accountsByKey = map[string]*provider.Account{}
	for i := range configuration.Accounts {
		account := &configuration.Accounts[i]
		for _, key := range account.Keys {
			v.accountsByKey[key] = account
		}
	}
	v.rankings = serviceRankings(configuration)
	v.limits = limitsOfServices(configuration)
	v.services = map[string]*provider.Service{}
	for i := range configuration.Services {
		v.services[configuration.Services[i].Name] = &configuration.Services[i]
	}
}
