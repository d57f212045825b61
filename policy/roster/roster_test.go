package roster_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/stall"
)

func node(name string, incarnation uint64) roster.Node {
	return roster.Node{ID: ident.NewNodeID(name), Name: name, Incarnation: ident.Incarnation(incarnation)}
}

// Guards against a delayed heartbeat that restores an older state, or an earlier incarnation, of a
// node.
func TestOldHeartbeatsAreStale(t *testing.T) {
	r := roster.New(ident.NewNodeID("self"))
	assert.Equal(t, r.RecordHeartbeat(0, node("a", 2), roster.Heartbeat{Sequence: 5}), roster.Joined)
	assert.Equal(t, r.RecordHeartbeat(0, node("a", 2), roster.Heartbeat{Sequence: 4}), roster.Stale)
	assert.Equal(t, r.RecordHeartbeat(0, node("a", 1), roster.Heartbeat{Sequence: 9}), roster.Stale)
	assert.Equal(t, r.RecordHeartbeat(0, node("a", 2), roster.Heartbeat{Sequence: 6, Leaving: true}), roster.Changed)
	assert.Equal(t, r.RecordHeartbeat(0, node("a", 3), roster.Heartbeat{Sequence: 1}), roster.Joined)
	assert.Equal(t, r.RecordHeartbeat(0, node("self", 3), roster.Heartbeat{Sequence: 1}), roster.Stale)
}

// Guards against giving up the flows of a target while its agent is only being restarted.
func TestPlannedStopKeepsFlowsLonger(t *testing.T) {
	r := roster.New(1)
	r.RecordHeartbeat(0, node("a", 1), roster.Heartbeat{Sequence: 1})
	r.RecordHeartbeat(0, node("b", 1), roster.Heartbeat{Sequence: 1, Leaving: true})
	at := 3 * time.Second
	a, _ := r.Find(ident.NewNodeID("a"))
	b, _ := r.Find(ident.NewNodeID("b"))
	assert.Equal(t, a.Health(at), roster.Gone)
	assert.Equal(t, b.Health(at), roster.Suspect)
	assert.Equal(t, b.Health(9*time.Second), roster.Gone)
}

// Guards against removing the record of an agent that is being restarted or whose target holds flows.
func TestOnlyEndedAgentsHaveLeft(t *testing.T) {
	r := roster.New(1)
	left := roster.Heartbeat{Sequence: 1, Leaving: true, Target: roster.Target{Ended: true}}
	r.RecordHeartbeat(0, node("left", 2), left)
	r.RecordHeartbeat(0, node("restarts", 2), roster.Heartbeat{Sequence: 1, Leaving: true})
	r.RecordHeartbeat(0, node("lost", 2), roster.Heartbeat{Sequence: 1, Target: roster.Target{Ended: true}})
	entry := node("entry", 2)
	entry.Entry = true
	r.RecordHeartbeat(0, entry, left)
	hasLeft := func(now time.Duration, name string, incarnation ident.Incarnation) bool {
		return r.HasLeft(now, ident.NewNodeID(name), incarnation)
	}
	late := 10 * time.Second
	assert.Assert(t, hasLeft(late, "left", 2) && hasLeft(late, "left", 1))
	assert.Assert(t, !hasLeft(7*time.Second, "left", 2), "may be back")
	assert.Assert(t, !hasLeft(late, "left", 3), "a later incarnation")
	for _, name := range []string{"restarts", "lost", "entry", "unknown"} {
		assert.Assert(t, !hasLeft(late, name, 2), name)
	}
	r.RecordHeartbeat(late, node("left", 3), roster.Heartbeat{Sequence: 1})
	assert.Assert(t, !hasLeft(late+time.Minute, "left", 2), "back")
}

// Guards against new flows at a node that a record lists but that has never sent a heartbeat here.
func TestNodeWithoutHeartbeatIsNotLive(t *testing.T) {
	r := roster.New(1)
	assert.Assert(t, r.Add(0, node("a", 1), "s", false))
	assert.Assert(t, !r.Add(0, node("a", 1), "s", false))
	p := r.Agents(nil, "s")[0]
	assert.Equal(t, p.Health(0), roster.Suspect)
	assert.Equal(t, r.RecordHeartbeat(time.Second, node("a", 1), roster.Heartbeat{Sequence: 1}), roster.Joined)
	p = r.Agents(nil, "s")[0]
	assert.Equal(t, p.Health(time.Second), roster.Live)
	assert.Equal(t, len(r.Expire(2*time.Minute)), 1)
	assert.Equal(t, len(r.Peers()), 0)
}

