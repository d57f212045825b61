package flow

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/view"
)

const testService = ident.ServiceID(7)

func caller(i int) ident.Caller {
	c := ident.Caller{10: 0xff, 11: 0xff, 12: 10}
	binary.BigEndian.PutUint32(c[13:], uint32(i))
	return c
}

func testMember(i int, s record.State) view.Member {
	name := fmt.Sprintf("agent-%d", i)
	return view.Member{Node: record.Node{ID: ident.NewNodeID(name), Name: name, State: s, Incarnation: 1}, Weight: 1}
}

func members(n int) []view.Member {
	out := make([]view.Member, n)
	for i := range out {
		out[i] = testMember(i, record.Ready)
	}
	return out
}

// placerFunc lets a test choose owners.
type placerFunc func(own int) (ident.NodeID, bool)

func (f placerFunc) Place(own int) (ident.NodeID, bool) { return f(own) }

// network is a pool of tables with simulated links and a simulated clock.
type network struct {
	now       time.Duration
	rand      *rand.Rand
	tables    map[ident.NodeID]*Table
	order     []ident.NodeID
	queue     events
	seq       int
	loss      float64
	double    float64
	delay     time.Duration // largest one
	delivered func(c ident.Caller, at ident.NodeID)
	unused    map[ident.NodeID]bool // not chosen as owner: draining or gone
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newNetwork(seed uint64) *network {
	return &network{
		rand: rand.New(rand.NewPCG(seed, 1)), tables: map[ident.NodeID]*Table{}, delay: 10 * time.Millisecond,
		delivered: func(ident.Caller, ident.NodeID) {}, unused: map[ident.NodeID]bool{},
	}
}

// add starts an agent whose placements are random.
func (n *network) add(id ident.NodeID, idle time.Duration) *Table {
	place := func(int) (ident.NodeID, bool) {
		v := n.tables[id].state.Load().view
		for range 20 {
			m := &v.Members[n.rand.IntN(len(v.Members))].Node
			if m.State == record.Ready && !n.unused[m.ID] {
				return m.ID, true
			}
		}
		return 0, false
	}
	t := New(Options{Self: id, Service: testService, Placer: placerFunc(place), Seed: 1}, n.now, idle)
	n.tables[id] = t
	n.order = append(n.order, id)
	return t
}

func (n *network) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, event{n.now + d, n.seq, run})
}

// link runs f after the delay of a link, never or twice if the link does so.
func (n *network) link(f func()) {
	if n.rand.Float64() < n.loss {
		return
	}
	n.after(time.Duration(n.rand.Int64N(int64(n.delay)))+1, f)
	if n.rand.Float64() < n.double {
		n.after(time.Duration(n.rand.Int64N(int64(n.delay)))+1, f)
	}
}

// inject sends a datagram from an entry to the agent.
func (n *network) inject(c ident.Caller, to ident.NodeID) {
	n.link(func() {
		n.arrive(Datagram{Service: testService, Destination: to, Caller: c, Entry: 99, Payload: []byte{1}})
	})
}

func (n *network) arrive(d Datagram) {
	t, ok := n.tables[d.Destination]
	if !ok {
		return
	}
	var out Effects
	decision := t.HandleDatagram(n.now, &d, &out)
	n.carryOut(t, d, decision)
	n.perform(t, &out)
}

func (n *network) carryOut(t *Table, d Datagram, decision Decision) {
	switch decision.Action {
	case Deliver:
		n.delivered(d.Caller, t.options.Self)
	case Forward:
		d.Sender, d.Destination, d.Hops, d.Placed = t.options.Self, decision.To, decision.Hops, decision.Placed
		d.View = t.state.Load().view.Digest
		n.link(func() { n.arrive(d) })
	}
}

func (n *network) perform(t *Table, out *Effects) {
	from := t.options.Self
	for _, r := range out.Released {
		n.carryOut(t, r.Datagram, r.Decision)
	}
	for _, s := range out.Outgoing {
		n.link(func() {
			to, ok := n.tables[s.To]
			if !ok {
				return
			}
			var effects Effects
			to.HandleMessage(n.now, from, s.Message, &effects)
			n.perform(to, &effects)
		})
	}
}

// advance runs events and ticks for the duration.
func (n *network) advance(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := n.now + d; n.now < end; {
		next := n.now + step
		for len(n.queue) > 0 && n.queue[0].at <= next {
			e := heap.Pop(&n.queue).(event)
			n.now = e.at
			e.run()
		}
		n.now = next
		for _, id := range n.order {
			if t, ok := n.tables[id]; ok {
				var out Effects
				t.Tick(n.now, &out)
				n.perform(t, &out)
			}
		}
	}
}

func (n *network) setView(id ident.NodeID, m []view.Member) {
	if t, ok := n.tables[id]; ok {
		t.SetView(n.now, view.Build(nil, testService, 256, m))
	}
}

func (n *network) setViews(m []view.Member) {
	for _, id := range n.order {
		n.setView(id, m)
	}
}
