package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

var testService = ident.ServiceName{Team: "maturacao", Name: "room-control"}

// fakeNetwork is the state that all nodes of a test share. Every record is visible to all nodes
// immediately.
type fakeNetwork struct {
	mu       sync.Mutex
	nodes    map[ident.NodeID]record.Node
	meshes   map[ident.NodeID]*fakeMesh
	revision record.Revision
}

// fakeMesh is a peer.Mesh that delivers messages and records immediately.
type fakeMesh struct {
	*fakeNetwork
	id      ident.NodeID
	load    func() *lacewingv1.Load
	handler func(*lacewingv1.Control)
}

var _ peer.Mesh = (*fakeMesh)(nil)

func (m *fakeMesh) Self() record.Node {
	n, _ := m.Node(m.id)
	return n
}

func (m *fakeMesh) SetState(s record.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.nodes[m.id]
	n.State = s
	m.nodes[m.id] = n
}

func (m *fakeMesh) Leave(record.Successor) { m.SetState(record.Left) }

func (m *fakeMesh) SetLoadFunc(f func() *lacewingv1.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load = f
}

func (m *fakeMesh) Node(id ident.NodeID) (record.Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.nodes[id]
	return n, ok
}

func (m *fakeMesh) list(entry bool) []record.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []record.Node
	for _, n := range m.nodes {
		if n.Entry == entry && n.Alive() {
			out = append(out, n)
		}
	}
	return out
}

func (m *fakeMesh) Entries() []record.Node             { return m.list(true) }
func (m *fakeMesh) Pool(ident.ServiceID) []record.Node { return m.list(false) }
func (m *fakeMesh) Services() []record.Revision        { return []record.Revision{m.revision} }

func (m *fakeMesh) Revision(ident.ServiceID) (record.Revision, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.revision.Number > 0
}

func (m *fakeMesh) SinceLastSeen(ident.NodeID) (time.Duration, bool) { return 0, true }
func (m *fakeMesh) IsSuspect(ident.NodeID) bool                      { return false }
func (m *fakeMesh) MarkSeen(ident.NodeID)                            {}
func (m *fakeMesh) Publish(record.Record) bool                       { return true }
func (m *fakeMesh) Subscribe(func(peer.Change))                      {}

func (m *fakeMesh) Load(id ident.NodeID) (*lacewingv1.Load, time.Duration, bool) {
	var load func() *lacewingv1.Load
	m.mu.Lock()
	if other := m.meshes[id]; other != nil {
		load = other.load
	}
	m.mu.Unlock()
	if load == nil {
		return nil, 0, false
	}
	return load(), 0, true
}

func (m *fakeMesh) SendControl(id ident.NodeID, c *lacewingv1.Control) error {
	var handler func(*lacewingv1.Control)
	m.mu.Lock()
	if to := m.meshes[id]; to != nil {
		handler = to.handler
	}
	m.mu.Unlock()
	c.Sender = uint64(m.id)
	if handler != nil {
		go handler(c)
	}
	return nil
}

func (m *fakeMesh) HandleControl(f func(*lacewingv1.Control)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.handler
	m.handler = func(c *lacewingv1.Control) {
		if before != nil {
			before(c)
		}
		f(c)
	}
}

// testPool is a pool with one entry.
type testPool struct {
	*fakeNetwork
	t       *testing.T
	keys    *wire.Keyring
	entry   *transport.Transport
	returns chan *wire.Data
	agents  []*Agent
	targets []*net.UDPConn
	stops   []func() // graceful shutdown of each agent; returns when it has ended
}

func (b *testPool) addNode(name string, entry bool) (*fakeMesh, *transport.Transport, *metrics.Set) {
	set := metrics.NewSet()
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(b.t, err)
	address := free.LocalAddr().String()
	assert.NilError(b.t, free.Close())
	id := ident.NewNodeID(name)
	tr, err := transport.Open(transport.Options{Self: id, Listen: address, Advertise: address, Keys: b.keys,
		Metrics: set})
	assert.NilError(b.t, err)
	n := record.Node{
		ID: id, Name: name, Entry: entry, DataCentre: "dc1", UDPAddress: address, Incarnation: 1,
		State: record.Joining, Weight: 1,
	}
	if entry {
		n.State = record.Ready
	} else {
		n.Service = testService.ID()
	}
	mesh := &fakeMesh{fakeNetwork: b.fakeNetwork, id: id}
	b.mu.Lock()
	b.nodes[id], b.meshes[id] = n, mesh
	b.mu.Unlock()
	return mesh, tr, set
}

