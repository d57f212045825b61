package inflight_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/inflight"
	"lacewinglever.dev/policy/steering"
)

var (
	flowA = steering.Flow{CallerPort: 1}
	flowB = steering.Flow{CallerPort: 2}
	data  = inflight.Event{Data: true}
)

// Guards against a slow target that looks idle: requests without an answer count until the answer
// begins.
func TestRequestsInProgress(t *testing.T) {
	table := inflight.New()
	table.RecordDelivered(0, flowA, data)
	table.RecordDelivered(0, flowB, data)
	table.RecordDelivered(time.Millisecond, flowB, data) // a retransmission is the same request
	busy := table.Load(10 * time.Second).Busy
	assert.Assert(t, busy > 1.9 && busy <= 2, "%v", busy)
	table.RecordSent(10*time.Second, flowA, data)
	table.RecordBounced(10*time.Second, flowB)
	load := table.Load(30 * time.Second)
	assert.Equal(t, load.Flows, 1)
	assert.Assert(t, load.Busy < 0.1, "%v", load)
}

// Guards against a target that stays busy in its load and gets no new flows. An outage left up to
// six such requests at every target, because a request that was sent again after its answer counted
// as a new one.
func TestRequestsWithoutAnswerStopCounting(t *testing.T) {
	table := inflight.New()
	first := inflight.Event{Data: true, Sequence: 100}
	table.RecordDelivered(0, flowA, first)
	table.RecordSent(0, flowA, data)
	table.RecordDelivered(0, flowA, first) // a retransmission after the answer
	busy := table.Load(10 * time.Second).Busy
	assert.Assert(t, busy < 0.1, "%v", busy)
	table.RecordDelivered(10*time.Second, flowA, inflight.Event{Data: true, Sequence: 900})
	table.Expire(11*time.Second, time.Minute)
	busy = table.Load(11 * time.Second).Busy
	assert.Assert(t, busy > 0.5, "%v", busy)
	table.Expire(13*time.Second, time.Minute)
	busy = table.Load(20 * time.Second).Busy
	assert.Assert(t, busy < 0.1, "%v", busy)
}

// Guards against counting requests of callers that gave up: the end of their flow overtakes the
// request, and the target finishes without an answer.
func TestRequestBehindTheEndOfItsFlow(t *testing.T) {
	table := inflight.New()
	table.RecordDelivered(0, flowA, inflight.Event{Finishes: true})
	table.RecordDelivered(0, flowA, data)
	table.RecordSent(0, flowA, inflight.Event{})
	table.RecordSent(0, flowA, inflight.Event{Finishes: true})
	busy := table.Load(time.Second).Busy
	assert.Assert(t, busy < 0.1, "%v", busy)
}

// Guards against flows that are never removed: they end when both ends finish, by a reset, or by
// being idle.
func TestFlowsEnd(t *testing.T) {
	table := inflight.New()
	end := inflight.Event{Finishes: true}
	table.RecordDelivered(0, flowA, data)
	table.RecordDelivered(0, flowA, end)
	table.RecordSent(0, flowA, end)
	table.RecordDelivered(0, flowA, inflight.Event{}) // the acknowledgement of the end
	table.RecordSent(0, flowA, inflight.Event{})
	table.RecordDelivered(0, flowB, data)
	table.RecordSent(0, flowB, inflight.Event{Resets: true})
	flows := table.Load(0).Flows
	assert.Equal(t, flows, 0)
	table.RecordDelivered(0, flowA, data)
	table.Expire(20*time.Second, 15*time.Second)
	load := table.Load(20 * time.Second)
	assert.Equal(t, load.Flows, 0)
	assert.Assert(t, load.Busy < 1)
}

// Guards against a target that breaks requests off and looks idle. Half of its requests broken off
// show within a second, a single one hardly does, and the failure share falls when the target
// serves again or gets no requests.
func TestBrokenRequestsShow(t *testing.T) {
	table := inflight.New()
	reset := inflight.Event{Resets: true}
	request := func(now time.Duration, port uint16, end inflight.Event) {
		flow := steering.Flow{CallerPort: port}
		table.RecordDelivered(now, flow, data)
		table.RecordSent(now+time.Millisecond, flow, end)
	}
	request(0, 1, reset)
	assert.Assert(t, table.Load(time.Millisecond).Failing <= 0.2)
	now := time.Duration(0)
	for i := range uint16(40) {
		now += 25 * time.Millisecond
		request(now, 2+i, []inflight.Event{reset, data}[i%2])
	}
	load := table.Load(now)
	assert.Assert(t, load.Failing > 0.4 && load.Failing < 0.6, "%v", load)
	assert.Assert(t, load.Rate > 14 && load.Rate < 25, "%v", load)
	assert.Assert(t, table.Load(now+10*time.Second).Failing < 0.05)
	table.RecordSent(now, steering.Flow{CallerPort: 900}, reset) // the flow is idle, so no request was broken off
	assert.Assert(t, table.Load(now).Failing <= load.Failing)
}

