package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

var roomControl = ident.ServiceName{Team: "maturacao", Name: "room-control"}

type testNode struct {
	*Peer
	rpc         string
	stop        func()
	partitioned atomic.Bool // drops datagrams of other data centres, and all RPCs
	ackCount    atomic.Int64
	loseAcks    atomic.Bool // drops every second acknowledgement
}

func (n *testNode) control(c *lacewingv1.Control) {
	if c.GetHeartbeatAck() != nil && n.ackCount.Add(1)%2 == 0 && n.loseAcks.Load() {
		return
	}
	sender, _ := n.Node(ident.NodeID(c.GetSender()))
	if !n.partitioned.Load() || sender.DataCentre == n.Self().DataCentre {
		n.ReceiveControl(c)
	}
}

func (n *testNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n.partitioned.Load() {
		http.Error(w, "cut", http.StatusServiceUnavailable)
		return
	}
	_, h := n.Handler()
	h.ServeHTTP(w, r)
}

// startNode runs a node on loopback. Its stop function ends it without a state change, like a
// crash.
func startNode(t *testing.T, self record.Node, seeds ...string) *testNode {
	t.Helper()
	key, err := wire.ParseKey("000102030405060708090a0b0c0d0e0f")
	assert.NilError(t, err)
	keys, err := wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
	assert.NilError(t, err)
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := udp.LocalAddr().String()
	_ = udp.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self.ID = ident.NewNodeID(self.Name)
	self.UDPAddress, self.RPCAddress = address, listener.Addr().String()
	if !self.Entry {
		self.Service, self.ServiceName, self.Weight = roomControl.ID(), roomControl, 1
	}
	set := metrics.NewSet()
	tr, err := transport.Open(transport.Options{Self: self.ID, Listen: address, Advertise: address, Keys: keys,
		Metrics: set})
	assert.NilError(t, err)
	p, err := New(Options{Self: self, Transport: tr, Keys: keys, Seeds: seeds, Logger: log.NewNopLogger(),
		Metrics: set})
	assert.NilError(t, err)
	n := &testNode{Peer: p, rpc: self.RPCAddress}
	server := &http.Server{Handler: n}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	go func() { _ = server.Serve(listener); done <- struct{}{} }()
	go func() { _ = tr.Run(ctx, transport.Handlers{Control: n.control}); done <- struct{}{} }()
	go func() { _ = p.Run(ctx); done <- struct{}{} }()
	stopped := false
	n.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		_ = server.Close()
		for range 3 {
			<-done
		}
	}
	t.Cleanup(n.stop)
	return n
}

func eventually(t *testing.T, what string, within time.Duration, ok func() bool) {
	t.Helper()
	check := func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}
	poll.WaitOn(t, check, poll.WithTimeout(within), poll.WithDelay(20*time.Millisecond))
}

func stateOf(n *testNode, of *testNode) record.State {
	r, _ := n.Node(of.Self().ID)
	return r.State
}

// Guards against nodes that do not discover each other through seeds, settings that do not reach
// agents or a restarted entry, and load reports that do not reach the pool.
func TestJoinAndSettings(t *testing.T) {
	e1 := startNode(t, record.Node{Name: "entry-1", Entry: true, DataCentre: "dc1"})
	e2 := startNode(t, record.Node{Name: "entry-2", Entry: true, DataCentre: "dc2"}, e1.rpc)
	a1 := startNode(t, record.Node{Name: "agent-1", DataCentre: "dc1"}, e1.rpc)
	a2 := startNode(t, record.Node{Name: "agent-2", DataCentre: "dc2"}, e1.rpc)
	a1.SetLoadFunc(func() *lacewingv1.Load { return &lacewingv1.Load{Connections: 12} })
	for _, n := range []*testNode{e1, e2, a1, a2} {
		eventually(t, "pool complete", 5*time.Second, func() bool { return len(n.Pool(roomControl.ID())) == 2 })
		eventually(t, "entry found", 5*time.Second, func() bool { return len(n.Entries()) > 0 })
	}
	eventually(t, "load", 3*time.Second, func() bool {
		load, _, ok := a2.Load(a1.Self().ID)
		return ok && load.GetConnections() == 12
	})
	large := make([]byte, 100<<10)
	for number, spec := range [][]byte{[]byte("kind: feed"), large} {
		e2.Publish(record.ForRevision(record.Revision{Service: roomControl, Number: uint64(number + 1), Spec: spec,
			Accepted: time.Now()}))
		for _, n := range []*testNode{e1, a1, a2} {
			eventually(t, fmt.Sprintf("revision %d", number+1), 3*time.Second, func() bool {
				r, _ := n.Revision(roomControl.ID())
				return r.Number == uint64(number+1) && len(r.Spec) == len(spec)
			})
		}
	}
	older := record.ForRevision(record.Revision{Service: roomControl, Number: 1})
	assert.Assert(t, !e1.Publish(older))
	e1.stop()
	restarted := startNode(t, record.Node{Name: "entry-1", Entry: true, DataCentre: "dc1"}, e2.rpc)
	eventually(t, "settings after a restart", 3*time.Second, func() bool {
		r, _ := restarted.Revision(roomControl.ID())
		return r.Number == 2
	})
}

