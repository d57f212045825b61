package flows_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/bench/flows"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/steering"
	"lacewinglever.dev/policy/storereader"
)

var (
	serviceA = netip.MustParseAddrPort("198.18.0.1:8443")
	subnet   atomic.Int32 // last one used; parallel clusters need different loopback subnets
)

// programDir returns the directory of the programs, which make builds before the tests.
func programDir(t *testing.T) string {
	t.Helper()
	dir := os.Getenv("LACEWING_BIN")
	assert.Assert(t, dir != "", "LACEWING_BIN names the directory of the programs; use make test")
	return dir
}

func routesOf(extra ...platformtest.Route) []platformtest.Route {
	return append([]platformtest.Route{
		{Name: "a", Host: "198.18.0.1", Port: 8443, Service: "a"},
		{Name: "b", Host: "198.18.0.2", Port: 8443, Service: "b"},
	}, extra...)
}

// fixture is a cluster with one caller.
type fixture struct {
	*flows.Cluster
	caller *platformtest.Caller
	// routing, if set, selects the entry for each packet of the caller in place of the fabric.
	routing atomic.Pointer[func(steering.Flow) (netip.AddrPort, bool)]
}

func start(t *testing.T, targets map[string]int) *fixture {
	t.Helper()
	return startWith(t, flows.Options{Zones: 2, Targets: targets})
}

// startWith starts a cluster. It sets the directories and the subnet.
func startWith(t *testing.T, o flows.Options) *fixture {
	t.Helper()
	n := 80 + int(subnet.Add(1))
	o.Bin, o.Dir, o.Subnet = programDir(t), t.TempDir(), n
	c, err := flows.Start(o, func(platformtest.Run) {}, func() {
		t.Error("a target received a packet that differs from the one sent")
	})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	c.Store.PutRoutes(1, []string{"a", "b"}, routesOf())
	f := &fixture{Cluster: c}
	caller, err := platformtest.NewCaller(netip.MustParseAddrPort(fmt.Sprintf("127.%d.220.1:7500", n)),
		func(flow steering.Flow) (netip.AddrPort, bool) {
			if routing := f.routing.Load(); routing != nil {
				return (*routing)(flow)
			}
			return c.Route(flow)
		})
	assert.NilError(t, err)
	t.Cleanup(caller.Close)
	f.caller = caller
	for until := time.Now().Add(10 * time.Second); ; {
		if flow := caller.Open(serviceA); flow != nil {
			flow.Close()
			return f
		}
		assert.Assert(t, time.Now().Before(until), "no flow opens")
	}
}

func (f *fixture) waitUntilReady(t *testing.T, n *flows.Node) {
	t.Helper()
	launched := time.Now()
	for until := launched.Add(10 * time.Second); !f.ReadySince(n, launched); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%s is not ready again", n.Name)
	}
}

func (f *fixture) openFlow(t *testing.T) *platformtest.Flow {
	t.Helper()
	for range 5 {
		if flow := f.caller.Open(serviceA); flow != nil {
			return flow
		}
	}
	t.Fatal("no flow opens")
	return nil
}

func assertOutcome(t *testing.T, flow *platformtest.Flow, id string, want platformtest.Outcome) {
	t.Helper()
	got, _, _ := flow.Request(id, 4*time.Second)
	assert.Equal(t, got, want, "%s on %s", id, flow.ID)
}

// Guards against flows that break when the agent beside their target restarts. The target holds the
// flows; the flow table of the agent is only a hint.
func TestFlowsOutliveTheirAgent(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 3})
	flow := f.openFlow(t)
	assertOutcome(t, flow, "r-1", platformtest.Answered)
	for _, n := range f.Agents {
		n.Kill()
		assert.NilError(t, n.Launch())
	}
	assertOutcome(t, flow, "r-2", platformtest.Answered)
}

