// Package orders computes the order for a host: which version to serve, which to prefetch,
// and which hosts to exchange chunks with. The control service sends orders to agents.
//
// An order is a pure function of an entry's configuration and membership, so any entry can
// respond to any agent. An agent orders two responses by the configuration revision that they
// were computed at.
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

// GatewaysPerHall is the number of hosts of each hall from which the primaries of chunks are
// chosen. An order lists only these hosts of other halls, which keeps it small in large
// fleets.
const GatewaysPerHall = 16

// DefaultInFlightLimit is the limit of concurrent requests of a host whose service declares none.
const DefaultInFlightLimit = 64

// Compute returns the order for a host, or nil if it has no assignment.
func Compute(view *tables.View, membership *members.View, hall, host string) *wire.Order {
	placed, ok := view.Placements[hall]
	if !ok {
		return nil
	}
	service, assignment := placed.Document.FindHost(host)
	if service == nil {
		return nil
	}
	order := &wire.Order{Service: service.Name, Token: assignment.Token, InFlightLimit: inFlightLimit(view, service.Name)}
	if assignment.VersionIndex != placement.None {
		order.Serve = version(view, membership, hall, service.Versions[assignment.VersionIndex])
	}
	if assignment.VersionIndex != service.Target && service.Target != placement.None {
		order.Next = version(view, membership, hall, service.Versions[service.Target])
	}
	return order
}

// Digest returns a hash of an order, which is 0 only for a nil order.
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

// AssignmentDigest returns a hash of an order without its lists of hosts, which is 0 only for a
// nil order.
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
		return DefaultInFlightLimit
	}
	return uint32(service.Service.Limits.InFlight) //nolint:gosec // checked above
}

func version(view *tables.View, membership *members.View, hall string, v placement.Version) *wire.Version {
	result := &wire.Version{Model: v.Model, Adapter: v.Adapter, Version: v.Version, Manifest: v.Manifest}
	if model := view.FindModel(v.Model); model != nil {
		result.Priority = int32(model.Priority) //nolint:gosec // a small number
		result.FetchPolicy = string(model.FetchPolicy)
	}
	for name, placed := range view.Placements {
		hosts := assignedHosts(&placed.Document, membership, name, v.Manifest)
		if name == hall {
			result.HallHosts = hosts
		}
		result.Gateways = append(result.Gateways, gateways(v.Manifest, hosts)...)
	}
	result.Halls = halls(view, membership, result)
	slices.SortStableFunc(result.Gateways, func(a, b *wire.Host) int { return strings.Compare(a.GetHall(), b.GetHall()) })
	return result
}

// halls returns the halls that get a version: those with hosts that are assigned to it, and
// those that a service declares it for. The declared halls are included because placements of
// the halls are written one after the other: with the assigned halls alone each hall would at
// first choose itself as the one that fetches from the origin.
func halls(view *tables.View, membership *members.View, v *wire.Version) []string {
	found := map[string]bool{}
	for _, gateway := range v.GetGateways() {
		found[gateway.GetHall()] = true
	}
	for _, service := range view.Services {
		target, ok := view.Target(service)
		if !ok || target.Manifest != v.GetManifest() {
			continue
		}
		for _, hall := range membership.EngineHalls {
			if placer.ServesHall(service.Service.Halls, hall) {
				found[hall] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// assignedHosts returns the hosts of a hall that serve or fetch a version.
func assignedHosts(document *placement.Document, membership *members.View, hall, manifest string) []*wire.Host {
	var hosts []*wire.Host
	for i := range document.Services {
		service := &document.Services[i]
		isTarget := service.Manifest(service.Target) == manifest
		for _, host := range service.Hosts {
			if !isTarget && service.Manifest(host.VersionIndex) != manifest {
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

// gateways returns the highest-ranked hosts of one hall for a version.
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