// Guards against entries that count as lost between two heartbeats, which arrive once per second:
// agents would stop sending them their load.
func TestNodesRunBetweenHeartbeats(t *testing.T) {
	r := roster.New(1)
	entry := node("e", 1)
	entry.Entry = true
	r.RecordHeartbeat(0, entry, roster.Heartbeat{Sequence: 1})
	runs := func(now time.Duration) bool {
		p, ok := r.Find(entry.ID)
		return ok && p.Running(now)
	}
	assert.Assert(t, runs(990*time.Millisecond))
	assert.Equal(t, r.RecordHeartbeat(time.Second, entry, roster.Heartbeat{Sequence: 2}), roster.Unchanged)
	assert.Assert(t, !runs(4*time.Second))
	assert.Equal(t, r.RecordHeartbeat(5*time.Second, entry, roster.Heartbeat{Sequence: 3}), roster.Returned)
}

// Guards against entries of one data centre that stop at the same time, so that the fabric sends
// packets to stopped ones.
func TestEntriesLeaveInTurn(t *testing.T) {
	r := roster.New(1)
	entry := node("e", 1)
	entry.Entry, entry.DataCentre = true, "dc"
	r.RecordHeartbeat(0, entry, roster.Heartbeat{Sequence: 1, Leaving: true})
	assert.Assert(t, r.HasLeavingEntry(2*time.Second, "dc"))
	assert.Assert(t, !r.HasLeavingEntry(2*time.Second, "other"))
	entry.Incarnation++
	r.RecordHeartbeat(3*time.Second, entry, roster.Heartbeat{Sequence: 1})
	assert.Assert(t, !r.HasLeavingEntry(3*time.Second, "dc"))
}

// Guards against callers that wait for nodes which ended while the store was unavailable and left
// their record behind: after a start, all flows that no target held waited 1.5 s for 15 such nodes.
// A node that has sent a heartbeat here is not one of them.
func TestDrainedNodesAreNotWaitedFor(t *testing.T) {
	r := roster.New(1)
	r.Add(0, node("drained", 1), "s", true)
	r.Add(0, node("other", 1), "s", false)
	r.Add(0, node("lives", 1), "s", true)
	r.RecordHeartbeat(100*time.Millisecond, node("lives", 1), roster.Heartbeat{Sequence: 1})
	health := func(name string) roster.Health {
		p, ok := r.Find(ident.NewNodeID(name))
		assert.Assert(t, ok)
		return p.Health(600 * time.Millisecond)
	}
	assert.Equal(t, health("drained"), roster.Gone)
	assert.Equal(t, health("other"), roster.Suspect)
	assert.Equal(t, health("lives"), roster.Live)
}

// Guards against agents that count as silent between two heartbeats because they promise a longer
// interval, and against flows that wait for a lost agent as long as for one whose state arrives by
// digests only.
func TestSilenceIsJudgedByThePromisedInterval(t *testing.T) {
	for _, c := range []struct{ interval, live, suspect, gone time.Duration }{
		{0, 700, 900, 1600},
		{200, 700, 900, 1600},
		{400, 1100, 1200, 2000},
		{1000, 2300, 2400, 3200},
	} {
		r := roster.New(1)
		r.RecordHeartbeat(0, node("a", 1), roster.Heartbeat{Sequence: 1, Interval: c.interval * time.Millisecond})
		p, _ := r.Find(ident.NewNodeID("a"))
		assert.Equal(t, p.Health(c.live*time.Millisecond), roster.Live, "%v", c.interval)
		assert.Equal(t, p.Health(c.suspect*time.Millisecond), roster.Suspect, "%v", c.interval)
		assert.Equal(t, p.Health(c.gone*time.Millisecond), roster.Gone, "%v", c.interval)
	}
}

