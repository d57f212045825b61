package measure

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"lacewinglever.dev/policy/flow"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/placement"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/view"
)

const (
	traceIdleTimeout = 12 * time.Second // of flows; above two send intervals, so that one datagram may be lost
	maxMessageDelay  = 10 * time.Millisecond
	reportInterval   = 250 * time.Millisecond
)

// flowDirectory is the design: policy/flow and policy/placement run at the agents, and messages are
// delayed by up to maxMessageDelay. When it is load-blind, each flow is owned by its home.
type flowDirectory struct {
	deliver      deliverFunc
	loadBlind    bool
	fault        reportFault
	targetIndex  map[ident.NodeID]int
	entries      [traceEntries]*view.View
	agents       map[int]*traceAgent
	random       *rand.Rand
	queue        messageQueue
	sequence     int
	sentMessages int
	snapshots    []map[int]uint32 // connections by target, one snapshot per reportInterval
	lastReport   time.Duration
}

type traceAgent struct {
	table   *flow.Table
	placer  *placer
	chooser *placement.Chooser
	view    *view.View
}

// placer places flows by load. In a load-blind directory it places them on its own agent unless
// that one is draining.
type placer struct {
	chooser   *placement.Chooser
	self      ident.NodeID
	loadBlind bool
	draining  bool
}

// Place implements flow.Placer.
func (p *placer) Place(own int) (ident.NodeID, bool) {
	if p.loadBlind && !p.draining {
		return p.self, true
	}
	return p.chooser.Place(own)
}

// message is a message in flight.
type message struct {
	at       time.Duration
	sequence int // breaks ties of at
	handle   func(now time.Duration)
}

// messageQueue orders messages by the time at which they arrive. It implements heap.Interface.
type messageQueue []message

func (l messageQueue) Len() int { return len(l) }
func (l messageQueue) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].sequence < l[j].sequence
}
func (l messageQueue) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *messageQueue) Push(x any) { *l = append(*l, x.(message)) }

// Pop implements heap.Interface.
func (l *messageQueue) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}

func newFlowDirectory(t *trace, loadBlind bool) func(deliverFunc) candidate {
	return func(deliver deliverFunc) candidate {
		d := &flowDirectory{
			deliver: deliver, loadBlind: loadBlind, fault: t.reports, targetIndex: targetIndexes(),
			agents: map[int]*traceAgent{}, random: rand.New(rand.NewPCG(seed, 3)),
		}
		for i := range traceTargets {
			d.startAgent(0, i)
		}
		return d
	}
}

func (d *flowDirectory) startAgent(now time.Duration, target int) {
	id := targetNode(target, record.Ready).ID
	chooser := placement.New(id, seed)
	p := &placer{chooser: chooser, self: id, loadBlind: d.loadBlind}
	options := flow.Options{Self: id, Service: traceService, Placer: p, Seed: seed}
	d.agents[target] = &traceAgent{table: flow.New(options, now, traceIdleTimeout), placer: p, chooser: chooser}
}

func (d *flowDirectory) updateEntry(_ time.Duration, entry int, members []view.Member) {
	d.entries[entry] = view.Build(d.entries[entry], traceService, view.DefaultSlots, members)
}

func (d *flowDirectory) updateTarget(now time.Duration, target int, members []view.Member) {
	a := d.agents[target]
	if a == nil {
		return
	}
	a.view = view.Build(a.view, traceService, view.DefaultSlots, members)
	a.table.SetView(now, a.view)
	d.updateReports(a)
}

func (d *flowDirectory) apply(now time.Duration, c change) {
	switch c.kind {
	case changeJoin:
		d.startAgent(now, c.node)
	case changeReady, changeDrain:
		a := d.agents[c.node]
		a.table.SetDraining(c.kind == changeDrain)
		a.placer.draining = c.kind == changeDrain
	case changeLeave:
		a := d.agents[c.node]
		var rest []view.Member
		for _, m := range a.view.Members {
			if d.targetIndex[m.Node.ID] != c.node {
				rest = append(rest, m)
			}
		}
		a.table.HandOver(view.Build(nil, traceService, view.DefaultSlots, rest))
	case changeExit:
		delete(d.agents, c.node)
	case changeLeft: // the views change
	case changeKillEntry: // entries have no flow state
	}
}

