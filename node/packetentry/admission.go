package packetentry

import (
	"context"
	"time"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/policy/admission"
	"lacewinglever.dev/policy/holding"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

// admissionInput returns the input of the decision about a new flow, and records its packet if that
// has just arrived. offer has the service and route of the flow.
func (e *Entry) admissionInput(now time.Duration, pending *pendingPacket, offer admission.Offer, late bool,
	table *routes.Table, agents []roster.Peer) admission.Input {
	p := pending.Value
	offer.Flow, offer.Copy, offer.Age = p.CallerFlow(), int(p.CopyIndex()), p.Age()+now-pending.Arrived
	offer.ValidFor = p.ValidFor()
	if pending.Arrived == now {
		e.admission.RecordOffered(now, table, offer, true)
	}
	in := e.admission.Input(now, table, offer)
	if !in.Competes() {
		pending.Rank = holding.Rank{}
		return in
	}
	in.Late = late
	in.CountWaiting(e.held.Waiting())
	in.Ahead = 0 // they wait for any target of the pool, and are tried first at each retry
	in.RequestTime = admission.FastestRequestTime(now, agents)
	for i := range agents {
		if steering.AcceptsNewFlows(&agents[i], now) {
			in.Slots += agents[i].Target.Slots
		}
	}
	pending.Rank = in.Rank()
	e.admissionMetrics.ExportWaiting(&in)
	return in
}

// recordRunning records that the process runs, until the context ends.
func (e *Entry) recordRunning(ctx context.Context) error {
	return timing.Every(ctx, admission.RunInterval, func(time.Time) { e.admission.RecordRunning(fleet.Now()) })
}

// refuseWithoutChance refuses a new flow if it can't get room in time, and reports whether it did.
func (e *Entry) refuseWithoutChance(now time.Duration, pending *pendingPacket, in *admission.Input, table *routes.Table) bool {
	if in.Slots == 0 { // the flow lacks a target, and not room
		return false
	}
	e.admission.RecordRoom(now, in)
	decision, reason := in.Decide()
	if decision != admission.Refuse {
		return false
	}
	p := pending.Value
	flow := p.CallerFlow()
	e.admissionMetrics.CountRefused(reason, in.Priority)
	e.resetFlow(flow, p, "refused", table)
	if e.logs.Unusual.Allow() {
		e.logs.Unusual.Log("flow refused", logging.KeyFlow, flow, "copy", p.CopyIndex(), logging.KeyReason, reason,
			logging.KeyService, in.Service, "priority", in.Priority, "rivals", in.Rivals, "full_for", in.FullFor,
			"higher", float32(in.Demand.Higher), logging.KeyAge, in.Age)
	}
	return true
}
