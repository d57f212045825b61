package packetagent

import (
	"net/netip"
	"time"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/admission"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

// offerOf returns what admission control knows of an opening packet. It returns false if the routes in
// force here have none for it.
func (a *Agent) offerOf(now time.Duration, pending *pendingPacket) (*routes.Table, admission.Offer, bool) {
	p := platform.Packet(pending.Value.Packet)
	t := a.fleet.Routes.Load()
	if t == nil {
		return nil, admission.Offer{}, false
	}
	route, ok := t.Lookup(p.CallerFlow().Service())
	return t, admission.Offer{
		Flow: p.CallerFlow(), Service: pending.Value.Service, Route: route, Copy: int(p.CopyIndex()),
		Age:      p.Age() + now - pending.Arrived,
		ValidFor: p.ValidFor(), Relayed: true,
	}, ok
}

// admissionInput returns the input of the decision about a new flow.
func (a *Agent) admissionInput(now time.Duration, pending *pendingPacket) admission.Input {
	t, offer, ok := a.offerOf(now, pending)
	if !ok {
		return admission.Input{}
	}
	in := a.admission.Input(now, t, offer)
	if in.Competes() {
		in.Late = a.isLate(now, pending)
		in.CountWaiting(a.held.Waiting())
		in.Slots = a.targetState.Status(now).Slots
	}
	return in
}

// recordOffered records an opening packet that has arrived from another node. Only the agent that an
// entry chose counts its flow as demand.
func (a *Agent) recordOffered(now time.Duration, pending *pendingPacket) {
	if t, offer, ok := a.offerOf(now, pending); ok {
		a.admission.RecordOffered(now, t, offer, len(pending.Value.Tried) == 0)
	}
}

// recordRequest records a request on an open flow.
func (a *Agent) recordRequest(now time.Duration, flow steering.Flow) {
	if t := a.fleet.Routes.Load(); t != nil {
		s := a.targetState.Status(now)
		a.admission.RecordRequest(now, t, a.service(&s), flow)
	}
}

// refuseWithoutChance refuses a new flow if it can't get room in time, and reports whether it did. in
// says whether this agent's target has room.
func (a *Agent) refuseWithoutChance(now time.Duration, pending *pendingPacket, in *admission.Input) bool {
	in.RequestTime = a.flows.Load(now).MeanRequestTime()
	if decision, _ := in.Decide(); decision != admission.Refuse {
		return false
	}
	fp := &pending.Value
	p := platform.Packet(fp.Packet)
	flow := p.CallerFlow()
	refused, reason := false, ""
	a.withRankedAgents(flow, fp, func(agents []roster.Peer) {
		in.RequestTime = min(in.RequestTime, admission.FastestRequestTime(now, agents))
		var decision admission.Decision
		if decision, reason = in.Decide(); decision != admission.Refuse {
			return
		}
		elsewhere := a.requirements(now, pending)
		elsewhere.Ahead, elsewhere.Tried = 0, nil
		refused = reason != admission.ReasonNoChance || steering.Place(now, elsewhere, agents) < 0
	})
	if !refused {
		return false
	}
	a.admissionMetrics.CountRefused(reason, in.Priority)
	a.counters.CountReset("refused")
	a.send(netip.AddrPortFrom(flow.Caller().Addr(), a.callerPort), platform.NewReset(p))
	if a.logs.Unusual.Allow() {
		a.logs.Unusual.Log("flow refused", logging.KeyFlow, flow, "copy", p.CopyIndex(), logging.KeyReason, reason,
			logging.KeyService, fp.Service, "priority", in.Priority, "rivals", in.Rivals, "full_for", in.FullFor,
			"higher", float32(in.Demand.Higher), logging.KeyAge, in.Age)
	}
	return true
}