func (d *flowDirectory) endFlow(ident.Caller) {}
func (d *flowDirectory) messageCount() int    { return d.sentMessages }

func (d *flowDirectory) handleDatagram(now time.Duration, entry int, c ident.Caller) {
	v := d.entries[entry]
	m, ok := v.Home(flowHash(c))
	if !ok {
		return
	}
	d.send(now, func(now time.Duration) {
		d.receive(now, flow.Datagram{
			Service: traceService, Destination: m.Node.ID, Caller: c, Entry: ident.NodeID(1 + entry), View: v.Digest,
			Payload: []byte{1},
		})
	})
}

// send delivers a message after a random delay.
func (d *flowDirectory) send(now time.Duration, handle func(time.Duration)) {
	d.sequence++
	heap.Push(&d.queue, message{now + time.Duration(d.random.Int64N(int64(maxMessageDelay))) + 1, d.sequence, handle})
}

func (d *flowDirectory) receive(now time.Duration, x flow.Datagram) {
	a := d.agents[d.targetIndex[x.Destination]]
	if a == nil {
		return
	}
	var out flow.Effects
	decision := a.table.HandleDatagram(now, &x, &out)
	d.execute(now, x, decision)
	d.applyEffects(now, x.Destination, &out)
}

// execute delivers or forwards a datagram. Datagrams with another decision are not delivered.
func (d *flowDirectory) execute(now time.Duration, x flow.Datagram, decision flow.Decision) {
	switch decision.Action {
	case flow.Deliver:
		d.deliver(now, x.Caller, d.targetIndex[x.Destination], int(x.Hops))
	case flow.Forward:
		from := x.Destination
		x.Sender, x.Destination, x.Hops, x.Placed = from, decision.To, decision.Hops, decision.Placed
		x.View = d.agents[d.targetIndex[from]].view.Digest
		d.send(now, func(now time.Duration) { d.receive(now, x) })
	}
}

// applyEffects handles the released datagrams and sends the outgoing messages of an agent.
func (d *flowDirectory) applyEffects(now time.Duration, from ident.NodeID, out *flow.Effects) {
	for _, r := range out.Released {
		d.execute(now, r.Datagram, r.Decision)
	}
	for _, s := range out.Outgoing {
		d.sentMessages++
		d.send(now, func(now time.Duration) {
			to := d.agents[d.targetIndex[s.To]]
			if to == nil {
				return
			}
			var effects flow.Effects
			to.table.HandleMessage(now, from, s.Message, &effects)
			d.applyEffects(now, s.To, &effects)
		})
	}
}

// tick delivers the messages that are due and runs the agents' timers. Load reports are exchanged
// every reportInterval.
func (d *flowDirectory) tick(now time.Duration) {
	for len(d.queue) > 0 && d.queue[0].at <= now {
		x := heap.Pop(&d.queue).(message)
		x.handle(x.at)
	}
	for i := range 2 * traceTargets {
		if a := d.agents[i]; a != nil {
			var out flow.Effects
			a.table.Tick(now, &out)
			d.applyEffects(now, targetNode(i, record.Ready).ID, &out)
		}
	}
	if now < d.lastReport+reportInterval {
		return
	}
	d.lastReport = now
	snapshot := map[int]uint32{}
	for i, a := range d.agents {
		snapshot[i] = uint32(a.table.OwnedFlows())
	}
	d.snapshots = append(d.snapshots, snapshot)
	for i := range 2 * traceTargets {
		if a := d.agents[i]; a != nil {
			d.updateReports(a)
		}
	}
}

// updateReports updates an agent's placement with the latest load reports, or with delayed or wrong
// ones if the trace has that fault.
func (d *flowDirectory) updateReports(a *traceAgent) {
	if len(d.snapshots) == 0 || a.view == nil {
		return
	}
	index := max(0, len(d.snapshots)-1-int(d.fault.delay/reportInterval))
	var reports []placement.Report
	for i := range a.view.Members {
		n := &a.view.Members[i].Node
		target := d.targetIndex[n.ID]
		connections := d.snapshots[index][target]
		if d.fault.zeroLoad && target == 0 {
			connections = 0
		}
		reports = append(reports, placement.Report{
			Node: n.ID, Weight: 1, Connections: connections, WarmPerMille: 1000,
			Eligible: n.State == record.Ready, Sequence: uint64(index + 1),
		})
	}
	a.chooser.Update(reports)
}