// Guards against flows that break when the entry with their flow table entry restarts. Another
// entry must find the target by a search.
func TestFlowsOutliveTheirEntries(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 4})
	flow := f.openFlow(t)
	assertOutcome(t, flow, "r-1", platformtest.Answered)
	for i, n := range f.Entries {
		n.Stop()
		assert.NilError(t, n.Launch())
		assertOutcome(t, flow, fmt.Sprint("r-", i+2), platformtest.Answered)
	}
}

// Guards against faults of a fleet that is too large for direct heartbeats and distributes them as
// digests: established flows or new flows that fail without the relays of a data centre, and a
// search there that ends before all agents were queried.
func TestFlowsInAFleetWithDigests(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 34, "b": 2})
	var open []*platformtest.Flow
	for i := range 6 {
		flow := f.openFlow(t)
		assertOutcome(t, flow, fmt.Sprint("before-", i), platformtest.Answered)
		open = append(open, flow)
	}
	for round, n := range f.Entries { // the only entry of its data centre, and so its relay
		n.Kill()
		for i, flow := range open {
			assertOutcome(t, flow, fmt.Sprint("without-", round, "-", i), platformtest.Answered)
		}
		assertOutcome(t, f.openFlow(t), fmt.Sprint("new-", round), platformtest.Answered)
		assert.NilError(t, n.Launch())
		f.waitUntilReady(t, n)
	}
	for _, n := range f.Agents {
		target, service := f.Target(n)
		target.Crash()
		assert.NilError(t, f.StartTarget(n, service))
	}
	begun := time.Now()
	assertOutcome(t, open[0], "lost", platformtest.WasReset)
	assert.Assert(t, time.Since(begun) < 2*time.Second, "reset after %v", time.Since(begun))
}

// Guards against resets of open flows when a fleet outgrows direct heartbeats while its relay is away.
func TestFlowsOutliveGrowthWithoutARelay(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2, "b": 29})
	var open []*platformtest.Flow
	for i := range 20 {
		flow := f.openFlow(t)
		assertOutcome(t, flow, fmt.Sprint("before-", i), platformtest.Answered)
		open = append(open, flow)
	}
	time.Sleep(2 * time.Second) // all nodes have heartbeats of each other
	assert.NilError(t, f.AddAgent(0, "b"))
	time.Sleep(500 * time.Millisecond)
	f.Entries[0].Kill()
	time.Sleep(1500 * time.Millisecond)
	for i, flow := range open {
		assertOutcome(t, flow, fmt.Sprint("after-", i), platformtest.Answered)
	}
}

// Guards against resets of open flows by agents that start while that of the flows' target is away.
func TestFlowsOutliveARollOfTheirAgents(t *testing.T) {
	for _, c := range []struct {
		name              string
		drain             bool
		gap, restartDelay time.Duration
		before            [2]int // agents that are restarted before that of the flows; searches end at the second one
	}{
		{"draining", true, time.Second, 1300 * time.Millisecond, [2]int{1, 2}},
		{"slow restart", false, 2 * time.Second, 2500 * time.Millisecond, [2]int{2, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, map[string]int{"a": 3})
			first := f.Agents[0]
			target, _ := f.Target(first)
			var open []*platformtest.Flow
			for i := 0; len(open) < 12; i++ {
				assert.Assert(t, i < 200, "the target gets no flows")
				flow := f.openFlow(t)
				assertOutcome(t, flow, fmt.Sprint("before-", i), platformtest.Answered)
				if target.Holds(flow.ID) {
					open = append(open, flow)
				}
			}
			if c.drain {
				target.Drain()
			}
			var restarts sync.WaitGroup
			defer restarts.Wait()
			restart := func(n *flows.Node) {
				restarts.Go(func() {
					n.Stop()
					time.Sleep(c.restartDelay)
					assert.Check(t, n.Launch())
				})
			}
			restart(f.Entries[0]) // the other one has to search for the flows of this one
			for _, i := range c.before {
				restart(f.Agents[i])
				time.Sleep(c.gap)
			}
			restart(first)
			time.Sleep(c.restartDelay + stopTime - c.gap + joinTime) // the agent before is back, this one is not
			var requests sync.WaitGroup
			for i, flow := range open {
				requests.Go(func() {
					got, _, _ := flow.Request(fmt.Sprint("after-", i), 4*time.Second)
					assert.Check(t, got == platformtest.Answered, "after-%d on %s: %v", i, flow.ID, got)
				})
			}
			requests.Wait()
		})
	}
}

