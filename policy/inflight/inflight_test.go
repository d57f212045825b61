package inflight_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/inflight"
	"lacewinglever.dev/policy/steering"
)

var (
	a    = steering.Flow{CallerPort: 1}
	b    = steering.Flow{CallerPort: 2}
	data = inflight.Event{Data: true}
)

// Guards against a slow target that looks idle: requests without an answer count until the answer begins.
func TestRequestsInProgress(t *testing.T) {
	table := inflight.New()
	table.Delivered(0, a, data)
	table.Delivered(0, b, data)
	table.Delivered(time.Millisecond, b, data) // a retransmission is the same request
	_, busy := table.Load(10 * time.Second)
	assert.Assert(t, busy > 1.9 && busy <= 2, "%v", busy)
	table.Sent(10*time.Second, a, data)
	table.Refused(10*time.Second, b)
	flows, busy := table.Load(30 * time.Second)
	assert.Equal(t, flows, 1)
	assert.Assert(t, busy < 0.1, "%v", busy)
}

// Guards against a target that seems busy for ever, and gets no new flows: an outage left up to six such requests at every target, because a request that
// was sent again after its answer counted as a new one.
func TestRequestsWithoutAnswerStopCounting(t *testing.T) {
	table := inflight.New()
	first := inflight.Event{Data: true, Sequence: 100}
	table.Delivered(0, a, first)
	table.Sent(0, a, data)
	table.Delivered(0, a, first) // again, after its answer
	_, busy := table.Load(10 * time.Second)
	assert.Assert(t, busy < 0.1, "%v", busy)
	table.Delivered(10*time.Second, a, inflight.Event{Data: true, Sequence: 900})
	table.Expire(11*time.Second, time.Minute)
	_, busy = table.Load(11 * time.Second)
	assert.Assert(t, busy > 0.5, "%v", busy)
	table.Expire(13*time.Second, time.Minute)
	_, busy = table.Load(20 * time.Second)
	assert.Assert(t, busy < 0.1, "%v", busy)
}

// Guards against requests of callers that gave up: the end of their flow overtakes the request, and the target finishes without an answer.
func TestRequestBehindTheEndOfItsFlow(t *testing.T) {
	table := inflight.New()
	table.Delivered(0, a, inflight.Event{Finishes: true})
	table.Delivered(0, a, data)
	table.Sent(0, a, inflight.Event{})
	table.Sent(0, a, inflight.Event{Finishes: true})
	_, busy := table.Load(time.Second)
	assert.Assert(t, busy < 0.1, "%v", busy)
}

// Guards against flows that are counted for ever: they end by both ends' word, by a reset, or by silence.
func TestFlowsEnd(t *testing.T) {
	table := inflight.New()
	end := inflight.Event{Finishes: true}
	table.Delivered(0, a, data)
	table.Delivered(0, a, end)
	table.Sent(0, a, end)
	table.Delivered(0, a, inflight.Event{}) // the acknowledgement of the end
	table.Sent(0, a, inflight.Event{})
	table.Delivered(0, b, data)
	table.Sent(0, b, inflight.Event{Resets: true})
	flows, _ := table.Load(0)
	assert.Equal(t, flows, 0)
	table.Delivered(0, a, data)
	table.Expire(20*time.Second, 15*time.Second)
	flows, busy := table.Load(20 * time.Second)
	assert.Equal(t, flows, 0)
	assert.Assert(t, busy < 1)
}