// Guards against a target that gets more flows than it has capacity for while their requests are
// still on the way, and against capacity that stays taken by callers that have given up.
func TestOpeningFlowsCountUntilTheirRequestComes(t *testing.T) {
	table := inflight.New()
	flow := func(i int) steering.Flow { return steering.Flow{CallerPort: uint16(i)} }
	for i := range 4 {
		table.RecordOpening(0, flow(i))
		table.RecordOpening(time.Millisecond, flow(i)) // a copy
	}
	assert.Equal(t, table.Outstanding(time.Millisecond), 4)
	table.RecordDelivered(20*time.Millisecond, flow(0), inflight.Event{Data: true, Sequence: 1})
	assert.Equal(t, table.Outstanding(20*time.Millisecond), 4, "the request is in progress")
	table.RecordSent(40*time.Millisecond, flow(0), inflight.Event{Data: true})
	table.RecordBounced(40*time.Millisecond, flow(1))
	assert.Equal(t, table.Outstanding(40*time.Millisecond), 2)
	assert.Equal(t, table.Outstanding(time.Second), 0)
}

func TestServedFlowsAreKnown(t *testing.T) {
	table := inflight.New()
	table.RecordDelivered(0, flowA, data)
	assert.Assert(t, !table.Serves(flowA), "the target may bounce the packet")
	table.RecordSent(0, flowA, data)
	assert.Assert(t, table.Serves(flowA) && !table.Serves(flowB))
	table.RecordBounced(0, flowA)
	assert.Assert(t, !table.Serves(flowA))
	table.RecordSent(0, flowA, data)
	table.RecordSent(0, flowA, inflight.Event{Resets: true})
	assert.Assert(t, !table.Serves(flowA))
	table.RecordSent(0, flowA, data)
	table.Clear()
	assert.Assert(t, !table.Serves(flowA))
}

// Guards against agents that claim flows of which their target was only asked.
func TestAddressesAreThoseOfServedFlows(t *testing.T) {
	table := inflight.New()
	table.RecordDelivered(0, flowA, data)
	assert.Equal(t, len(table.ServiceAddresses()), 0)
	table.RecordSent(0, flowA, inflight.Event{})
	assert.Equal(t, len(table.ServiceAddresses()), 0, "acknowledged")
	table.RecordSent(0, flowA, data)
	assert.Equal(t, len(table.ServiceAddresses()), 1)
	table.RecordBounced(0, flowA)
	assert.Equal(t, len(table.ServiceAddresses()), 0)
}

// Guards against lists of flows that the target doesn't hold, and against lists that leave out the latest flows.
func TestServedFlowsAreListedLatestFirst(t *testing.T) {
	table := inflight.New()
	table.RecordDelivered(0, steering.Flow{CallerPort: 3}, data)
	table.RecordSent(1, flowA, data)
	table.RecordSent(2, flowB, data)
	assert.DeepEqual(t, table.Served(), []steering.Flow{flowB, flowA})
	table.RecordDelivered(3, flowA, data)
	table.RecordSent(4, flowB, inflight.Event{Resets: true})
	assert.DeepEqual(t, table.Served(), []steering.Flow{flowA})
	assert.DeepEqual(t, table.Expire(time.Minute, time.Second), []steering.Flow{flowA})
}

// Guards against a flow that counts as ended while its target still answers: one end sends its last packet again when the
// other's acknowledgement is lost.
func TestRepeatedEndOfOneSide(t *testing.T) {
	table := inflight.New()
	table.RecordDelivered(0, flowA, data)
	table.RecordSent(time.Millisecond, flowA, inflight.Event{Data: true, Finishes: true})
	table.RecordSent(200*time.Millisecond, flowA, inflight.Event{Data: true, Finishes: true})
	assert.Assert(t, table.Serves(flowA))
	table.RecordDelivered(300*time.Millisecond, flowA, inflight.Event{Finishes: true})
	assert.Assert(t, !table.Serves(flowA))
}

// Guards against resets of flows that have just ended: the caller repeats its last packet if the target's acknowledgement
// was lost, and the target acknowledges it again.
func TestEndedFlowsAreKnownForAWhile(t *testing.T) {
	table := inflight.New()
	table.RecordDelivered(0, flowA, inflight.Event{Data: true, Finishes: true})
	table.RecordSent(time.Second, flowA, inflight.Event{Data: true, Finishes: true})
	table.RecordSent(time.Second, flowB, inflight.Event{Data: true, Resets: true})
	assert.Assert(t, table.MayHold(flowA) && table.MayHold(flowB))
	assert.Equal(t, table.Load(time.Second).Flows, 0)
	table.Expire(10*time.Second, 20*time.Second)
	assert.Assert(t, table.MayHold(flowA) && table.MayHold(flowB))
	table.RecordBounced(11*time.Second, flowB)
	assert.Assert(t, !table.MayHold(flowB))
	table.Expire(22*time.Second, 20*time.Second)
	assert.Assert(t, !table.MayHold(flowA))
}

// Guards against a flow that is taken for absent between its opening packet and its first bytes.
func TestOfferedFlowsMayBeHeld(t *testing.T) {
	table := inflight.New()
	assert.Assert(t, !table.MayHold(flowA))
	table.RecordOpening(0, flowA)
	table.Outstanding(time.Second) // forgets the request to come
	assert.Assert(t, table.MayHold(flowA) && !table.Serves(flowA))
	table.RecordDelivered(time.Second, flowA, data)
	table.RecordSent(time.Second, flowA, data)
	assert.Assert(t, table.Serves(flowA))
	table.RecordBounced(2*time.Second, flowA)
	assert.Assert(t, !table.MayHold(flowA))
	table.RecordOpening(2*time.Second, flowB)
	table.Expire(30*time.Second, 20*time.Second)
	assert.Assert(t, !table.MayHold(flowB))
}
