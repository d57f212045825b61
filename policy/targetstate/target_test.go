package targetstate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/targetstate"
)

const second = time.Second

func newTarget() *targetstate.Target {
	return targetstate.New(0, targetstate.Options{Heartbeat: 1200 * time.Millisecond, AddressReuse: 2 * second})
}

func report(startUnixMs int64, sequence uint64) targetstate.Report {
	return targetstate.Report{ID: "i-1", Service: "a", StartUnixMs: startUnixMs, Sequence: sequence, Slots: 3}
}

// Guards against new flows to a target that is draining, and to one that has not reported yet.
func TestOnlyReadyTargetsAccept(t *testing.T) {
	target := newTarget()
	assert.Equal(t, target.Status(second).Reason, "no report yet")
	assert.Equal(t, target.RecordReport(second, report(10, 1)), targetstate.Changed)
	assert.Assert(t, target.Status(second).Accepting)
	r := report(10, 2)
	r.Draining = true
	assert.Equal(t, target.RecordReport(2*second, r), targetstate.Changed)
	assert.Equal(t, target.Status(2*second).Reason, "draining")
	assert.Assert(t, !target.Status(2*second).Ended)
}

// Guards against a late report that revives a target which has announced its end, or an earlier
// process of it.
func TestStaleReports(t *testing.T) {
	target := newTarget()
	drained := report(10, 5)
	drained.Draining = true
	target.RecordReport(second, drained)
	assert.Equal(t, target.RecordReport(second, report(10, 4)), targetstate.Stale)
	assert.Equal(t, target.Status(second).Reason, "draining")
	assert.Equal(t, target.RecordReport(second, report(20, 1)), targetstate.Changed)
	assert.Equal(t, target.RecordReport(second, report(10, 6)), targetstate.Stale)
	assert.Equal(t, target.Status(second).StartUnixMs, int64(20))
}

// Guards against ignoring a target that seems to have started before the one that it replaces, because the
// clock of its machine has gone back.
func TestRestartAfterTheClockHasGoneBack(t *testing.T) {
	for _, id := range []string{"i-1", "i-2"} {
		target := newTarget()
		target.RecordReport(second, report(5000, 7))
		restarted := report(10, 1)
		restarted.ID = id
		target.RecordReport(2*second, restarted)
		restarted.Sequence++
		assert.Equal(t, target.RecordReport(3200*time.Millisecond, restarted), targetstate.Changed)
		assert.Equal(t, target.RecordReport(3300*time.Millisecond, report(5000, 8)), targetstate.Stale, "delayed")
		for now := 4400 * time.Millisecond; now < 9*second; now += 1200 * time.Millisecond {
			restarted.Sequence++
			assert.Equal(t, target.RecordReport(now, restarted), targetstate.Accepted)
			s := target.Status(now + second)
			assert.Assert(t, s.Accepting && !s.Ended && s.ID == id && s.StartUnixMs == 10, "%+v", s)
		}
	}
}

// Guards against ignoring a running target because the clock of its machine has gone back far since its
// start, and against an odd report that replaces one.
func TestStartAheadOfTheClock(t *testing.T) {
	ahead := report(5000, 1)
	ahead.StartsAhead = true
	target := newTarget()
	target.RecordReport(second, report(10, 1))
	assert.Equal(t, target.RecordReport(1500*time.Millisecond, ahead), targetstate.Stale)
	assert.Equal(t, target.RecordReport(2200*time.Millisecond, report(10, 2)), targetstate.Accepted)
	assert.Equal(t, target.Status(3*second).StartUnixMs, int64(10))
	agentRestarted := newTarget()
	for now := second; now < 9*second; now += 1200 * time.Millisecond {
		ahead.Sequence++
		agentRestarted.RecordReport(now, ahead)
		s := agentRestarted.Status(now + 100*time.Millisecond)
		assert.Equal(t, s.Accepting, now > second, "%+v", s)
		assert.Assert(t, !s.Ended)
	}
}

