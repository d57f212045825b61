package steering_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

func agent(name string, dc ident.DataCentre) roster.Peer {
	return roster.Peer{
		Node: roster.Node{ID: ident.NewNodeID(name), Name: name, DataCentre: dc}, HeartbeatSeen: true, Service: "s",
		Heartbeat: roster.Heartbeat{Target: roster.Target{Service: "s", Accepting: true, Slots: 3}},
	}
}

func pool(n int) []roster.Peer {
	var agents []roster.Peer
	for i := range n {
		agents = append(agents, agent(fmt.Sprint("agent-", i), ident.DataCentre(fmt.Sprint("dc-", i%3))))
	}
	return agents
}

// Guards against targets that attract more than their share of long flows, which stay where they
// opened.
func TestFlowsSpreadEvenly(t *testing.T) {
	agents := pool(7)
	for i := range 2100 {
		flow := steering.Flow{CallerPort: uint16(i), CallerIP: [4]byte{100, 64, 0, byte(i % 50)}}
		origin := ident.DataCentre(fmt.Sprint("dc-", i%3))
		steering.Rank(flow.Hash(), origin, agents)
		at := steering.Place(0, steering.Requirements{Origin: origin}, agents)
		agents[at].Target.Flows++
	}
	for i := range agents {
		share := float64(agents[i].Target.Flows) / 300
		assert.Assert(t, share > 0.9 && share < 1.1, "%s has %.2f of the mean", agents[i].Name, share)
	}
}

// Guards against new flows at targets that are full, draining or silent, or whose agent is
// stopping.
func TestPlaceSkipsTargetsThatDoNotAccept(t *testing.T) {
	agents := pool(6)
	agents[0].Target.Accepting = false
	agents[1].Leaving = true
	agents[2].LastSeen = -time.Second
	agents[3].HeartbeatSeen = false
	tried := []ident.NodeID{agents[4].ID}
	assert.Equal(t, steering.Place(0, steering.Requirements{Origin: "dc-0", Tried: tried}, agents), 5)
	assert.Equal(t, steering.Place(0, steering.Requirements{Origin: "dc-0", Tried: tried}, agents[:5]), -1)
}

// Guards against a slow target that gets as many new flows as the others, so that its requests in
// progress pile up.
func TestPlaceAvoidsBusyTargets(t *testing.T) {
	agents := pool(3)
	agents[0].Target.Busy, agents[1].Target.Busy = 8, 8
	for origin := range 3 {
		assert.Equal(t, steering.Place(0, steering.Requirements{Origin: ident.DataCentre(fmt.Sprint("dc-", origin))}, agents),
			2)
	}
}

// Guards against a reset of a flow whose target may be alive: while one untried agent may return,
// the packet waits.
func TestSearchGivesUpOnlyWhenAllAreKnown(t *testing.T) {
	agents := pool(3)
	agents[2].LastSeen = -time.Second
	tried := []ident.NodeID{agents[0].ID}
	at, result := steering.NextCandidate(0, agents, tried, true)
	assert.Equal(t, at, 1)
	assert.Equal(t, result, steering.Continue)
	tried = append(tried, agents[1].ID)
	_, result = steering.NextCandidate(0, agents, tried, true)
	assert.Equal(t, result, steering.Unknown)
	r := roster.New(0)
	r.RecordHeartbeat(-10*time.Second, agents[2].Node, agents[2].Heartbeat)
	next := func(now time.Duration, complete bool) steering.SearchResult {
		agents[2], _ = r.Find(agents[2].ID)
		agents[0].LastSeen, agents[1].LastSeen = now, now
		_, result := steering.NextCandidate(now, agents, tried, complete)
		return result
	}
	const answerTime = 200 * time.Millisecond
	assert.Equal(t, next(0, true), steering.Unknown) // gone, and not asked for a heartbeat
	assert.Assert(t, r.RecordProbe(0, agents[2].ID))
	assert.Equal(t, next(answerTime, true), steering.Unknown)
	assert.Equal(t, next(answerTime+1, true), steering.NotFound)
	assert.Equal(t, next(answerTime+1, false), steering.Unknown)
	r.RecordRunning(answerTime + 1 - time.Second)
	r.RecordRunning(answerTime + 1) // was stalled
	assert.Equal(t, next(answerTime+1, true), steering.Unknown)
}

