package flows_test

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/bench/flows"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/steering"
)

// searchCase is a cluster whose open flows are judged while entries search for them.
type searchCase struct {
	*fixture
	mu          sync.Mutex
	misdirected []string
	bounced     map[steering.Flow]int // packets that reached targets which don't hold the flow
}

func startSearchCase(t *testing.T, zones, targets int) *searchCase {
	t.Helper()
	s := &searchCase{bounced: map[steering.Flow]int{}}
	judge := flows.NewFlowJudge(func(m flows.Misdirection) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.misdirected = append(s.misdirected, m.String())
	})
	s.fixture = startWith(t, flows.Options{Zones: zones, Targets: map[string]int{"a": targets},
		Heartbeat: 1200 * time.Millisecond, OnPacket: func(p platformtest.ReceivedPacket) {
			judge.RecordPacket(p)
			if !p.Held {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.bounced[p.Flow]++
			}
		}})
	return s
}

// openFlows opens flows, and sends a request on each, while the first entry is being restarted. That entry gets its
// share of the flows later, has no record of them, and asks the targets of its own data centre first.
func (s *searchCase) openFlows(t *testing.T, n int) (open []*platformtest.Flow) {
	t.Helper()
	first := s.Entries[0]
	first.Stop()
	for until := time.Now().Add(10 * time.Second); s.Ready(first); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%s is still ready", first.Name)
	}
	time.Sleep(time.Second) // the fabric takes an entry out after two failed probes
	for i := range n {
		flow := s.openFlow(t)
		assertOutcome(t, flow, fmt.Sprint("before-", i), platformtest.Answered)
		open = append(open, flow)
	}
	assert.NilError(t, first.Launch())
	s.waitUntilReady(t, first)
	time.Sleep(settledTime)
	return open
}

// settledTime is the time after a start in which a node hears of all others.
const settledTime = 2 * time.Second

// heldBy returns the flows that the target beside an agent holds, and the others.
func (s *searchCase) heldBy(n *flows.Node, open []*platformtest.Flow) (held, others []*platformtest.Flow) {
	target, _ := s.Target(n)
	for _, flow := range open {
		if target.Holds(flow.ID) {
			held = append(held, flow)
		} else {
			others = append(others, flow)
		}
	}
	return held, others
}

// requestAll sends a request on each flow at once. None may be reset or misdirected.
func (s *searchCase) requestAll(t *testing.T, open []*platformtest.Flow) {
	t.Helper()
	var requests sync.WaitGroup
	answered := 0
	for i, flow := range open {
		requests.Go(func() {
			got, _, _ := flow.Request(fmt.Sprint("after-", i), 5*time.Second)
			assert.Check(t, got != platformtest.WasReset, "%s was reset", flow.ID)
			s.mu.Lock()
			defer s.mu.Unlock()
			if got == platformtest.Answered {
				answered++
			}
		})
	}
	requests.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("%d of %d flows answered, %d misdirected", answered, len(open), len(s.misdirected))
	assert.Check(t, len(s.misdirected) == 0, strings.Join(s.misdirected, "\n"))
	assert.Check(t, answered == len(open), "%d of %d", answered, len(open))
}

// waitForReport waits until the target beside an agent has just sent a report.
func (s *searchCase) waitForReport(n *flows.Node) {
	target, _ := s.Target(n)
	for before := target.Reports(); target.Reports() == before; {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // the call itself
}

// Guards against searches that end at a target that has crashed and can't bounce the packet: the targets in front of
// it get each retransmission, and the flow's own none.
func TestSearchPassesACrashedTarget(t *testing.T) {
	t.Parallel()
	requestAfterCrashes(t, startSearchCase(t, 4, 8), 0) // beside the first entry
}

// Guards against searches that pass one crashed target with each retransmission, and reach the flow's own too late.
func TestSearchPassesManyCrashedTargets(t *testing.T) {
	t.Parallel()
	requestAfterCrashes(t, startSearchCase(t, 4, 20), 0, 3, 6, 9, 12, 15, 18, 1, 4, 7)
}

// requestAfterCrashes crashes the targets beside some agents, and sends a request on each flow of the others.
func requestAfterCrashes(t *testing.T, s *searchCase, crashed ...int) {
	living := s.openFlows(t, 40)
	for _, i := range crashed {
		_, living = s.heldBy(s.Agents[i], living)
	}
	s.waitForReport(s.Agents[crashed[len(crashed)-1]])
	for _, i := range crashed {
		target, _ := s.Target(s.Agents[i])
		target.Crash()
	}
	s.requestAll(t, living)
}

// Guards against flows whose retransmissions all go to the other targets while the agent of their own is being
// restarted.
func TestSearchWaitsForARestartingAgent(t *testing.T) {
	t.Parallel()
	s := startSearchCase(t, 4, 8)
	open := s.openFlows(t, 60)
	away := s.Agents[1]
	held, _ := s.heldBy(away, open)
	assert.Assert(t, len(held) > 0)
	away.Stop()
	var restart sync.WaitGroup
	defer restart.Wait()
	restart.Go(func() {
		time.Sleep(3 * time.Second)
		assert.Check(t, away.Launch())
	})
	s.requestAll(t, held)
}

// Guards against searches that end at an agent that was killed, of which a fleet with digests hears late, above all
// if the relay of its data centre was killed too.
func TestSearchPassesAKilledAgent(t *testing.T) {
	for _, c := range []struct {
		name      string
		killRelay bool
	}{{"relay runs", false}, {"relay killed", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startSearchCase(t, 4, 32)
			open := s.openFlows(t, 80)
			killed := s.Agents[1] // beside the second entry
			_, living := s.heldBy(killed, open)
			if c.killRelay {
				s.Entries[killed.Zone].Kill()
			}
			killed.Kill()
			s.requestAll(t, living)
		})
	}
}

