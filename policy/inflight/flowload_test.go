package inflight

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/steering"
)

// simulateFlows opens n flows that each begin a request of 25 ms every interval, for a minute, and returns the
// load of an open flow. single is whether each flow closes after its first request, and another one opens.
func simulateFlows(n int, interval time.Duration, single bool) float64 {
	const step, work = 5 * time.Millisecond, 25 * time.Millisecond
	t := New()
	number := uint32(0)
	for now := time.Duration(0); now < time.Minute; now += step {
		for i := range n {
			phase := (now + time.Duration(i)*interval/time.Duration(n)/step*step) % interval
			id := steering.Flow{CallerPort: uint16(i)}
			switch phase {
			case 0:
				number++
				t.RecordDelivered(now, id, Event{Data: true, Sequence: number})
			case work:
				t.RecordSent(now, id, Event{Data: true})
				if single {
					t.RecordSent(now, id, Event{Resets: true}) // the next request opens a new flow
				}
			}
		}
		t.FlowLoad(now, 2)
	}
	return t.FlowLoad(time.Minute, 2)
}

// Guards against targets that get too many flows because all flows count alike, whatever their requests.
func TestFlowLoadFollowsTheRequestsOfOpenFlows(t *testing.T) {
	const work = 0.025
	busy := simulateFlows(10, 250*time.Millisecond, false)
	assert.Assert(t, busy > 0.85*work/0.25 && busy < 1.15*work/0.25, "%.4f", busy)
	quiet := simulateFlows(40, 5*time.Second, false)
	assert.Assert(t, quiet >= minFlowLoad && quiet < 0.01, "%.4f", quiet)
	assert.Equal(t, simulateFlows(1, 30*time.Millisecond, false), maxFlowLoad)
	single := simulateFlows(10, 250*time.Millisecond, true)
	assert.Assert(t, single < steering.OpenFlowLoad, "%.4f of flows that never send a second request", single)
}

// Guards against another load than the usual one before an agent that was restarted has seen flows.
func TestFlowLoadOfANewAgent(t *testing.T) {
	table := New()
	table.RecordDelivered(time.Second, steering.Flow{}, Event{Data: true, Sequence: 1})
	load := table.FlowLoad(1100*time.Millisecond, 2)
	assert.Assert(t, load > 0.029 && load < 0.031, "%.4f", load)
	table.Clear()
	assert.Equal(t, table.FlowLoad(2*time.Second, 2), steering.OpenFlowLoad)
}
