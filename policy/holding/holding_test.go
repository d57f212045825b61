package holding_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/holding"
	"lacewinglever.dev/policy/steering"
)

// Guards against a queue that grows with retransmissions, and against packets that are kept after
// their caller has sent them again.
func TestOnePacketAFlowForALimitedTime(t *testing.T) {
	q := holding.NewQueue[string]()
	flow := steering.Flow{CallerPort: 1}
	assert.Assert(t, q.Put(0, holding.Item[string]{Flow: flow, Value: "first"}))
	assert.Assert(t, q.Put(0, holding.Item[string]{Flow: flow, Arrived: 10 * time.Millisecond, Value: "second"}))
	assert.Assert(t, q.Put(0, holding.Item[string]{Flow: flow, Value: "first again"}))
	items := q.Take()
	assert.Equal(t, len(items), 1)
	assert.Equal(t, items[0].Arrived, time.Duration(0))
	assert.Assert(t, !q.Put(2*time.Second, items[0]))
	assert.Equal(t, len(q.Take()), 0)
}

// Guards against serving the callers that have waited longest first, which makes all later ones
// late.
func TestLatestFirst(t *testing.T) {
	q := holding.NewQueue[int]()
	for i := range 5 {
		q.Put(0, holding.Item[int]{Flow: steering.Flow{CallerPort: uint16(i)}, Arrived: time.Duration(i), Value: i})
	}
	for i, item := range q.Take() {
		assert.Equal(t, item.Value, 4-i)
	}
}

// Guards against unbounded memory while no packet can be decided.
func TestLimit(t *testing.T) {
	q := holding.NewQueue[int]()
	kept := 0
	for i := range 10_000 {
		if q.Put(0, holding.Item[int]{Flow: steering.Flow{CallerPort: uint16(i)}, Value: i}) {
			kept++
		}
	}
	assert.Equal(t, kept, 4096)
}

// Guards against a flow that opens twice: a held packet is dropped once the caller sends the next
// copy of its opening packet, which may reach another node.
func TestHoldTimeOfItem(t *testing.T) {
	q := holding.NewQueue[int]()
	item := holding.Item[int]{HoldTime: 200 * time.Millisecond}
	assert.Assert(t, q.Put(190*time.Millisecond, item))
	q.Take()
	assert.Assert(t, !q.Put(210*time.Millisecond, item))
}

// Guards against flows that waited for the routes after an outage and count as having waited for
// capacity. All of them would be placed at once, on full targets.
func TestOnlyCapacityWaitCounts(t *testing.T) {
	q := holding.NewQueue[string]()
	q.Put(100*time.Millisecond, holding.Item[string]{Arrived: 100 * time.Millisecond})
	item := q.Take()[0]
	assert.Equal(t, item.CapacityWait(700*time.Millisecond), time.Duration(0))
	item.NoCapacitySince = 700 * time.Millisecond
	q.Put(700*time.Millisecond, item)
	q.Put(750*time.Millisecond, holding.Item[string]{Arrived: 750 * time.Millisecond})
	item = q.Take()[0]
	assert.Equal(t, item.Arrived, 100*time.Millisecond)
	assert.Equal(t, item.CapacityWait(900*time.Millisecond), 200*time.Millisecond)
}

// Guards against a request that is lost behind an acknowledgement of its flow that waits for the same decision.
func TestPacketsWithDataReplaceOthers(t *testing.T) {
	q := holding.NewQueue[string]()
	flow := steering.Flow{CallerPort: 1}
	put := func(data bool, value string) {
		assert.Assert(t, q.Put(2, holding.Item[string]{Flow: flow, Arrived: 1, Data: data, Value: value}))
	}
	put(false, "acknowledgement")
	put(true, "request")
	put(true, "second part")
	put(false, "acknowledgement")
	items := q.Take()
	assert.Equal(t, len(items), 1)
	assert.Equal(t, items[0].Value, "request")
}
