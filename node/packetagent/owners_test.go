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

// Guards against an agent that denies the flows of a target that was only silent, and those of a target that has accepted flows
// before its first report.
func TestAgentsDontDenyFlowsOfASilentOrNewTarget(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	flow := steering.Flow{CallerPort: 1}
	serve := func(a *Agent, now time.Duration) {
		a.flows.RecordOpening(now, flow)
		a.flows.RecordDelivered(now, flow, inflight.Event{Data: true, Sequence: 1})
		a.flows.RecordSent(now, flow, inflight.Event{Data: true})
	}
	report := func(sequence uint64, start time.Time) targetstate.Report {
		return targetstate.Report{ID: "i-1", Service: "a", StartUnixMs: start.UnixMilli(), Sequence: sequence, Slots: 2, Age: time.Since(start)}
	}
	silent := newTestAgent(t, store)
	start, now := time.Now(), fleet.Now()
	assert.NilError(t, silent.HandleHeartbeat(report(1, start), targetAddress))
	serve(silent, now)
	for end := now + 4*time.Second; now < end; now += checkInterval {
		silent.targetState.RecordRunning(now)
		silent.checkTarget(now)
	}
	assert.Assert(t, silent.targetState.Status(now).Ended)
	silent.targetState.RecordReport(now, report(2, start))
	silent.checkTarget(now)
	assert.DeepEqual(t, silent.AnswerOwnerQuery(now, []steering.Flow{flow}), []ownerquery.Verdict{ownerquery.Unknown})

	restarted := newTestAgent(t, store)
	assert.NilError(t, restarted.HandleHeartbeat(report(1, time.Now().Add(-time.Second)), targetAddress))
	start = time.Now()
	serve(restarted, fleet.Now())
	assert.NilError(t, restarted.HandleHeartbeat(report(1, start), targetAddress))
	assert.DeepEqual(t, restarted.AnswerOwnerQuery(fleet.Now(), []steering.Flow{flow}), []ownerquery.Verdict{ownerquery.Unknown})
}
