package packetentry

import (
	"context"
	"time"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/ownerquery"
	"lacewinglever.dev/policy/resetpacing"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

const (
	// queryDelay is how long flows are collected before agents are asked for them. It is short next to the round trip
	// between data centres, and long enough that a burst of packets makes one query.
	queryDelay = 4 * time.Millisecond
	// poolInterval is how long the load of a pool is used for the pacing of resets. Heartbeats change it about as often.
	poolInterval = 50 * time.Millisecond
)

// askOwners asks agents for the owners of flows until the context ends.
func (e *Entry) askOwners(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.owners.Ready():
		}
		if !timing.Sleep(ctx, queryDelay) {
			return nil
		}
		for _, q := range e.owners.Queries(fleet.Now()) {
			if p, ok := e.fleet.Roster.Find(q.Agent); ok {
				e.counters.ownerQueries.Inc()
				e.fleet.SendOwnerQuery(p.Address, &q)
			}
		}
	}
}

// AnswerOwnerQuery counts a message that was sent to an entry by mistake.
func (e *Entry) AnswerOwnerQuery(_ time.Duration, flows []steering.Flow) []ownerquery.Verdict {
	e.counters.CountDrop("owner query sent to an entry")
	return make([]ownerquery.Verdict, len(flows))
}

// RecordOwnerAnswer records an agent's answer, and decides on the packets that have waited for it.
func (e *Entry) RecordOwnerAnswer(now time.Duration, agent ident.NodeID, id uint32, verdicts []ownerquery.Verdict) {
	held, decided := e.owners.RecordAnswer(agent, id, verdicts)
	for _, flow := range held {
		e.RecordOwner(flow, agent)
	}
	for _, flow := range append(held, decided...) {
		if item, ok := e.held.TakeFlow(flow); ok {
			e.forward(now, &item)
		}
	}
}

// pool is what the pacing of resets needs to know of the pool of a service.
type pool struct {
	at    time.Duration
	size  int     // agents
	slots int     // of the live targets, divided among the running entries
	load  float64 // requests in progress per slot
	pacer resetpacing.Pacer
}

// poolOf returns the pool of a service.
func (e *Entry) poolOf(now time.Duration, service string) *pool {
	p := e.pools[service]
	if p == nil {
		p = &pool{at: now - 2*poolInterval}
		e.pools[service] = p
	}
	if now-p.at <= poolInterval {
		return p
	}
	agents := e.fleet.Roster.Agents(nil, service)
	p.at, p.size, p.slots, p.load = now, len(agents), 0, steering.MeanLoad(now, agents)
	for i := range agents {
		if agents[i].Health(now) == roster.Live {
			p.slots += agents[i].Target.Slots
		}
	}
	entries := 1
	for _, peer := range e.fleet.Roster.Peers() {
		if peer.Entry && peer.Running(now) {
			entries++
		}
	}
	p.slots = (p.slots + entries - 1) / entries
	return p
}

// admitsReset reports whether a flow that no target holds may be reset now. In large pools the callers return at the rate at
// which their pool can serve them; each entry admits its share of them.
func (e *Entry) admitsReset(now time.Duration, pending *pendingPacket, service string) bool {
	p := e.poolOf(now, service)
	return p.size < ownerquery.MinPool || pending.Value.Resets() || p.pacer.Admit(now, p.slots, p.load)
}
