package flows_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/bench/flows"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/storereader"
)

// evacuateWithin is the time from the operator's request until no new flow may open in the data centre.
const evacuateWithin = 5 * time.Second

// evacuated is the data centre that the tests evacuate, and evacuatedZone its number.
const (
	evacuated     = "dc-1"
	evacuatedZone = 1
)

// startEvacuation starts three data centres with two targets each.
func startEvacuation(t *testing.T) *fixture {
	t.Helper()
	return startWith(t, flows.Options{Zones: 3, Targets: map[string]int{"a": 6}, EvacuateWithin: evacuateWithin})
}

// openedIn opens n flows, sends a request on each, and returns how many opened in the evacuated data centre. All
// must be answered.
func (f *fixture) openedIn(t *testing.T, n int) int {
	t.Helper()
	zones := map[string]int{}
	for _, a := range f.Agents {
		target, _ := f.Target(a)
		zones[target.ID()] = a.Zone
	}
	count := 0
	for i := range n {
		flow := f.caller.Open(serviceA)
		assert.Assert(t, flow != nil, "flow %d doesn't open", i)
		got, target, _ := flow.Request(fmt.Sprint("zone-", i), 4*time.Second)
		assert.Equal(t, got, platformtest.Answered, "flow %d", i)
		if zones[target] == evacuatedZone {
			count++
		}
		flow.Close()
	}
	return count
}

// waitUntilUsed waits until new flows open in the data centre again.
func (f *fixture) waitUntilUsed(t *testing.T, bound time.Duration) {
	t.Helper()
	for until := time.Now().Add(bound); f.openedIn(t, 12) == 0; {
		assert.Assert(t, time.Now().Before(until), "no new flow opens in %s", evacuated)
	}
}

// evacuate writes the request and waits until it has to be in force, while callers open flows.
func (f *fixture) evacuate(t *testing.T) {
	t.Helper()
	f.Store.Evacuate(evacuated)
	for until := time.Now().Add(evacuateWithin); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		f.openedIn(t, 1)
	}
}

// assertUnused asserts for a time that no new flow opens in the evacuated data centre.
func (f *fixture) assertUnused(t *testing.T, d time.Duration) {
	t.Helper()
	for until := time.Now().Add(d); ; {
		assert.Equal(t, f.openedIn(t, 20), 0, "new flows in an evacuated data centre")
		if !time.Now().Before(until) {
			return
		}
	}
}

func (f *fixture) nodesOf(zone int) []*flows.Node {
	var nodes []*flows.Node
	for _, n := range f.Nodes() {
		if n.Zone == zone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// reader returns the node that reads the store for a data centre.
func (f *fixture) reader(t *testing.T, zone int) *flows.Node {
	t.Helper()
	nodes := f.nodesOf(zone)
	for _, n := range nodes {
		var others []ident.NodeID
		for _, o := range nodes {
			if o != n {
				others = append(others, ident.NewNodeID(o.Name))
			}
		}
		if storereader.IsReader(ident.NewNodeID(n.Name), others) {
			return n
		}
	}
	t.Fatal("no node reads the store")
	return nil
}

// Guards against new flows in an evacuated data centre, against flows there that break, and against a data centre
// that gets no flows after the withdrawal.
func TestEvacuatedDataCentreGetsNoNewFlow(t *testing.T) {
	t.Parallel()
	f := startEvacuation(t)
	f.waitUntilUsed(t, 10*time.Second)
	open := f.openFlows(t, serviceA, 40)
	f.evacuate(t)
	f.assertUnused(t, 2*time.Second)
	assertAnswered(t, open, "evacuated", 20*time.Millisecond, 4*time.Second)
	hasStatus := func() bool {
		return strings.HasPrefix(f.Store.EvacuationStatus(evacuated), `{"evacuated":true,"targets":2,"flows":`)
	}
	for until := time.Now().Add(evacuateWithin); !hasStatus(); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "status: %s", f.Store.EvacuationStatus(evacuated))
	}
	f.Entries[0].Kill() // its flows are found by searches, also in the evacuated data centre
	assert.NilError(t, f.Entries[0].Launch())
	assertAnswered(t, open, "searched", 20*time.Millisecond, 4*time.Second)
	f.Store.Withdraw(evacuated)
	f.waitUntilUsed(t, evacuateWithin)
	assertAnswered(t, open, "returned", 20*time.Millisecond, 4*time.Second)
	f.Store.Evacuate(evacuated)
	f.Store.MarkDeleting(evacuated)
	time.Sleep(evacuateWithin)
	f.waitUntilUsed(t, time.Second)
}

