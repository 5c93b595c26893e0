package router

import (
	"net/netip"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/peering"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/readers"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// pulseEvery is how often a router that reads the store makes sure that it is
	// there. It is less than the time after which those who follow it take it for
	// behind.
	pulseEvery = time.Second
	// settleEach is the pause after a change for each router, and settleLeast and
	// settleMost its bounds. In a large fleet some upstream changes all the time, and
	// each change has all readers call the store.
	settleEach  = 20 * time.Millisecond
	settleLeast = 150 * time.Millisecond
	settleMost  = 500 * time.Millisecond
	// silenceSlack is how much later than due an answer of the store may be before
	// peers are asked, and before an unknown key or route is no longer a final no.
	silenceSlack = 400 * time.Millisecond
	// farOneOf is the part of the calls to peers that go to other halls, and wholeFarOneOf
	// the same while nothing is known, so that each answer is a whole copy.
	farOneOf      = 4
	wholeFarOneOf = 16
)

// neighbour returns the router of this hall to ask for news in place of the store;
// false where there is none.
func (p *Process) neighbour(func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	course, name := p.course()
	member := p.compiler.View().Members[name]
	if course != readers.Follow || member == nil {
		return netip.AddrPort{}, false
	}
	return member.Peers, true
}

// holds reports whether the store is to be left to others for now.
func (p *Process) holds() bool {
	course, _ := p.course()
	return course == readers.Wait
}

// course says whom this router follows, or whether it reads the store.
func (p *Process) course() (readers.Action, string) {
	var hall []readers.Router
	for _, member := range p.hallMembers() {
		hall = append(hall, readers.Router{Name: member.Name, LinkMbps: member.LinkMbps, State: p.neighbours.State(member.Peers)})
	}
	own := p.member()
	return readers.Decide(readers.Router{Name: own.Name, LinkMbps: own.LinkMbps}, hall, p.follower.Status().SinceData)
}

// hallMembers are the known routers of this hall.
func (p *Process) hallMembers() []*provider.Member {
	var hall []*provider.Member
	for _, member := range p.compiler.View().Members {
		if member.Hall == p.current.Load().Hall {
			hall = append(hall, member)
		}
	}
	return hall
}

// foundHall reports whether this router knows whom to follow, or that it comes first of all
// that announced themselves before it: its own record is listed then. A list that was given
// before that shows few routers of a hall that starts, and each of them would read the whole
// store.
func (p *Process) foundHall() bool {
	_, listed := p.compiler.View().Members[p.current.Load().Name]
	return listed || p.follows()
}

// follows reports whether this router is to follow another one of its hall.
func (p *Process) follows() bool {
	course, _ := p.course()
	return course == readers.Follow
}

// inCompany reports whether some routers of this hall follow others.
func (p *Process) inCompany() bool { return len(p.hallMembers()) > 1 }

// settle is the pause after a change in the store.
func (p *Process) settle() time.Duration {
	routers := len(p.compiler.View().Members)
	return min(max(time.Duration(routers)*settleEach, settleLeast), settleMost)
}

// silentAfter is how old what the store last answered may be: the interval of pulses
// and a pause, and where another router reads the store the wait for that one's answer.
func (p *Process) silentAfter() time.Duration {
	after := pulseEvery + p.settle() + silenceSlack
	if p.inCompany() {
		hops := max(p.follower.Status().Hops, 1)
		after += time.Duration(hops) * peering.NewsWait
	}
	return after
}

// silent reports whether the store has not answered for too long, so that what is
// known may be out of date.
func (p *Process) silent() bool {
	return !p.follower.Synced() || p.follower.Age() > p.silentAfter()
}

// needsPeer is asked a few times a second: whether another router is to be asked for news.
func (p *Process) needsPeer() bool {
	p.noteSuspension()
	return p.cutOff()
}

// cutOff reports whether nothing at all came of the store for too long. An answer
// that is long under way leaves a router silent, but not cut off.
func (p *Process) cutOff() bool {
	return !p.follower.Synced() || p.follower.Status().SinceData > p.silentAfter()
}

// peer returns a router to ask while the store is silent, of this hall or another.
func (p *Process) peer() (netip.AddrPort, bool) {
	own, hall := p.current.Load().Listen.Peers, p.current.Load().Hall
	var near, far []netip.AddrPort
	for _, member := range p.compiler.View().Members {
		switch {
		case member.Peers == own:
		case member.Hall == hall:
			near = append(near, member.Peers)
		default:
			far = append(far, member.Peers)
		}
	}
	for _, seed := range p.current.Load().Seeds {
		if seed != own && !slices.Contains(near, seed) && !slices.Contains(far, seed) {
			far = append(far, seed)
		}
	}
	if p.follower.Revision() == 0 {
		return peering.Choose(near, far, wholeFarOneOf)
	}
	return peering.Choose(near, far, farOneOf)
}
