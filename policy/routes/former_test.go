package routes_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/routes"
)

func addressOf(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("198.18.0.%d:443", n))
}

func tableTo(services map[int]string) *routes.Table {
	t := &routes.Table{IdleTimeout: 15 * time.Second, Routes: map[netip.AddrPort]routes.Route{}}
	for n, service := range services {
		t.Routes[addressOf(n)] = routes.Route{Shares: []routes.Share{{Service: service}}}
	}
	return t
}

// Guards against flows that searches don't find because their route has got another service.
func TestFormerRoutesAreThoseOfOpenFlows(t *testing.T) {
	var f routes.Former
	all := []netip.AddrPort{addressOf(1), addressOf(2), addressOf(3)}
	assert.Equal(t, len(f.Update(0, nil, "a", all)), 0)
	assert.Equal(t, len(f.Update(0, tableTo(map[int]string{1: "a", 2: "a", 3: "a"}), "a", all)), 0)
	moved := tableTo(map[int]string{1: "b", 2: "a"}) // the third was removed
	assert.DeepEqual(t, f.Update(time.Second, moved, "a", all), []netip.AddrPort{addressOf(1)}, equalAddresses)
	assert.DeepEqual(t, f.Update(16*time.Second, moved, "a", nil), []netip.AddrPort{addressOf(1)}, equalAddresses)
	assert.Equal(t, len(f.Update(17*time.Second, moved, "a", nil)), 0)
	f.Update(20*time.Second, moved, "a", all)
	assert.Equal(t, len(f.Update(20*time.Second, tableTo(map[int]string{1: "a", 2: "a"}), "a", all)), 0)
}

func TestFormerRoutesAreBounded(t *testing.T) {
	var f routes.Former
	services := map[int]string{}
	var flows []netip.AddrPort
	for n := range 3 * routes.MaxFormer {
		services[n+1] = "b"
		flows = append(flows, addressOf(n+1))
	}
	table := tableTo(services)
	f.Update(0, table, "a", flows)
	latest := flows[routes.MaxFormer : 2*routes.MaxFormer]
	assert.DeepEqual(t, f.Update(time.Second, table, "a", latest), latest, equalAddresses)
}

// Guards against callers on a removed route who wait as if it were being added.
func TestRemovedRoutesAreToldFromUnknownOnes(t *testing.T) {
	var current routes.Current
	assert.Assert(t, !current.HasRemoved(addressOf(1)))
	for version, services := range []map[int]string{{1: "a", 2: "a"}, {2: "a"}, {1: "a"}} {
		table := tableTo(services)
		table.Position = routes.Position{Version: int64(version) + 1, Revision: uint64(version) + 1}
		_, ok := current.Offer(table)
		assert.Assert(t, ok)
		assert.Equal(t, current.HasRemoved(addressOf(1)), version == 1)
		assert.Equal(t, current.HasRemoved(addressOf(2)), version == 2)
		assert.Assert(t, !current.HasRemoved(addressOf(3)))
	}
}

// Guards against resets of open flows right after a change of the routes: a node that already has the new routes searched only
// the services that these name, while the agents of the former service had not told yet that they hold flows of the route.
func TestFormerServicesAreSearchedForAWhile(t *testing.T) {
	a, b := netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:443")
	split := routes.Route{Shares: []routes.Share{{Service: "x", Weight: 9}, {Service: "y", Weight: 1}}}
	single := routes.Route{Shares: []routes.Share{{Service: "x", Weight: 1}}}
	before := &routes.Table{Routes: map[netip.AddrPort]routes.Route{a: split, b: split}}
	after := &routes.Table{Routes: map[netip.AddrPort]routes.Route{a: single}}
	var f routes.FormerServices
	f.Record(0, nil, before)
	assert.DeepEqual(t, f.Append(0, []string{"x"}, a), []string{"x"})
	f.Record(time.Second, before, after)
	assert.DeepEqual(t, f.Append(2*time.Second, []string{"x"}, a), []string{"x", "y"})
	assert.DeepEqual(t, f.Append(2*time.Second, []string{"x"}, b), []string{"x"}) // its flows end with the route
	assert.DeepEqual(t, f.Append(12*time.Second, []string{"x"}, a), []string{"x"})
}
