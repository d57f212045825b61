package steering

import (
	"math"
	"slices"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

const (
	// fullLoad is the number of requests a slot from which a target gets no new flow: two more than are served. What comes on top waits
	// longer in the target than its caller's latency objective allows, and the target sheds from some five a slot.
	fullLoad = 3
	// lateLoad is the number of requests a slot from which a target gets no late flow: one in service, and one whose request is on its way while that
	// is served. Those that come on time are then still served in time.
	lateLoad = 2
	// waitForRoom is how long a new flow waits for room. After it, the least loaded target gets the flow: loads are estimates, and a wrong one
	// must not keep callers out. A late flow waits for as long again.
	waitForRoom = 300 * time.Millisecond
	// lastCopy is the copy of an opening packet, sent 600 ms after the first, that goes to another target than those before it. The one
	// before it may only have lost a packet.
	lastCopy = 2
)

// AcceptsNewFlows tells whether new flows may be placed at an agent.
func AcceptsNewFlows(p *roster.Peer, now time.Duration) bool {
	return p.Health(now) == roster.Live && p.Target.Accepting && !p.Leaving
}

// ReusesAgent tells whether a copy of an opening packet goes to the agent that got those before it: a flow that opens at two targets loses the packets that
// the wrong one gets. An agent is replaced if it no longer accepts, if it has left two copies unanswered, or if a copy comes before any sign of life: it
// answers the first flow of an entry with a heartbeat, long before callers send a copy.
func ReusesAgent(now time.Duration, p *roster.Peer, copies int) bool {
	return AcceptsNewFlows(p, now) && copies < lastCopy && (copies == 0 || !p.Unanswered())
}

// MissesObjective tells whether the answer to a flow that opens now, with the age of its first packet, comes too late to be of full use. objective is that of its
// route, 0 if none is known.
func MissesObjective(age, objective, typical time.Duration) bool {
	return objective > 0 && age+typical > objective
}

// Requirements is what a new flow asks of a target.
type Requirements struct {
	Origin       ident.DataCentre // of the caller
	CapacityWait time.Duration    // since no target had room for the flow
	Late         bool             // its answer comes too late to be of full use
	Tried        []ident.NodeID   // agents that have refused
}

// limit returns the number of requests a slot from which a target gets no such flow.
func (n *Requirements) limit() float64 {
	switch {
	case n.Late && n.CapacityWait < waitForRoom:
		return lateLoad
	case n.CapacityWait < waitForRoom || n.Late && n.CapacityWait < 2*waitForRoom:
		return fullLoad
	}
	return math.Inf(1)
}

// Fits tells whether a target with that many requests in progress has room for the flow. Its agent knows them exactly, whereas entries go by what they
// were told, and decide at the same moment as others.
func (n *Requirements) Fits(requests float64, slots int) bool {
	return requests < n.limit()*float64(max(slots, 1))
}

// Place returns the index of the agent at which a new flow opens, -1 if none accepts it or has room. agents are ranked.
//
// The load that it answers: bursts, and callers that come back together after an outage, at up to twice what the pool serves. The new flow then
// waits at the entry (package holding) and not in the queue of a target, which serves in the order of arrival and sheds when it is full. Flows of which
// an outage has made the answer late leave the queues to those that come on time: before them, they would make all others late.
func Place(now time.Duration, n Requirements, agents []roster.Peer) int {
	best, lowest, seen := -1, 0.0, 0
	typical := MeanRequestTime(agents)
	for i := range agents {
		p := &agents[i]
		if !AcceptsNewFlows(p, now) || slices.Contains(n.Tried, p.ID) || !n.Fits(p.Target.Busy+placedLoad*p.PlacedLoad(now), p.Target.Slots) {
			continue
		}
		if load := Load(now, p, n.Origin, typical); best < 0 || load < lowest {
			best, lowest = i, load
		}
		if seen++; seen == choices+farChoices {
			break
		}
	}
	return best
}
