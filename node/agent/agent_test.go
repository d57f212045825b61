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

// world is what all nodes of a test know: every record at once.
type world struct {
	mu       sync.Mutex
	nodes    map[ident.NodeID]record.Node
	meshes   map[ident.NodeID]*fakeMesh
	revision record.Revision
}

// fakeMesh is a peer.Mesh whose messages and records arrive at once.
type fakeMesh struct {
	*world
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

// bench is a pool with one entry.
type bench struct {
	*world
	t       *testing.T
	keys    *wire.Keyring
	entry   *transport.Transport
	returns chan *wire.Data
	agents  []*Agent
	targets []*net.UDPConn
	stops   []func() // SIGTERM of the agent; returns when it has ended
}

func (b *bench) join(name string, entry bool) (*fakeMesh, *transport.Transport, *metrics.Set) {
	set := metrics.NewSet()
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(b.t, err)
	address := free.LocalAddr().String()
	assert.NilError(b.t, free.Close())
	id := ident.NewNodeID(name)
	tr, err := transport.Open(transport.Options{Self: id, Listen: address, Advertise: address, Keys: b.keys, Metrics: set})
	assert.NilError(b.t, err)
	n := record.Node{
		ID: id, Name: name, Entry: entry, DataCentre: "dc1", UDPAddress: address, Incarnation: 1, State: record.Joining, Weight: 1,
	}
	if entry {
		n.State = record.Ready
	} else {
		n.Service = testService.ID()
	}
	mesh := &fakeMesh{world: b.world, id: id}
	b.mu.Lock()
	b.nodes[id], b.meshes[id] = n, mesh
	b.mu.Unlock()
	return mesh, tr, set
}

func newBench(t *testing.T, agents int, loadURL string) *bench {
	key, err := wire.ParseKey("000102030405060708090a0b0c0d0e0f")
	assert.NilError(t, err)
	keys, err := wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
	assert.NilError(t, err)
	w := &world{nodes: map[ident.NodeID]record.Node{}, meshes: map[ident.NodeID]*fakeMesh{}}
	w.revision = record.Revision{Service: testService, Number: 1, Spec: []byte("kind: feed\naddress: 127.250.0.1:7001\nidle_timeout: 30s\n")}
	b := &bench{world: w, t: t, keys: keys, returns: make(chan *wire.Data, 1000)}
	_, b.entry, _ = b.join("entry", true)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		_ = b.entry.Run(ctx, transport.Handlers{Return: func(d *wire.Data) {
			kept := *d
			kept.Payload = append([]byte(nil), d.Payload...)
			b.returns <- &kept
		}})
	}()
	for i := range agents {
		b.start("agent-"+string(rune('a'+i)), loadURL)
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

// start runs an agent with a target that answers each datagram with its payload and the address that it came from.
func (b *bench) start(name, loadURL string) {
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
	mesh, tr, set := b.join(name, false)
	a, err := New(Options{
		Mesh: mesh, Transport: tr, Service: testService, TargetUDP: target.LocalAddr().String(), TargetURL: loadURL, Slots: 1,
		DrainTimeout: time.Second, Parse: settings.Parse, Logger: log.NewNopLogger(), Metrics: set,
	})
	assert.NilError(b.t, err)
	transportContext, closeTransport := context.WithCancel(context.Background())
	go func() { _ = tr.Run(transportContext, transport.Handlers{Data: a.Data}) }()
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

// exchange sends a datagram of the caller to the agent and returns the answer, empty if there is none.
func (b *bench) exchange(to *Agent, caller ident.Caller, payload string) string {
	n, _ := to.options.Mesh.Node(to.self)
	d := &wire.Data{Service: testService.ID(), Destination: to.self, Caller: caller, Entry: b.entry.Self(), Payload: []byte(payload)}
	_, err := b.entry.SendData(nil, netip.MustParseAddrPort(n.UDPAddress), wire.TypeData, d)
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

// owned returns the agents that own the caller's flow.
func (b *bench) owned(c ident.Caller) (out []*Agent) {
	for _, a := range b.agents {
		if _, _, ok := a.table.Lookup(c); ok {
			out = append(out, a)
		}
	}
	return out
}

// Guards against flows that reach different targets through different agents, answers that reach another caller, and a drain that
// breaks flows or gives the leaving target new ones.
func TestFeedThroughAnyAgent(t *testing.T) {
	const flows = 20
	b := newBench(t, 3, "")
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
		assert.Equal(t, len(b.owned(c)), 1)
	}
	leaver := b.agents[0]
	before := leaver.table.OwnedFlows()
	ended := make(chan struct{})
	go func() {
		b.stops[0]()
		close(ended)
	}()
	time.Sleep(announceAtLeast)
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

// Guards against a deletion never being in force at agents, and against it taking away the settings of what is in progress.
func TestDeletion(t *testing.T) {
	b := newBench(t, 1, "")
	a := b.agents[0]
	b.mu.Lock()
	b.revision.Number, b.revision.Deleted, b.revision.Spec = 2, true, nil
	b.mu.Unlock()
	time.Sleep(3 * refreshInterval)
	assert.Equal(t, a.applied(testService.ID()), uint64(2))
	assert.Equal(t, a.Settings().IdleTimeout, 30*time.Second)
}

// Guards against a target that is named in the drain list, or not ready, getting new flows, and against an exit on drain.
func TestDrainBySettings(t *testing.T) {
	ready := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"ready":true}`)) }))
	defer ready.Close()
	b := newBench(t, 2, ready.URL)
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
	b.agents[1].health.note(time.Now(), targetLoad{}, nil)
	assert.Equal(t, b.agents[1].Load().GetWarmPerMille(), uint32(0))
}

// Guards against a target getting new flows because its agent has not yet heard that it is set to drain, as the others have.
func TestDrainingTargetThatSaysReady(t *testing.T) {
	b := newBench(t, 2, "")
	a := b.agents[1]
	a.refresh() // the view may be older than the last agent's change to ready
	a.pool.mu.Lock()
	a.pool.spec.Drain = []string{"agent-a"}
	v := a.pool.view
	a.pool.mu.Unlock()
	for _, r := range a.reports(v) {
		assert.Equal(t, r.Eligible, r.Node == a.self)
	}
}

// Guards against answers being dropped for want of an entry when entries that are cut off from each other declare one another dead.
func TestReturnByEntryThatIsHeldDead(t *testing.T) {
	b := newBench(t, 1, "")
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

// Guards against the flows of an agent being placed elsewhere while entries that cannot reach it hold it dead and the pool still hears it.
func TestMemberThatIsHeldDead(t *testing.T) {
	b := newBench(t, 2, "")
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

// Guards against a deleted service taking datagrams from an entry that does not know of the deletion, and answering through it.
func TestDeletedServiceTakesNothing(t *testing.T) {
	b := newBench(t, 1, "")
	for i, deleted := range []bool{false, true, false} {
		b.mu.Lock()
		b.revision.Number, b.revision.Deleted = uint64(i+2), deleted
		b.mu.Unlock()
		b.agents[0].refresh()
		assert.Equal(t, b.exchange(b.agents[0], testCaller(1), "reading") != "", !deleted)
		assert.Equal(t, b.agents[0].applied(testService.ID()), uint64(i+2))
	}
}