// Guards against unbounded requests for heartbeats of nodes that don't answer.
func TestSearchesAskUnconfirmedAgentsOnly(t *testing.T) {
	agents := pool(5)
	const now = 10 * time.Second
	for i := range agents {
		agents[i].LastSeen = now
	}
	for _, i := range []int{0, 1, 2, 4} {
		agents[i].LastSeen = 0
	}
	agents[3].LastSeen = now - time.Second // suspect
	agents[1].Target.Ended = true
	tried := []ident.NodeID{agents[2].ID}
	var names []string
	for _, p := range steering.UnconfirmedCandidates(now, agents, tried, 5) {
		names = append(names, p.Name)
	}
	assert.DeepEqual(t, names, []string{agents[0].Name, agents[4].Name})
	assert.Equal(t, len(steering.UnconfirmedCandidates(now, agents, tried, 1)), 1)
}

// Guards against a search that stops at a target that may have ended, or at an agent that is
// stopping, while other agents are untried. Such a target doesn't bounce packets, and the packets
// of an open flow were lost for 2 s.
func TestSearchTriesPossiblyEndedTargetsLast(t *testing.T) {
	agents := pool(4)
	agents[0].Target.MayHaveEnded = true
	agents[1].Leaving = true
	at, result := steering.NextCandidate(0, agents, nil, true)
	assert.Equal(t, at, 2)
	assert.Equal(t, result, steering.Continue)
	tried := []ident.NodeID{agents[2].ID, agents[3].ID}
	at, result = steering.NextCandidate(0, agents, tried, true)
	assert.Equal(t, at, 0)
	assert.Equal(t, result, steering.Continue)
	_, result = steering.NextCandidate(0, agents, append(tried, agents[0].ID), true)
	assert.Equal(t, result, steering.Unknown, "the stopping agent may return")
}

// Guards against packets that never reach their own target because digests of its data centre stay away.
func TestSearchTriesAgentsWithoutDigestsLast(t *testing.T) {
	agents := pool(3)
	agents[0].ViaDigest = true
	now := 3 * time.Second
	agents[1].LastSeen, agents[2].LastSeen = now, now
	assert.Equal(t, agents[0].Health(now), roster.Suspect)
	at, result := steering.NextCandidate(now, agents, nil, true)
	assert.Equal(t, at, 1)
	assert.Equal(t, result, steering.Continue)
	tried := []ident.NodeID{agents[1].ID, agents[2].ID}
	at, result = steering.NextCandidate(now, agents, tried, true)
	assert.Equal(t, at, 0)
	assert.Equal(t, result, steering.Continue)
	agents[0].Leaving = true
	_, result = steering.NextCandidate(now, agents, tried, true)
	assert.Equal(t, result, steering.Unknown, "it has announced its stop")
}

// Guards against packets that always go to the same one of the agents that haven't answered, and to any of them while others
// are left.
func TestSearchTriesSilentAgentsLast(t *testing.T) {
	agents := pool(4)
	agents[1].Target.MayHaveEnded = true
	asked := steering.Asked{Silent: []ident.NodeID{agents[2].ID, agents[0].ID}}
	for _, want := range []int{3, 1, 2, 0} {
		at, result, _ := steering.Next(0, agents, asked, true)
		assert.Equal(t, at, want)
		assert.Equal(t, result, steering.Continue)
		asked.Tried = append(asked.Tried, agents[want].ID)
	}
	_, result, _ := steering.Next(0, agents, asked, true)
	assert.Equal(t, result, steering.NotFound)
}

// Guards against resets because of what earlier packets have shown: the search starts again, and decides without it.
func TestRememberedAgentsDontEndASearch(t *testing.T) {
	agents := pool(3)
	asked := steering.Asked{Remembered: 2, Tried: []ident.NodeID{agents[0].ID, agents[1].ID, agents[2].ID}}
	at, result, asked := steering.Next(0, agents, asked, true)
	assert.Equal(t, at, 0)
	assert.Equal(t, result, steering.Continue)
	assert.DeepEqual(t, asked, steering.Asked{Tried: []ident.NodeID{agents[2].ID}})
	asked.Tried = append(asked.Tried, agents[0].ID, agents[1].ID)
	_, result, _ = steering.Next(0, agents, asked, true)
	assert.Equal(t, result, steering.NotFound)
}

// Guards against packets that are shown to other targets again although only an agent that is away is left.
func TestRememberedAgentsAreNotAskedAgainWhileOneIsAway(t *testing.T) {
	agents := pool(3)
	agents[1].Leaving = true
	asked := steering.Asked{Remembered: 2, Tried: []ident.NodeID{agents[0].ID, agents[2].ID}}
	at, result, _ := steering.Next(0, agents, asked, true)
	assert.Equal(t, at, 1)
	assert.Equal(t, result, steering.Unknown)
}

