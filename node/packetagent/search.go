package packetagent

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/flowsearch"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
	"lacewinglever.dev/policy/targetstate"
)

// retryAwaiting decides again about packets that wait for another agent, until the context ends. Those of flows that it
// doesn't hold after all go to the target.
func (a *Agent) retryAwaiting(ctx context.Context) error {
	return fleet.Retry(ctx, a.awaiting, func(item *pendingPacket) { a.handleCallerPacket(fleet.Now(), item) })
}

// skipReason returns why a packet of an open flow isn't passed to the target, empty if it is.
func (a *Agent) skipReason(s *targetstate.Status, fp *fleet.ForwardedPacket) string {
	switch {
	case s.Ended:
		return "ended"
	case fp.Service != "" && s.Service != "" && fp.Service != s.Service:
		return "target of another service"
	}
	return ""
}

// passToListed forwards a packet of a search to the agent that has listed its flow, or holds it while that agent is away.
// It returns false if there is none, or if the target of this agent has served the flow since.
func (a *Agent) passToListed(now time.Duration, pending *pendingPacket) bool {
	fp := &pending.Value
	p := platform.Packet(fp.Packet)
	flow := p.CallerFlow()
	if !fp.WantsOwner || !a.fleet.IsListed(now, flow) || a.flows.Serves(flow) {
		return false
	}
	passed := false
	a.withSearchCandidates(flow, fp, func(agents []roster.Peer) {
		index, result, _, listed := a.fleet.NextCandidate(now, flow, agents, fp.Asked(), a.knowsCandidates(now, fp))
		outcome := ""
		switch {
		case !listed || result == steering.Continue && len(fp.Silent) >= flowsearch.MaxSilent:
			return
		case result == steering.Continue:
			// This target is asked last, not left out: the list may be wrong. As a silent one, no list leads the packet
			// back here.
			if !slices.Contains(fp.Silent, a.fleet.Self.ID) {
				fp.Silent = append(fp.Silent, a.fleet.Self.ID)
			}
			outcome = "forwarded to " + agents[index].Name
			a.forwardSearch(&agents[index], fp)
		default:
			outcome = "held for " + agents[index].Name
			if pending.Arrived == now {
				a.fleet.CountAwaiting()
			}
			if !a.holdIn(a.awaiting, now, pending, "listed by another agent") {
				outcome = "dropped, listed by " + agents[index].Name
			}
		}
		passed = true
		if (result == steering.Continue || pending.Arrived == now) && a.logs.Unusual.Allow() {
			a.logs.Unusual.Log("flow listed by another agent", logging.KeyFlow, flow, "sequence", p.Sequence(),
				logging.KeyService, fp.Service, "outcome", outcome, "tried", len(fp.Tried), "silent", len(fp.Silent))
		}
	})
	return passed
}

// withSearchCandidates calls f with the agents that may hold the open flow, in the order in which they are
// asked.
func (a *Agent) withSearchCandidates(flow steering.Flow, fp *fleet.ForwardedPacket, f func([]roster.Peer)) {
	agents := a.agentBuffers.Get().(*[]roster.Peer)
	defer a.agentBuffers.Put(agents)
	*agents = fleet.SearchCandidates(a.fleet.Roster, *agents, flow, fp.Origin, a.searchServices(flow, fp))
	f(*agents)
}

// searchServices returns the services at which an open flow may be: the packet's, and the others of its
// route.
func (a *Agent) searchServices(flow steering.Flow, fp *fleet.ForwardedPacket) []string {
	services := []string{fp.Service}
	if fp.Service == "" { // all
		return services
	}
	if t := a.fleet.Routes.Load(); t != nil {
		if route, ok := t.Lookup(flow.Service()); ok {
			for _, service := range a.fleet.AppendFormerServices(fleet.Now(), route.SearchServices(flow.Hash()), flow) {
				if !slices.Contains(services, service) {
					services = append(services, service)
				}
			}
		}
	}
	return services
}

