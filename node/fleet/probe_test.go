package fleet

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/policy/roster"
)

// Guards against running nodes that are given up because their heartbeats were lost.
func TestProbesAreAnswered(t *testing.T) {
	f := newStoreFleet(t, "n-1")
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	n := knownNode(f, "n-2")
	n.Address = netip.MustParseAddrPort(conn.LocalAddr().String())
	receive := func(probe bool, sequence uint64) *fleetv1.Heartbeat {
		h := toHeartbeat(&n, &roster.Heartbeat{Sequence: sequence}, false)
		h.Probe = probe
		f.handleControl(Now(), encodeMessage(t, &fleetv1.Message{Heartbeat: h}))
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		b := make([]byte, maxDatagramBytes)
		size, err := conn.Read(b)
		if err != nil {
			return nil
		}
		var m fleetv1.Message
		assert.NilError(t, proto.Unmarshal(b[1:size], &m))
		return m.GetHeartbeat()
	}
	assert.Assert(t, receive(false, 2) == nil, "a heartbeat was answered")
	answer := receive(true, 3)
	assert.Equal(t, answer.GetSender().GetName(), "n-1")
	assert.Assert(t, !answer.GetProbe(), "probes answer each other without end")
}

// Guards against flows that are given up while their agent's process is stalled or being restarted.
func TestInstancesAnswerForSilentNodes(t *testing.T) {
	f := newStoreFleet(t, "n-1")
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	for _, name := range []string{"stalled", "restarting"} {
		n := knownNode(f, name)
		at := Now() + 3*time.Second
		p, _ := f.Roster.Find(n.ID)
		assert.Equal(t, p.Health(at), roster.Gone, name)
		f.probeInstance(n.ID, name, address)
		p, _ = f.Roster.Find(n.ID)
		assert.Equal(t, p.Health(at), roster.Suspect, name)
		_ = listener.Close() // nothing listens there for the second node
	}
}

// Guards against nodes that are taken for gone without a connection to their instance, because all connections that
// are tried at once wait for instances that are lost.
func TestNodesWithoutAConnectionStayUnconfirmed(t *testing.T) {
	f := newStoreFleet(t, "n-1")
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	n := knownNode(f, "n-2")
	n.Address = netip.MustParseAddrPort(listener.Addr().String())
	f.Roster.RecordHeartbeat(Now(), n, roster.Heartbeat{Sequence: 100})
	at := Now() + 3*time.Second
	for range cap(f.instanceProbes) {
		f.instanceProbes <- struct{}{}
	}
	for range 10 {
		p, _ := f.Roster.Find(n.ID)
		f.Probe(at, &p)
		at += 50 * time.Millisecond
	}
	p, _ := f.Roster.Find(n.ID)
	assert.Assert(t, p.Health(at) != roster.Gone || p.IsUnconfirmed(at), "gone without a connection")
}