func newTestPool(t *testing.T, agents int, loadURL string) *testPool {
	key, err := wire.ParseKey("000102030405060708090a0b0c0d0e0f")
	assert.NilError(t, err)
	keys, err := wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
	assert.NilError(t, err)
	network := &fakeNetwork{nodes: map[ident.NodeID]record.Node{}, meshes: map[ident.NodeID]*fakeMesh{}}
	network.revision = record.Revision{Service: testService, Number: 1,
		Spec: []byte("kind: feed\naddress: 127.250.0.1:7001\nidle_timeout: 30s\n")}
	b := &testPool{fakeNetwork: network, t: t, keys: keys, returns: make(chan *wire.Data, 1000)}
	_, b.entry, _ = b.addNode("entry", true)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		_ = b.entry.Run(ctx, transport.Handlers{Return: func(d *wire.Data) {
			kept := *d
			kept.Payload = append([]byte(nil), d.Payload...)
			b.returns <- &kept
		}})
	}()
	for i := range agents {
		b.startAgent("agent-"+string(rune('a'+i)), loadURL)
	}
	t.Cleanup(func() {
		var ending sync.WaitGroup
		for _, stop := range b.stops {
			ending.Go(stop)
		}
		ending.Wait()
		stop()
	})
	for _, a := range b.agents {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if a.options.Mesh.Self().State != record.Ready {
				return poll.Continue("joining")
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second))
	}
	return b
}

// startAgent runs an agent with a target that answers each datagram with its payload and source
// address.
func (b *testPool) startAgent(name, loadURL string) {
	target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(b.t, err)
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, from, err := target.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = target.WriteToUDPAddrPort(append(buffer[:n:n], " "+from.Addr().String()...), from)
		}
	}()
	mesh, tr, set := b.addNode(name, false)
	a, err := New(Options{
		Mesh: mesh, Transport: tr, Service: testService, TargetUDP: target.LocalAddr().String(), TargetURL: loadURL,
		Slots: 1, DrainTimeout: time.Second, Parse: settings.Parse, Logger: log.NewNopLogger(), Metrics: set,
	})
	assert.NilError(b.t, err)
	transportContext, closeTransport := context.WithCancel(context.Background())
	go func() { _ = tr.Run(transportContext, transport.Handlers{Data: a.HandleDatagram}) }()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = a.Run(ctx, context.Background())
	}()
	b.agents, b.targets = append(b.agents, a), append(b.targets, target)
	b.stops = append(b.stops, sync.OnceFunc(func() {
		stop()
		<-ended
		closeTransport()
		_ = target.Close()
	}))
}

// exchange sends a datagram of the caller to the agent and returns the answer, or "" if there is
// none.
func (b *testPool) exchange(to *Agent, caller ident.Caller, payload string) string {
	n, _ := to.options.Mesh.Node(to.self)
	datagram := &wire.Data{Service: testService.ID(), Destination: to.self, Caller: caller, Entry: b.entry.Self(),
		Payload: []byte(payload)}
	_, err := b.entry.SendData(nil, netip.MustParseAddrPort(n.UDPAddress), wire.TypeData, datagram)
	assert.NilError(b.t, err)
	for {
		select {
		case r := <-b.returns:
			if r.Caller == caller {
				return string(r.Payload)
			}
		case <-time.After(2 * time.Second):
			return ""
		}
	}
}

func testCaller(i int) ident.Caller {
	return ident.CallerFrom(netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 4000))
}

// ownersOf returns the agents that own the caller's flow.
func (b *testPool) ownersOf(c ident.Caller) (out []*Agent) {
	for _, a := range b.agents {
		if _, _, ok := a.table.Lookup(c); ok {
			out = append(out, a)
		}
	}
	return out
}

// Guards against flows that reach different targets through different agents, answers that reach
// another caller, and a drain that breaks flows or gives the draining target new ones.
func TestFeedThroughAnyAgent(t *testing.T) {
	const flows = 20
	b := newTestPool(t, 3, "")
	answers := map[ident.Caller]string{}
	for i := range flows {
		c := testCaller(i)
		for _, a := range b.agents {
			answer := b.exchange(a, c, "reading "+c.String())
			assert.Assert(t, answer != "", "flow %d through %s", i, a.self)
			if answers[c] == "" {
				answers[c] = answer
			}
			assert.Equal(t, answer, answers[c])
		}
		assert.Equal(t, len(b.ownersOf(c)), 1)
	}
	leaver := b.agents[0]
	before := leaver.table.OwnedFlows()
	ended := make(chan struct{})
	go func() {
		b.stops[0]()
		close(ended)
	}()
	time.Sleep(minDrainTime)
	for i := range 2 * flows {
		c := testCaller(i)
		answer := b.exchange(leaver, c, "reading "+c.String())
		assert.Assert(t, answer != "" && (answers[c] == "" || answers[c] == answer), "flow %d: %q", i, answer)
	}
	assert.Equal(t, leaver.table.OwnedFlows(), before)
	<-ended
	assert.Equal(t, leaver.options.Mesh.Self().State, record.Left)
	for i := range 2 * flows {
		assert.Assert(t, b.exchange(b.agents[1], testCaller(i), "reading") != "", "flow %d after the agent has left", i)
	}
}

