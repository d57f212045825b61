// Package admission decides which new flows of a service get room at its targets, which wait and
// which are refused at once, while the routes that lead to the service differ in priority. If they
// don't, all flows are decided as before: package steering by load, package holding latest first.
//
// The load that it answers: single kinds of requests arrive at 1.6 to 2.6 times their usual rate for
// 4 to 5 s, also after the loss of a part of the pool. Targets that could bear the usual load are
// then short by up to a third for seconds. Requests on open flows can't be refused here, so that the
// room of new flows is what those leave.
//
// A refusal is a reset of a flow that no target has seen. The caller may then try again at once, at
// most twice, so that a refusal only helps where waiting can't. A caller that is refused because all
// room is taken by flows of its own priority would come back as a new flow, and take the room of one
// that opens on time.
//
// All thresholds follow from what callers need: objectives, time limits, the time of an attempt to
// open a flow. None is a measured cost.
package admission

import (
	"time"

	"lacewinglever.dev/policy/holding"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

const (
	// AttemptTime is the time after which a caller ends an attempt to open a flow that nobody has
	// answered.
	AttemptTime = 1400 * time.Millisecond
	// guaranteedShare is the part of the room that each lower priority keeps while higher ones could
	// use all of it, and maxGuaranteed bounds the sum over all lower priorities.
	guaranteedShare = 0.1
	maxGuaranteed   = 0.5
	// claimDivisor is the divisor of the objective that gives the age at which a waiting flow claims the
	// guaranteed share: the rest of the objective has to suffice for its turn, its work and the way. From
	// that age on a flow isn't refused for lack of room any more, because a repeated attempt would start
	// with less time than the flow has left here.
	claimDivisor = 4
	// minReserve is the least part of the room that is kept for higher priorities. Below it they have
	// given up what they used before.
	minReserve = 0.01
	// minFullTime is the time for which no target has had room before a flow is refused for lack of
	// room: entries and agents know the load of other targets from heartbeats that are as old.
	minFullTime = roster.DefaultInterval
)

// Decision is what happens to a new flow.
type Decision uint8

// Decisions.
const (
	Admit Decision = iota
	Wait
	Refuse
)

// Reasons to refuse a flow.
const (
	// ReasonTimeLimit is given if the request can't be answered within its time limit.
	ReasonTimeLimit = "time limit"
	// ReasonNoChance is given if the flow gets no room before the caller's attempt ends, because
	// higher priorities use it.
	ReasonNoChance = "room for higher priorities"
)

// Input is what the decision about a new flow depends on. The zero value is a flow that doesn't
// compete with others of another priority.
type Input struct {
	Service  string
	Priority int     // of the route, 0 is the highest
	Classes  Classes // priorities of the routes that lead to the service

	Objective time.Duration // 0 if the route has none
	Timeout   time.Duration // 0 if the route has none
	Age       time.Duration // since the caller sent the first copy of the opening packet
	Late      bool          // the answer would exceed the objective
	Unseen    bool          // no target can have seen the flow

	Demand  Demand        // recent demand at this node
	FullFor time.Duration // for how long no target has had room for the priority
	Ahead   int           // flows waiting at this node that go first
	Rivals  int           // of these and of those that wait as well, the ones of the same priority
	Slots   int           // of the targets that the node decides about

	RequestTime time.Duration // shortest mean time of a request at any target of the pool, 0 if unknown
	HasRoom     bool          // a target has room for the flow
}

// Competes reports whether flows of another priority compete for the targets.
func (in *Input) Competes() bool { return len(in.Classes) > 1 }

// IsAssured reports whether the flow has waited for so long that it may claim the guaranteed share of
// its priority, and whether its priority has got less than that.
func (in *Input) IsAssured() bool {
	return in.Competes() && in.Classes.position(in.Priority) > 0 && in.Age >= in.claimAge() &&
		in.Demand.Admitted < in.guaranteed()
}

// claimAge returns the age from which the flow claims the guaranteed share of its priority.
func (in *Input) claimAge() time.Duration {
	if in.Objective == 0 {
		return AttemptTime / claimDivisor
	}
	return in.Objective / claimDivisor
}

// guaranteed returns the part of the room that a lower priority keeps.
func (in *Input) guaranteed() float64 {
	return min(guaranteedShare, maxGuaranteed/float64(max(len(in.Classes)-1, 1)))
}

// Order returns the place of a waiting flow in the order of decisions.
func (in *Input) Order() int {
	switch {
	case !in.Competes():
		return 0
	case in.IsAssured():
		return assuredOrder
	}
	order := firstOrder + 2*in.Classes.position(in.Priority)
	if in.Late {
		order++
	}
	return order
}

// Orders of waiting flows. 0 is that of all packets that don't compete.
const (
	assuredOrder = 1 // claims a guaranteed share
	firstOrder   = 2 // on time, highest priority; the late ones of a priority follow those on time
)

// Rank returns the rank of the flow in the hold queue.
func (in *Input) Rank() holding.Rank {
	if !in.Competes() {
		return holding.Rank{}
	}
	return holding.Rank{Order: in.Order(), Priority: in.Priority, Service: in.Service}
}

// CountWaiting sets the flows that the flow competes with from those that wait at this node, by rank.
func (in *Input) CountWaiting(waiting map[holding.Rank]int) {
	if !in.Competes() {
		return
	}
	order, assured := in.Order(), 0
	for rank, n := range waiting {
		if rank.Order == 0 || rank.Service != in.Service {
			continue
		}
		switch {
		case rank.Order == assuredOrder:
			assured += n
		case rank.Order < order:
			in.Ahead += n
		}
		if rank.Priority == in.Priority && rank.Order <= order {
			in.Rivals += n
		}
	}
	if order > assuredOrder {
		in.Ahead += min(assured, 1) // the others claim the next place each
	}
}

// Restrict returns the requirements with which the flow looks for a target. Of one place per slot, the
// share of the higher priorities in the recent demand is kept for them. The other places are free to
// all: the requests there take less time than the objective of a flow that waits for its turn.
func (in *Input) Restrict(r steering.Requirements) steering.Requirements {
	if !in.Competes() {
		return r
	}
	r.Ahead = in.Ahead
	if in.IsAssured() {
		r.Late = false // up to the load that flows on time may use; beyond it after the time that any flow waits
		return r
	}
	if in.Demand.Higher >= minReserve {
		r.Reserve = in.Demand.Higher
	}
	return r
}

// Decide returns what happens to a flow, and the reason if it is refused.
func (in *Input) Decide() (Decision, string) {
	switch {
	case in.Competes() && in.Unseen && in.isTooLate():
		return Refuse, ReasonTimeLimit
	case in.HasRoom:
		return Admit, ""
	case in.Competes() && in.Unseen && in.hasNoChance():
		return Refuse, ReasonNoChance
	}
	return Wait, ""
}

// isTooLate reports whether the answer exceeds the time limit even at the fastest target. The age is
// the least time that the request has used, because the attempt may be a repeated one.
func (in *Input) isTooLate() bool { return in.Timeout > 0 && in.Age+in.RequestTime >= in.Timeout }

// hasNoChance reports whether the flow gets no room before the caller's attempt or its time limit
// ends: as many flows of its priority wait as get room in that time, while higher priorities use the
// rest. The oldest ones would wait in vain if it waited too.
func (in *Input) hasNoChance() bool {
	if in.FullFor < minFullTime || in.Demand.Higher < guaranteedShare || in.Age >= in.claimAge() {
		return false
	}
	left := AttemptTime - in.Age
	if in.Timeout > 0 {
		left = min(left, in.Timeout-in.Age-in.RequestTime)
	}
	share := in.guaranteed()
	served := left.Seconds() * max(in.Demand.Rate, share*in.Demand.TotalRate)
	// Each guaranteed slot serves at least one of them.
	return float64(in.Rivals) >= max(1, share*float64(in.Slots), served)
}

// FastestRequestTime returns the shortest mean time of a request at any target that accepts new flows,
// 0 if it is unknown. The mean of the pool may be that of targets that hang.
func FastestRequestTime(now time.Duration, agents []roster.Peer) time.Duration {
	fastest, found := time.Duration(0), false
	for i := range agents {
		p := &agents[i]
		if p.Target.Rate == 0 || !steering.AcceptsNewFlows(p, now) {
			continue
		}
		if t := steering.RequestTime(p.Target.Busy, p.Target.Rate); !found || t < fastest {
			fastest, found = t, true
		}
	}
	return fastest
}
