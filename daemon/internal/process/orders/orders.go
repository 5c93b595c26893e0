// Package orders computes what one host is told: which version to serve, which
// to fetch ahead, and which hosts to exchange chunks with.
//
// An order is a pure function of an entry's configuration and membership, so
// any entry can answer any agent, and an agent compares two answers by the
// configuration revision that they were computed at.
package orders

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/placement"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/placer"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

// GatewaysPerHall is the number of hosts of each hall among which the
// primaries of chunks are chosen. Hosts of other halls need to know only
// these, which keeps an order small at 2,000 hosts.
const GatewaysPerHall = 16

// DefaultInFlight bounds a host's requests where the service names no bound.
const DefaultInFlight = 64

// For returns the order for a host, nil where it has none.
func For(view *tables.View, membership *members.View, hall, host string) *wire.Order {
	placed, ok := view.Placements[hall]
	if !ok {
		return nil
	}
	service, assignment := placed.Document.FindHost(host)
	if service == nil {
		return nil
	}
	order := &wire.Order{Service: service.Name, Token: assignment.Token, InFlightLimit: inFlightLimit(view, service.Name)}
	if assignment.Serve != placement.None {
		order.Serve = version(view, membership, hall, service.Versions[assignment.Serve])
	}
	if assignment.Serve != service.Target && service.Target != placement.None {
		order.Next = version(view, membership, hall, service.Versions[service.Target])
	}
	return order
}

// Digest returns a hash of a whole order that is never 0, except for no order.
func Digest(order *wire.Order) uint64 {
	if order == nil {
		return 0
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(order)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data) | 1
}

// AssignmentDigest returns a hash of what an order says to do, without the
// hosts it names as peers. It is never 0, except for no order.
func AssignmentDigest(order *wire.Order) uint64 {
	if order == nil {
		return 0
	}
	return Digest(&wire.Order{
		Service: order.GetService(), Token: order.GetToken(), InFlightLimit: order.GetInFlightLimit(),
		Serve: withoutHosts(order.GetServe()), Next: withoutHosts(order.GetNext()),
	})
}

func withoutHosts(v *wire.Version) *wire.Version {
	if v == nil {
		return nil
	}
	return &wire.Version{Manifest: v.GetManifest(), Priority: v.GetPriority(), FetchPolicy: v.GetFetchPolicy()}
}

func inFlightLimit(view *tables.View, name string) uint32 {
	service := view.Services[name]
	if service == nil || service.Service.Limits.InFlight <= 0 {
		return DefaultInFlight
	}
	return uint32(service.Service.Limits.InFlight) //nolint:gosec // checked above
}

func version(view *tables.View, membership *members.View, hall string, v placement.Version) *wire.Version {
	told := &wire.Version{Model: v.Model, Adapter: v.Adapter, Version: v.Version, Manifest: v.Manifest}
	if model := view.FindModel(v.Model); model != nil {
		told.Priority = int32(model.Priority) //nolint:gosec // a small number
		told.FetchPolicy = string(model.FetchPolicy)
	}
	for name, placed := range view.Placements {
		hosts := takers(&placed.Document, membership, name, v.Manifest)
		if name == hall {
			told.HallHosts = hosts
		}
		told.Gateways = append(told.Gateways, gateways(v.Manifest, hosts)...)
	}
	told.Halls = halls(view, membership, told)
	slices.SortStableFunc(told.Gateways, func(a, b *wire.Host) int { return strings.Compare(a.GetHall(), b.GetHall()) })
	return told
}

// halls returns the halls that are to take a version: those that have hosts
// for it, and those that a service declares it for. Placements of the halls
// come into force one after the other; if only those counted, each hall would
// first take itself for the one that goes to the origin.
func halls(view *tables.View, membership *members.View, told *wire.Version) []string {
	found := map[string]bool{}
	for _, gateway := range told.GetGateways() {
		found[gateway.GetHall()] = true
	}
	for _, service := range view.Services {
		target, ok := view.Target(service)
		if !ok || target.Manifest != told.GetManifest() {
			continue
		}
		for _, hall := range membership.EngineHalls {
			if placer.Serves(service.Service.Halls, hall) {
				found[hall] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// takers returns the hosts of a hall that serve or fetch a version.
func takers(document *placement.Document, membership *members.View, hall, manifest string) []*wire.Host {
	var hosts []*wire.Host
	for i := range document.Services {
		service := &document.Services[i]
		atTarget := service.Manifest(service.Target) == manifest
		for _, host := range service.Hosts {
			if !atTarget && service.Manifest(host.Serve) != manifest {
				continue
			}
			agent := membership.ByName[host.Name]
			if agent == nil {
				continue
			}
			hosts = append(hosts, &wire.Host{Name: host.Name, Address: agent.GetAddress(), Hall: hall})
		}
	}
	slices.SortFunc(hosts, func(a, b *wire.Host) int { return strings.Compare(a.GetName(), b.GetName()) })
	return hosts
}

// gateways returns the hosts of one hall that rank first for a version.
func gateways(manifest string, hosts []*wire.Host) []*wire.Host {
	names := make([]string, len(hosts))
	byName := make(map[string]*wire.Host, len(hosts))
	for i, host := range hosts {
		names[i] = host.GetName()
		byName[host.GetName()] = host
	}
	ranked := rendezvous.Rank(manifest, names)
	var first []*wire.Host
	for _, name := range ranked[:min(GatewaysPerHall, len(ranked))] {
		first = append(first, byName[name])
	}
	return first
}
