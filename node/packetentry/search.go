package packetentry

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/flowsearch"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/ownerquery"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

// Causes of a search.
const (
	searchNoRecord     = "no record of the owner"
	searchUnknownOwner = "owner not in the roster"
	searchOwnerGone    = "owner gone"
	searchOwnerEnded   = "owner's target has ended"
)

// RecordProgress records that an agent has passed a packet of a flow on to the next agent, or holds it if next is 0.
func (e *Entry) RecordProgress(now time.Duration, flow steering.Flow, agent, next ident.NodeID) {
	e.counters.progress.Inc()
	if e.flows.removeOwner(flow, agent) { // its target doesn't hold the flow
		e.searches.RecordSent(now, flow, agent, true)
	}
	e.searches.RecordProgress(now, flow, agent, next)
}

// resendPacket sends a packet of a search past the agent that hasn't answered, unless all that are left were asked.
func (e *Entry) resendPacket(now time.Duration, item *pendingPacket) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch e.searches.State(now, item.Flow) {
	case flowsearch.Waiting:
		e.unanswered.Put(now, *item) // until the caller's next packet replaces it
	case flowsearch.Ended:
	case flowsearch.Stalled:
		table := e.fleet.Routes.Load()
		services, ok := e.searchServices(now, item.Flow, table)
		if !ok {
			return
		}
		s := e.nextCandidate(now, item.Flow, table, services)
		switch {
		case s.answers.Waiting || s.awaitsLists:
			e.unanswered.Put(now, *item)
		case s.result == steering.Unknown:
			e.fleet.ProbeUnconfirmed(now, s.agents, s.asked.Tried)
			e.hold(now, item, "agents unknown", table.PositionOrZero())
		case s.result == steering.Continue && !s.restarted && !slices.Contains(s.asked.Silent, s.agents[s.index].ID):
			if e.progressBudget.Has(timeOf(now), 1) {
				e.counters.resent.Inc()
				e.sendSearch(now, item, &s, "agent didn't answer")
				e.unanswered.Put(now, *item)
			}
		}
	}
}

// forwardToOwner forwards a packet of an open flow to the agent whose target holds the flow. If
// that agent is unknown or gone, it searches for another one.
func (e *Entry) forwardToOwner(now time.Duration, pending *pendingPacket) {
	p := pending.Value
	flow := p.CallerFlow()
	table := e.fleet.Routes.Load()
	cause := searchNoRecord
	if owner, ok := e.flows.get(now, flow); ok {
		a, known := e.fleet.Roster.Find(owner)
		if cause = searchCause(now, &a, known); cause == "" {
			e.counters.sentToOwner.Inc()
			if table != nil && p.HasData() {
				e.admission.RecordRequest(now, table, a.Service, flow)
			}
			e.send(&a, &fleet.ForwardedPacket{Service: a.Service, Routes: table.PositionOrZero(), Packet: p})
			return
		}
		if known && a.IsUnconfirmed(now) {
			e.fleet.Probe(now, &a)
			e.hold(now, pending, "owner silent", table.PositionOrZero())
			return
		}
	}
	e.searchOwner(now, pending, flow, table, cause)
}

// searchCause returns why the packets of a flow can't be sent to the agent that the entry has on
// record, empty if they can. known is whether the roster contains that agent.
func searchCause(now time.Duration, owner *roster.Peer, known bool) string {
	switch {
	case !known:
		return searchUnknownOwner
	case owner.Health(now) == roster.Gone:
		return searchOwnerGone
	case owner.Target.Ended:
		return searchOwnerEnded
	}
	return ""
}

// searchStep is the next step of the search for the owner of a flow.
type searchStep struct {
	table     *routes.Table
	services  []string      // at which the flow may be
	agents    []roster.Peer // valid until the next call of searchCandidates
	known     flowsearch.Knowledge
	asked     steering.Asked
	index     int // of the next agent
	result    steering.SearchResult
	restarted bool // nobody was left to ask, and the search starts again
	listed    bool // the agent has listed the flow at its stop
	// awaitsLists is set if the lists of agents that are away may still arrive.
	awaitsLists bool
	answers     ownerquery.Result // of the agents that were asked for the owner
	// wantsProgress is set if agents are to tell who has bounced the packet: it may not arrive, and must not go the
	// same way again.
	wantsProgress bool
}

// searchServices returns the services at which an open flow may be, all if no routes are known. It returns false if the
// flow's route was removed.
func (e *Entry) searchServices(now time.Duration, flow steering.Flow, table *routes.Table) ([]string, bool) {
	if table == nil {
		return []string{""}, true
	}
	route, ok := table.Lookup(flow.Service())
	if !ok {
		return nil, false
	}
	return e.fleet.AppendFormerServices(now, route.SearchServices(flow.Hash()), flow), true
}

// nextCandidate returns the next step of the search for the owner of a flow.
func (e *Entry) nextCandidate(now time.Duration, flow steering.Flow, table *routes.Table, services []string) searchStep {
	s := searchStep{table: table, services: services, agents: e.searchCandidates(flow, services), known: e.searches.Lookup(now, flow)}
	unseen := steering.HasUnseen(now, s.agents)
	if s.awaitsLists = unseen && e.fleet.AwaitsLists(now); s.awaitsLists {
		return s
	}
	// An entry that has just started in a running fleet knows less of the agents than they know of each other.
	if !unseen || !e.fleet.JoinedRunning() {
		if s.answers, _ = e.owners.Ask(now, flow, s.agents, s.known.Tried); s.answers.Waiting {
			return s
		}
	}
	// What earlier packets have shown doesn't end a search, but an agent's answer does.
	tried := slices.DeleteFunc(s.known.Tried, func(id ident.NodeID) bool { return slices.Contains(s.answers.Absent, id) })
	remembered := len(tried)
	s.index, s.result, s.asked, s.listed = e.fleet.NextCandidate(now, flow, s.agents,
		steering.Asked{Tried: append(tried, s.answers.Absent...), Remembered: remembered, Silent: s.known.Silent},
		table != nil && e.fleet.RosterComplete(now))
	s.restarted = s.asked.Remembered < remembered
	if s.result == steering.NotFound && !e.fleet.KnowsAllAgents(now) {
		s.index, s.result = -1, steering.Unknown
	}
	s.wantsProgress = (s.known.Overdue || steering.AwaitsReturn(now, s.agents)) && len(s.agents) <= flowsearch.MaxTried
	return s
}