// Guards against settings accepted just after an agent joined reaching it by anti-entropy only,
// about 2 s later.
func TestSettingsDuringJoin(t *testing.T) {
	entry := startNode(t, record.Node{Name: "entry-1", Entry: true, DataCentre: "dc1"})
	for number := range uint64(4) {
		agent := startNode(t, record.Node{Name: fmt.Sprint("agent-", number), DataCentre: "dc1"}, entry.rpc)
		eventually(t, "known", 5*time.Second, func() bool { return stateOf(entry, agent) == record.Ready })
		entry.Publish(record.ForRevision(record.Revision{Service: roomControl, Number: number + 1}))
		eventually(t, "revision", time.Second, func() bool {
			r, _ := agent.Revision(roomControl.ID())
			return r.Number == number+1
		})
	}
}

// Guards against a crashed agent that stays in the pool, and against one wrongly marked dead that
// stays out of it.
func TestDeathAndRefutation(t *testing.T) {
	e1 := startNode(t, record.Node{Name: "entry-1", Entry: true, DataCentre: "dc1"})
	a1 := startNode(t, record.Node{Name: "agent-1", DataCentre: "dc1"}, e1.rpc)
	a2 := startNode(t, record.Node{Name: "agent-2", DataCentre: "dc1"}, e1.rpc)
	eventually(t, "heard", 5*time.Second, func() bool {
		_, seen1 := e1.SinceLastSeen(a1.Self().ID)
		_, seen2 := e1.SinceLastSeen(a2.Self().ID)
		return seen1 && seen2 && len(a1.Pool(roomControl.ID())) == 2
	})
	wrongRecord := a2.Self()
	wrongRecord.State = record.Dead
	assert.Assert(t, e1.Publish(record.ForNode(wrongRecord)))
	eventually(t, "refuted", 3*time.Second, func() bool {
		r, _ := e1.Node(wrongRecord.ID)
		return r.State == record.Ready && r.Sequence > wrongRecord.Sequence
	})
	time.Sleep(500 * time.Millisecond) // heartbeats after the refutation
	a2.stop()
	eventually(t, "suspect", 2*time.Second, func() bool {
		return a1.IsSuspect(wrongRecord.ID) &&
			e1.IsSuspect(wrongRecord.ID)
	})
	eventually(t, "dead", 4*time.Second, func() bool {
		return stateOf(e1, a2) == record.Dead &&
			stateOf(a1, a2) == record.Dead
	})
	assert.Equal(t, len(a1.Pool(roomControl.ID())), 1)
	a1.SetState(record.Draining)
	eventually(t, "draining", time.Second, func() bool { return stateOf(e1, a1) == record.Draining })
}

// Guards against an acknowledgement of every heartbeat, which with 18 watched agents exceeds the
// control budget of an entry, and against an agent that treats a live entry as silent after one
// lost acknowledgement.
func TestAcknowledgements(t *testing.T) {
	const observed = 4 * time.Second
	e1 := startNode(t, record.Node{Name: "entry-1", Entry: true, DataCentre: "dc1"})
	a1 := startNode(t, record.Node{Name: "agent-1", DataCentre: "dc1"}, e1.rpc)
	seenRecently := func() bool {
		age, ok := a1.SinceLastSeen(e1.Self().ID)
		return ok && age < time.Second
	}
	eventually(t, "heard", 5*time.Second, seenRecently)
	for _, loseAcks := range []bool{false, true} {
		a1.loseAcks.Store(loseAcks)
		time.Sleep(time.Second)
		before := a1.ackCount.Load()
		for end := time.Now().Add(observed); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			age, _ := a1.SinceLastSeen(e1.Self().ID)
			assert.Assert(t, seenRecently(), "no datagram from the entry for %v, every second acknowledgement lost: %v", age, loseAcks)
		}
		if acks := a1.ackCount.Load() - before; !loseAcks {
			assert.Assert(t, acks <= int64(observed/(500*time.Millisecond))+2, "%d acknowledgements in %v", acks,
				observed)
		}
	}
}

