package routes_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewinglever.dev/policy/routes"
)

func table(t *rapid.T, revision uint64) *routes.Table {
	next := &routes.Table{
		Position:    routes.Position{Version: int64(revision) * 3, Era: 1, Revision: revision},
		IdleTimeout: time.Duration(rapid.IntRange(1, 3).Draw(t, "idle")) * time.Second,
		Routes:      map[netip.AddrPort]routes.Route{}, Services: map[string]struct{}{},
	}
	for i := range 5 {
		if rapid.Bool().Draw(t, "route") {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i)}), 443)
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			next.Routes[address] = routes.Route{Name: fmt.Sprint("r", i),
				Shares: []routes.Share{{Service: service, Weight: 1}}}
			next.Services[service] = struct{}{}
		}
	}
	return next
}

// Guards against a node whose routes differ from what the operator wrote because it received
// changes instead of the complete table: from any earlier revision, kept or not, the changes must
// lead to the table in force.
func TestChangesLeadToTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current routes.Current
		var tables []*routes.Table
		for i := range rapid.IntRange(1, 40).Draw(t, "tables") {
			next := table(t, uint64(2*i+5))
			tables = append(tables, next)
			_, ok := current.Offer(next)
			assert.Assert(t, ok)
		}
		newest := tables[len(tables)-1]
		from := append([]*routes.Table{nil}, tables...)
		at := from[rapid.IntRange(0, len(from)-1).Draw(t, "from")]
		for _, c := range current.ChangesSince(at.PositionOrZero()) {
			next, err := c.Apply(at)
			assert.NilError(t, err)
			at = next
		}
		assert.DeepEqual(t, at.Routes, newest.Routes, equalAddresses)
		assert.DeepEqual(t, at.Services, newest.Services)
		assert.Equal(t, at.Position, newest.Position)
		assert.Equal(t, at.IdleTimeout, newest.IdleTimeout)
	})
}

// Guards against applying a change to other routes than those that it is based on, such as those that
// had the same revision before the store was restored.
func TestChangeWithAnotherBaseFails(t *testing.T) {
	base := routes.Position{Version: 9, Era: 1, Revision: 5}
	c := routes.Diff(&routes.Table{Position: base}, &routes.Table{Position: routes.Position{Version: 11, Era: 2, Revision: 7}})
	for _, other := range []routes.Position{
		{Version: 9, Era: 1, Revision: 4}, {Version: 9, Era: 1, Revision: 6},
		{Version: 9, Era: 2, Revision: 5}, {Version: 10, Era: 1, Revision: 5},
	} {
		_, err := c.Apply(&routes.Table{Position: other})
		assert.ErrorIs(t, err, routes.ErrBaseMismatch)
	}
	_, err := c.Apply(nil)
	assert.ErrorIs(t, err, routes.ErrBaseMismatch)
	_, err = c.Apply(&routes.Table{Position: base})
	assert.NilError(t, err)
}

// Guards against changes that list all routes: changing one address of many must cost only that
// address.
func TestChangeListsOnlyDifferences(t *testing.T) {
	before := &routes.Table{Position: routes.Position{Revision: 1}, Routes: map[netip.AddrPort]routes.Route{}}
	for i := range 1000 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		before.Routes[address] = routes.Route{Name: fmt.Sprint(i), Shares: []routes.Share{{Service: "a", Weight: 1}}}
	}
	var current routes.Current
	current.Offer(before)
	whole := current.ChangesSince(routes.Position{})
	after, err := whole[0].Apply(nil)
	assert.NilError(t, err)
	after.Revision = 2
	removed, changed := netip.MustParseAddrPort("198.18.0.7:443"), netip.MustParseAddrPort("198.18.0.8:443")
	delete(after.Routes, removed)
	after.Routes[changed] = routes.Route{Name: "8", Shares: []routes.Share{{Service: "b", Weight: 1}}}
	current.Offer(after)
	c, ok := current.Latest()
	assert.Assert(t, ok)
	assert.DeepEqual(t, c.RemovedRoutes, []netip.AddrPort{removed}, equalAddresses)
	assert.Equal(t, len(c.Routes), 1)
	assert.Equal(t, c.Routes[0].Address, changed)
}

// equalAddresses makes DeepEqual compare addresses, whose fields are unexported.
var equalAddresses = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
