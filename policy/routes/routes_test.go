package routes_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/routes"
)

// Guards against a node that returns to older routes, for example when an answer of the store
// arrives late.
func TestOlderTableIsRejected(t *testing.T) {
	var c routes.Current
	_, ok := c.Offer(&routes.Table{Position: routes.Position{Revision: 5}})
	assert.Assert(t, ok)
	_, ok = c.Offer(&routes.Table{Position: routes.Position{Revision: 4}})
	assert.Assert(t, !ok)
	_, ok = c.Offer(&routes.Table{Position: routes.Position{Revision: 5}})
	assert.Assert(t, !ok)
	assert.Equal(t, c.Position().Revision, uint64(5))
}

// Guards against flows at a service whose share of a route is zero.
func TestShares(t *testing.T) {
	r := routes.Route{Shares: []routes.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	count := map[string]int{}
	for i := range uint64(1000) {
		count[r.PickService(i*0x9e3779b97f4a7c15)]++
	}
	assert.Assert(t, count["a"] > 850 && count["a"] < 950, "%v", count)
	assert.Equal(t, count["c"], 0)
	assert.Assert(t, r.HasService("b") && !r.HasService("c") && !r.HasService("d"))
}

// Guards against a search that leaves out a service at which a flow opened under other weights.
func TestSearchServicesContainAllShares(t *testing.T) {
	r := routes.Route{Shares: []routes.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}, {Service: "c"}, {Service: "a"}}}
	first := map[string]int{}
	for i := range uint64(1000) {
		hash := i * 0x9e3779b97f4a7c15
		services := r.SearchServices(hash)
		assert.Equal(t, services[0], r.PickService(hash))
		first[services[0]]++
		slices.Sort(services)
		assert.DeepEqual(t, services, []string{"a", "b", "c"})
	}
	assert.Equal(t, first["c"], 0)
	single := routes.Route{Shares: []routes.Share{{Service: "a", Weight: 1}}}
	assert.DeepEqual(t, single.SearchServices(7), []string{"a"})
}