// Guards against an expired record of an ended node that returns from a peer which still holds it,
// against rejecting such a record where an older one marks the node alive, and against a new
// incarnation of the node that cannot join.
func TestExpiredRecords(t *testing.T) {
	e := startNode(t, record.Node{Name: "entry-1", Entry: true, DataCentre: "dc1"})
	ended := record.Node{
		ID: 7, Name: "gone", DataCentre: "dc2", Service: roomControl.ID(), State: record.Left, Incarnation: 5,
		Sequence: 3,
		Ended:    time.Now().Add(-record.Retention - 2*record.ExpiryStep),
	}
	sent, err := FromProto(ToProto(record.ForNode(ended)))
	assert.NilError(t, err)
	isRecorded := func() bool { _, ok := e.Node(7); return ok }
	assert.Assert(t, !e.Publish(sent) && !isRecorded())
	alive := ended
	alive.State, alive.Sequence, alive.Ended = record.Ready, 2, time.Time{}
	assert.Assert(t, e.Publish(record.ForNode(alive)) && len(e.Pool(roomControl.ID())) == 1)
	assert.Assert(t, e.Publish(sent) && len(e.Pool(roomControl.ID())) == 0)
	e.removeExpired(time.Now())
	assert.Assert(t, !isRecorded() && !e.Publish(sent))
	alive.Incarnation = 6
	assert.Assert(t, e.Publish(record.ForNode(alive)) && isRecorded())

	// A peer that still holds such a record ends the exchange after the record was rejected.
	holder := startNode(t, record.Node{Name: "entry-2", Entry: true, DataCentre: "dc1"})
	ended.ID, ended.Name = 8, "gone-2"
	older := ended
	older.State, older.Sequence, older.Ended = record.Ready, 2, time.Time{}
	holder.Publish(record.ForNode(older))
	holder.Publish(record.ForNode(ended))
	before := holder.syncs.Get()
	assert.NilError(t, holder.syncWith(t.Context(), e.rpc))
	assert.Assert(t, holder.syncs.Get()-before <= 5, "%d messages", holder.syncs.Get()-before)
	assert.Equal(t, len(holder.Pool(roomControl.ID())), 1)
}

// Guards against a cached list of live entries that is kept after the record of an entry or a scope
// changed, and against callers that modify the shared list.
func TestEntriesFollowRecords(t *testing.T) {
	e := startNode(t, record.Node{Name: "entry-1", Entry: true, DataCentre: "dc1"})
	other := record.Node{ID: 9, Name: "other", Entry: true, DataCentre: "dc2", State: record.Ready, Incarnation: 1}
	for _, state := range []record.State{record.Ready, record.Draining} {
		other.State, other.Sequence = state, other.Sequence+1
		e.Publish(record.ForNode(other))
		list := e.Entries()
		assert.Equal(t, len(list), 2)
		assert.Equal(t, list[1].State, state)
		list[0] = record.Node{}
		assert.Equal(t, e.Entries()[0].Name, "entry-1")
	}
	e.Publish(record.ForScope(record.Scope{Kind: record.ScopeDataCentre, Name: "dc2", Down: true, Issued: time.Now()}))
	assert.Equal(t, len(e.Entries()), 1)
}

// Guards against a partition between data centres that leaves one dead record per node, and against
// two sides that stay separate afterwards: settings accepted on one side must reach the other
// within 3 s.
func TestPartitionHeals(t *testing.T) {
	var all, west, east []*testNode
	var seeds []string
	for i := range 10 {
		self := record.Node{Name: fmt.Sprint("node-", i), DataCentre: "west", Entry: i%5 < 2}
		if i >= 5 {
			self.DataCentre = "east"
		}
		n := startNode(t, self, seeds...)
		if self.Entry {
			seeds = append(seeds, n.rpc)
		}
		all = append(all, n)
	}
	west, east = all[:5], all[5:]
	complete := func(n *testNode, size int) func() bool {
		return func() bool { return len(n.Pool(roomControl.ID())) == size }
	}
	for _, n := range all {
		eventually(t, "joined", 5*time.Second, complete(n, 6))
	}
	time.Sleep(time.Second) // heartbeats in every direction
	for _, n := range all {
		n.partitioned.Store(true)
	}
	for _, n := range all {
		eventually(t, "agents of the other side removed", 6*time.Second, complete(n, 3))
	}
	west[0].Publish(record.ForRevision(record.Revision{Service: roomControl, Number: 7}))
	for _, n := range all {
		n.partitioned.Store(false)
	}
	for _, n := range east {
		eventually(t, "settings of the other side", 3*time.Second, func() bool {
			r, _ := n.Revision(roomControl.ID())
			return r.Number == 7
		})
	}
	for _, n := range all {
		eventually(t, "pool complete after the partition", 5*time.Second, complete(n, 6))
		for _, other := range all {
			if r, ok := n.Node(other.Self().ID); ok {
				assert.Equal(t, r.Sequence, uint64(0), "%s was marked dead", r.Name)
			}
		}
	}
}