// Guards against resets that are held back by loads which digests reported seconds ago.
func TestMeanLoadIsThatOfRecentHeartbeats(t *testing.T) {
	agents := pool(3)
	agents[0].Target.Busy, agents[1].Target.Busy, agents[2].Target.Busy = 3, 9, 9
	agents[1].ViaDigest, agents[2].ViaDigest = true, true
	assert.Equal(t, steering.MeanLoad(0, agents), 1.0)
	agents[0].Target.Ended = true
	assert.Equal(t, steering.MeanLoad(0, agents), 3.0)
	assert.Equal(t, steering.MeanLoad(0, nil), 0.0)
}

// Guards against a search that ends early because two nodes rank agents differently.
func TestRankDependsOnFlowAndOriginOnly(t *testing.T) {
	a, b := pool(7), pool(7)
	b[0], b[6] = b[6], b[0]
	steering.Rank(42, "dc-1", a)
	steering.Rank(42, "dc-1", b)
	for i := range a {
		assert.Equal(t, a[i].Name, b[i].Name)
	}
}

// Guards against callers that are locked out by a wrong load estimate: after a short wait the least
// loaded target gets the flow.
func TestFullTargetsGetFlowsAfterWait(t *testing.T) {
	agents := pool(3)
	for i := range agents {
		agents[i].Target.Busy = 20 + float64(i)
	}
	requirements := steering.Requirements{Origin: "dc-0"}
	assert.Equal(t, steering.Place(0, requirements, agents), -1)
	requirements.CapacityWait = 400 * time.Millisecond
	assert.Equal(t, steering.Place(0, requirements, agents), 0)
}

// Guards against entries that, after an outage, place all held flows on targets whose load they
// haven't received yet. Agents admit flows by their own exact count of requests.
func TestAgentsAdmitWithinCapacity(t *testing.T) {
	const (
		entries = 10
		targets = 7
		slots   = 3
	)
	admitted := map[ident.NodeID]int{}
	refused := 0
	for range entries {
		agents := pool(targets)
		for range 100 {
			requirements := steering.Requirements{Origin: "dc-0"}
			at := steering.Place(0, requirements, agents)
			if at < 0 {
				break
			}
			agents[at].RecordPlacement(0)
			if !requirements.Fits(float64(admitted[agents[at].ID]), slots) {
				refused++
				continue
			}
			admitted[agents[at].ID]++
		}
	}
	const capacity = slots + 12 // slots and queue of a target
	assert.Assert(t, refused > 0, "the offered load is within capacity")
	assert.Equal(t, len(admitted), targets)
	for id, n := range admitted {
		assert.Assert(t, n <= capacity, "%d concurrent flows on %s, capacity %d", n, id, capacity)
	}
}

// simulateBurst simulates callers that return together: 350 openings in 400 ms on top of 190 per
// second, on 7 targets with 3 slots, a queue of 12 and 38 ms per request. A shed request is lost.
// hold is whether flows without a target wait at the entry. It returns how many requests were
// answered within 150 ms, and how many were shed.
func simulateBurst(hold bool) (inTime, shed int) {
	const (
		step            = time.Millisecond
		requestTime     = 38 * time.Millisecond
		objective       = 150 * time.Millisecond
		reportInterval  = 50 * time.Millisecond
		retryInterval   = 50 * time.Millisecond
		queue           = 12
		requestsPerStep = 0.19
	)
	type request struct{ arrived, remaining time.Duration }
	agents := pool(7)
	queues := map[ident.NodeID][]request{}
	var waiting []time.Duration
	offer := func(now time.Duration, i int, arrived time.Duration) bool {
		for k := range agents {
			agents[k].LastSeen = now
		}
		steering.Rank(uint64(i)*0x9e3779b97f4a7c15, "dc-0", agents)
		at := steering.Place(now, steering.Requirements{Origin: "dc-0"}, agents)
		if at < 0 && hold {
			return false
		}
		if at < 0 {
			at = i % len(agents)
		}
		a := &agents[at]
		a.RecordPlacement(now)
		if len(queues[a.ID]) >= queue+a.Target.Slots {
			shed++
			return true
		}
		queues[a.ID] = append(queues[a.ID], request{arrived, requestTime})
		return true
	}
	dueRequests, flowNumber := 0.0, 0
	for now := time.Duration(0); now < 3*time.Second; now += step {
		for i := range agents {
			a := &agents[i]
			var unfinished []request
			for k, r := range queues[a.ID] {
				if k < a.Target.Slots {
					r.remaining -= step
				}
				if r.remaining > 0 {
					unfinished = append(unfinished, r)
				} else if now-r.arrived <= objective {
					inTime++
				}
			}
			queues[a.ID] = unfinished
			if now%reportInterval == 0 {
				a.Target.Busy = float64(len(unfinished))
			}
		}
		if now%retryInterval == 0 {
			retried := waiting
			waiting = nil
			for k := len(retried) - 1; k >= 0; k-- { // latest first, as in package holding
				if flowNumber++; !offer(now, flowNumber, retried[k]) && now-retried[k] < time.Second {
					waiting = append([]time.Duration{retried[k]}, waiting...)
				}
			}
		}
		dueRequests += requestsPerStep
		if now < 400*time.Millisecond {
			dueRequests += 350.0 / 400
		}
		for ; dueRequests >= 1; dueRequests-- {
			if flowNumber++; !offer(now, flowNumber, now) {
				waiting = append(waiting, now)
			}
		}
	}
	return inTime, shed
}