// Times that a process takes to stop, and after its start to join the fleet, about.
const (
	stopTime = 300 * time.Millisecond
	joinTime = 400 * time.Millisecond
)

// Guards against resets of open flows whose agent has restarted with an earlier time of day than before.
func TestFlowsOutliveARestartAfterTheClockHasGoneBack(t *testing.T) {
	t.Parallel()
	const clockBack = 10 * time.Second
	f := start(t, map[string]int{"a": 3})
	first := f.Agents[0]
	target, _ := f.Target(first)
	var open []*platformtest.Flow
	for i := 0; len(open) < 12; i++ {
		assert.Assert(t, i < 200, "the target gets no flows")
		flow := f.openFlow(t)
		assertOutcome(t, flow, fmt.Sprint("before-", i), platformtest.Answered)
		if target.Holds(flow.ID) {
			open = append(open, flow)
		}
	}
	time.Sleep(2 * time.Second) // all nodes have heartbeats of each other
	first.Kill()
	assert.NilError(t, f.SendHeartbeat(first, time.Now().Add(clockBack))) // the last one of the ended process
	assert.NilError(t, first.Launch())
	time.Sleep(joinTime + goneTime)
	for _, n := range f.Entries { // entries without records have to search
		n.Kill()
		assert.NilError(t, n.Launch())
		f.waitUntilReady(t, n)
	}
	for i, flow := range open {
		assertOutcome(t, flow, fmt.Sprint("after-", i), platformtest.Answered)
	}
}

// goneTime is the silence after which a node counts as gone, about.
const goneTime = 2 * time.Second

// Guards against callers that wait for their deadline on a flow that no target holds any more.
func TestLostFlowsAreReset(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2})
	flow := f.openFlow(t)
	assertOutcome(t, flow, "r-1", platformtest.Answered)
	for _, n := range f.Agents {
		target, service := f.Target(n)
		target.Crash()
		assert.NilError(t, f.StartTarget(n, service))
	}
	begun := time.Now()
	assertOutcome(t, flow, "r-2", platformtest.WasReset)
	assert.Assert(t, time.Since(begun) < 2*time.Second, "reset after %v", time.Since(begun))
}

// Guards against new flows at a target that announced its drain, and against established flows that
// the announcement breaks.
func TestDrainingTargetGetsNoNewFlow(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2})
	first, _ := f.Target(f.Agents[0])
	first.Drain()
	assert.Assert(t, !first.DrainConfirmedAt().IsZero(), "the drain was not confirmed")
	before := first.OpenFlows()
	for range 20 {
		f.openFlow(t).Close()
	}
	assert.Assert(t, first.OpenFlows() <= before, "a draining target accepted a flow")
}

// Guards against stale routes when a watch delivers no events, the watch history was compacted, or
// only some nodes can reach the store.
func TestRoutesReachAllNodesWithoutWatches(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2, "b": 1})
	f.SetStoreLink(f.Entries[0], flows.Silence)
	f.Store.Compact(time.Second)
	f.Store.PutRoutes(7, []string{"a", "b"},
		routesOf(platformtest.Route{Name: "new", Host: "198.18.0.3", Port: 9000, Service: "b"}))
	time.Sleep(3 * time.Second)
	to := netip.MustParseAddrPort("198.18.0.3:9000")
	for i := range 8 {
		flow := f.caller.Open(to)
		assert.Assert(t, flow != nil, "flow %d on the new route was refused", i)
		flow.Close()
	}
}