// Guards against new flows at an agent that was killed after its last heartbeat: an agent that
// doesn't answer its first flow with a heartbeat becomes suspect.
func TestUnansweredFlowsMakeAnAgentSuspect(t *testing.T) {
	r := roster.New(1)
	id := ident.NewNodeID("a")
	heartbeat := roster.Heartbeat{Sequence: 1, Interval: time.Second}
	r.RecordHeartbeat(0, node("a", 1), heartbeat)
	r.RecordPlacement(100*time.Millisecond, id)
	r.RecordPlacement(500*time.Millisecond, id)
	p, _ := r.Find(id)
	assert.Assert(t, p.Unanswered())
	assert.Equal(t, p.Health(550*time.Millisecond), roster.Live)
	assert.Equal(t, p.Health(650*time.Millisecond), roster.Suspect)
	heartbeat.Sequence++
	r.RecordHeartbeat(660*time.Millisecond, node("a", 1), heartbeat)
	p, _ = r.Find(id)
	assert.Assert(t, !p.Unanswered())
	assert.Equal(t, p.Health(660*time.Millisecond), roster.Live)
}

// Guards against nodes of another data centre that count as lost because they send no heartbeats
// here, against lost nodes that count as live as long as digests arrive, and against an older
// report that overrides a newer one.
func TestDigestsKeepNodesLive(t *testing.T) {
	const dc = "far"
	r := roster.New(1)
	n := node("a", 1)
	n.DataCentre = dc
	health := func(now time.Duration) roster.Health {
		p, _ := r.Find(n.ID)
		return p.Health(now)
	}
	second := time.Second
	assert.Equal(t, r.RecordRelayed(second, 0, n, roster.Heartbeat{Sequence: 5}, false), roster.Joined)
	for now := second; now < 20*second; now += roster.DigestInterval {
		r.RecordDigest(now, dc)
		assert.Equal(t, health(now+roster.DigestInterval), roster.Live)
	}
	assert.Equal(t, r.RecordRelayed(20*second, second, n, roster.Heartbeat{Sequence: 5}, true), roster.Changed)
	r.RecordDigest(20*second, dc)
	assert.Equal(t, health(20*second), roster.Suspect, "one relay may have stopped receiving")
	assert.Equal(t, health(20*second+1100*time.Millisecond), roster.Gone, "the last heartbeat is 20 s old")
	assert.Equal(t, r.RecordRelayed(20*second, 0, n, roster.Heartbeat{Sequence: 5}, false), roster.Stale,
		"another relay has not noticed the silence yet")
	assert.Equal(t, r.RecordRelayed(21*second, 0, n, roster.Heartbeat{Sequence: 6}, false), roster.Returned)
	r.RecordDigest(21*second, dc)
	assert.Equal(t, health(21*second), roster.Live)
	assert.Equal(t, r.RecordRelayed(21*second, second, n, roster.Heartbeat{Sequence: 5}, true), roster.Stale,
		"that relay receives no heartbeats")
	assert.Equal(t, health(21*second), roster.Live)
}

// Guards against resets of flows whose targets are alive while all relays of their data centre are
// lost at once and others take over.
func TestFlowsOutliveTheRelays(t *testing.T) {
	r := roster.New(1)
	n := node("a", 1)
	r.RecordRelayed(0, 0, n, roster.Heartbeat{Sequence: 1}, false)
	p, _ := r.Find(n.ID)
	assert.Equal(t, p.Health(time.Second), roster.Live)
	assert.Equal(t, p.Health(11*time.Second), roster.Suspect)
	assert.Equal(t, p.Health(13*time.Second), roster.Gone)
}