// knowsCandidates reports whether this node knows all agents that may hold the flow of a packet. Routes older
// than the entry's may lack services of the flow's route.
func (a *Agent) knowsCandidates(now time.Duration, fp *fleet.ForwardedPacket) bool {
	return fp.Service != "" && a.fleet.KnowsAllAgents(now) && !fleet.AreRoutesNewer(fp.Routes, a.fleet.Routes.Position())
}

// forwardSearch sends a packet of a search to another agent, which may be of another service of the flow's route.
func (a *Agent) forwardSearch(to *roster.Peer, fp *fleet.ForwardedPacket) {
	a.counters.forwarded.Inc()
	if fp.Service != "" && to.Service != "" {
		fp.Service = to.Service
	}
	a.forward(to.Address, fp)
}

// resetFlow resets a flow that no target holds, at the rate at which the pool can serve callers
// that return with a new flow. It returns the outcome for the log.
func (a *Agent) resetFlow(now time.Duration, pending *pendingPacket, load float64) string {
	p := platform.Packet(pending.Value.Packet)
	if p.Resets() {
		return "dropped"
	}
	if !a.pacer.Admit(now, a.targetState.Status(now).Slots, load) {
		if a.hold(now, pending, "reset paced") {
			return "held, reset paced"
		}
		return "dropped, reset paced"
	}
	a.counters.CountReset("no target holds the flow")
	a.send(netip.AddrPortFrom(p.CallerFlow().Caller().Addr(), a.callerPort), platform.NewReset(p))
	return "reset"
}

// forwardToNextAgent forwards a packet of an open flow to the next agent whose target may hold it.
// If there is none, the flow is reset.
func (a *Agent) forwardToNextAgent(now time.Duration, pending *pendingPacket) {
	fp, arrived := &pending.Value, pending.Arrived
	p := platform.Packet(fp.Packet)
	flow := p.CallerFlow()
	if !fp.WantsOwner && len(fp.Tried) == 0 { // the entry has a record that this agent's target holds the flow
		fp.WantsOwner, fp.WantsProgress = true, true
	}
	a.markTried(fp)
	a.withSearchCandidates(flow, fp, func(agents []roster.Peer) {
		index, result, asked, listed := a.fleet.NextCandidate(now, flow, agents, fp.Asked(), a.knowsCandidates(now, fp))
		fp.SetAsked(asked)
		outcome, next := "", ident.NodeID(0)
		switch result {
		case steering.Continue:
			outcome, next = "forwarded to "+agents[index].Name, agents[index].ID
			a.forwardSearch(&agents[index], fp)
		case steering.Unknown:
			if listed && arrived == now {
				a.fleet.CountAwaiting()
			}
			a.fleet.ProbeUnconfirmed(now, agents, fp.Tried)
			outcome = "held, agents unknown"
			if index >= 0 {
				outcome = "held for " + agents[index].Name
			}
			if !a.hold(now, pending, "agents unknown") {
				outcome = "dropped, agents unknown"
			}
		case steering.NotFound:
			outcome = a.resetFlow(now, pending, steering.MeanLoad(now, agents))
		}
		if fp.WantsProgress && (result == steering.Continue || result == steering.Unknown && arrived == now) {
			a.fleet.SendProgress(fp.Entry, flow, next)
		}
		if (!strings.HasPrefix(outcome, "held") || arrived == now) && a.logs.Unusual.Allow() {
			a.logs.Unusual.Log("flow not held by the target", logging.KeyFlow, flow, "sequence", p.Sequence(),
				logging.KeyService, fp.Service, logging.KeyRevision, fp.Routes.Revision,
				logging.KeyVersion, fp.Routes.Version, "outcome", outcome, "tried", len(fp.Tried), "silent", len(fp.Silent), "candidates", len(agents),
				"agents", steering.DescribeCandidates(now, agents, fp.Tried))
		}
	})
}
