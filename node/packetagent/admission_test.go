package packetagent

import (
	"net/netip"
	"slices"
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

// newFullAgent returns an agent whose target has one slot and three requests to come. Routes of these
// priorities lead to it from the ports 0 and 1, with a time limit of 500 ms.
func newFullAgent(t *testing.T, priorities ...int) *Agent {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	a := newTestAgent(t, store)
	table := &routes.Table{Position: routes.Position{Version: 1, Era: 1, Revision: 1}, Routes: map[netip.AddrPort]routes.Route{}}
	for port, priority := range priorities {
		table.Routes[steering.Flow{ServicePort: uint16(port)}.Service()] = routes.Route{Priority: priority,
			Timeout: 500 * time.Millisecond, Shares: []routes.Share{{Service: "a", Weight: 1}}}
	}
	a.fleet.Routes.Offer(table)
	a.targetState.RecordReport(fleet.Now(), targetstate.Report{ID: "t", Service: "a", StartUnixMs: 1, Sequence: 1, Slots: 1})
	for i := range uint16(3) {
		a.flows.RecordOpening(fleet.Now(), steering.Flow{CallerPort: i + 1})
	}
	return a
}

// open sends the agent a copy of a caller's request to open a flow to a port.
func (a *Agent) open(at time.Duration, port, index byte) {
	p := make(platform.Packet, platform.HeaderSize)
	p[0], p[14], p[18] = 8, index, port
	a.HandlePacket(at, &fleet.ForwardedPacket{Service: "a", Origin: "dc", Packet: p})
}

// Guards against flows that are reset, or ranked, while all routes have the same priority, and against flows past
// their time limit that take room or of which the caller isn't told.
func TestAgentRefusesFlowsPastTheirTimeLimit(t *testing.T) {
	for _, c := range []struct{ higher, first, refused int }{{1, 0, 0}, {0, 0, 1}, {0, 2, 0}} {
		a := newFullAgent(t, c.higher, 1)
		start := fleet.Now()
		for now := start; now <= start+2*time.Second; now += 50 * time.Millisecond {
			a.admission.RecordRunning(now)
			if index := slices.Index([]time.Duration{1400, 1600, 2000}, (now-start)/time.Millisecond); index >= c.first {
				a.open(now, 1, byte(index))
			}
		}
		refused := a.counters.Set.GetOrCreateCounter(`lacewing_flows_refused_total{reason="time limit",priority="1"}`)
		assert.Equal(t, int(refused.Get()), c.refused, "%v", c)
		assert.Equal(t, len(a.held.Waiting()) > 0, c.higher != 1, "%v", c)
	}
}

// Guards against a flow that takes the room for which one of higher priority waits here.
func TestAgentKeepsRoomForHigherPriorities(t *testing.T) {
	a := newFullAgent(t, 0, 1)
	a.open(fleet.Now(), 0, 0)
	a.flows.RecordBounced(fleet.Now(), steering.Flow{CallerPort: 1}) // one place is free now
	a.open(fleet.Now(), 1, 0)
	assert.Equal(t, a.held.Len(), 2)
	for _, item := range a.held.Take() {
		a.retryPacket(fleet.Now(), &item)
	}
	assert.Equal(t, a.held.Len(), 1)
	assert.Equal(t, a.held.Take()[0].Rank.Priority, 1)
}
