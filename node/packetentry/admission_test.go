package packetentry

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

// Guards against entries that hold flows past their time limit, and against any refusal while all routes have the same
// priority.
func TestEntryRefusesFlowsPastTheirTimeLimit(t *testing.T) {
	for higher, refused := range []int{1, 0} {
		e, _ := newTestEntry(t)
		table := &routes.Table{Position: routes.Position{Version: 1, Era: 1, Revision: 1}, Routes: map[netip.AddrPort]routes.Route{}}
		for port, priority := range []int{higher, 1} {
			table.Routes[steering.Flow{ServicePort: uint16(port)}.Service()] = routes.Route{Priority: priority,
				Timeout: 500 * time.Millisecond, Shares: []routes.Share{{Service: "a", Weight: 1}}}
		}
		e.fleet.Routes.Offer(table)
		now := fleet.Now() + 1400*time.Millisecond // has run for an attempt of a caller
		e.fleet.Roster.RecordHeartbeat(now, roster.Node{ID: ident.NewNodeID("agent"), Name: "agent"},
			roster.Heartbeat{Sequence: 2, Target: roster.Target{Service: "a", Accepting: true, Slots: 1, Busy: 9}})
		for at := fleet.Now(); at < now; at += 50 * time.Millisecond {
			e.admission.RecordRunning(at)
		}
		for index, age := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
			for at := now; at <= now+age; at += 50 * time.Millisecond {
				e.admission.RecordRunning(at)
			}
			p := make(platform.Packet, platform.HeaderSize)
			p[0], p[14], p[18] = 8, byte(index), 1 // opens a flow to port 1
			e.forward(now+age, &pendingPacket{Arrived: now + age, Value: p})
		}
		counter := e.counters.Set.GetOrCreateCounter(`lacewing_flows_refused_total{reason="time limit",priority="1"}`)
		assert.Equal(t, int(counter.Get()), refused)
	}
}