// Guards against a burst that fills the queues of the targets, so that all requests are late and
// many are shed.
func TestBurstWaitsAtTheEntry(t *testing.T) {
	before, shedBefore := simulateBurst(false)
	after, shed := simulateBurst(true)
	t.Logf("in time %d, shed %d; without holding %d, %d", after, shed, before, shedBefore)
	assert.Equal(t, shed, 0)
	assert.Assert(t, after > before, "%d in time, %d before", after, before)
}

// Guards against callers whose copies follow the first packet to an agent that was killed, until
// heartbeats have been missing for long enough.
func TestCopiesLeaveAgentWithoutHeartbeat(t *testing.T) {
	p := agent("a", "dc-0")
	p.LastSeen = 0
	p.RecordPlacement(10 * time.Millisecond)
	assert.Assert(t, steering.ReusesAgent(11*time.Millisecond, &p, 0))
	assert.Assert(t, !steering.ReusesAgent(210*time.Millisecond, &p, 1), "no heartbeat in 200 ms")
	p.LastSeen = 20 * time.Millisecond
	assert.Assert(t, steering.ReusesAgent(210*time.Millisecond, &p, 1), "a heartbeat has arrived, only the packet was lost")
	assert.Assert(t, !steering.ReusesAgent(610*time.Millisecond, &p, 2), "the target doesn't answer")
}

// simulateReturn simulates the return of a pool of 7 targets with 3 slots, a queue of 12 and 35 ms
// per request. 400 openings that have waited for half a second arrive within 200 ms, on top of 375
// per second that open on time. lateYields is whether late openings wait for those on time. It
// returns how many on-time requests were answered within 150 ms, how many requests were shed, and
// how many late ones were answered within 700 ms of the start.
func simulateReturn(lateYields bool) (inTime, shed, served int) {
	const (
		step         = time.Millisecond
		requestTime  = 35 * time.Millisecond
		objective    = 150 * time.Millisecond
		queue        = 12
		lateRequests = 400
		servedUntil  = 700 * time.Millisecond
	)
	type request struct {
		arrived, remaining time.Duration
		late               bool
	}
	agents := pool(7)
	queues := map[ident.NodeID][]request{}
	var waiting []request
	flowNumber := uint64(0)
	offer := func(now time.Duration, r request) bool {
		flowNumber++
		steering.Rank(flowNumber*0x9e3779b97f4a7c15, "dc-0", agents)
		at := steering.Place(now,
			steering.Requirements{Origin: "dc-0", CapacityWait: now - r.arrived, Late: r.late && lateYields}, agents)
		if at < 0 {
			return false
		}
		a := &agents[at]
		a.RecordPlacement(now)
		if len(queues[a.ID]) >= queue+a.Target.Slots {
			shed++
			return true
		}
		queues[a.ID] = append(queues[a.ID], r)
		return true
	}
	due, dueLate := 0.0, 0.0
	for now := time.Duration(0); now < 2*time.Second; now += step {
		for i := range agents {
			a := &agents[i]
			var unfinished []request
			for k, r := range queues[a.ID] {
				if k < a.Target.Slots {
					r.remaining -= step
				}
				switch {
				case r.remaining > 0:
					unfinished = append(unfinished, r)
				case !r.late && now-r.arrived <= objective:
					inTime++
				case r.late && now <= servedUntil:
					served++
				}
			}
			queues[a.ID] = unfinished
			a.LastSeen = now
			if now%(50*time.Millisecond) == 0 {
				a.Target.Busy = float64(len(unfinished))
			}
		}
		if now%(50*time.Millisecond) == 0 {
			retried := waiting
			waiting = nil
			for k := len(retried) - 1; k >= 0; k-- {
				if !offer(now, retried[k]) && now-retried[k].arrived < time.Second {
					waiting = append([]request{retried[k]}, waiting...)
				}
			}
		}
		if now < 200*time.Millisecond {
			dueLate += lateRequests / 200.0
		}
		due += 0.375
		for ; dueLate >= 1; dueLate-- {
			if r := (request{now, requestTime, true}); !offer(now, r) {
				waiting = append(waiting, r)
			}
		}
		for ; due >= 1; due-- {
			if r := (request{now, requestTime, false}); !offer(now, r) {
				waiting = append(waiting, r)
			}
		}
	}
	return inTime, shed, served
}