// Guards against routes that nobody follows because the reader of each data centre is cut off.
func TestRoutesReachAllNodesWhileTheirReadersAreCutOff(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 4, "b": 2})
	time.Sleep(2 * time.Second) // all nodes have heartbeats of each other
	cutOff := 0
	for _, n := range f.Nodes() {
		var others []ident.NodeID
		for _, o := range f.Nodes() {
			if o != n && o.Zone == n.Zone {
				others = append(others, ident.NewNodeID(o.Name))
			}
		}
		if storereader.IsReader(ident.NewNodeID(n.Name), others) {
			f.SetStoreLink(n, flows.Silence)
			cutOff++
		}
	}
	assert.Equal(t, cutOff, 2)
	f.Store.PutRoutes(7, []string{"a", "b"}, routesOf(idleRoute(9100)))
	time.Sleep(routesBound)
	f.assertServed(t, 9100, true)
}

// Guards against resets of open flows of a split route by entries that start after its weights have changed.
func TestFlowsOutliveAChangeOfWeights(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2, "b": 2})
	to := netip.MustParseAddrPort("198.18.0.4:8443")
	put := func(version int, a, b float64) {
		f.Store.PutRoutes(version, []string{"a", "b"}, routesOf(platformtest.Route{Name: "split", Host: "198.18.0.4", Port: 8443,
			Split: [2]platformtest.Share{{Service: "a", Weight: a}, {Service: "b", Weight: b}}}))
		time.Sleep(time.Second)
	}
	put(2, 1, 0)
	var open []*platformtest.Flow
	for i := range 12 {
		flow := f.caller.Open(to)
		assert.Assert(t, flow != nil)
		assertOutcome(t, flow, fmt.Sprint("before-", i), platformtest.Answered)
		open = append(open, flow)
	}
	put(5, 0, 1)
	for _, n := range f.Entries {
		n.Kill()
		assert.NilError(t, n.Launch())
		f.waitUntilReady(t, n)
	}
	for i, flow := range open {
		assertOutcome(t, flow, fmt.Sprint("after-", i), platformtest.Answered)
	}
}

// Guards against resets of open flows by entries that start after their route has got another service.
func TestFlowsOutliveAReplacedService(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2, "b": 2})
	to := netip.MustParseAddrPort("198.18.0.4:8443")
	put := func(version int, service string) {
		f.Store.PutRoutes(version, []string{"a", "b"},
			routesOf(platformtest.Route{Name: "moved", Host: "198.18.0.4", Port: 8443, Service: service}))
		time.Sleep(time.Second)
	}
	open := func(id string) *platformtest.Flow {
		flow := f.caller.Open(to)
		assert.Assert(t, flow != nil)
		assertOutcome(t, flow, id, platformtest.Answered)
		return flow
	}
	put(2, "a")
	var flows []*platformtest.Flow
	for i := range 12 {
		flows = append(flows, open(fmt.Sprint("before-", i)))
	}
	put(5, "b")
	for i := range 12 {
		flows = append(flows, open(fmt.Sprint("changed-", i)))
	}
	for _, n := range f.Entries {
		n.Kill()
		assert.NilError(t, n.Launch())
		f.waitUntilReady(t, n)
	}
	for i, flow := range flows {
		assertOutcome(t, flow, fmt.Sprint("restarted-", i), platformtest.Answered)
	}
}

