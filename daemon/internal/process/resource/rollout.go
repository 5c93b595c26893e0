package resource

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/placement"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/placer"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
)

func (h *Handler) rollout(w http.ResponseWriter, r bunrouter.Request) error {
	name := r.Param("name")
	view := h.Store.Table.View()
	service := view.Services[name]
	if service == nil {
		return &api.Problem{Code: api.CodeNotFound, Message: fmt.Sprintf("service %q does not exist", name)}
	}
	return writeJSON(w, http.StatusOK, Rollout(view, service, h.Members, time.Now()))
}

// Rollout returns the progress of a service's rollout by this entry's configuration and
// membership.
func Rollout(view *tables.View, service *api.Resource, membership *members.Table, now time.Time) api.RolloutStatus {
	status := api.RolloutStatus{Service: service.Name, Revision: service.Revision, Version: service.Service.Version}
	target, _ := view.Target(service)
	status.Manifest = target.Manifest
	agents := membership.View()
	for _, hall := range hallsOf(view, service, agents) {
		c := hostCounter{service: service, manifest: target.Manifest, agents: agents}
		hallStatus := c.count(view, hall)
		if receivedAt := membership.LastReceivedAt(hall); !receivedAt.IsZero() {
			hallStatus.SecondsSinceSeen = now.Sub(receivedAt).Seconds()
		}
		status.Halls = append(status.Halls, hallStatus)
	}
	status.Done = len(status.Halls) > 0
	for _, hall := range status.Halls {
		status.Done = status.Done && hall.Ready >= hall.Wanted
	}
	return status
}

// hallsOf returns the halls that a service is declared for, sorted. A service that declares no
// halls is placed in all halls with agents or placements.
func hallsOf(view *tables.View, service *api.Resource, agents *members.View) []string {
	if len(service.Service.Halls) > 0 {
		return slices.Sorted(slices.Values(service.Service.Halls))
	}
	names := map[string]bool{}
	for _, agent := range agents.Agents {
		names[agent.GetHall()] = true
	}
	for hall := range view.Placements {
		names[hall] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// hostCounter counts the hosts of a service in one hall.
type hostCounter struct {
	service  *api.Resource
	manifest string
	agents   *members.View
}

func (c *hostCounter) count(view *tables.View, hall string) api.HallStatus {
	status := api.HallStatus{Hall: hall, Wanted: c.service.Service.Replicas}
	if c.service.Service.Plain {
		return c.countPlain(status)
	}
	placed, ok := view.Placements[hall]
	if !ok {
		return status
	}
	service := placed.Document.FindService(c.service.Name)
	if service == nil || !placer.ServesHall(c.service.Service.Halls, hall) {
		return status
	}
	status.Placed, status.Waves, status.OpenWave, status.Halted = len(service.Hosts), service.Waves, service.OpenWave, service.Halted
	for _, host := range service.Hosts {
		c.addHost(&status, host)
	}
	return status
}

func (c *hostCounter) addHost(status *api.HallStatus, host placement.Host) {
	agent := c.agents.ByName[host.Name]
	if agent == nil || agent.GetSuspect() {
		return
	}
	switch {
	case agent.GetReadyService() == c.service.Name && agent.GetReadyManifest() == c.manifest:
		status.Ready++
	case agent.GetReadyService() == c.service.Name:
		status.Old++
	}
	if agent.GetFailedManifest() == c.manifest {
		status.Failed++
	}
	if agent.GetFetchManifest() == c.manifest {
		status.ChunksHeld += int(agent.GetChunksHeld())
		status.ChunksWanted += int(agent.GetChunksTotal())
	}
}

// countPlain counts the hosts of a plain service. All hosts whose settings name the service are
// wanted.
func (c *hostCounter) countPlain(status api.HallStatus) api.HallStatus {
	for _, agent := range c.agents.ByService[c.service.Name] {
		if agent.GetHall() != status.Hall {
			continue
		}
		status.Placed++
		status.Wanted++
		if !agent.GetSuspect() && !agent.GetLeaving() {
			status.Ready++
		}
	}
	return status
}
