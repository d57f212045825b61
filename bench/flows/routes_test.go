package flows_test

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/platform/platformtest"
)

// openFlows opens n flows to an address and sends a request on each.
func (f *fixture) openFlows(t *testing.T, to netip.AddrPort, n int) []*platformtest.Flow {
	t.Helper()
	var open []*platformtest.Flow
	for i := range n {
		flow := f.caller.Open(to)
		assert.Assert(t, flow != nil, "flow %d", i)
		open = append(open, flow)
	}
	assertAnswered(t, open, "before", time.Millisecond, 8*time.Second)
	return open
}

// assertAnswered sends a request on each flow, one every interval, and waits for the answers.
func assertAnswered(t *testing.T, open []*platformtest.Flow, name string, interval, timeout time.Duration) {
	t.Helper()
	var requests sync.WaitGroup
	for i, flow := range open {
		requests.Go(func() {
			got, _, _ := flow.Request(fmt.Sprintf("%s-%d", name, i), timeout)
			assert.Check(t, got == platformtest.Answered, "%s-%d on %s: %v", name, i, flow.ID, got)
		})
		time.Sleep(interval)
	}
	requests.Wait()
}

// Guards against resets of open flows by entries that start with the older routes of a restored store.
func TestFlowsOutliveEntriesThatStartWithOlderRoutes(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 3, "b": 2})
	saved := f.Store.Copy()
	f.Store.PutRoutes(4, []string{"a", "b"}, routesOf(idleRoute(9100)))
	time.Sleep(routesBound)
	open := f.openFlows(t, netip.MustParseAddrPort("198.18.0.3:9100"), 300)
	f.Store.Restore(saved)
	var restarts sync.WaitGroup
	for _, n := range f.Entries {
		restarts.Go(func() {
			n.Stop()
			assert.Check(t, n.Launch())
		})
	}
	restarts.Wait()
	assertAnswered(t, open, "later", time.Millisecond, 8*time.Second)
}

// Guards against callers that wait for their deadline on flows of a removed route.
func TestFlowsOfARemovedRouteAreReset(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2, "b": 2})
	f.Store.PutRoutes(4, []string{"a", "b"}, routesOf(idleRoute(9100)))
	time.Sleep(routesBound)
	open := f.openFlows(t, netip.MustParseAddrPort("198.18.0.3:9100"), 8)
	removed := time.Now()
	f.Store.PutRoutes(7, []string{"a", "b"}, routesOf())
	for _, n := range f.Entries {
		n.Kill()
		assert.NilError(t, n.Launch())
		f.waitUntilReady(t, n)
	}
	time.Sleep(time.Until(removed.Add(routesBound))) // until then, older routes may be in force
	var requests sync.WaitGroup
	for i, flow := range open {
		requests.Go(func() {
			got, _, _ := flow.Request(fmt.Sprint("later-", i), 2*routesBound)
			assert.Check(t, got == platformtest.WasReset, "%s: %v", flow.ID, got)
		})
	}
	requests.Wait()
}

// Guards against resets of idle flows whose service was removed when their route got another one.
func TestFlowsOutliveTheRemovalOfTheirService(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2, "b": 2})
	to := netip.MustParseAddrPort("198.18.0.3:9100")
	f.Store.PutRoutes(4, []string{"a", "b"}, routesOf(idleRoute(9100)))
	time.Sleep(routesBound)
	open := f.openFlows(t, to, 12)
	f.Store.PutRoutes(7, []string{"a"}, []platformtest.Route{
		{Name: "a", Host: "198.18.0.1", Port: 8443, Service: "a"},
		{Name: "idle-9100", Host: "198.18.0.3", Port: 9100, Service: "a"},
	})
	time.Sleep(2 * routesBound)
	assertAnswered(t, open, "later", 50*time.Millisecond, 4*time.Second)
}
