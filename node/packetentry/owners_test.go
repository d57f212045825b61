package packetentry

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/ownerquery"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
)

// Guards against packets that are shown to the targets of a large pool, one after the other, and against a packet that stays
// in the hold queue after an agent has answered that its target holds the flow.
func TestOwnersInLargePoolsAreAskedFor(t *testing.T) {
	e, _ := newTestEntry(t)
	conn, address := newSocket(t)
	now, packet := fleet.Now(), make(platform.Packet, platform.HeaderSize)
	for i := range ownerquery.MinPool {
		node := roster.Node{ID: ident.NodeID(i + 1), Name: fmt.Sprint("agent-", i), Address: address}
		e.fleet.Roster.RecordHeartbeat(now, node, roster.Heartbeat{Sequence: 1, Target: roster.Target{Service: "a"}})
	}
	e.forward(now, &pendingPacket{Arrived: now, Value: packet})
	assert.Equal(t, e.held.Len(), 1)
	var owner ident.NodeID
	for _, q := range e.owners.Queries(now) {
		verdict := ownerquery.NotHeld
		if owner == 0 && q.Agent <= ownerquery.MinPool {
			owner, verdict = q.Agent, ownerquery.Held
		}
		e.RecordOwnerAnswer(now+time.Millisecond, q.Agent, q.ID, []ownerquery.Verdict{verdict})
	}
	assert.Equal(t, e.held.Len(), 0)
	frame := fleet.ForwardedPacket{Entry: e.fleet.Self.Address, Origin: "dc", Service: "a", Packet: packet}
	assert.Equal(t, receive(t, conn), string(frame.Append(nil)), "the packet goes to its owner only")
	found, ok := e.flows.get(now, packet.CallerFlow())
	assert.Assert(t, ok && found == owner)
}

// Guards against services that share one locality decision: one with targets at home sent its flows away with another one that
// had none.
func TestEachServiceHasALocalityDecisionOfItsOwn(t *testing.T) {
	e, _ := newTestEntry(t)
	e.settings.LocalityFailover = true
	packet := make(platform.Packet, platform.HeaderSize)
	packet[0] = 8 // opens
	now := fleet.Now()
	for _, service := range []string{"a", "b"} {
		e.fleet.Routes.Offer(&routes.Table{Position: routes.Position{Version: int64(service[0]), Revision: 1}, Routes: map[netip.AddrPort]routes.Route{
			packet.CallerFlow().Service(): {Name: service, Shares: []routes.Share{{Service: service, Weight: 1}}},
		}})
		e.forward(now, &pendingPacket{Arrived: now, Value: packet})
	}
	var b bytes.Buffer
	e.counters.Set.WritePrometheus(&b)
	for _, service := range []string{"a", "b"} {
		assert.Assert(t, strings.Contains(b.String(), `lacewing_remote_share{service="`+service+`"}`), b.String())
	}
	assert.Assert(t, !strings.Contains(b.String(), `lacewing_remote_share{service=""}`))
}