// Guards against callers that wait for their timeout while no data centre may take new flows, against resets of
// open flows there, and against a service that stays away after the withdrawal.
func TestNewFlowsAreResetWhileAllDataCentresAreEvacuated(t *testing.T) {
	t.Parallel()
	f := startEvacuation(t)
	open := f.openFlows(t, serviceA, 20)
	for zone := range 3 {
		f.Store.Evacuate(fmt.Sprint("dc-", zone))
	}
	time.Sleep(evacuateWithin)
	for range 10 {
		begun := time.Now()
		assert.Assert(t, f.caller.Open(serviceA) == nil)
		assert.Assert(t, time.Since(begun) < 150*time.Millisecond, "refused after %v", time.Since(begun))
	}
	assertAnswered(t, open, "evacuated", time.Millisecond, 4*time.Second)
	f.Store.Withdraw(evacuated)
	time.Sleep(evacuateWithin)
	assert.Equal(t, f.openedIn(t, 10), 10)
}

// Guards against new flows in an evacuated data centre, or a withdrawal that is lost, because the store is away.
func TestStoreIsAwayBetweenRequestAndWithdrawal(t *testing.T) {
	t.Parallel()
	f := startEvacuation(t)
	f.evacuate(t)
	for _, fault := range []platformtest.FaultMode{platformtest.Reset, platformtest.Unavailable} {
		f.Store.SetFault(fault)
		f.assertUnused(t, 3*time.Second)
	}
	f.Store.Withdraw(evacuated)
	f.assertUnused(t, time.Second)
	f.Store.SetFault(platformtest.Healthy)
	f.waitUntilUsed(t, evacuateWithin)
}

// Guards against nodes that don't learn a request because the store turns them away: all of the data centre, and the
// reader of another one.
func TestNodesThatTheStoreTurnsAwayLearnRequests(t *testing.T) {
	t.Parallel()
	f := startEvacuation(t)
	cut := append(f.nodesOf(evacuatedZone), f.reader(t, 0))
	for _, n := range cut {
		f.SetStoreLink(n, flows.Silence)
	}
	time.Sleep(time.Second)
	f.evacuate(t)
	f.assertUnused(t, 2*time.Second)
	f.Store.Withdraw(evacuated)
	f.waitUntilUsed(t, evacuateWithin)
}

// Guards against new flows at agents that start during an evacuation, before they know of it: the targets beside them
// hold on, and take flows at once. The entries know nothing of it, and go on to send flows there.
func TestAgentsThatStartDuringAnEvacuation(t *testing.T) {
	t.Parallel()
	f := startWith(t, flows.Options{Zones: 3, Targets: map[string]int{"a": 6}, EvacuateWithin: evacuateWithin, UnawareEntries: true})
	f.evacuate(t)
	for round := range 3 {
		if round == 2 { // only other nodes can tell them
			f.Store.SetFault(platformtest.Reset)
		}
		var restarts sync.WaitGroup
		for _, n := range f.nodesOf(evacuatedZone) {
			restarts.Go(func() {
				n.Kill()
				assert.Check(t, n.Launch())
			})
			if round == 0 {
				restarts.Wait() // one after another
			}
		}
		restarts.Wait()
		f.assertUnused(t, 2*time.Second)
	}
}

// Guards against a data centre that stays evacuated because it was cut off at the withdrawal, and against one that
// takes new flows because it was cut off at the request.
func TestDataCentreThatIsCutOffTakesTheNewerSet(t *testing.T) {
	t.Parallel()
	f := startEvacuation(t)
	link := func(l flows.Link) {
		for _, n := range f.nodesOf(evacuatedZone) {
			f.SetStoreLink(n, l)
			f.SetPeerLink(n, l)
		}
	}
	f.evacuate(t)
	link(flows.Silence)
	time.Sleep(3 * time.Second)
	f.Store.Withdraw(evacuated)
	time.Sleep(2 * time.Second)
	link(flows.Pass)
	time.Sleep(time.Second)
	f.waitUntilUsed(t, 2*evacuateWithin)
	link(flows.Silence)
	time.Sleep(3 * time.Second)
	f.Store.Evacuate(evacuated)
	time.Sleep(2 * time.Second)
	link(flows.Pass)
	time.Sleep(evacuateWithin)
	f.assertUnused(t, 2*time.Second)
}

// Guards against new flows in an evacuated data centre between a restore of the store from an older copy and the
// operator's second request, and against a data centre that stays evacuated without one.
func TestRestoredStoreLacksTheRequest(t *testing.T) {
	t.Parallel()
	f := startEvacuation(t)
	saved := f.Store.Copy()
	f.evacuate(t)
	f.Store.Restore(saved)
	f.assertUnused(t, 1500*time.Millisecond)
	f.Store.Evacuate(evacuated)
	f.assertUnused(t, 5*time.Second)
	f.Store.Restore(saved)
	f.waitUntilUsed(t, 2*evacuateWithin)
}
