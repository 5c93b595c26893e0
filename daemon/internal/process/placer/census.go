package placer

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/placement"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

// Census is what an entry knows of its hall's hosts: the platform's lagging
// list, what the agents say themselves, and the last placement.
type Census struct {
	Hall    string
	Listed  []platform.Host
	Members *members.View
	Placed  placement.Document
	Now     time.Time
	// HeldSince is when this entry took the lease. Right after, its membership
	// may still be empty, which must not read as a dead hall.
	HeldSince    time.Time
	ReplaceAfter time.Duration
}

// Candidates returns the hosts that a plan may keep or take.
//
// An agent's own word is newer than the list. A host that the list lacks but
// that reports is kept, since the list may lag behind its start; a suspect one
// is kept until ReplaceAfter, since a move costs a fetch and a restart is
// shorter. A placed host without any record is kept for as long after the
// lease was taken.
func (c *Census) Candidates() []placement.Candidate {
	inList := map[string]platform.Host{}
	for _, host := range c.Listed {
		inList[host.Name] = host
	}
	var hosts []placement.Candidate
	for i := range c.Members.Agents {
		agent := &c.Members.Agents[i]
		if agent.GetHall() == c.Hall && len(agent.GetPlainServices()) == 0 {
			line, known := inList[agent.GetName()]
			hosts = append(hosts, c.reported(agent, line, known))
		}
	}
	return append(hosts, c.unreported(inList)...)
}

func (c *Census) reported(agent *members.Agent, line platform.Host, known bool) placement.Candidate {
	leaving := agent.GetLeaving() || line.State == platform.StateLeaving
	dead := agent.GetSuspect() && (!known || c.Now.Sub(agent.SuspectSince) > c.ReplaceAfter)
	return placement.Candidate{
		Name:         agent.GetName(),
		Keep:         !leaving && !dead,
		Take:         known && !leaving && !agent.GetSuspect(),
		Ready:        agent.GetReadyManifest(),
		ReadyService: agent.GetReadyService(),
		Staged:       agent.GetFetchManifest(),
		Failed:       agent.GetFailedManifest(),
		Failure:      agent.GetFailure(),
	}
}

// unreported returns the placed hosts that no agent speaks for.
func (c *Census) unreported(inList map[string]platform.Host) []placement.Candidate {
	fresh := c.Now.Sub(c.HeldSince) <= c.ReplaceAfter
	var hosts []placement.Candidate
	for _, service := range c.Placed.Services {
		for _, host := range service.Hosts {
			if c.Members.ByName[host.Name] != nil {
				continue
			}
			leaving := inList[host.Name].State == platform.StateLeaving
			hosts = append(hosts, placement.Candidate{Name: host.Name, Keep: fresh && !leaving})
		}
	}
	return hosts
}
