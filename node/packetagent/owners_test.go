package packetagent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/inflight"
	"lacewinglever.dev/policy/ownerquery"
	"lacewinglever.dev/policy/steering"
	"lacewinglever.dev/policy/targetstate"
)

// Guards against an agent that denies a flow which its target holds: entries reset flows that all agents deny. An agent that has
// been restarted beside its target doesn't know the flows of before.
func TestAgentsDenyOnlyFlowsOfWhichTheyKnow(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	served, opening, other := steering.Flow{CallerPort: 1}, steering.Flow{CallerPort: 2}, steering.Flow{CallerPort: 3}
	for _, c := range []struct {
		name string
		age  time.Duration // of the target at its first report
		want ownerquery.Verdict
	}{
		{"the target has started with the agent", 100 * time.Millisecond, ownerquery.NotHeld},
		{"the target has started before", time.Minute, ownerquery.Unknown},
	} {
		a := newTestAgent(t, store)
		now := fleet.Now()
		a.targetState.RecordReport(now, targetstate.Report{ID: "i-1", Service: "a", StartUnixMs: 5, Sequence: 1, Slots: 2, Age: c.age})
		a.flows.RecordOpening(now, opening)
		a.flows.RecordSent(now, served, inflight.Event{Data: true})
		flows := []steering.Flow{served, opening, other}
		assert.DeepEqual(t, a.AnswerOwnerQuery(now, flows), []ownerquery.Verdict{ownerquery.Held, ownerquery.Unknown, c.want})
		later := now + a.idleTimeout() + time.Second // each flow of before has passed a packet by then
		assert.DeepEqual(t, a.AnswerOwnerQuery(later, flows[2:]), []ownerquery.Verdict{ownerquery.NotHeld})
	}
}
