package packetagent

import (
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/ownerquery"
	"lacewinglever.dev/policy/steering"
)

// idleTimeout returns the idle time after which a flow is forgotten.
func (a *Agent) idleTimeout() time.Duration {
	if t := a.fleet.Routes.Load(); t != nil && t.IdleTimeout > 0 {
		return max(flowIdleTimeout, t.IdleTimeout+idleSlack)
	}
	return flowIdleTimeout
}

// knowsAllFlows reports whether the table of flows has all flows that the target holds and callers may still use: all of
// their packets have passed this process, or each has had the time to pass one.
func (a *Agent) knowsAllFlows(now time.Duration) bool {
	return a.targetState.SeenSinceStart() && !a.cleared.Load() || now-time.Duration(a.knownSince.Load()) > a.idleTimeout()
}

// AnswerOwnerQuery returns, for each of the flows, whether the target holds it.
func (a *Agent) AnswerOwnerQuery(now time.Duration, flows []steering.Flow) []ownerquery.Verdict {
	verdicts := make([]ownerquery.Verdict, len(flows))
	ended := a.targetState.Status(now).Ended
	complete := a.knowsAllFlows(now)
	for i, flow := range flows {
		switch {
		case ended:
			verdicts[i] = ownerquery.NotHeld
		case a.flows.Serves(flow):
			verdicts[i] = ownerquery.Held
		case complete && !a.flows.MayHold(flow) && !a.fleet.OwnFlows().Contains(flow):
			verdicts[i] = ownerquery.NotHeld
		}
	}
	a.counters.flowsAsked.Add(len(flows))
	return verdicts
}

// RecordOwnerAnswer counts a message that was sent to an agent by mistake.
func (a *Agent) RecordOwnerAnswer(time.Duration, ident.NodeID, uint32, []ownerquery.Verdict) {
	a.counters.CountDrop("owner answer sent to an agent")
}
