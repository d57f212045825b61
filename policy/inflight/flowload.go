package inflight

import (
	"math"
	"time"

	"lacewinglever.dev/policy/steering"
)

const (
	// flowLoadTimeConstant is the time constant with which the load of an open flow is averaged. Flows
	// stay open for many requests, so their mean changes slowly.
	flowLoadTimeConstant = 30 * time.Second
	// assumedFlowTime is added to the time that flows were open, as if they had had the usual load
	// before: 20 flows for a second. The first flows have little weight.
	assumedFlowTime = 20.0
	// minFlowLoad and maxFlowLoad bound the load of an open flow, in slots. With less, a target would
	// look idle whatever the number of its flows; with more, a few flows with requests in progress would
	// look like a full target.
	minFlowLoad = 0.005
	maxFlowLoad = 0.3
)

// flowLoad measures the part of a slot that an open flow occupies after its first request: the requests per
// second of an open flow, times the work per request. All counts decay with flowLoadTimeConstant.
type flowLoad struct {
	slots    int     // of the target
	requests float64 // that began
	followUp float64 // of these, those that were not the first of their flow
	work     float64 // slot-seconds that requests were in service
	flowTime float64 // seconds that flows were open, summed over the flows
}

// advance accounts for a period in which the numbers of flows and of requests in progress stayed the same.
func (l *flowLoad) advance(d time.Duration, flows, busy int) {
	keep := math.Exp(-float64(d) / float64(flowLoadTimeConstant))
	l.requests *= keep
	l.followUp *= keep
	l.work = l.work*keep + float64(min(busy, max(l.slots, 1)))*d.Seconds()
	l.flowTime = l.flowTime*keep + float64(flows)*d.Seconds()
}

// recordRequest records that a request began on a flow. isFirst is whether it is the flow's first.
func (l *flowLoad) recordRequest(isFirst bool) {
	l.requests++
	if !isFirst {
		l.followUp++
	}
}

// value returns the load of an open flow, in slots.
func (l *flowLoad) value() float64 {
	occupied := 0.0
	if l.requests > 0 {
		occupied = l.work * l.followUp / l.requests
	}
	return min(max((occupied+steering.OpenFlowLoad*assumedFlowTime)/(l.flowTime+assumedFlowTime), minFlowLoad), maxFlowLoad)
}

// FlowLoad returns the part of a slot that an open flow occupies on average after its first request. slots is the
// present number of slots of the target: requests beyond it wait and don't count as work.
func (t *Table) FlowLoad(now time.Duration, slots int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateSmoothedBusy(now)
	t.flowLoad.slots = slots
	return t.flowLoad.value()
}
