package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/heartbeat"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
)

// targetHandler fills in the heartbeats of an agent whose target serves one service.
type targetHandler struct{ Handler }

func (targetHandler) FillHeartbeat(_ time.Duration, hb *roster.Heartbeat) {
	hb.Target = roster.Target{Service: "s", ID: "t", Accepting: true, Slots: 3}
}

// testMember is a node whose membership runs: its heartbeats, digests and record.
type testMember struct {
	*Fleet
	stop context.CancelFunc // ends it without an announcement, as a kill does
}

// testMembers are nodes on loopback that share a store.
type testMembers struct {
	store   *platformtest.Store
	network int // third octet of their addresses, so that tests can run in parallel
	count   int
	running []*testMember
	// clockBack is by how much the clocks of nodes that start have gone back.
	clockBack time.Duration
	links     map[string]*storeLink // to the store, by node; those without one reach it directly
}

// storeLink is a node's link to the store, which can be cut.
type storeLink struct {
	*httptest.Server
	cut atomic.Bool
}

func (m *testMembers) addStoreLink(t *testing.T, node string) {
	t.Helper()
	link := &storeLink{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: m.store.Address()})
	link.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if link.cut.Load() {
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(link.Close)
	m.links[node] = link
}

func newTestMembers(t *testing.T, network int) *testMembers {
	t.Helper()
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	return &testMembers{store: store, network: network, links: map[string]*storeLink{}}
}

func (m *testMembers) start(t *testing.T, entry bool, dc int) *testMember {
	t.Helper()
	m.count++
	return m.startAt(t, entry, dc, m.count)
}

// startAt starts the node with a number, also one that has run before.
func (m *testMembers) startAt(t *testing.T, entry bool, dc, number int) *testMember {
	t.Helper()
	address := fmt.Sprintf("127.61.%d.%d:7400", m.network, number)
	o := Options{
		Settings: &Settings{Name: fmt.Sprint("n-", number), DataCentre: fmt.Sprint("dc-", dc), Fleet: address,
			Advertise: address, Store: m.store.Address()},
		Entry: entry, Service: "s", Handler: targetHandler{}, Logger: log.NewLogfmtLogger(io.Discard), Metrics: metrics.NewSet(),
	}
	if entry {
		o.Service, o.Handler = "", idleHandler{}
	}
	if link := m.links[o.Settings.Name]; link != nil {
		o.Settings.Store = link.Listener.Addr().String()
	}
	f, err := New(o)
	assert.NilError(t, err)
	f.Self.Incarnation -= ident.Incarnation(m.clockBack.Microseconds())
	f.incarnation.Store(uint64(f.Self.Incarnation))
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { _ = f.receive(ctx) })
	parts.Go(func() { f.sendHeartbeats(ctx) })
	parts.Go(func() { _ = f.sendDigests(ctx) })
	parts.Go(func() { f.join(ctx) })
	parts.Go(func() { f.maintainRecord(ctx) })
	n := &testMember{Fleet: f, stop: func() { cancel(); parts.Wait() }}
	t.Cleanup(n.stop)
	m.running = append(m.running, n)
	return n
}

func (m *testMembers) kill(n *testMember) {
	n.stop()
	for i := range m.running {
		if m.running[i] == n {
			m.running = append(m.running[:i], m.running[i+1:]...)
			return
		}
	}
}

// awaitAcquainted waits until all running nodes have heard of each other.
func (m *testMembers) awaitAcquainted(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if m.worst(roster.Suspect) == "" {
			return
		}
		assert.Assert(t, time.Now().Before(until), m.worst(roster.Suspect))
	}
}

// worst names a pair of running nodes of which one judges the other by at least this health, "" if
// there is none. A node that is not known counts as gone.
func (m *testMembers) worst(health roster.Health) string {
	now := Now()
	for _, n := range m.running {
		for _, other := range m.running {
			if n == other {
				continue
			}
			p, ok := n.Roster.Find(other.Self.ID)
			if !ok || p.Health(now) >= health {
				return fmt.Sprintf("%s (%s) judges %s: known %v, health %v, %+v", n.Self.Name, n.Self.DataCentre,
					other.Self.Name, ok, p.Health(now), p)
			}
		}
	}
	return ""
}

