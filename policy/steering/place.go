package steering

import (
	"math"
	"slices"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/outlier"
	"lacewinglever.dev/policy/roster"
)

const (
	// fullLoad is the number of requests per slot from which a target gets no new flow: one in
	// service and two that wait. Any further request would wait in the target for longer than its
	// caller's latency objective allows, and the target sheds load from about five per slot.
	fullLoad = 3
	// lateFullLoad is the number of requests per slot from which a target gets no late flow: one in
	// service, and one whose request arrives meanwhile. Flows that open on time are then still
	// served within their objective.
	lateFullLoad = 2
	// maxCapacityWait is how long a new flow waits for a target with capacity. After that, the
	// least loaded target gets the flow: loads are estimates, and a wrong estimate must not lock
	// callers out. A late flow waits twice as long.
	maxCapacityWait = 300 * time.Millisecond
	// redirectedCopy is the first copy of an opening packet that goes to another agent than those
	// before it. Callers send it 600 ms after the first packet. The copy before it stays with the
	// agent, because a single packet may just have been lost.
	redirectedCopy = 2
)

// AcceptsNewFlows reports whether new flows may be placed at an agent.
func AcceptsNewFlows(p *roster.Peer, now time.Duration) bool {
	return p.Health(now) == roster.Live && p.Target.Accepting && !p.Leaving
}

// ReusesAgent reports whether a copy of an opening packet goes to the agent that received those
// before it. A flow that opens at two targets loses the packets that reach the wrong one. The agent
// is replaced if it no longer accepts new flows, if the first packet and its first copy remain
// unanswered, or if a copy arrives before any heartbeat of the agent: an agent answers the first
// flow of an entry with a heartbeat, long before callers send a copy. copies is the number of the
// copy that is to be sent, 0 for the first packet.
func ReusesAgent(now time.Duration, p *roster.Peer, copies int) bool {
	return AcceptsNewFlows(p, now) && copies < redirectedCopy && (copies == 0 || !p.Unanswered())
}

// MissesObjective reports whether the answer to a flow that opens now, and whose first packet has
// the given age, would exceed the latency objective of its route. objective is 0 if none is known.
func MissesObjective(age, objective, meanRequestTime time.Duration) bool {
	return objective > 0 && age+meanRequestTime > objective
}

// Requirements is what the placement of a new flow depends on.
type Requirements struct {
	Origin       ident.DataCentre // data centre of the caller
	CapacityWait time.Duration    // time since no target had capacity for the flow
	Late         bool             // the answer would exceed the latency objective
	Tried        []ident.NodeID   // agents that have refused the flow
	Locality     Locality         // whether the flow stays in the data centre
	Flow         uint64           // hash of the flow, which decides whether it may go to an outlier; 0: it may not
	// Reserve is the part of one place per slot, 0 to 1, that is kept for flows of higher priority; it
	// is rounded up to whole places. Ahead is the number of waiting flows that go first. Both are 0 if
	// all flows have the same priority (package admission).
	Reserve float64
	Ahead   int
}

// permits reports whether the flow may be placed at an agent, whatever its load and its target's judgement.
func (r *Requirements) permits(now time.Duration, p *roster.Peer) bool {
	return AcceptsNewFlows(p, now) && !slices.Contains(r.Tried, p.ID)
}

// loadLimit returns the number of requests per slot from which a target doesn't get the flow.
func (r *Requirements) loadLimit() float64 {
	switch {
	case r.Late && r.CapacityWait < maxCapacityWait:
		return lateFullLoad
	case r.CapacityWait < maxCapacityWait || r.Late && r.CapacityWait < 2*maxCapacityWait:
		return fullLoad
	}
	return math.Inf(1)
}

// Fits reports whether a target with that many requests in progress has capacity for the flow.
// Agents pass the exact number. Entries pass an estimate from the last heartbeat, and several
// entries may place flows on the same target at once.
func (r *Requirements) Fits(requests float64, slots int) bool {
	s := float64(max(slots, 1))
	limit := r.loadLimit() * s
	if r.Reserve > 0 { // also after maxCapacityWait, while higher priorities use the room
		limit = min(limit, fullLoad*s-math.Ceil(r.Reserve*(fullLoad-lateFullLoad)*s))
	}
	return requests+float64(r.Ahead) < limit
}

// Place returns the index of the agent at which a new flow opens, -1 if none accepts it or has
// capacity. agents must be ranked.
//
// Under bursts, and when callers return together after an outage, the offered load reaches up to
// twice the pool's capacity. New flows then wait in the hold queue of the entry (package holding)
// and not in the queue of a target, which serves in order of arrival and sheds load when it is
// full. Flows that an outage has made late yield to those that open on time: served first, they
// would make all others late too.
//
// Outliers of the pool get only a part of their usual flows, unless no other target accepts the flow.
func Place(now time.Duration, requirements Requirements, agents []roster.Peer) int {
	outliers := outliersOf(now, agents)
	index, accepted := place(now, &requirements, agents, outliers)
	if !accepted && len(outliers) > 0 {
		index, _ = place(now, &requirements, agents, nil)
	}
	return index
}

// place returns the index of the agent at which a new flow opens, -1 if none has capacity, and whether one
// accepts it.
func place(now time.Duration, r *Requirements, agents []roster.Peer, outliers []outlier.Verdict) (int, bool) {
	if r.Locality.Reach != ReachFixed {
		return placeByReach(now, r, agents, outliers)
	}
	return leastLoaded(now, r, agents, outliers, candidates{
		local: len(agents), remote: len(agents), total: localCandidates + remoteCandidates, remoteLimit: math.Inf(1),
	})
}

// leastLoaded returns the index of the least loaded of the first agents that accept the flow and have
// capacity, -1 if there is none, and whether one accepts it. limits bounds how many are considered; a total
// of 0 is no limit.
func leastLoaded(now time.Duration, requirements *Requirements, agents []roster.Peer, outliers []outlier.Verdict,
	limits candidates) (int, bool) {
	best, lowest, local, remote, accepted := -1, 0.0, 0, 0, false
	meanRequestTime := MeanRequestTime(agents)
	for i := range agents {
		p := &agents[i]
		isLocal := p.DataCentre == requirements.Origin
		if isLocal && local >= limits.local || !isLocal && remote >= limits.remote {
			continue
		}
		if !isLocal && limits.destinationsOnly && requirements.Locality.index(p.DataCentre) < 0 ||
			!requirements.permits(now, p) {
			continue
		}
		verdict := verdictOn(i, outliers)
		if verdict != nil && !getsFlow(p, requirements.Flow, verdict.Share) {
			continue
		}
		accepted = true
		requests := p.Target.Busy + placedFlowLoad*p.PlacedLoad(now)
		if !requirements.Fits(requests, p.Target.Slots) ||
			!isLocal && requests >= limits.remoteLimit*float64(max(p.Target.Slots, 1)) {
			continue
		}
		load := loadWithoutWay(now, p, meanRequestTime) + requirements.Locality.penalty(p, requirements.Origin)
		if verdict != nil && (verdict.Slow || p.Target.Rate < probedRate) {
			// Its share is limited already, and a target that hangs must get flows to show that it has
			// recovered.
			load -= failingPenalty * p.Target.Failing
		}
		if best < 0 || load < lowest {
			best, lowest = i, load
		}
		if isLocal {
			local++
		} else {
			remote++
		}
		if local+remote == limits.total || local == limits.local && remote == limits.remote {
			break
		}
	}
	return best, accepted
}