// Guards against delayed reports of an earlier process that replace the running one.
func TestDelayedReportsOfAnEarlierProcess(t *testing.T) {
	target := newTarget()
	target.RecordReport(second, report(5000, 1))
	assert.Equal(t, target.RecordReport(2*second, report(10, 7)), targetstate.Stale, "a single one")
	assert.Equal(t, target.RecordReport(2*second+10*time.Millisecond, report(10, 8)), targetstate.Stale, "delayed together")
	assert.Equal(t, target.RecordReport(2200*time.Millisecond, report(5000, 2)), targetstate.Accepted)
	assert.Equal(t, target.RecordReport(3300*time.Millisecond, report(10, 9)), targetstate.Stale, "the later process has reported")
	assert.Equal(t, target.RecordReport(3400*time.Millisecond, report(5000, 3)), targetstate.Accepted)
	target.RecordLeave("i-1", 0)
	assert.Equal(t, target.RecordReport(5*second, report(10, 10)), targetstate.Stale, "a single one after the end")
	assert.Equal(t, target.Status(5*second).Reason, "left")
}

// Guards against new flows to an address that another service has taken over: missing reports end
// new flows before the address can be reused.
func TestSilenceEndsNewFlowsBeforeReuse(t *testing.T) {
	target := newTarget()
	target.RecordReport(10*second, report(10, 1))
	assert.Assert(t, target.Status(11700*time.Millisecond).Accepting)
	s := target.Status(11950 * time.Millisecond)
	assert.Assert(t, !s.Accepting && !s.Ended, "%+v", s)
}

// Guards against a reset of a flow whose target is running: a target that sends packets has not
// ended, however late its reports are.
func TestPacketsKeepTargetFromEnding(t *testing.T) {
	target := newTarget()
	target.RecordReport(second, report(10, 1))
	target.RecordSent(4 * second)
	assert.Assert(t, !target.Status(5*second).Ended)
	assert.Assert(t, target.Status(9*second).Ended)
}

// Guards against opening packets that are passed to a dead target until its reports have been
// missing for long enough.
func TestUnansweredOpenings(t *testing.T) {
	target := newTarget()
	target.RecordReport(second, report(10, 1))
	target.RecordOffer(second)
	target.RecordOffer(second + 10*time.Millisecond)
	assert.Assert(t, target.Status(second+100*time.Millisecond).Accepting)
	assert.Equal(t, target.Status(second+200*time.Millisecond).Reason, "doesn't answer")
	target.RecordSent(second + 210*time.Millisecond)
	assert.Assert(t, target.Status(second+220*time.Millisecond).Accepting)
}

// Guards against ignoring a target that left and returns under the same id.
func TestRestartUnderSameID(t *testing.T) {
	target := newTarget()
	target.RecordReport(second, report(10, 7))
	assert.Equal(t, target.RecordLeave("i-1", 9), targetstate.NotCurrent)
	assert.Equal(t, target.RecordLeave("i-1", 0), targetstate.Changed)
	assert.Equal(t, target.RecordLeave("i-2", 0), targetstate.NotCurrent)
	assert.Equal(t, target.Status(second).Reason, "left")
	assert.Equal(t, target.RecordReport(3*second, report(20, 1)), targetstate.Changed)
	assert.Assert(t, target.Status(3*second).Accepting)
}

// Guards against new flows that are all offered first to a target without capacity, which delays
// each of them.
func TestBouncePausesNewFlows(t *testing.T) {
	target := newTarget()
	target.RecordReport(second, report(10, 1))
	target.RecordBounced(second)
	assert.Equal(t, target.Status(second+10*time.Millisecond).Reason, "refuses new flows")
	assert.Assert(t, target.Status(second+300*time.Millisecond).Accepting)
}

