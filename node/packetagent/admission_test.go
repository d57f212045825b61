package packetagent

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
	"lacewinglever.dev/policy/targetstate"
)

// tableOf returns routes to service "a" with these priorities, at the ports from 0 on, with a time limit
// of 500 ms.
func tableOf(priorities ...int) *routes.Table {
	t := &routes.Table{Position: routes.Position{Version: 1, Era: 1, Revision: 1}, Routes: map[netip.AddrPort]routes.Route{},
		Services: map[string]struct{}{"a": {}}}
	for port, priority := range priorities {
		t.Routes[steering.Flow{ServicePort: uint16(port)}.Service()] = routes.Route{Priority: priority,
			Timeout: 500 * time.Millisecond, Shares: []routes.Share{{Service: "a", Weight: 1}}}
	}
	return t
}

// openingPacket returns a copy of a caller's request to open a flow to port 1.
func openingPacket(index byte) platform.Packet {
	p := make(platform.Packet, platform.HeaderSize)
	p[0], p[14], p[18] = 8, index, 1
	return p
}

// Guards against flows that are reset, or ranked, while all routes have the same priority, and against flows past
// their time limit that take room or of which the caller isn't told.
func TestAgentRefusesFlowsPastTheirTimeLimit(t *testing.T) {
	for _, c := range []struct {
		priorities []int
		first      byte // copy that the agent receives first
		refused    int
	}{{[]int{1, 1}, 0, 0}, {[]int{0, 1}, 0, 1}, {[]int{0, 1}, 2, 0}} {
		store, err := platformtest.NewStore("127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(store.Close)
		a := newTestAgent(t, store)
		_, ok := a.fleet.Routes.Offer(tableOf(c.priorities...))
		assert.Assert(t, ok)
		a.targetState.RecordReport(fleet.Now(), targetstate.Report{ID: "t", Service: "a", StartUnixMs: 1, Sequence: 1, Slots: 1})
		for range 3 { // no room
			a.flows.RecordOpening(fleet.Now(), steering.Flow{CallerPort: uint16(a.flows.Outstanding(fleet.Now()) + 1)})
		}
		for i := c.first; i <= 2; i++ {
			a.HandlePacket(fleet.Now(), &fleet.ForwardedPacket{Service: "a", Origin: "dc", Packet: openingPacket(i)})
		}
		refused := a.counters.Set.GetOrCreateCounter(`lacewing_flows_refused_total{reason="time limit",priority="1"}`)
		assert.Equal(t, int(refused.Get()), c.refused, "%v", c)
		ranked := len(a.held.Waiting()) > 0
		assert.Equal(t, ranked, c.priorities[0] != c.priorities[1], "%v", c)
	}
}

// Guards against a flow that takes the room for which one of higher priority waits here.
func TestAgentKeepsRoomForHigherPriorities(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	a := newTestAgent(t, store)
	a.fleet.Routes.Offer(tableOf(0, 1))
	a.targetState.RecordReport(fleet.Now(), targetstate.Report{ID: "t", Service: "a", StartUnixMs: 1, Sequence: 1, Slots: 1})
	for i := range 3 {
		a.flows.RecordOpening(fleet.Now(), steering.Flow{CallerPort: uint16(i + 1)})
	}
	high := openingPacket(0)
	high[18] = 0
	a.HandlePacket(fleet.Now(), &fleet.ForwardedPacket{Service: "a", Origin: "dc", Packet: high})
	assert.Equal(t, a.held.Len(), 1)
	a.flows.RecordBounced(fleet.Now(), steering.Flow{CallerPort: 1}) // one place is free now
	a.HandlePacket(fleet.Now(), &fleet.ForwardedPacket{Service: "a", Origin: "dc", Packet: openingPacket(0)})
	assert.Equal(t, a.held.Len(), 2)
	for _, item := range a.held.Take() {
		a.retryPacket(fleet.Now(), &item)
	}
	assert.Equal(t, a.held.Len(), 1)
	assert.Equal(t, a.held.Take()[0].Rank.Priority, 1)
}