// Guards against resets of open flows by a process that was stalled and finds all others silent, or because
// the agent of their target is stalled.
func TestFlowsOutliveAStall(t *testing.T) {
	for _, c := range []struct {
		name     string
		nodes    func(*fixture) []*flows.Node
		duration time.Duration
	}{
		{"entries", func(f *fixture) []*flows.Node { return f.Entries }, 2500 * time.Millisecond},
		{"all", func(f *fixture) []*flows.Node { return f.Nodes() }, 2500 * time.Millisecond},
		{"one agent", func(f *fixture) []*flows.Node { return f.Agents[:1] }, 5 * time.Second},
		{"all longer", func(f *fixture) []*flows.Node { return f.Nodes() }, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, map[string]int{"a": 4})
			var open []*platformtest.Flow
			for i := range 40 {
				flow := f.openFlow(t)
				assertOutcome(t, flow, fmt.Sprint("before-", i), platformtest.Answered)
				open = append(open, flow)
			}
			time.Sleep(2 * time.Second) // all nodes have heartbeats of each other
			for _, n := range c.nodes(f) {
				n.Signal(syscall.SIGSTOP)
			}
			var requests sync.WaitGroup
			for i, flow := range open {
				requests.Go(func() {
					got, _, _ := flow.Request(fmt.Sprint("after-", i), 6*time.Second)
					assert.Check(t, got == platformtest.Answered, "after-%d on %s: %v", i, flow.ID, got)
				})
			}
			time.Sleep(c.duration)
			for _, n := range c.nodes(f) {
				n.Signal(syscall.SIGCONT)
			}
			requests.Wait()
		})
	}
}

// Guards against a node that starts during a store outage and can't serve. It must get the nodes
// and routes from its seeds.
func TestEntryStartsWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2})
	time.Sleep(time.Second)
	f.Store.SetFault(platformtest.Unanswered)
	last := f.Entries[1]
	last.Kill()
	assert.NilError(t, last.Launch())
	launched := time.Now()
	for until := launched.Add(5 * time.Second); !f.ReadySince(last, launched); time.Sleep(100 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the entry did not become ready")
	}
}

// Guards against a process that exits on SIGHUP, the signal to reload the settings.
func TestHangupDoesNotEndAProcess(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 1})
	for _, n := range append(f.Entries, f.Agents...) {
		n.Signal(syscall.SIGHUP)
	}
	time.Sleep(500 * time.Millisecond)
	f.openFlow(t).Close()
	for _, n := range append(f.Entries, f.Agents...) {
		assert.Equal(t, n.UnexpectedExits(), 0, n.Name)
	}
}

// Guards against malformed or foreign reports that end the agent or replace its target.
func TestForeignReportsAreRejected(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 1})
	url := "http://" + f.ReportsAddress(f.Agents[0]) + "/" + "Backends.Heartbeat" + "/x"
	for _, body := range []string{
		"", "{", "[]", `{"service":3}`, `{"service":"a","state":"asleep"}`, strings.Repeat("x", 1<<20),
		`{"service":"zz","address":"1.2.3.4:5","slots":1,"state":"ready","cold_remaining_ms":0,"sequence":9}`,
		`{"service":"b","address":"127.0.0.1:1","slots":1,"state":"draining","cold_remaining_ms":0,"sequence":9,"born":99999999999999}`,
	} {
		response, err := http.Post(url, "application/json", bytes.NewBufferString(body))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusBadRequest, "%.60s", body)
		assert.NilError(t, response.Body.Close())
	}
	f.openFlow(t).Close()
}

// Guards against violated guarantees under faults, in short runs of the soak: seeds that are
// divisible by 3 have planned work only, the others any fault. Seeds that fail are added here, each with its cause.
func TestSoak(t *testing.T) {
	for _, c := range []struct {
		seed  uint64
		churn bool
		added bool // evacuations, slow and mute targets, scarce room
	}{
		{seed: 3},
		{seed: 4},
		{seed: 607}, // nodes without a record after the store was restored
		{seed: 3, churn: true},
		{seed: 5, churn: true},
		{seed: 48, added: true}, // new flows in evacuated data centres, flows that break beside bad targets, and neglected priority
	} {
		t.Run(fmt.Sprintf("seed %d churn %v added %v", c.seed, c.churn, c.added), func(t *testing.T) {
			t.Parallel()
			o := flows.SoakOptions{
				Cluster: flows.Options{
					Bin: programDir(t), Dir: t.TempDir(), Subnet: 80 + int(subnet.Add(1)), Zones: 2,
					Targets: map[string]int{"a": 3, "b": 3},
				},
				Seed: c.seed, Faults: 8 * time.Second, Callers: 6, Log: os.Stderr,
				Evacuations: c.added, BadTargets: c.added, ScarceRoom: c.added,
			}
			if c.churn {
				o.Churn, o.Cluster.ZoneRouting, o.Cluster.Heartbeat = true, true, 1200*time.Millisecond
			}
			violations, err := flows.Soak(o)
			assert.NilError(t, err)
			assert.Equal(t, len(violations), 0, strings.Join(violations, "\n"))
		})
	}
}

