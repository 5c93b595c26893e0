package replica

import (
	"strings"

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
	// routed holds the names of the services that routes send requests to.
	routed map[string]bool
	// rankings holds the order of each service's requests by urgency.
	rankings map[string]*ranking
	// limits holds what the routes of each service require of its engines.
	limits map[string]serviceLimits
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

// names reports whether the configuration names a service.
func (v *View) names(service string) bool { return v.services[service] != nil || v.routed[service] }

// Service returns a declared service, or nil.
func (v *View) Service(name string) *provider.Service { return v.services[name] }

// setConfiguration sets the configuration and what is derived from it.
func (v *View) setConfiguration(configuration *provider.Configuration) {
	v.Configuration = configuration
	v.routesByHost = map[string][]*provider.Route{}
	v.routed = map[string]bool{}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		v.routesByHost[route.Host] = append(v.routesByHost[route.Host], route)
		for _, share := range route.Shares {
			v.routed[share.Service] = true
		}
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
