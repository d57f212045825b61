package packetentry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/ownerquery"
	"lacewinglever.dev/policy/roster"
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