// Guards against an agent that is lost together with the entries of its data centre: it must reach
// entries elsewhere, stay in the pool and receive settings.
func TestEntriesOfDataCentreDie(t *testing.T) {
	w1 := startNode(t, record.Node{Name: "west-1", Entry: true, DataCentre: "west"})
	w2 := startNode(t, record.Node{Name: "west-2", Entry: true, DataCentre: "west"}, w1.rpc)
	e1 := startNode(t, record.Node{Name: "east-1", Entry: true, DataCentre: "east"}, w1.rpc)
	e2 := startNode(t, record.Node{Name: "east-2", Entry: true, DataCentre: "east"}, w1.rpc)
	agent := startNode(t, record.Node{Name: "agent", DataCentre: "east"}, e1.rpc)
	for _, n := range []*testNode{w1, w2, agent} {
		eventually(t, "joined", 5*time.Second,
			func() bool { return len(n.Entries()) == 4 && len(n.Pool(roomControl.ID())) == 1 })
	}
	time.Sleep(time.Second) // heartbeats in every direction
	e1.stop()
	e2.stop()
	time.Sleep(4 * time.Second)
	w2.Publish(record.ForRevision(record.Revision{Service: roomControl, Number: 4}))
	eventually(t, "settings", 3*time.Second, func() bool {
		r, _ := agent.Revision(roomControl.ID())
		return r.Number == 4
	})
	eventually(t, "dead entries removed", 5*time.Second,
		func() bool { return len(w1.Entries()) == 2 && len(agent.Entries()) == 2 })
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, len(w1.Pool(roomControl.ID())), 1)
		assert.Equal(t, stateOf(w1, agent), record.Ready)
	}
}

// Guards against messages that make FromProto panic, or yield records that contradict their key or
// version.
func FuzzFromProto(f *testing.F) {
	for _, r := range []record.Record{
		record.ForNode(record.Node{ID: 1, Name: "n", State: record.Ready, Incarnation: 4, Sequence: 2}),
		record.ForRevision(record.Revision{Service: roomControl, Number: 3, Spec: []byte("kind: feed")}),
		record.ForScope(record.Scope{Kind: record.ScopeRack, Name: "dc1/r1", Down: true, Issued: time.UnixMilli(9),
			Issuer: 1}),
	} {
		b, _ := proto.Marshal(ToProto(r))
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m lacewingv1.Record
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		r, err := FromProto(&m)
		if err != nil {
			return
		}
		decoded, err := FromProto(ToProto(r))
		assert.NilError(t, err)
		assert.Equal(t, decoded.Key, r.Key)
		assert.Equal(t, decoded.Version, r.Version)
	})
}

// BenchmarkWatch measures the periodic work of an entry in a fleet of 7,000 entries and 41,000
// agents in 18 data centres.
func BenchmarkWatch(b *testing.B) {
	p := &Peer{index: newIndex()}
	for i := range 48000 {
		n := record.Node{ID: ident.NewNodeID(fmt.Sprint(i)), Entry: i < 7000,
			DataCentre: ident.DataCentre(fmt.Sprint("dc", i%18)), State: record.Ready}
		if !n.Entry {
			n.Service = ident.ServiceID(i % 13000)
		}
		r := record.ForNode(n)
		p.index.add(&r)
		if i == 0 {
			p.options.Self = n
		}
	}
	b.Run("toWatch", func(b *testing.B) {
		for b.Loop() {
			p.watchSet()
		}
	})
	b.Run("topology", func(b *testing.B) {
		for b.Loop() {
			p.topologyCache.Store(nil)
			p.topology()
		}
	})
	b.Run("randomEntries", func(b *testing.B) {
		for b.Loop() {
			p.randomEntries(fanout)
		}
	})
}
