package packetagent

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/flowlist"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/inflight"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
	"lacewinglever.dev/policy/targetstate"
)

// newSocket returns a socket that stands for another node, and its address.
func newSocket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// received returns the sizes of the datagrams that a socket has received.
func received(t *testing.T, conn *net.UDPConn) (sizes []int) {
	t.Helper()
	for _, b := range receivedPackets(t, conn) {
		sizes = append(sizes, len(b))
	}
	return sizes
}

// receivedPackets returns the datagrams that a socket has received.
func receivedPackets(t *testing.T, conn *net.UDPConn) (datagrams []string) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	for buffer := make([]byte, 1<<16); ; {
		n, err := conn.Read(buffer)
		if err != nil {
			return datagrams
		}
		datagrams = append(datagrams, string(buffer[:n]))
	}
}

// Guards against messages of searches that need none, and against ones that grow with the pool.
func TestProgressIsSentOnRequestOnly(t *testing.T) {
	const progressSize = 35 // bytes
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	a := newTestAgent(t, store)
	a.targetState.RecordReport(fleet.Now(), targetstate.Report{ID: "t-1", Service: "a", StartUnixMs: 1, Sequence: 1, Slots: 3})
	next, nextAddress := newSocket(t)
	entry, entryAddress := newSocket(t)
	a.fleet.Roster.RecordHeartbeat(fleet.Now(), roster.Node{ID: ident.NewNodeID("next"), Name: "next", Address: nextAddress},
		roster.Heartbeat{Sequence: 1, Target: roster.Target{Service: "b", Accepting: true}})
	for _, wanted := range []bool{false, true} {
		var tried []ident.NodeID
		for i := range ident.NodeID(100) {
			tried = append(tried, i+1)
		}
		packet := make(platform.Packet, platform.HeaderSize)
		a.HandlePacket(fleet.Now(), &fleet.ForwardedPacket{Entry: entryAddress, Origin: "dc", Service: "b", WantsOwner: true,
			Tried: tried, WantsProgress: wanted, Packet: packet})
		assert.Equal(t, len(received(t, next)), 1)
		sizes := received(t, entry)
		if wanted {
			assert.DeepEqual(t, sizes, []int{progressSize})
		} else {
			assert.Equal(t, len(sizes), 0)
		}
	}
}

// Guards against packets that an entry sends to all other targets because that of the flow takes long for its answer.
func TestOwnerIsSentBeforeTheAnswerIfTheSearchIsOverdue(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	a := newTestAgent(t, store)
	entry, entryAddress := newSocket(t)
	packet := make(platform.Packet, platform.HeaderSize)
	for _, c := range []struct {
		served, overdue bool
		want            int
	}{{false, true, 0}, {true, false, 0}, {true, true, 1}} {
		a.flows.Clear()
		if c.served {
			a.flows.RecordSent(fleet.Now(), packet.CallerFlow(), inflight.Event{Data: true})
		}
		a.HandlePacket(fleet.Now(), &fleet.ForwardedPacket{Entry: entryAddress, Origin: "dc", Service: "a", WantsOwner: true,
			WantsProgress: c.overdue, Packet: packet})
		assert.Equal(t, len(received(t, entry)), c.want, "%+v", c)
	}
}

// Guards against packets of a search that reach this agent's target although another agent, which is being restarted, has
// listed the flow. It is of another service of the route, whose agents skip packets for this one.
func TestPacketsOfListedFlowsDoNotReachTheTarget(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	a := newTestAgent(t, store)
	packet := make(platform.Packet, platform.HeaderSize)
	a.fleet.Routes.Offer(&routes.Table{Routes: map[netip.AddrPort]routes.Route{
		packet.CallerFlow().Service(): {Shares: []routes.Share{{Service: "a", Weight: 1}, {Service: "of-away", Weight: 1}}},
	}})
	target, targetAddress := newSocket(t)
	a.target = targetAddress
	away, awayAddress := newSocket(t)
	_, entryAddress := newSocket(t)
	node := roster.Node{ID: ident.NewNodeID("away"), Name: "away", Incarnation: 5, Address: awayAddress}
	handle := func(tried ...ident.NodeID) {
		a.HandlePacket(fleet.Now(), &fleet.ForwardedPacket{Entry: entryAddress, Origin: "dc", Service: "a", WantsOwner: true,
			Tried: tried, Packet: packet})
	}
	expect := func(atTarget, atAway, held int, name string) {
		t.Helper()
		assert.Equal(t, len(received(t, target)), atTarget, name)
		atOther := receivedPackets(t, away)
		assert.Equal(t, len(atOther), atAway, name)
		for _, b := range atOther {
			assert.Assert(t, strings.Contains(b, "of-away"), "%s: %q", name, b)
		}
		assert.Equal(t, len(a.awaiting.Take()), held, name)
	}
	heartbeat := func(sequence uint64, leaving bool) {
		a.fleet.Roster.RecordHeartbeat(fleet.Now(), node,
			roster.Heartbeat{Sequence: sequence, Leaving: leaving, Target: roster.Target{Service: "of-away"}})
	}
	heartbeat(1, false)
	handle()
	expect(1, 0, 0, "not listed")
	heartbeat(2, true)
	a.fleet.RecordFlowList(fleet.Now(), steering.Listing{Agent: node.ID, Incarnation: 5},
		[]flowlist.Fingerprint{flowlist.Of(packet.CallerFlow())})
	handle()
	expect(0, 0, 1, "the agent is away")
	handle(node.ID)
	expect(1, 0, 0, "its target has bounced the packet")
	node.Incarnation = 6
	heartbeat(1, false)
	handle()
	expect(0, 1, 0, "the agent is back")
	a.flows.RecordSent(fleet.Now(), packet.CallerFlow(), inflight.Event{Data: true})
	handle()
	expect(1, 0, 0, "this target has served the flow")
}
