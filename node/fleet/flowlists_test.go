package fleet

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/flowlist"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

// Guards against a node that has just started and searches for the flows of an agent that is away, and against a list that
// this agent's next process doesn't get back.
func TestJoinRequestsAreAnsweredWithLists(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	f, joining := newTestFleet(t, store, "self"), newTestFleet(t, store, "joining")
	now := Now()
	flows := make([]steering.Flow, flowlist.MaxFlows)
	var fingerprints []flowlist.Fingerprint
	for i := range flows {
		flows[i] = steering.Flow{CallerPort: uint16(i)}
		fingerprints = append(fingerprints, flowlist.Of(flows[i]))
	}
	list := func(name string, leaving bool) {
		n := knownNode(f, name)
		f.RecordFlowList(now, steering.Listing{Agent: n.ID, Incarnation: n.Incarnation}, fingerprints)
		f.Roster.RecordHeartbeat(now, n, roster.Heartbeat{Sequence: 2, Leaving: leaving})
	}
	list("away", true)
	list("back", false)
	f.RecordFlowList(now, steering.Listing{Agent: joining.Self.ID, Incarnation: 1}, fingerprints[:3])
	go func() { _ = joining.receive(t.Context()) }()
	to := *joining.self()
	to.Address = joining.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	f.sendKeptLists(now, to)
	away := steering.Listing{Agent: ident.NewNodeID("away"), Incarnation: f.Self.Incarnation}
	complete := func() bool {
		for _, flow := range flows {
			if l := joining.flowLists.received.Lookup(now, flow); len(l) != 1 || l[0] != away {
				return false
			}
		}
		return len(joining.OwnFlows().List(now, nil)) == 3
	}
	for until := time.Now().Add(5 * time.Second); !complete(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "lists are missing")
	}
}

// Guards against malformed lists.
func TestOddFlowListsAreRejected(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	f := newTestFleet(t, store, "self")
	flow := steering.Flow{CallerPort: 1}
	valid := toFlowList(steering.Listing{Agent: 1, Incarnation: 1}, []flowlist.Fingerprint{flowlist.Of(flow)}).GetFlowList().GetFlows()
	for _, m := range []*fleetv1.FlowList{
		{Agent: 1, Incarnation: 1}, {Agent: 1, Incarnation: 1, Flows: valid[:3]}, {Agent: 1, Flows: valid},
		{Agent: 1, Incarnation: 1 << 60, Flows: valid},
		{Agent: 1, Incarnation: 1, Flows: append(valid[:4:4], make([]byte, 4*flowlist.FlowsPerMessage)...)},
	} {
		f.handleControl(Now(), encodeMessage(t, &fleetv1.Message{FlowList: m}))
		assert.Assert(t, !f.IsListed(Now(), flow), "%v", m)
	}
	f.handleControl(Now(), encodeMessage(t, &fleetv1.Message{FlowList: &fleetv1.FlowList{Agent: 1, Incarnation: 1, Flows: valid}}))
	assert.Assert(t, f.IsListed(Now(), flow))
}