// searchOwner forwards a packet of a flow without a known owner to the first agent that may hold
// the flow, according to what earlier packets have shown.
func (e *Entry) searchOwner(
	now time.Duration, pending *pendingPacket, flow steering.Flow, table *routes.Table, cause string) {
	p := pending.Value
	services, ok := e.searchServices(now, flow, table)
	if !ok {
		if !e.fleet.Routes.HasRemoved(flow.Service()) && e.unrouted.Judge(now, flow) == steering.Unknown {
			e.hold(now, pending, "route unknown", table.Position)
			return
		}
		e.resetFlow(flow, p, "route removed", table)
		return
	}
	admitted := false
	switch e.owners.Lookup(now, flow) {
	case ownerquery.Awaited:
		e.hold(now, pending, "owner asked for", table.PositionOrZero())
		return
	case ownerquery.Absent:
		if !e.admitsReset(now, pending, services[0]) {
			e.hold(now, pending, "reset paced", table.PositionOrZero())
			return
		}
		admitted = true // agents that have been heard of since are asked first
	}
	s := e.nextCandidate(now, flow, table, services)
	if s.awaitsLists {
		e.hold(now, pending, "flow lists unknown", table.PositionOrZero())
		return
	}
	if s.answers.Waiting {
		e.hold(now, pending, "owner asked for", table.PositionOrZero())
		return
	}
	switch s.result {
	case steering.Continue:
		if s.restarted && s.known.Recent {
			e.counters.CountDrop("all agents were just searched")
			return
		}
		e.counters.searched.Inc()
		if s.known.Repeats > 0 {
			e.counters.searchedAgain.Inc()
		}
		e.counters.Set.GetOrCreateCounter(`lacewing_searches_total{cause="` + cause + `"}`).Inc()
		if progress := e.sendSearch(now, pending, &s, cause); progress && s.known.Overdue {
			item := *pending
			item.Flow, item.Value = flow, platform.Packet(bytes.Clone(p))
			item.Arrived = now
			e.unanswered.Put(now, item)
		}
	case steering.NotFound:
		if e.logs.Unusual.Allow() {
			e.logs.Unusual.Log("search ended", logging.KeyFlow, flow, logging.KeyReason, cause,
				"agents", steering.DescribeCandidates(now, s.agents, nil))
		}
		e.owners.MarkAbsent(flow)
		if !admitted && !e.admitsReset(now, pending, services[0]) {
			e.hold(now, pending, "reset paced", table.PositionOrZero())
			return
		}
		e.resetFlow(flow, p, "no target holds the flow", table)
	case steering.Unknown:
		reason := "agents unknown"
		if s.listed {
			if reason = "listed by " + s.agents[s.index].Name; pending.Arrived == now {
				e.fleet.CountAwaiting()
			}
		}
		e.fleet.ProbeUnconfirmed(now, s.agents, s.asked.Tried)
		e.hold(now, pending, reason, table.PositionOrZero())
	}
}

// timeOf returns a time of the process's clock for a token bucket.
func timeOf(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// sendSearch sends a packet to the next agent that may hold its flow. It returns whether progress is requested.
func (e *Entry) sendSearch(now time.Duration, pending *pendingPacket, s *searchStep, cause string) bool {
	p := pending.Value
	flow, agent := p.CallerFlow(), &s.agents[s.index]
	if s.restarted {
		e.searches.Restart(now, flow)
	} else if len(s.asked.Tried) > 0 || len(s.asked.Silent) > 0 {
		e.counters.resumed.Inc()
	}
	progress := s.wantsProgress && e.progressBudget.Take(timeOf(now), 1)
	e.searches.RecordSent(now, flow, agent.ID, progress)
	at := s.table.PositionOrZero()
	fp := &fleet.ForwardedPacket{Routes: at, WantsOwner: true, WantsProgress: progress, Packet: p}
	if s.table != nil {
		fp.Service = cmp.Or(agent.Service, s.services[0])
	}
	fp.SetAsked(s.asked)
	e.send(agent, fp)
	if e.logs.Unusual.Allow() {
		e.logs.Unusual.Log("flow searched", logging.KeyFlow, flow, "sequence", p.Sequence(),
			logging.KeyService, fp.Service, logging.KeyRevision, at.Revision, logging.KeyVersion, at.Version,
			logging.KeyPeer, agent.Name, "candidates", len(s.agents), logging.KeyReason, cause, "repeat", s.known.Repeats,
			"tried", len(s.asked.Tried), "silent", len(s.asked.Silent), "denied", len(s.answers.Absent), "unanswered", s.answers.Silent,
			"agents", steering.DescribeCandidates(now, s.agents, s.asked.Tried))
	}
	return progress
}

// searchCandidates returns the agents that may hold an open flow in the order in which they are asked. The
// result is valid until the next call of it or of rankedAgents.
func (e *Entry) searchCandidates(flow steering.Flow, services []string) []roster.Peer {
	e.agentBuffer = fleet.SearchCandidates(e.fleet.Roster, e.agentBuffer, flow, e.fleet.Self.DataCentre, services)
	return e.agentBuffer
}