// Guards against searches that stop at a target which has just ended and doesn't bounce packets:
// the packets of an open flow were lost for 2 s at a target that had left. Its flows are not reset
// before it is certain to have ended.
func TestMayHaveEnded(t *testing.T) {
	target := newTarget()
	target.RecordReport(second, report(10, 1))
	assert.Assert(t, !target.Status(second).MayHaveEnded)
	assert.Assert(t, target.Status(3*second).MayHaveEnded, "no report for 2 s")
	target.RecordReport(3*second, report(10, 2))
	assert.Assert(t, !target.Status(3*second).MayHaveEnded)
	target.RecordOffer(3 * second)
	target.RecordOffer(3 * second)
	assert.Assert(t, target.Status(3300*time.Millisecond).MayHaveEnded, "openings without an answer")
	target.RecordSent(3300 * time.Millisecond)
	target.RecordLeave("i-1", 0)
	s := target.Status(3300 * time.Millisecond)
	assert.Assert(t, s.MayHaveEnded && !s.Ended)
	target.MarkStopping(3300 * time.Millisecond)
	assert.Assert(t, target.Status(3300*time.Millisecond).Ended)
	assert.Equal(t, target.RecordReport(4*second, report(20, 1)), targetstate.Changed)
	s = target.Status(4 * second)
	assert.Assert(t, s.Accepting && !s.Ended && !s.MayHaveEnded, "%+v", s)
}

// Guards against taking a stop of the agent alone for the end of a running target.
func TestStopOfTheAgentEndsNoTarget(t *testing.T) {
	target := newTarget()
	drains := report(10, 1)
	drains.Draining = true
	target.RecordReport(second, drains)
	assert.Assert(t, !target.MarkStopping(1500*time.Millisecond))
	assert.Assert(t, !target.Status(second).Ended)
	assert.Assert(t, target.MarkStopping(6*second), "it announced its end and fell silent")
	crashed := newTarget()
	crashed.RecordReport(second, report(10, 1))
	assert.Assert(t, !crashed.MarkStopping(6*second), "it may be started again")
}

// Guards against searches that wait for agents whose target had ended before they started. After a
// power outage, 1,801 requests failed because such agents announced a stop like those that return.
func TestStopBesideATargetThatNeverReported(t *testing.T) {
	stopped := func(drained bool, at time.Duration, act func(*targetstate.Target)) bool {
		target := targetstate.New(0, targetstate.Options{Heartbeat: 1200 * time.Millisecond, AddressReuse: 2 * second})
		if drained {
			target.MarkDrained()
		}
		act(target)
		target.MarkStopping(at)
		return target.Status(at).Ended
	}
	nothing := func(*targetstate.Target) {}
	assert.Assert(t, !stopped(true, 200*time.Millisecond, nothing), "it may still hold flows, and not have reported yet")
	assert.Assert(t, stopped(true, 2*second, nothing), "its end was announced before the start")
	assert.Assert(t, stopped(false, 2*second, nothing), "a running target would have reported")
	assert.Assert(t, !stopped(false, 500*time.Millisecond, nothing), "it may not have reported yet")
	assert.Assert(t, stopped(true, 2*second, (*targetstate.Target).RecordAnswer),
		"the instance answers even after the target's end")
	assert.Assert(t, !stopped(true, 2*second, func(target *targetstate.Target) { target.RecordSent(second) }),
		"it still serves its flows")
	assert.Assert(t, !stopped(true, 2*second, func(target *targetstate.Target) {
		target.RecordReport(second, report(10, 1))
	}), "another target")
}

// Guards against giving up the flows of a draining target because its agent was restarted: the
// target sends packets, or reports again.
func TestDrainedBeforeTheStart(t *testing.T) {
	target := targetstate.New(0, targetstate.Options{Heartbeat: 1200 * time.Millisecond})
	target.MarkDrained()
	assert.Assert(t, !target.Status(1500*time.Millisecond).Ended)
	assert.Assert(t, target.Status(2*second).Ended)
	target.RecordSent(2 * second)
	assert.Assert(t, !target.Status(3*second).Ended)
	drains := report(10, 7)
	drains.Draining = true
	target.RecordReport(3*second, drains)
	assert.Assert(t, !target.Status(5*second).Ended)
}