// Guards against resets of open flows of a target that seems to have started before the one that it replaces.
func TestFlowsOutliveAClockThatHasGoneBack(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 3})
	n := f.Agents[0]
	for _, clockOffset := range []time.Duration{5 * time.Second, 0} {
		target, service := f.Target(n)
		target.Crash()
		assert.NilError(t, f.StartTargetWithClock(n, service, clockOffset))
		time.Sleep(100 * time.Millisecond) // until its first report
	}
	target, _ := f.Target(n)
	var open []*platformtest.Flow
	for i := 0; len(open) < 6; i++ {
		assert.Assert(t, i < 400, "the target gets no flows")
		flow := f.openFlow(t)
		assertOutcome(t, flow, fmt.Sprint("before-", i), platformtest.Answered)
		if target.Holds(flow.ID) {
			open = append(open, flow)
		}
	}
	time.Sleep(5 * time.Second) // idle flows give no sign that the target is running
	for i, flow := range open {
		assertOutcome(t, flow, fmt.Sprint("after-", i), platformtest.Answered)
	}
	assertOutcome(t, f.openFlow(t), "new", platformtest.Answered)
	before := target.OpenFlows()
	for i := 0; target.OpenFlows() == before; i++ {
		assert.Assert(t, i < 50, "the target gets no new flows")
		f.openFlow(t)
	}
}

// Guards against resets of open flows of a target whose machine's clock has gone back by an hour since its start.
func TestFlowsOutliveAClockThatHasGoneFarBack(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2})
	for _, n := range f.Agents {
		target, service := f.Target(n)
		target.Crash()
		assert.NilError(t, f.StartTargetWithClock(n, service, time.Hour))
	}
	flow := f.openFlow(t)
	assertOutcome(t, flow, "before", platformtest.Answered)
	time.Sleep(5 * time.Second) // an idle flow gives no sign that its target is running
	assertOutcome(t, flow, "after", platformtest.Answered)
	assertOutcome(t, f.openFlow(t), "new", platformtest.Answered)
}

// Guards against resets by nodes that were frozen and take the silence that they have not listened to for that of
// the others.
func TestFlowsOutliveAFreeze(t *testing.T) {
	for _, c := range []struct {
		name   string
		agents bool // are frozen as well
	}{
		{"entries", false},
		{"all nodes", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, map[string]int{"a": 3})
			var open []*platformtest.Flow
			for i := range 24 {
				flow := f.openFlow(t)
				assertOutcome(t, flow, fmt.Sprint("before-", i), platformtest.Answered)
				open = append(open, flow)
			}
			time.Sleep(2 * time.Second) // all nodes have heartbeats of each other
			frozen := f.Entries
			if c.agents {
				frozen = f.Nodes()
			}
			for _, n := range frozen {
				n.Signal(syscall.SIGSTOP)
			}
			var requests sync.WaitGroup
			for i, flow := range open {
				requests.Go(func() {
					got, _, _ := flow.Request(fmt.Sprint("after-", i), 6*time.Second)
					assert.Check(t, got == platformtest.Answered, "after-%d on %s: %v", i, flow.ID, got)
				})
			}
			time.Sleep(2500 * time.Millisecond)
			for _, n := range frozen {
				n.Signal(syscall.SIGCONT)
			}
			requests.Wait()
		})
	}
}