// Guards against a lost node that counts as live by digests which report only other nodes.
func TestDigestsAreNoEvidenceOfNodesThatRelaysLeaveOut(t *testing.T) {
	const dc = "far"
	r := roster.New(1)
	n := node("a", 1)
	n.DataCentre = dc
	assert.Assert(t, !r.NeedsRelay(dc))
	r.RecordHeartbeat(0, n, roster.Heartbeat{Sequence: 1, ViaDigest: true, Direct: true})
	assert.Assert(t, !r.NeedsRelay(dc))
	r.RecordDigest(13*time.Second, dc)
	p, _ := r.Find(n.ID)
	assert.Equal(t, p.Health(2*time.Second), roster.Suspect)
	assert.Assert(t, !p.AwaitsDigests(2*time.Second))
	assert.Equal(t, p.Health(13*time.Second), roster.Gone)
	r.RecordHeartbeat(14*time.Second, n, roster.Heartbeat{Sequence: 2, ViaDigest: true})
	assert.Assert(t, r.NeedsRelay(dc) && !r.NeedsRelay("other"))
	p, _ = r.Find(n.ID)
	assert.Assert(t, !p.AwaitsDigests(15*time.Second), "live")
	assert.Assert(t, p.AwaitsDigests(18*time.Second))
	assert.Assert(t, !p.AwaitsDigests(27*time.Second), "gone")
}

// Guards against judging a node that sends heartbeats here by the interval of digests, which arrive
// less often, and against giving up a node that has stopped sending heartbeats although digests
// list it. In a growing fleet, nodes switch to digests at different times.
func TestDigestsTakeOverFromHeartbeats(t *testing.T) {
	const dc = "far"
	r := roster.New(1)
	n := node("a", 1)
	n.DataCentre = dc
	health := func(now time.Duration) roster.Health {
		p, _ := r.Find(n.ID)
		return p.Health(now)
	}
	r.RecordHeartbeat(0, n, roster.Heartbeat{Sequence: 5})
	assert.Equal(t, r.RecordRelayed(100*time.Millisecond, 0, n, roster.Heartbeat{Sequence: 6}, false), roster.Stale)
	assert.Equal(t, health(800*time.Millisecond), roster.Suspect)
	assert.Equal(t, r.RecordRelayed(900*time.Millisecond, 0, n, roster.Heartbeat{Sequence: 9}, false), roster.Unchanged)
	r.RecordDigest(900*time.Millisecond, dc)
	assert.Equal(t, health(1800*time.Millisecond), roster.Live)
}

// Guards against searches that leave out agents whose service is not known yet.
func TestAgentsOfUnknownServiceAreCandidates(t *testing.T) {
	r := roster.New(1)
	names := func() (names []string) {
		for _, p := range r.Agents(nil, "s") {
			names = append(names, p.Name)
		}
		slices.Sort(names)
		return names
	}
	r.Add(0, node("listed", 1), "s", false)
	r.Add(0, node("listed", 2), "", false) // restarted; its record is older
	r.Add(0, node("named", 1), "", false)
	r.Add(0, node("other", 1), "t", false)
	assert.DeepEqual(t, names(), []string{"listed", "named"})
	r.Add(0, node("named", 1), "t", false)
	assert.DeepEqual(t, names(), []string{"listed"})
}

func TestFormerAgentsHoldFlowsOfTheAddress(t *testing.T) {
	r := roster.New(1)
	address := netip.MustParseAddrPort("198.18.0.1:443")
	for name, target := range map[string]roster.Target{
		"former":  {Service: "s", FormerRoutes: []netip.AddrPort{address}},
		"listed":  {Service: "t", FormerRoutes: []netip.AddrPort{address}},
		"without": {Service: "s"},
	} {
		r.RecordHeartbeat(0, node(name, 1), roster.Heartbeat{Sequence: 1, Target: target})
	}
	agents := r.FormerAgents(nil, address, []string{"t"})
	assert.Equal(t, len(agents), 1)
	assert.Equal(t, agents[0].Name, "former")
}

// Guards against unbounded requests for heartbeats, and against a node that is given up before it could answer.
func TestSilentPeersAreProbedAFewTimes(t *testing.T) {
	r := roster.New(1)
	id := ident.NewNodeID("a")
	r.RecordHeartbeat(0, node("a", 1), roster.Heartbeat{Sequence: 1})
	assert.Assert(t, !r.RecordProbe(time.Second, id), "a peer that isn't gone was probed")
	probes := 0
	for at := 2 * time.Second; at < 10*time.Second; at += 10 * time.Millisecond {
		if r.RecordProbe(at, id) {
			probes++
		}
	}
	assert.Equal(t, probes, 3)
	unconfirmed := func() bool {
		p, _ := r.Find(id)
		return p.IsUnconfirmed(10 * time.Second)
	}
	assert.Assert(t, !unconfirmed())
	for _, at := range []time.Duration{3 * time.Second, 8 * time.Second} { // a stall
		r.RecordRunning(at)
	}
	for at := 8 * time.Second; at <= 10*time.Second; at += stall.RecordInterval {
		r.RecordRunning(at)
	}
	assert.Assert(t, unconfirmed())
	r.RecordProbe(9700*time.Millisecond, id)
	assert.Assert(t, !unconfirmed())
	r.RecordHeartbeat(6*time.Second, node("a", 1), roster.Heartbeat{Sequence: 2})
	assert.Assert(t, unconfirmed())
}