// Guards against an agent that stops right after its start and leaves it open to other nodes
// whether its target is running.
func TestStopWaitsForTheFirstReport(t *testing.T) {
	target := targetstate.New(0, targetstate.Options{Heartbeat: 1200 * time.Millisecond})
	assert.Assert(t, target.AwaitsFirstReport(second))
	assert.Assert(t, !target.AwaitsFirstReport(2*second), "a running target would have reported")
	target.RecordReport(second, report(10, 1))
	assert.Assert(t, !target.AwaitsFirstReport(second))
	drained := targetstate.New(0, targetstate.Options{Heartbeat: 1200 * time.Millisecond})
	drained.MarkDrained()
	assert.Assert(t, drained.AwaitsFirstReport(second), "it may have announced its end only")
	assert.Assert(t, !drained.AwaitsFirstReport(2*second))
}

// Guards against taking a running target for ended because its agent was frozen and has not read its reports.
func TestFrozenAgentEndsNoTarget(t *testing.T) {
	target := newTarget()
	run := func(from, to time.Duration) {
		for now := from; now <= to; now += 100 * time.Millisecond {
			target.RecordRunning(now)
		}
	}
	run(0, second)
	target.RecordReport(second, report(10, 1))
	assert.Assert(t, !target.Status(9*second).Ended, "before it has read anything")
	run(9*second, 10*second)
	assert.Assert(t, !target.Status(10*second).Ended)
	run(10*second, 11*second)
	assert.Assert(t, target.Status(11*second).Ended, "silent since")
}

// Guards against a stop that ends an unseen target because its agent was frozen and has not read its reports.
func TestStopAfterAFreeze(t *testing.T) {
	target := newTarget()
	target.RecordRunning(100 * time.Millisecond)
	frozenUntil := 5 * second
	assert.Assert(t, target.AwaitsFirstReport(frozenUntil))
	assert.Assert(t, !target.MarkStopping(frozenUntil))
	for now := frozenUntil; now <= 7*second; now += 100 * time.Millisecond {
		target.RecordRunning(now)
	}
	assert.Assert(t, !target.AwaitsFirstReport(7*second))
	assert.Assert(t, target.MarkStopping(7*second), "a running target would have reported")
}

// Guards against a target that is taken for ended by an agent whose start takes long: it has read no report so far.
func TestSlowStartEndsNoTarget(t *testing.T) {
	for _, drained := range []bool{false, true} {
		target := targetstate.New(second, targetstate.Options{Heartbeat: 800 * time.Millisecond})
		if drained {
			target.MarkDrained()
		}
		target.RecordRunning(5 * second)
		assert.Assert(t, !target.Status(5*second).Ended, "drained: %v", drained)
		for at := 5 * second; at < 8*second; at += 50 * time.Millisecond {
			target.RecordRunning(at)
		}
		assert.Assert(t, target.Status(8*second).Ended, "drained: %v", drained)
	}
}

// Guards against an agent that takes its table of flows for complete although an earlier process of the agent has passed
// flows to the target, and against one that never does after the loss of all instances, when both start together.
func TestAgentsThatHaveSeenAllFlowsOfTheirTarget(t *testing.T) {
	ms := time.Millisecond
	for _, c := range []struct {
		name     string
		age      time.Duration // of the target at its first report, 400 ms after the start of the agent
		complete bool
	}{
		{"started together", 450 * ms, true},
		{"started later", 100 * ms, true},
		{"started long before", 1500 * ms, false},
		{"unknown, or the clock was set", -1, false},
	} {
		target := newTarget()
		assert.Assert(t, !target.SeenSinceStart(), c.name)
		r := report(10, 2)
		r.Age = c.age
		target.RecordReport(400*ms, r)
		assert.Equal(t, target.SeenSinceStart(), c.complete, c.name)
		r.Sequence, r.Age = 3, c.age+second
		target.RecordReport(400*ms+second, r)
		assert.Equal(t, target.SeenSinceStart(), c.complete, c.name)
		restarted := report(5000, 1)
		restarted.Age = 50 * ms
		target.RecordReport(3*second, restarted)
		assert.Assert(t, target.SeenSinceStart(), "%s, a target that starts beside a running agent", c.name)
	}
}
