package packetentry

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/flowsearch"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

// newTestEntry returns an entry that knows one agent, and the socket of that agent. Nothing runs.
func newTestEntry(t *testing.T) (*Entry, *net.UDPConn) {
	t.Helper()
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	s := &Settings{
		Settings: fleet.Settings{Name: "entry", DataCentre: "dc", Fleet: "127.0.0.1:0", Advertise: "127.0.0.1:7400",
			Store: store.Address(), MemoryMB: 256},
		Callers: "127.0.0.1:0",
	}
	e, err := newEntry(s, fleet.NewProgram(&s.Settings, io.Discard))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = e.conn.Close() })
	conn, address := newSocket(t)
	e.fleet.Roster.RecordHeartbeat(fleet.Now(), roster.Node{ID: ident.NewNodeID("agent"), Name: "agent", Address: address},
		roster.Heartbeat{Sequence: 1, Target: roster.Target{Service: "a"}})
	return e, conn
}

// newSocket returns a socket that stands for another node, and its address.
func newSocket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func receive(t *testing.T, conn *net.UDPConn) string {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	buffer := make([]byte, 1<<16)
	n, err := conn.Read(buffer)
	assert.NilError(t, err)
	return string(buffer[:n])
}

// Guards against a first packet of a search that costs more than one frame of the previous release, and against
// retransmissions that don't carry what is known.
func TestRetransmissionsCarryWhatIsKnown(t *testing.T) {
	e, agent := newTestEntry(t)
	now, packet := fleet.Now(), make(platform.Packet, platform.HeaderSize)
	frame := fleet.ForwardedPacket{Entry: e.fleet.Self.Address, Origin: "dc", WantsOwner: true, Packet: packet}
	send := func() string {
		e.forward(now, &pendingPacket{Arrived: now, Value: packet})
		return receive(t, agent)
	}
	assert.Equal(t, send(), string(frame.Append(nil)))
	now += flowsearch.AnswerTimeout / 2
	assert.Equal(t, send(), string(frame.Append(nil)), "a second packet of the caller, not a retransmission")
	now += flowsearch.AnswerTimeout
	frame.WantsProgress = true
	assert.Equal(t, send(), string(frame.Append(nil)))
	e.RecordProgress(now, packet.CallerFlow(), 77, ident.NewNodeID("agent"))
	now += 2 * flowsearch.AnswerTimeout
	frame.Tried, frame.Remembered, frame.Silent = []ident.NodeID{77}, 1, []ident.NodeID{ident.NewNodeID("agent")}
	assert.Equal(t, send(), string(frame.Append(nil)))
	assert.Equal(t, e.counters.progress.Get(), uint64(1))
	e.RecordOwner(packet.CallerFlow(), ident.NewNodeID("agent"))
	assert.Equal(t, e.searches.Lookup(now, packet.CallerFlow()).Repeats, 0)
}

// Guards against packets of a search that stay at an agent that doesn't answer, and against ones that go to the same
// agents again and again.
func TestPacketsAreSentPastASilentAgent(t *testing.T) {
	e, agent := newTestEntry(t)
	second, address := newSocket(t)
	now, packet := fleet.Now(), make(platform.Packet, platform.HeaderSize)
	e.forward(now, &pendingPacket{Arrived: now, Value: packet})
	receive(t, agent)
	now += 2 * flowsearch.AnswerTimeout
	e.forward(now, &pendingPacket{Arrived: now, Value: packet})
	receive(t, agent)
	e.fleet.Roster.RecordHeartbeat(now, roster.Node{ID: ident.NewNodeID("second"), Name: "second", Address: address},
		roster.Heartbeat{Sequence: 1, Target: roster.Target{Service: "a"}})
	resend := func() {
		for _, item := range e.unanswered.Take() {
			e.resendPacket(now, &item)
		}
	}
	now += flowsearch.AnswerTimeout / 2
	resend()
	assert.Equal(t, e.unanswered.Len(), 1, "the agent may still answer")
	now += flowsearch.AnswerTimeout
	resend()
	frame := fleet.ForwardedPacket{Entry: e.fleet.Self.Address, Origin: "dc", WantsOwner: true, Packet: packet,
		Silent: []ident.NodeID{ident.NewNodeID("agent")}, WantsProgress: true}
	assert.Equal(t, receive(t, second), string(frame.Append(nil)))
	resend()
	assert.Equal(t, e.unanswered.Len(), 1, "the second one may still answer")
	now += 2 * flowsearch.AnswerTimeout
	resend()
	assert.Equal(t, e.unanswered.Len(), 0, "all were asked")
	assert.Equal(t, e.counters.resent.Get(), uint64(1))
}

// Guards against packets that all go to the agent on record although its target has bounced one.
func TestRecordEndsWhenTheOwnersTargetHasBouncedAPacket(t *testing.T) {
	e, _ := newTestEntry(t)
	now, flow := fleet.Now(), make(platform.Packet, platform.HeaderSize).CallerFlow()
	e.RecordOwner(flow, ident.NewNodeID("agent"))
	e.RecordProgress(now, flow, ident.NewNodeID("other"), 77)
	_, ok := e.flows.get(now, flow)
	assert.Assert(t, ok, "the message is of another agent")
	e.RecordProgress(now, flow, ident.NewNodeID("agent"), 77)
	_, ok = e.flows.get(now, flow)
	assert.Assert(t, !ok)
	now += 2 * flowsearch.AnswerTimeout
	known := e.searches.Lookup(now, flow)
	assert.DeepEqual(t, known.Tried, []ident.NodeID{ident.NewNodeID("agent")})
	assert.DeepEqual(t, known.Silent, []ident.NodeID{77})
}