// Guards against retransmissions that all end at a crashed target because the entry's record names an agent whose
// target doesn't hold the flow: the message that another one has accepted it was lost.
func TestSearchBehindAWrongOwnerPassesACrashedTarget(t *testing.T) {
	t.Parallel()
	s := startSearchCase(t, 4, 8)
	open := s.openFlows(t, 60)
	crashed, recorded := s.Agents[0], s.Agents[4]
	_, living := s.heldBy(crashed, open)
	_, living = s.heldBy(recorded, living)
	s.waitForReport(crashed)
	for _, flow := range living {
		assert.NilError(t, s.SendOwner(recorded, flow.ID))
	}
	target, _ := s.Target(crashed)
	target.Crash()
	s.requestAll(t, living)
}

// awayTime is the time for which agents are away in tests of restarts.
const awayTime = 2 * time.Second

// restart restarts a node and waits until it hears of all others.
func (s *searchCase) restart(t *testing.T, n *flows.Node) {
	t.Helper()
	n.Stop()
	assert.NilError(t, n.Launch())
	if !n.Agent {
		s.waitUntilReady(t, n)
	}
	time.Sleep(settledTime)
}

// routeInTurn sends the packets of each flow through the given entries in turn.
func (s *searchCase) routeInTurn(entries ...*flows.Node) {
	var mu sync.Mutex
	packets := map[steering.Flow]int{}
	routing := func(f steering.Flow) (netip.AddrPort, bool) {
		mu.Lock()
		defer mu.Unlock()
		packets[f]++
		return s.CallersAddress(entries[packets[f]%len(entries)]), true
	}
	s.routing.Store(&routing)
}

// Guards against packets that reach other targets while the agent of their own is being restarted: each entry without a
// record of the flow asks all other targets before it waits for the agent.
func TestFlowsOfARestartingAgentReachNoOtherTarget(t *testing.T) {
	for _, c := range []struct {
		name string
		// lateEntry is whether one of the entries starts while the agent is away.
		lateEntry bool
		// idle is whether the agent was restarted before, and the flows were idle since.
		idle bool
	}{{name: "entries without a record"}, {name: "an entry starts meanwhile", lateEntry: true},
		{name: "flows idle since an earlier restart", idle: true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startSearchCase(t, 3, 8)
			time.Sleep(settledTime) // until all targets have reported
			open := s.fixture.openFlows(t, serviceA, 60)
			away := s.Agents[1]
			held, _ := s.heldBy(away, open)
			assert.Assert(t, len(held) > 0)
			first, second := s.Entries[0], s.Entries[1]
			s.restart(t, first)
			s.restart(t, second)
			if c.idle {
				s.restart(t, away)
			}
			if c.lateEntry {
				second.Stop()
			}
			away.Stop()
			back := awayTime
			if c.lateEntry {
				assert.NilError(t, second.Launch())
				s.waitUntilReady(t, second)
				back = awayTime / 2 // it took a while until the entry was ready
			}
			var restart sync.WaitGroup
			defer restart.Wait()
			restart.Go(func() {
				time.Sleep(back)
				assert.Check(t, away.Launch())
			})
			s.mu.Lock()
			clear(s.bounced)
			s.mu.Unlock()
			s.routeInTurn(first, second)
			s.requestAll(t, held)
			s.mu.Lock()
			defer s.mu.Unlock()
			packets := 0
			for _, flow := range held {
				packets += s.bounced[flow.ID]
			}
			assert.Check(t, packets == 0, "%d packets of %d flows reached other targets", packets, len(held))
		})
	}
}