// Guards against callers that an outage has made late and that, when they return, also delay those
// that open on time. In one such outage, 69 of 710 requests were answered in time in the two
// seconds around the return.
func TestLateCallersYield(t *testing.T) {
	before, shedBefore, servedBefore := simulateReturn(false)
	after, shed, served := simulateReturn(true)
	t.Logf("in time %d, shed %d, late served %d; without yielding %d, %d, %d",
		after, shed, served, before, shedBefore, servedBefore)
	assert.Assert(t, after > before+before/20, "%d in time, %d before", after, before)
	assert.Assert(t, shed <= shedBefore)
	assert.Assert(t, served > servedBefore/2, "%d late callers served, %d before", served, servedBefore)
}

// Guards against long searches in pools of a hundred targets for flows that opened near their
// caller, also after the caller has moved to another data centre and its packets arrive at entries
// there.
func TestFlowsAreFoundWithinAFewSteps(t *testing.T) {
	const dataCentres = 5
	var agents []roster.Peer
	for i := range 109 {
		agents = append(agents, agent(fmt.Sprint("agent-", i), ident.DataCentre(fmt.Sprint("dc-", i%dataCentres))))
	}
	far := 0
	for i := range 1000 {
		flow := uint64(i) * 0x9e3779b97f4a7c15
		steering.Rank(flow, "dc-0", agents)
		for k := range agents {
			agents[k].Target.Busy = float64((i*31 + k*17) % 3)
		}
		at := steering.Place(0, steering.Requirements{Origin: "dc-0"}, agents)
		opened := agents[at].ID
		if agents[at].DataCentre != "dc-0" {
			far++
		}
		assert.Assert(t, at < 4, "step %d", at)
		steering.Rank(flow, "dc-3", agents)
		stepAfterMove := slices.IndexFunc(agents, func(p roster.Peer) bool { return p.ID == opened })
		assert.Assert(t, stepAfterMove < 4*dataCentres, "step %d after the caller moved", stepAfterMove)
	}
	assert.Assert(t, far < 150, "%d of 1000 flows opened in another data centre although local targets have capacity", far)
}

// Guards against a search that crosses the links between data centres at each of a hundred steps,
// and against searches that all end at the same agents, which then reset and readmit all callers
// alone.
func TestSearchesStayWithinADataCentre(t *testing.T) {
	const dataCentres = 5
	var agents []roster.Peer
	for i := range 109 {
		agents = append(agents, agent(fmt.Sprint("agent-", i), ident.DataCentre(fmt.Sprint("dc-", i%dataCentres))))
	}
	last := map[ident.DataCentre]int{}
	for i := range 1000 {
		steering.Rank(uint64(i)*0x9e3779b97f4a7c15, "dc-0", agents)
		crossed := 0
		for k := range agents[1:] {
			if agents[k].DataCentre != agents[k+1].DataCentre {
				crossed++
			}
		}
		assert.Assert(t, crossed <= 2*dataCentres, "%d crossings", crossed)
		last[agents[len(agents)-1].DataCentre]++
	}
	for dc, n := range last {
		assert.Assert(t, n > 150, "%d of 1000 searches end in %s", n, dc)
	}
	assert.Equal(t, len(last), dataCentres-1)
}

func TestSearchesAwaitAgentsThatAreRestarted(t *testing.T) {
	agents := pool(3)
	assert.Assert(t, !steering.AwaitsReturn(0, agents))
	agents[1].Leaving = true
	assert.Assert(t, steering.AwaitsReturn(0, agents))
	assert.Assert(t, !steering.AwaitsReturn(time.Minute, agents), "gone")
	agents[1].Target.Ended = true
	assert.Assert(t, !steering.AwaitsReturn(0, agents))
}