// Guards against giving up the flows of a target while its agent is stalled or restarted without a notice.
func TestNodesOfRunningInstancesAreAwaitedLonger(t *testing.T) {
	r := roster.New(1)
	id := ident.NewNodeID("a")
	health := func(at time.Duration) roster.Health {
		p, _ := r.Find(id)
		return p.Health(at)
	}
	r.RecordHeartbeat(0, node("a", 1), roster.Heartbeat{Sequence: 1})
	assert.Equal(t, health(3*time.Second), roster.Gone)
	r.RecordInstanceRuns(id, false)
	assert.Equal(t, health(3*time.Second), roster.Suspect)
	assert.Equal(t, health(5*time.Second), roster.Gone)
	r.RecordInstanceRuns(id, true)
	assert.Equal(t, health(5*time.Second), roster.Suspect)
	assert.Equal(t, health(9*time.Second), roster.Gone)
	r.RecordHeartbeat(9*time.Second, node("a", 1), roster.Heartbeat{Sequence: 2})
	assert.Equal(t, health(12*time.Second), roster.Gone)
	r.RecordHeartbeat(12*time.Second, node("a", 1), roster.Heartbeat{Sequence: 3, ViaDigest: true})
	r.RecordInstanceRuns(id, true)
	assert.Equal(t, health(23*time.Second), roster.Suspect) // no sooner than without
}

// Guards against searches that leave out an agent which has just restarted and sends the service of its
// settings, while its target is of another one.
func TestReportedServiceOutlivesARestartOfTheAgent(t *testing.T) {
	r := roster.New(1)
	n := roster.Node{ID: 2, Name: "agent", Incarnation: 1}
	record := func(service, target string) string {
		n.Incarnation++
		r.Add(0, n, "expected", false)
		r.RecordHeartbeat(0, n, roster.Heartbeat{Sequence: 1, Target: roster.Target{Service: service, ID: target}})
		p, _ := r.Find(n.ID)
		return p.Service
	}
	assert.Equal(t, record("expected", ""), "expected")
	assert.Equal(t, record("reported", "t-1"), "reported")
	assert.Equal(t, record("expected", ""), "reported")
	assert.Equal(t, record("", ""), "reported")
	assert.Equal(t, record("expected", "t-2"), "expected")
}

// Guards against taking all nodes for gone because this one was frozen and has not read their heartbeats.
func TestFrozenNodeTakesNoOtherForGone(t *testing.T) {
	r := roster.New(1)
	run := func(from, to time.Duration) {
		for now := from; now <= to; now += 100 * time.Millisecond {
			r.RecordRunning(now)
		}
	}
	health := func(now time.Duration) roster.Health {
		p, ok := r.Find(ident.NewNodeID("a"))
		assert.Assert(t, ok)
		return p.Health(now)
	}
	run(0, time.Second)
	r.RecordHeartbeat(time.Second, node("a", 1), roster.Heartbeat{Sequence: 1})
	frozenUntil := 2 * time.Minute
	assert.Equal(t, health(frozenUntil), roster.Suspect, "before it has read anything")
	assert.Equal(t, len(r.Expire(frozenUntil)), 0)
	run(frozenUntil, frozenUntil+time.Second)
	assert.Equal(t, health(frozenUntil+time.Second), roster.Suspect)
	run(frozenUntil+time.Second, frozenUntil+2*time.Second)
	assert.Equal(t, health(frozenUntil+2*time.Second), roster.Gone, "silent since")
	assert.Equal(t, len(r.Expire(frozenUntil+2*time.Second)), 1)
}
