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
		Revision: revision, Version: int64(revision) * 3, IdleTimeout: time.Duration(rapid.IntRange(1, 3).Draw(t, "idle")) * time.Second,
		Routes: map[netip.AddrPort]routes.Route{}, Services: map[string]struct{}{},
	}
	for i := range 5 {
		if rapid.Bool().Draw(t, "route") {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i)}), 443)
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			next.Routes[address] = routes.Route{Name: fmt.Sprint("r", i), Shares: []routes.Share{{Service: service, Weight: 1}}}
			next.Services[service] = struct{}{}
		}
	}
	return next
}

// Guards against a node that has other routes than the operator wrote because it got changes instead of the whole: from any earlier revision, kept or
// not, the changes lead to the table in force.
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
		revision := uint64(0)
		if at != nil {
			revision = at.Revision
		}
		for _, c := range current.ChangesSince(revision) {
			next, err := c.Apply(at)
			assert.NilError(t, err)
			at = next
		}
		assert.DeepEqual(t, at.Routes, newest.Routes, equalAddresses)
		assert.DeepEqual(t, at.Services, newest.Services)
		assert.Equal(t, at.Revision, newest.Revision)
		assert.Equal(t, at.Version, newest.Version)
		assert.Equal(t, at.IdleTimeout, newest.IdleTimeout)
	})
}

// Guards against a change that is applied to other routes than those that it follows from.
func TestChangeOfAnotherBaseIsRefused(t *testing.T) {
	c := routes.Diff(&routes.Table{Revision: 5}, &routes.Table{Revision: 7})
	for _, before := range []*routes.Table{nil, {Revision: 4}, {Revision: 6}} {
		_, err := c.Apply(before)
		assert.ErrorIs(t, err, routes.ErrBaseMismatch)
	}
	_, err := c.Apply(&routes.Table{Revision: 5})
	assert.NilError(t, err)
}

// Guards against changes that name all routes: one address of many costs one.
func TestChangeNamesWhatDiffers(t *testing.T) {
	before := &routes.Table{Revision: 1, Routes: map[netip.AddrPort]routes.Route{}}
	for i := range 1000 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		before.Routes[address] = routes.Route{Name: fmt.Sprint(i), Shares: []routes.Share{{Service: "a", Weight: 1}}}
	}
	var current routes.Current
	current.Offer(before)
	whole := current.ChangesSince(0)
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

// equalAddresses lets DeepEqual compare addresses, whose fields are not exported.
var equalAddresses = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
