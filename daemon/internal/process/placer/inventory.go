package placer

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/placement"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

// Inventory combines an entry's information on the hosts of its hall: the platform's host list,
// which lags, the records of the agents, and the last placement.
type Inventory struct {
	Hall      string
	HostList  []platform.Host
	Members   *members.View
	Placement placement.Document
	Now       time.Time
	// HeldSince is when this entry acquired the lease. Its membership table may be empty for
	// a while after that, which does not mean that all hosts have left.
	HeldSince    time.Time
	ReplaceAfter time.Duration
}

// Candidates returns the hosts for a plan.
//
// An agent's record takes precedence over the list. A host that reports but is not listed is
// kept, since the list may lag behind its start. A suspect host is kept for ReplaceAfter,
// since moving its assignment costs a fetch and a restart is shorter. A placed host without a
// record is kept for ReplaceAfter from when the lease was acquired.
func (inv *Inventory) Candidates() []placement.Candidate {
	listed := map[string]platform.Host{}
	for _, host := range inv.HostList {
		listed[host.Name] = host
	}
	var hosts []placement.Candidate
	for i := range inv.Members.Agents {
		agent := &inv.Members.Agents[i]
		if agent.GetHall() == inv.Hall && len(agent.GetPlainServices()) == 0 {
			listEntry, isListed := listed[agent.GetName()]
			hosts = append(hosts, inv.reported(agent, listEntry, isListed))
		}
	}
	return append(hosts, inv.unreported(listed)...)
}

func (inv *Inventory) reported(agent *members.Agent, listEntry platform.Host, isListed bool) placement.Candidate {
	leaving := agent.GetLeaving() || listEntry.State == platform.StateLeaving
	unreachable := agent.GetSuspect() && (!isListed || inv.Now.Sub(agent.SuspectSince) > inv.ReplaceAfter)
	return placement.Candidate{
		Name:           agent.GetName(),
		KeepAssignment: !leaving && !unreachable,
		Assignable:     isListed && !leaving && !agent.GetSuspect(),
		ReadyManifest:  agent.GetReadyManifest(),
		ReadyService:   agent.GetReadyService(),
		StagedManifest: agent.GetFetchManifest(),
		FailedManifest: agent.GetFailedManifest(),
		Failure:        agent.GetFailure(),
	}
}

// unreported returns the placed hosts without an agent's record.
func (inv *Inventory) unreported(listed map[string]platform.Host) []placement.Candidate {
	recentLease := inv.Now.Sub(inv.HeldSince) <= inv.ReplaceAfter
	var hosts []placement.Candidate
	for _, service := range inv.Placement.Services {
		for _, host := range service.Hosts {
			if inv.Members.ByName[host.Name] != nil {
				continue
			}
			leaving := listed[host.Name].State == platform.StateLeaving
			hosts = append(hosts, placement.Candidate{Name: host.Name, KeepAssignment: recentLease && !leaving})
		}
	}
	return hosts
}