// Guards against a deletion that never takes effect at agents, or that removes the settings of
// flows in progress.
func TestDeletion(t *testing.T) {
	b := newTestPool(t, 1, "")
	a := b.agents[0]
	b.mu.Lock()
	b.revision.Number, b.revision.Deleted, b.revision.Spec = 2, true, nil
	b.mu.Unlock()
	time.Sleep(3 * refreshInterval)
	assert.Equal(t, a.appliedRevision(testService.ID()), uint64(2))
	assert.Equal(t, a.Settings().IdleTimeout, 30*time.Second)
}

// Guards against new flows to a target that is on the drain list or not ready, and against an agent
// that exits when it is drained.
func TestDrainBySettings(t *testing.T) {
	ready := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"ready":true}`))
	}))
	defer ready.Close()
	b := newTestPool(t, 2, ready.URL)
	set := func(number uint64, drain string) {
		b.mu.Lock()
		b.revision.Number = number
		b.revision.Spec = []byte("kind: feed\naddress: 127.250.0.1:7001\nidle_timeout: 30s\ndrain: [" + drain + "]\n")
		b.mu.Unlock()
		time.Sleep(3 * refreshInterval)
	}
	set(2, "agent-a")
	assert.Equal(t, b.agents[0].options.Mesh.Self().State, record.Draining)
	for i := range 20 {
		assert.Assert(t, b.exchange(b.agents[i%2], testCaller(i), "reading") != "")
	}
	assert.Equal(t, b.agents[0].table.OwnedFlows(), 0)
	set(3, "")
	assert.Equal(t, b.agents[0].options.Mesh.Self().State, record.Ready)
	b.agents[1].health.recordPoll(time.Now(), targetLoad{}, nil)
	assert.Equal(t, b.agents[1].Load().GetWarmPerMille(), uint32(0))
}

// Guards against new flows to a target on the drain list whose agent has not yet received the list
// and still reports the state ready.
func TestDrainListOverridesReportedState(t *testing.T) {
	b := newTestPool(t, 2, "")
	a := b.agents[1]
	a.refresh() // the view may predate the last agent's change to ready
	a.pool.mu.Lock()
	a.pool.spec.Drain = []string{"agent-a"}
	v := a.pool.view
	a.pool.mu.Unlock()
	for _, r := range a.reports(v) {
		assert.Equal(t, r.Eligible, r.Node == a.self)
	}
}

// Guards against dropped answers when no live entry is left: entries that are partitioned from each
// other declare one another dead, although the agent reaches both.
func TestReturnThroughEntryDeclaredDead(t *testing.T) {
	b := newTestPool(t, 1, "")
	assert.Assert(t, b.exchange(b.agents[0], testCaller(1), "reading") != "")
	for _, state := range []record.State{record.Dead, record.Left} {
		b.mu.Lock()
		entry := b.nodes[b.entry.Self()]
		entry.State = state
		b.nodes[entry.ID] = entry
		b.mu.Unlock()
		b.agents[0].refresh()
		assert.Equal(t, b.exchange(b.agents[0], testCaller(1), "reading") != "", state == record.Dead)
	}
}

// Guards against placing an agent's flows elsewhere when entries that cannot reach it declare it
// dead, although the pool still receives its datagrams.
func TestReachableMemberDeclaredDead(t *testing.T) {
	b := newTestPool(t, 2, "")
	a, other := b.agents[0], b.agents[1]
	for _, c := range []struct {
		state       record.State
		incarnation ident.Incarnation
		kept        bool
	}{{record.Dead, 0, true}, {record.Dead, 1, false}, {record.Ready, 0, true}, {record.Left, 0, false}} {
		b.mu.Lock()
		n := b.nodes[other.self]
		n.State = c.state
		n.Incarnation += c.incarnation
		b.nodes[other.self] = n
		b.mu.Unlock()
		a.refresh()
		a.pool.mu.Lock()
		_, kept := a.pool.view.Member(other.self)
		a.pool.mu.Unlock()
		assert.Equal(t, kept, c.kept, "state %s, incarnation +%d", c.state, c.incarnation)
	}
}

// Guards against a deleted service that accepts datagrams from an entry without the deletion, or
// answers through it.
func TestDeletedServiceDropsDatagrams(t *testing.T) {
	b := newTestPool(t, 1, "")
	for i, deleted := range []bool{false, true, false} {
		b.mu.Lock()
		b.revision.Number, b.revision.Deleted = uint64(i+2), deleted
		b.mu.Unlock()
		b.agents[0].refresh()
		assert.Equal(t, b.exchange(b.agents[0], testCaller(1), "reading") != "", !deleted)
		assert.Equal(t, b.agents[0].appliedRevision(testService.ID()), uint64(i+2))
	}
}
