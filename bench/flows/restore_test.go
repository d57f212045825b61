package flows_test

import (
	"context"
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/bench/flows"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/platform/platformtest"
)

// routesBound is the time within which an accepted change must be in force at all nodes.
const routesBound = 3 * time.Second

func idleRoute(port int) platformtest.Route {
	return platformtest.Route{Name: fmt.Sprint("idle-", port), Host: "198.18.0.3", Port: port, Service: "b"}
}

// assertServed opens flows on an idle route: all must open, or none.
func (f *fixture) assertServed(t *testing.T, port int, want bool) {
	t.Helper()
	to := netip.AddrPortFrom(netip.MustParseAddr("198.18.0.3"), uint16(port))
	for i := range 8 {
		flow := f.caller.Open(to)
		assert.Equal(t, flow != nil, want, "flow %d on port %d", i, port)
		if flow != nil {
			flow.Close()
		}
	}
}

// Guards against confirmed changes that are not in force, or undone, at any node after the store was
// restored twice: nodes that were cut off, frozen, killed or started across it included.
func TestChangesAfterRestoresReachAllNodes(t *testing.T) {
	t.Parallel()
	f := start(t, map[string]int{"a": 2, "b": 2})
	services := []string{"a", "b"}
	version := 1
	put := func(ports ...int) {
		var extra []platformtest.Route
		for _, port := range ports {
			extra = append(extra, idleRoute(port))
		}
		version += 3
		f.Store.PutRoutes(version, services, routesOf(extra...))
	}
	for round := range 2 {
		kept, lost, added := 9000+10*round, 9001+10*round, 9002+10*round
		put(kept)
		saved := f.Store.Copy()
		for range 4 {
			put(kept, lost)
		}
		time.Sleep(routesBound)
		f.assertServed(t, lost, true)

		frozen, cut, killed := f.Entries[0], f.Agents[1], []*flows.Node{f.Entries[1], f.Agents[0]}
		frozen.Signal(syscall.SIGSTOP)
		for _, n := range killed {
			n.Kill()
		}
		f.SetStoreLink(cut, flows.Silence)
		f.Store.SetFault(platformtest.Reset)
		time.Sleep(time.Second)
		f.Store.Restore(saved)
		f.Store.SetFault(platformtest.Healthy)
		for _, n := range killed { // start with the older routes of the store
			assert.NilError(t, n.Launch())
		}
		frozen.Signal(syscall.SIGCONT)
		for _, n := range f.Entries {
			f.waitUntilReady(t, n)
		}
		time.Sleep(time.Second)
		f.assertServed(t, lost, true)
		version -= 3
		put(kept, lost) // the operator writes the last version again
		put(lost, added)
		time.Sleep(routesBound)
		f.assertServed(t, added, true)
		f.assertServed(t, kept, false)
		f.SetStoreLink(cut, flows.Pass)
	}
}

// Guards against nodes that starting nodes can't find after the store has lost their records, although
// they live and reach it. Most nodes make no calls after their start.
func TestRecordsAreBackAfterARestore(t *testing.T) {
	t.Parallel()
	empty := platformtest.StoreCopy{}
	f := start(t, map[string]int{"a": 4, "b": 3})
	nodes := len(f.Entries) + len(f.Agents)
	client := platform.NewStore(f.Store.Address(), func(platform.CallResult) {})
	waitForRecords := func(want int, bound time.Duration) {
		t.Helper()
		for until := time.Now().Add(bound); ; time.Sleep(20 * time.Millisecond) {
			records, _, err := client.Nodes(context.Background())
			assert.NilError(t, err)
			if len(records) >= want {
				return
			}
			assert.Assert(t, time.Now().Before(until), "%d of %d records", len(records), want)
		}
	}
	waitForRecords(nodes, 5*time.Second)
	for range 2 {
		frozen, cut := f.Entries[1], f.Agents[2]
		frozen.Signal(syscall.SIGSTOP)
		f.SetStoreLink(cut, flows.Silence)
		f.Store.Restore(empty)
		f.Store.PutRoutes(1, []string{"a", "b"}, routesOf())
		// Readers pause up to 1 s after a failed call; then the records are due within 2 s.
		waitForRecords(nodes-2, 4*time.Second)
		frozen.Signal(syscall.SIGCONT)
		f.SetStoreLink(cut, flows.Pass)
		waitForRecords(nodes, 4*time.Second)
	}
}