// assertNone asserts for a time that no running node judges another by at least this health for longer
// than tolerated.
func (m *testMembers) assertNone(t *testing.T, health roster.Health, tolerated, d time.Duration) {
	t.Helper()
	since := time.Now()
	for until := since.Add(d); time.Now().Before(until); time.Sleep(checkInterval) {
		found := m.worst(health)
		if found == "" {
			since = time.Now()
			continue
		}
		assert.Assert(t, time.Since(since) <= tolerated, found)
	}
}

const checkInterval = 50 * time.Millisecond

// reorderBound is how long packets of a flow may reach other targets than its own.
const reorderBound = 2 * time.Second

// Guards against measurements that other nodes don't get.
func TestHeartbeatsCarrySlowdown(t *testing.T) {
	n := knownNode(newStoreFleet(t, "n-1"), "n-2")
	sent := roster.Heartbeat{Sequence: 2, Target: roster.Target{Service: "s", Slowdown: 125 * time.Millisecond}}
	_, received, err := fromHeartbeat(latestIncarnation(), toHeartbeat(&n, &sent, false))
	assert.NilError(t, err)
	assert.Equal(t, received.Target.Slowdown, sent.Target.Slowdown)
}

func TestHeartbeatsCarryFormerRoutes(t *testing.T) {
	f := newStoreFleet(t, "n-1")
	n := knownNode(f, "n-2")
	sent := roster.Heartbeat{Sequence: 2, Target: roster.Target{Service: "s",
		FormerRoutes: []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443")}}}
	_, received, err := fromHeartbeat(latestIncarnation(), toHeartbeat(&n, &sent, false))
	assert.NilError(t, err)
	assert.Assert(t, slices.Equal(received.Target.FormerRoutes, sent.Target.FormerRoutes))
	sent.Target.FormerRoutes = make([]netip.AddrPort, routes.MaxFormer+1)
	for i := range sent.Target.FormerRoutes {
		sent.Target.FormerRoutes[i] = received.Target.FormerRoutes[0]
	}
	_, _, err = fromHeartbeat(latestIncarnation(), toHeartbeat(&n, &sent, false))
	assert.ErrorContains(t, err, "former routes")
}

// Guards against starting nodes that don't search agents of which no heartbeat has arrived yet.
func TestListedNodesTellTheirService(t *testing.T) {
	f := newStoreFleet(t, "n-1")
	node := knownNode(f, "n-2")
	node.ID, node.Name = ident.NewNodeID("n-3"), "n-3"
	f.handleControl(Now(), encodeMessage(t, &fleetv1.Message{Nodes: []*fleetv1.Node{toListedNode(&node, "s")}}))
	agents := f.Roster.Agents(nil, "s")
	assert.Assert(t, slices.ContainsFunc(agents, func(p roster.Peer) bool { return p.Name == "n-3" && p.Service == "s" }))
}

// Guards against running nodes that count as gone when a fleet outgrows direct heartbeats without a relay.
func TestGrowthWithoutARelayLosesNoNode(t *testing.T) {
	t.Parallel()
	m := newTestMembers(t, 1)
	var relay *testMember
	for i := range 33 {
		n := m.start(t, i < 2, i%2)
		if i == 0 {
			relay = n
		}
	}
	m.awaitAcquainted(t)
	time.Sleep(time.Second) // heartbeats are sent by a plan that contains all
	m.start(t, false, 0)
	m.awaitAcquainted(t)
	m.kill(relay)
	m.assertNone(t, roster.Gone, 0, 4*time.Second)
}

// Guards against nodes that nobody reports because they know more nodes than their relay.
func TestRelaysReportNodesWithLargerRosters(t *testing.T) {
	t.Parallel()
	m := newTestMembers(t, 2)
	relay := m.start(t, true, 0)
	for i := range 5 {
		n := m.start(t, i == 4, (i+1)%2)
		if i == 4 {
			continue
		}
		for j := range 35 { // replaced nodes, which are in no record any more
			name := fmt.Sprint("gone-", j)
			n.Roster.Add(Now(), roster.Node{ID: ident.NewNodeID(name), Name: name, Incarnation: 1, DataCentre: "dc-0",
				Address: netip.MustParseAddrPort(fmt.Sprintf("127.61.200.%d:7400", j+1))}, "s", false)
		}
	}
	m.awaitAcquainted(t)
	m.kill(relay)
	m.startAt(t, true, 0, 1)
	m.awaitAcquainted(t)
	m.assertNone(t, roster.Suspect, reorderBound, 7*time.Second)
}

// Guards against searches by a node that has just started which leave out nodes that are being restarted.
func TestStartingNodesWaitForThoseThatAreAway(t *testing.T) {
	t.Parallel()
	for i, registered := range []bool{true, false} {
		m := newTestMembers(t, 3+i)
		for range 3 {
			m.start(t, false, 0)
		}
		m.awaitAcquainted(t)
		time.Sleep(settlingTime)
		away := m.running[0]
		away.Leave()
		for until := time.Now().Add(2 * time.Second); ; time.Sleep(checkInterval) {
			if p, _ := m.running[1].Roster.Find(away.Self.ID); p.Leaving {
				break
			}
			assert.Assert(t, time.Now().Before(until), "the stop is not announced")
		}
		m.kill(away)
		if !registered {
			assert.NilError(t, away.Deregister(context.Background()))
		}
		time.Sleep(500 * time.Millisecond)
		started := m.start(t, false, 0)
		for until := time.Now().Add(2 * time.Second); !started.RosterComplete(Now()); time.Sleep(checkInterval) {
			assert.Assert(t, time.Now().Before(until), "the roster stays incomplete")
		}
		for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(checkInterval) {
			p, ok := started.Roster.Find(away.Self.ID)
			assert.Assert(t, ok && p.Health(Now()) != roster.Gone, "registered %v: known %v, %+v", registered, ok, p)
			assert.Equal(t, p.Service, "s")
		}
	}
}

// Guards against nodes that start together with clocks behind, take each other's rosters for complete and leave
// out nodes that are being restarted.
func TestNodesThatStartTogetherWithClocksBehindWaitForThoseThatAreAway(t *testing.T) {
	t.Parallel()
	m := newTestMembers(t, 8)
	for range 2 {
		m.start(t, false, 0)
	}
	m.awaitAcquainted(t)
	time.Sleep(settlingTime)
	away := m.running[0]
	away.Leave()
	for until := time.Now().Add(2 * time.Second); ; time.Sleep(checkInterval) {
		if p, _ := m.running[1].Roster.Find(away.Self.ID); p.Leaving {
			break
		}
		assert.Assert(t, time.Now().Before(until), "the stop is not announced")
	}
	m.kill(away)
	m.clockBack = 2400 * time.Millisecond
	var started []*testMember
	for range 8 {
		started = append(started, m.start(t, false, 0))
	}
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(checkInterval) {
		for _, n := range started {
			p, ok := n.Roster.Find(away.Self.ID)
			assert.Assert(t, !n.RosterComplete(Now()) || ok && p.Health(Now()) != roster.Gone, "%s: known %v, %+v", n.Self.Name, ok, p)
		}
	}
}

// Guards against a starting node that takes its roster for complete although the part of an answer with the nodes
// that are away was lost.
func TestAnswersCompleteTheRosterOnlyWithTheNodesThatAreAway(t *testing.T) {
	settled := newStoreFleet(t, "settled")
	settled.storeListed.Store(true)
	settled.joined.Store(true)
	now, latest := Now(), latestIncarnation()
	for i := range 2 * nodesPerMessage {
		node := roster.Node{ID: ident.NewNodeID(fmt.Sprint("n-", i)), Name: fmt.Sprint("n-", i), Incarnation: 1,
			Address: netip.MustParseAddrPort(fmt.Sprintf("127.61.201.%d:7400", i+1))}
		settled.Roster.RecordHeartbeat(now, node, roster.Heartbeat{Sequence: 1, Leaving: i == 0})
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	settled.sendNodes(roster.Node{Address: conn.LocalAddr().(*net.UDPAddr).AddrPort()})
	var answer [][]byte
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	for b := make([]byte, maxDatagramBytes); ; {
		n, err := conn.Read(b)
		if err != nil {
			break
		}
		answer = append(answer, append([]byte(nil), b[1:n]...))
	}
	assert.Assert(t, len(answer) > 1)
	for lost := range len(answer) + 1 {
		starting := newStoreFleet(t, "starting")
		starting.storeListed.Store(true)
		hello := settled.heartbeatMessage(Now(), heartbeat.Receiver{}, false).GetHeartbeat()
		hello.UptimeMs = uint32(roster.MaxUptime.Milliseconds())
		starting.handleHeartbeat(Now(), latest, hello)
		for i, part := range answer {
			if i != lost {
				starting.handleControl(Now(), part)
			}
		}
		_, known := starting.Roster.Find(ident.NewNodeID("n-0"))
		assert.Assert(t, known || !starting.joined.Load(), "part %d of %d lost", lost, len(answer))
		assert.Assert(t, lost < len(answer) || starting.joined.Load(), "nothing lost")
	}
}

// Guards against a roster that counts as complete by the answer of a node that has just started too, before a
// node that has run for longer is heard.
func TestAnswersBeforeHeartbeatsOfNodesThatRun(t *testing.T) {
	f := newStoreFleet(t, "n")
	f.storeListed.Store(true)
	f.Roster.Add(f.started, roster.Node{ID: 1, Name: "registered", Incarnation: 1}, "s", false)
	f.Roster.RecordHeartbeat(f.started, roster.Node{ID: 2, Name: "fresh", Incarnation: f.Self.Incarnation}, roster.Heartbeat{Sequence: 1})
	f.recordAnswer(f.started+joinInterval, false)
	assert.Assert(t, !f.RosterComplete(f.started+joinInterval))
	assert.Assert(t, f.RosterComplete(f.started+heartbeatWindow+1))
}

// Guards against a roster that counts as complete by the answer of a node that has just started too.
func TestAnswersOfNodesThatHaveJustStarted(t *testing.T) {
	f := newStoreFleet(t, "n")
	f.storeListed.Store(true)
	now := Now()
	f.Roster.RecordHeartbeat(now, roster.Node{ID: 1, Name: "earlier", Incarnation: f.Self.Incarnation - 60_000_000},
		roster.Heartbeat{Sequence: 1})
	f.recordAnswer(now, false)
	assert.Assert(t, !f.RosterComplete(now))
	f.recordAnswer(now, true)
	assert.Assert(t, f.RosterComplete(now))
	first := newStoreFleet(t, "first") // after the loss of all nodes
	first.storeListed.Store(true)
	first.recordAnswer(now, false)
	assert.Assert(t, first.RosterComplete(now))
}

// Guards against a planned stop that a peer takes for a crash because one datagram was lost.
func TestLeaveIsAnnouncedRepeatedly(t *testing.T) {
	t.Parallel()
	f := newStoreFleet(t, "leaving")
	peer, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	f.Roster.Add(Now(), roster.Node{ID: 1, Name: "peer", Incarnation: 1, Entry: true, DataCentre: "dc",
		Address: peer.LocalAddr().(*net.UDPAddr).AddrPort()}, "", false)
	runUntilEnd(t, f.sendHeartbeats)
	f.Leave()
	// The next heartbeat that isn't an announcement is due after infrequentRounds.
	assert.NilError(t, peer.SetReadDeadline(time.Now().Add(900*time.Millisecond)))
	announced := 0
	for b := make([]byte, maxDatagramBytes); announced < 1+leaveRepeats; {
		n, err := peer.Read(b)
		assert.NilError(t, err, "%d announcements", announced)
		var m fleetv1.Message
		assert.NilError(t, proto.Unmarshal(b[1:n], &m))
		if m.GetHeartbeat().GetLeaving() {
			announced++
		}
	}
}

// Guards against a data centre that misses changes of the routes because its reader can't reach the store.
func TestAnotherNodeReadsWhileTheReaderCannot(t *testing.T) {
	t.Parallel()
	m := newTestMembers(t, 6)
	putVersion(m.store, 1)
	for i := range 3 {
		m.addStoreLink(t, fmt.Sprint("n-", i+1))
		n := m.start(t, true, 0)
		runUntilEnd(t, n.readRoutes)
	}
	m.awaitAcquainted(t)
	for _, n := range m.running {
		waitForVersion(t, n.Fleet, 1)
	}
	cutOff := 0
	for _, n := range m.running {
		if n.isReader() {
			cutOff++
			m.links[n.Self.Name].cut.Store(true)
			m.links[n.Self.Name].CloseClientConnections()
		}
	}
	assert.Equal(t, cutOff, 1)
	putVersion(m.store, 2)
	reached := 0
	for until := time.Now().Add(routesBound); reached < 2; time.Sleep(checkInterval) {
		assert.Assert(t, time.Now().Before(until), "in force at %d nodes", reached)
		reached = 0
		for _, n := range m.running {
			if n.Routes.Position().Version == 2 {
				reached++
			}
		}
	}
}

// Guards against a process that others ignore because its clock has gone back since its last start.
func TestRestartAfterTheClockHasGoneBack(t *testing.T) {
	t.Parallel()
	m := newTestMembers(t, 7)
	for i := range 3 {
		m.start(t, false, i%2)
	}
	m.awaitAcquainted(t)
	m.kill(m.running[0])
	m.clockBack = 10 * time.Second
	restarted := m.startAt(t, false, 0, 1)
	since := time.Now()
	for _, n := range m.running {
		for until := since.Add(reorderBound); n != restarted; time.Sleep(checkInterval) {
			p, ok := n.Roster.Find(restarted.Self.ID)
			if ok && p.Incarnation == ident.Incarnation(restarted.incarnation.Load()) && p.Health(Now()) == roster.Live {
				break
			}
			assert.Assert(t, time.Now().Before(until), "%s: %+v", n.Self.Name, p)
		}
	}
	assert.Assert(t, restarted.incarnation.Load() > uint64(restarted.Self.Incarnation))
	m.assertNone(t, roster.Gone, 0, time.Second)
}

// Guards against nodes that ignore each other because their clocks differ by more than clocks usually do.
func TestClocksAnHourApart(t *testing.T) {
	t.Parallel()
	m := newTestMembers(t, 9)
	for i := range 3 {
		m.start(t, false, i%2)
	}
	m.awaitAcquainted(t)
	for _, clockBack := range []time.Duration{-time.Hour, 0, time.Hour, -time.Hour} {
		m.kill(m.running[0])
		m.clockBack = clockBack
		restarted := m.startAt(t, false, 0, 1)
		m.running = append([]*testMember{restarted}, m.running[:len(m.running)-1]...)
		for _, n := range m.running[1:] {
			for until := time.Now().Add(reorderBound); ; time.Sleep(checkInterval) {
				p, ok := n.Roster.Find(restarted.Self.ID)
				assert.Assert(t, ok && p.Health(Now()) != roster.Gone, "clock back by %v: %s: %+v", clockBack, n.Self.Name, p)
				if uint64(p.Incarnation) == restarted.incarnation.Load() && p.Health(Now()) == roster.Live {
					break
				}
				assert.Assert(t, time.Now().Before(until), "clock back by %v: %s: %+v", clockBack, n.Self.Name, p)
			}
		}
		m.awaitAcquainted(t)
		m.assertNone(t, roster.Suspect, 200*time.Millisecond, 2*time.Second)
	}
	m.clockBack = -time.Hour
	m.start(t, true, 1) // knows nobody
	m.awaitAcquainted(t)
}
